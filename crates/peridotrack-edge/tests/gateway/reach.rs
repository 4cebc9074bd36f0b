//! Gateways that cannot connect to backend servers which other gateways reach.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_edge::{gateway::Gateway, peer};
use peridotrack_kernel::{Kernel, Options, event, log};
use peridotrack_member::message::{Message, Record, Report, State};
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        relay, wait,
    },
    hosted::{backend, store},
};
use peridotrack_types::{gateway::Settings, id};
use rstest::rstest;

use crate::fixture::{LIMIT, config, entry_at, request, settings};

/// Time in which direct connections return after a partition.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// When the processes of the servers started, in Unix milliseconds.
const BORN_MS: u64 = 1_700_000_000_000;
/// Deadline of the requests that [`request`] returns.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time in which a response at the deadline reaches the client.
const RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Time between two heartbeats of the peer that a test acts as.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Requests of each kind that are sent at a time.
const REQUESTS: usize = 8;

/// A gateway that connects to the servers through relays, and another one that connects directly.
struct Pair {
    servers: Vec<backend::Handle>,
    relays: Vec<relay::Relay>,
    gateway: Gateway,
    other: Gateway,
    _stores: [store::Handle; 2],
}

fn spawn(vm: &str, store: &store::Handle, seeds: &[SocketAddr]) -> Gateway {
    let settings = Settings {
        vm: vm.into(),
        seed_addresses: seeds.to_vec(),
        ..settings(store)
    };
    Gateway::spawn(settings, log::Output::Off).unwrap()
}

/// Starts a store whose entries name these addresses.
fn store_of(addresses: impl Iterator<Item = SocketAddr>) -> store::Handle {
    let store = store::spawn().unwrap();
    store.put("config", "main", config(4, 1_000_000));
    for (number, address) in addresses.enumerate() {
        let mut entry = entry_at(address);
        // The end of a process is told to peers only if its start is known.
        entry["born"] = BORN_MS.into();
        store.put("servers", &format!("i-{number}"), entry);
    }
    store
}

/// Returns how often the timeline of a gateway has an event of this name whose note, if it has one,
/// begins with `note`.
fn count(gateway: &Gateway, name: &str, note: &str) -> usize {
    let events = gateway.kernel().timeline().after(0);
    let is_counted = |event: &&event::Recorded| {
        let has_note = match event.fields.get("note") {
            Some(event::Value::Text(text)) => text.starts_with(note),
            _ => note.is_empty(),
        };
        &*event.name == name && has_note
    };
    events.iter().filter(is_counted).count()
}

impl Pair {
    async fn spawn(servers: usize) -> Self {
        Self::spawn_with(servers, false).await
    }

    /// Starts the pair; `is_shared` has the other gateway connect through the relays too.
    async fn spawn_with(servers: usize, is_shared: bool) -> Self {
        let servers: Vec<_> = (0..servers).map(|_| backend::spawn().unwrap()).collect();
        let relays = servers.iter().map(|server| relay::spawn(server.address()));
        let relays: Vec<_> = relays.map(Result::unwrap).collect();
        let store = store_of(relays.iter().map(relay::Relay::address));
        let other_store = match is_shared {
            true => store_of(relays.iter().map(relay::Relay::address)),
            false => store_of(servers.iter().map(backend::Handle::address)),
        };
        let other = spawn("vm-2", &other_store, &[]);
        let gateway = spawn("vm-1", &store, &[other.peer_address()]);
        let pair = Self {
            servers,
            relays,
            gateway,
            other,
            _stores: [store, other_store],
        };
        for gateway in [&pair.gateway, &pair.other] {
            let ready = async || (send(gateway, "/public/").await == 200).then_some(());
            wait::poll(LIMIT, "readiness", ready).await.unwrap();
            let has_peer = || count(gateway, "PeerJoined", "") > 0;
            wait::until(LIMIT, "a live peer", has_peer).await.unwrap();
        }
        pair
    }

    /// Has all new connections of the first gateway refused.
    fn refuse(&self) {
        for relay in &self.relays {
            relay.refuse_connections();
        }
    }

