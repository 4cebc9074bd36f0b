//! Gateways that are partitioned from all backend servers, while clients, the store and the other
//! gateways reach them, must serve nearly as many requests as the others.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::{event, log};
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        relay::{self, Link},
        router::fresh_loopback_ip,
        wait,
    },
    hosted::{
        backend,
        client::{self, Outcome},
        deployment::{self, Kind, bounds},
        store,
    },
};
use peridotrack_types::gateway::Settings;
use rstest::rstest;

use crate::{
    fixture::{LIMIT, settings},
    fleet::PREPAID_TOKENS,
};

/// Failure domains, each with [`GATEWAYS_PER_DOMAIN`] gateways and [`SERVERS_PER_DOMAIN`] servers.
const DOMAINS: [&str; 2] = ["a", "b"];
const GATEWAYS_PER_DOMAIN: usize = 2;
const SERVERS_PER_DOMAIN: usize = 2;
/// Port of the relays to the first server; those to the next ones have the next ports.
const FIRST_RELAY_PORT: u16 = 8_700;
/// Kinds of requests, each sent to each gateway at the same rate.
const KINDS: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable];
/// Time between two requests of a kind at a gateway.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time in which gateways open connections before the partition.
const WARM_UP: Duration = Duration::from_secs(1);
/// Time in which first tries are counted, while the partition lasts.
const COUNTED: Duration = Duration::from_secs(5);
/// Time in which all gateways are partitioned, before those of one failure domain return.
const ALL_PARTITIONED: Duration = Duration::from_secs(20);
/// Time in which first tries are counted after that return; a refusal that lasts for any longer time
/// would show later, too, but in a smaller share of them.
const COUNTED_AFTER_RETURN: Duration = Duration::from_secs(1);
/// Time in which requests must go directly again, after the partition.
const DIRECT: Duration = Duration::from_millis(1_500);
/// Time after the start and the end of the partition in which gateways adapt.
const CONTACT: Duration = Duration::from_millis(bounds::CONTACT_MS);
/// First tries that may fail at gateways which reach the servers.
const ALLOWED_FAILURES: usize = 10;
/// First tries of which one more may fail there.
const REQUESTS_PER_FAILURE: usize = 50;

/// Which gateways are partitioned from all servers.
#[derive(Debug, Clone, Copy)]
enum Scope {
    OneGateway,
    FailureDomain,
    AllButOne,
}

impl Scope {
    fn gateways(self) -> usize {
        match self {
            Self::OneGateway => 1,
            Self::FailureDomain => GATEWAYS_PER_DOMAIN,
            Self::AllButOne => DOMAINS.len() * GATEWAYS_PER_DOMAIN - 1,
        }
    }
}

/// A gateway with its own path to each server.
struct Site {
    gateway: Gateway,
    relays: Vec<relay::Relay>,
    _view: store::View,
}

impl Site {
    fn spawn(number: usize, fleet: &Fleet, seeds: Vec<SocketAddr>) -> Self {
        let ip = fresh_loopback_ip();
        let servers = fleet.servers.iter().zip(FIRST_RELAY_PORT..);
        let relays: Vec<relay::Relay> = servers
            .map(|(server, port)| {
                relay::spawn_at(SocketAddr::new(ip, port), server.address()).unwrap()
            })
            .collect();
        let servers = fleet.servers.iter().map(backend::Handle::address);
        let seen = relays.iter().map(relay::Relay::address);
        let view = fleet.store.spawn_view(servers.zip(seen).collect()).unwrap();
        let regions = DOMAINS.map(|domain| (domain.into(), "r".to_owned()));
        let settings = Settings {
            vm: format!("vm-{number}").as_str().into(),
            failure_domain: DOMAINS[number / GATEWAYS_PER_DOMAIN].into(),
            regions: regions.into_iter().collect(),
            seed_addresses: seeds,
            store_address: view.address(),
            ..settings(&fleet.store)
        };
        Self {
            gateway: Gateway::spawn(settings, log::Output::Off).unwrap(),
            relays,
            _view: view,
        }
    }

    async fn ready(&self) {
        let address = self.gateway.readiness_address();
        let ready = async || {
            let request = http::Request::get("/").body(Bytes::new()).unwrap();
            let response = fetch(address, request).await.ok()?;
            (response.status() == 200).then_some(())
        };
        wait::poll(LIMIT, "readiness", ready).await.unwrap();
    }

    /// Starts the gateways of all failure domains, and waits until they are ready.
    async fn spawn_all(fleet: &Fleet) -> Vec<Self> {
        let mut sites: Vec<Self> = Vec::new();
        for number in 0..DOMAINS.len() * GATEWAYS_PER_DOMAIN {
            let seeds = sites.iter().map(|site| site.gateway.peer_address());
            let site = Self::spawn(number, fleet, seeds.collect());
            sites.push(site);
        }
        for site in &sites {
            site.ready().await;
        }
        sites
    }

    fn set_path(&self, link: Link) {
        for relay in &self.relays {
            relay.set(link);
        }
    }