    /// Has the first gateway connect to the servers again.
    async fn reopen(&mut self) {
        for (relay, server) in self.relays.iter_mut().zip(&self.servers) {
            let address = relay.address();
            *relay = relay::spawn_at(address, server.address()).unwrap();
        }
    }

    /// Returns how many servers the gateways regard as ended.
    fn ends(&self) -> usize {
        let gateways = [&self.gateway, &self.other];
        let ends = gateways.map(|gateway| count(gateway, "RouteNote", "{\"ended\":"));
        ends.iter().sum()
    }
}

/// Sends a request and returns the status of its response, 0 if there is none.
async fn send(gateway: &Gateway, path: &str) -> u16 {
    let response = fetch(gateway.client_address(), request(path, &[])).await;
    response.map_or(0, |response| response.status().as_u16())
}

/// Sends requests of each kind one after another.
async fn send_all(gateway: &Gateway) {
    for number in 0..REQUESTS {
        for path in ["/safe/", "/unsafe/", "/once/"] {
            assert_eq!(send(gateway, path).await, 200, "{path} {number}");
        }
    }
}

#[test]
fn a_gateway_whose_connections_are_refused_connects_through_a_peer() {
    block_on(async {
        let mut pair = Pair::spawn(4).await;
        pair.refuse();
        send_all(&pair.gateway).await;
        assert_eq!(count(&pair.gateway, "PartitionBegun", ""), 1);
        assert_eq!(pair.ends(), 0);

        pair.reopen().await;
        let has_returned = || count(&pair.gateway, "PartitionEnded", "") > 0;
        wait::until(RETURN_TIME, "direct connections", has_returned)
            .await
            .unwrap();
        send_all(&pair.gateway).await;
        let bytes = pair.relays.iter().map(relay::Relay::forwarded_bytes);
        assert!(bytes.sum::<u64>() > 0, "no request was sent directly");
        assert_eq!(count(&pair.gateway, "PartitionBegun", ""), 1);
        assert_eq!(count(&pair.other, "PartitionBegun", ""), 0);
    });
}

/// A gateway that knows no other server cannot tell whether its own network is the reason.
#[rstest]
#[case::it_is_reached_by_a_peer(false)]
#[case::it_has_ended(true)]
fn the_end_of_the_only_server_is_confirmed_by_a_peer(#[case] has_ended: bool) {
    block_on(async {
        let mut pair = Pair::spawn(1).await;
        pair.refuse();
        if has_ended {
            pair.servers.clear();
        }
        let status = send(&pair.gateway, "/once/").await;
        assert_eq!(status, if has_ended { 503 } else { 200 });
        assert_eq!(pair.ends() > 0, has_ended);
    });
}

/// The peer that is asked does not know yet that it is partitioned itself.
#[test]
fn two_gateways_whose_connections_are_refused_end_no_server() {
    block_on(async {
        let pair = Pair::spawn_with(4, true).await;
        pair.refuse();
        for _ in 0..REQUESTS {
            assert_ne!(send(&pair.gateway, "/once/").await, 200);
        }
        assert_eq!(pair.ends(), 0);
        assert_eq!(count(&pair.other, "PartitionBegun", ""), 1);
    });
}

/// The others show that the network of the gateway is not the reason.
#[test]
fn servers_that_refuse_connections_beside_others_change_no_path() {
    block_on(async {
        let pair = Pair::spawn(4).await;
        for relay in &pair.relays[..2] {
            relay.refuse_connections();
        }
        for _ in 0..4 {
            send_all(&pair.gateway).await;
        }
        assert_eq!(count(&pair.gateway, "PartitionBegun", ""), 0);
    });
}

/// Guards against servers that a gateway regards as ended, because it is partitioned from them and no
/// peer is left.
#[test]
fn a_gateway_without_peers_whose_connections_are_refused_ends_servers() {
    block_on(async {
        let servers: Vec<_> = (0..3).map(|_| backend::spawn().unwrap()).collect();
        let relays = servers.iter().map(|server| relay::spawn(server.address()));
        let relays: Vec<_> = relays.map(Result::unwrap).collect();
        let store = store_of(relays.iter().map(relay::Relay::address));
        let gateway = spawn("vm-1", &store, &[]);
        let ready = async || (send(&gateway, "/public/").await == 200).then_some(());
        wait::poll(LIMIT, "readiness", ready).await.unwrap();
        relays.iter().for_each(relay::Relay::refuse_connections);
        for _ in 0..REQUESTS {
            assert_eq!(send(&gateway, "/once/").await, 503);
        }
        assert_eq!(count(&gateway, "PartitionBegun", ""), 1);
        assert_eq!(count(&gateway, "RouteNote", "{\"ended\":"), 0);
    });
}

/// Starts a peer that takes requests for tunnels and answers none, and has the gateway know it.
async fn spawn_silent_peer(gateway: &Gateway, settings: &Settings) -> Rc<peer::Link> {
    let incarnation = id::Incarnation(77);
    let kernel = Kernel::open(Options::default()).unwrap();
    let any = settings.peer_address;
    let link = peer::Link::bind(kernel, incarnation, any, &settings.peer_key).unwrap();
    let open = RefCell::new(Vec::new());
    link.subscribe_tunnels(move |_, _, stream| open.borrow_mut().push(stream));
    let from = Record {
        vm: "vm-77".into(),
        incarnation,
        started_wall_ms: BORN_MS,
        failure_domain: "b".into(),
        peer_address: link.address(),
        caller_address: link.address(),
        heartbeat_sequence: 1,
        config_version: 0,
        state: State::Serving,
    };
    let mut report = Report {
        from,
        heartbeat_sequences: Vec::new(),
        records: Vec::new(),
        wanted_records: 0,
        domain_peers: 0,
    };
    let (sender, to) = (Rc::clone(&link), gateway.peer_address());
    monoio::spawn(async move {
        loop {
            report.from.heartbeat_sequence += 1;
            let heartbeat = Message::Heartbeat(report.clone());
            sender.send(to, &peer::Frame::Member(heartbeat));
            monoio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    let is_known = || count(gateway, "PeerJoined", "") > 0;
    wait::until(LIMIT, "the peer", is_known).await.unwrap();
    link
}

/// Guards against requests that are held past their deadline while it is checked whether their server
/// has ended: peers may be asked for that, which need not answer.
#[test]
fn a_request_is_held_past_its_deadline_because_its_connection_broke() {
    block_on(async {
        let servers: Vec<_> = (0..3).map(|_| backend::spawn().unwrap()).collect();
        let relays = servers.iter().map(|server| relay::spawn(server.address()));
        let relays: Vec<_> = relays.map(Result::unwrap).collect();
        let store = store_of(relays.iter().map(relay::Relay::address));
        let gateway = spawn("vm-1", &store, &[]);
        let ready = async || (send(&gateway, "/public/").await == 200).then_some(());
        wait::poll(LIMIT, "readiness", ready).await.unwrap();
        let _peer = spawn_silent_peer(&gateway, &settings(&store)).await;
        for server in &servers {
            server.set_response_delay(2 * DEADLINE);
        }

        let address = gateway.client_address();
        let sent = Instant::now();
        let held = monoio::spawn(async move { fetch(address, request("/safe/", &[])).await });
        monoio::time::sleep(DEADLINE / 6).await;
        relays.iter().for_each(relay::Relay::refuse_connections);
        monoio::spawn(async move { fetch(address, request("/once/", &[])).await });
        let is_partitioned = || count(&gateway, "PartitionBegun", "") > 0;
        wait::until(DEADLINE / 2, "a partition", is_partitioned)
            .await
            .unwrap();
        monoio::time::sleep(DEADLINE.mul_f64(0.9) - sent.elapsed()).await;
        for relay in &relays {
            relay.set(relay::Link::Reset);
        }
        let response = held.await;
        let elapsed = sent.elapsed();
        assert!(response.is_ok_and(|response| response.status() != 200));
        assert!(elapsed <= DEADLINE + RESPONSE_TIME, "{elapsed:?}");
    });
}