    fn forwarded_bytes(&self) -> u64 {
        self.relays.iter().map(relay::Relay::forwarded_bytes).sum()
    }

    fn last_event(&self) -> u64 {
        let events = self.gateway.kernel().timeline().after(0);
        events.last().map_or(0, |event| event.sequence)
    }

    /// Returns whether the gateway has regarded a server as ended since an event.
    fn has_ended_servers(&self, since: u64) -> bool {
        let events = self.gateway.kernel().timeline().after(since);
        events.iter().any(|event| match event.fields.get("note") {
            Some(event::Value::Text(note)) => note.starts_with("{\"ended\":"),
            _ => false,
        })
    }
}

/// The first try of a request by a client.
struct Try {
    id: String,
    kind: Kind,
    gateway: usize,
    sent: Instant,
    outcome: Outcome,
}

/// First tries of all clients.
#[derive(Default)]
struct Tries {
    done: RefCell<Vec<Try>>,
    next_id: Cell<u64>,
}

/// What the gateways share.
struct Fleet {
    store: store::Handle,
    servers: Vec<backend::Handle>,
}

impl Fleet {
    fn spawn() -> Self {
        let store = store::spawn().unwrap();
        store.put("config", "main", deployment::config(1, PREPAID_TOKENS));
        let domains = DOMAINS.iter().cycle();
        let domains = domains.take(DOMAINS.len() * SERVERS_PER_DOMAIN);
        let servers = domains.enumerate().map(|(number, domain)| {
            let server = backend::spawn().unwrap();
            let name = format!("i-{number}");
            server.set_name(Some(&name));
            let born_ms = deployment::wall_ms();
            let entry = deployment::entry_since(server.address(), domain, "ready", born_ms);
            store.put("servers", &name, entry);
            server
        });
        let servers = servers.collect();
        Self { store, servers }
    }
}

/// Sends a request and keeps what the client saw.
async fn send(tries: Rc<Tries>, kind: Kind, gateway: usize, address: SocketAddr) {
    let number = tries.next_id.replace(tries.next_id.get() + 1);
    let request = client::Request {
        id: format!("r-{number}"),
        kind,
        account: 0,
        prompt_tokens: 40,
        prompt_parts: vec![1 << 32 | number],
        version: 1,
        event_interval_ms: None,
        repeated: None,
        resumed: None,
    };
    let sent = Instant::now();
    let exchange = client::send(address, &mut None, &request).await;
    tries.done.borrow_mut().push(Try {
        id: request.id,
        kind,
        gateway,
        sent,
        outcome: exchange.outcome,
    });
}

/// Sends requests of each kind to gateways, at a steady rate for a time, and waits for the responses.
async fn send_for(tries: &Rc<Tries>, sites: &[(usize, SocketAddr)], duration: Duration) {
    let end = Instant::now() + duration;
    let mut sending = Vec::new();
    while Instant::now() < end {
        for &(gateway, address) in sites {
            for kind in KINDS {
                sending.push(monoio::spawn(send(
                    Rc::clone(tries),
                    kind,
                    gateway,
                    address,
                )));
            }
        }
        monoio::time::sleep(INTERVAL).await;
    }
    for sending in sending {
        sending.await;
    }
}

/// Numbers of requests that were sent and of those that were served.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    /// Returns whether more fail than may fail at gateways that reach the servers.
    fn has_failures(self) -> bool {
        self.sent - self.served > ALLOWED_FAILURES + self.sent / REQUESTS_PER_FAILURE
    }
}

impl Tries {
    fn count(&self, is_counted: impl Fn(&Try) -> bool) -> Count {
        let done = self.done.borrow();
        let counted = done.iter().filter(|attempt| is_counted(attempt));
        counted.fold(Count::default(), |count, attempt| Count {
            sent: count.sent + 1,
            served: count.served + usize::from(attempt.outcome == Outcome::Status(200)),
        })
    }

    /// Returns what is wrong with responses and with runs of requests that may run once.
    fn wrong(&self, servers: &[backend::Handle]) -> Vec<String> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in servers.iter().flat_map(backend::Handle::runs) {
            *runs.entry(run.request_id().to_owned()).or_default() += 1;
        }
        let done = self.done.borrow();
        let wrong = done.iter().filter_map(|attempt| {
            let runs = runs.get(&attempt.id).copied().unwrap_or_default();
            let Try {
                id, kind, outcome, ..
            } = attempt;
            let states_not_run = matches!(outcome, Outcome::Status(408 | 421 | 429 | 503));
            let is_wrong = matches!(outcome, Outcome::Wrong(_))
                || !kind.is_idempotent() && (runs > 1 || states_not_run && runs > 0);
            is_wrong.then(|| format!("{id} ({kind:?}) ran {runs} times: {outcome:?}"))
        });
        wrong.collect()
    }
}

/// Returns the gateways' numbers and addresses for clients.
fn client_addresses(sites: &[Site]) -> Vec<(usize, SocketAddr)> {
    let addresses = sites.iter().map(|site| site.gateway.client_address());
    addresses.enumerate().collect()
}

/// Checks that the first `cut` gateways serve each kind of request at least two thirds as often as the
/// others, and that the others serve nearly all. Returns what does not hold.
fn unserved(tries: &Tries, cut: usize, from: Instant, to: Instant) -> Vec<String> {
    let mut breaches = Vec::new();
    let is_within = |attempt: &Try| (from..to).contains(&attempt.sent);
    for kind in KINDS {
        let is_counted = |attempt: &Try| attempt.kind == kind && is_within(attempt);
        let at_cut = tries.count(|attempt| is_counted(attempt) && attempt.gateway < cut);
        let at_others = tries.count(|attempt| is_counted(attempt) && attempt.gateway >= cut);
        assert!(at_cut.sent > 0 && at_others.sent > 0, "no first tries");
        if 3 * at_cut.served * at_others.sent < 2 * at_others.served * at_cut.sent {
            breaches.push(format!("{kind:?}: {at_cut:?}, elsewhere {at_others:?}"));
        }
    }
    let elsewhere = tries.count(|attempt| attempt.gateway >= cut && is_within(attempt));
    if elsewhere.has_failures() {
        breaches.push(format!("gateways that reach the servers: {elsewhere:?}"));
    }
    breaches
}

#[rstest]
#[case::hang_and_none_is_established(Link::Partitioned)]
#[case::are_reset_and_refused(Link::Reset)]
#[case::live_on_while_new_ones_are_refused(Link::Refusing)]
fn requests_fail_where_all_connections_to_servers(
    #[case] path: Link,
    #[values(Scope::OneGateway, Scope::FailureDomain, Scope::AllButOne)] scope: Scope,
) {
    block_on(async {
        let fleet = Fleet::spawn();
        let sites = Site::spawn_all(&fleet).await;
        let addresses = client_addresses(&sites);
        let tries = Rc::new(Tries::default());
        send_for(&tries, &addresses, WARM_UP).await;
        let warm = tries.count(|_| true);
        assert_eq!(warm.served, warm.sent, "before the partition");

        let (cut, others) = sites.split_at(scope.gateways());
        let events: Vec<u64> = others.iter().map(Site::last_event).collect();
        let partitioned = Instant::now();
        cut.iter().for_each(|site| site.set_path(path));
        send_for(&tries, &addresses, CONTACT + COUNTED).await;
        cut.iter().for_each(|site| site.set_path(Link::Open));
        let counted_from = partitioned + CONTACT;
        let mut breaches = unserved(&tries, cut.len(), counted_from, counted_from + COUNTED);
        for (site, since) in others.iter().zip(events) {
            if site.has_ended_servers(since) {
                breaches.push("a gateway regards servers as ended".to_owned());
            }
        }

        monoio::time::sleep(CONTACT).await;
        let bytes = |sites: &[Site]| sites.iter().map(Site::forwarded_bytes).sum::<u64>();
        let (bytes_before, other_bytes_before) = (bytes(cut), bytes(others));
        let reopened = Instant::now();
        send_for(&tries, &addresses[..cut.len()], DIRECT).await;
        let direct = tries.count(|attempt| attempt.sent >= reopened);
        let other_bytes = bytes(others) - other_bytes_before;
        if direct.has_failures() || bytes(cut) == bytes_before || other_bytes > 0 {
            breaches.push(format!(
                "after the partition: {direct:?}, {other_bytes} B elsewhere"
            ));
        }
        breaches.extend(tries.wrong(&fleet.servers));
        assert!(breaches.is_empty(), "{breaches:#?}");
    });
}

/// Guards against breakers that open because no peer opened a tunnel, and refuse requests after a
/// failure domain has returned through which the servers are reached.
#[rstest]
#[case::hang_and_none_is_established(Link::Partitioned)]
#[case::are_reset_and_refused(Link::Reset)]
#[case::live_on_while_new_ones_are_refused(Link::Refusing)]
fn a_gateway_refuses_for_seconds_after_a_peer_has_returned_where_connections(#[case] path: Link) {
    block_on(async {
        let fleet = Fleet::spawn();
        let sites = Site::spawn_all(&fleet).await;
        let addresses = client_addresses(&sites);
        let tries = Rc::new(Tries::default());
        send_for(&tries, &addresses, WARM_UP).await;
        sites.iter().for_each(|site| site.set_path(path));
        send_for(&tries, &addresses, ALL_PARTITIONED).await;

        let (cut, returned) = sites.split_at(GATEWAYS_PER_DOMAIN);
        let returned_at = Instant::now();
        returned.iter().for_each(|site| site.set_path(Link::Open));
        send_for(&tries, &addresses, CONTACT + COUNTED_AFTER_RETURN).await;
        let from = returned_at + CONTACT;
        let mut breaches = unserved(&tries, cut.len(), from, from + COUNTED_AFTER_RETURN);
        breaches.extend(tries.wrong(&fleet.servers));
        assert!(breaches.is_empty(), "{breaches:#?}");
    });
}
