//! Messages from other routers: a transfer to an earlier incarnation must not be received, and
//! changes must arrive through a relay as well as from the store.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use peridotrack_budget::message::{Message, Reply};
use peridotrack_edge::{gateway::Gateway, peer};
use peridotrack_follow::message as follow_message;
use peridotrack_kernel::{Kernel, Options, event, log};
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        relay, wait,
    },
    hosted::{backend, store},
};
use peridotrack_types::{gateway::Settings, id, name};
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    budget::send_prepaid,
    fixture::{Fixture, KEY, LIMIT, config, entry, request, settings},
};

/// Incarnation of the peer that the test acts as.
const SENDER: id::Incarnation = id::Incarnation(77);

/// A transfer of tokens to the gateway of incarnation `to`.
fn transfer(to: id::Incarnation, sent_tokens: u64) -> peer::Frame {
    let message = Message::Transfer {
        budget: "t-1".into(),
        sent_tokens,
        reply: Reply::Unsolicited,
        is_scarce: false,
    };
    peer::Frame::Budget { to, message }
}

/// A transfer names the incarnation that it is sent to. If that one has ended, its successor at the
/// same address must not receive the tokens.
#[test]
fn tokens_for_an_earlier_incarnation_at_the_address_are_not_received() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        assert_eq!(send_prepaid(&fixture).await, 200);
        let kernel = Kernel::open(Options::default()).unwrap();
        let settings = settings(&fixture.store);
        let any = settings.peer_address;
        let link = peer::Link::bind(Rc::clone(&kernel), SENDER, any, &settings.peer_key).unwrap();
        let gateway = &fixture.gateway;
        let earlier = id::Incarnation(gateway.incarnation().0 ^ 1);
        link.send(gateway.peer_address(), &transfer(earlier, 5_000));
        link.send(gateway.peer_address(), &transfer(gateway.incarnation(), 7));
        let received = || {
            let report = gateway.budget().report(&name::Budget::from("t-1"));
            report.is_some_and(|report| report.received_tokens > 0)
        };
        wait::until(LIMIT, "received tokens", received)
            .await
            .unwrap();
        let report = gateway.budget().report(&name::Budget::from("t-1")).unwrap();
        assert_eq!(report.received_tokens, 7);
    });
}

/// Starts a store with a configuration and the entry of a backend server.
pub fn spawn_store() -> (store::Handle, backend::Handle) {
    let store = store::spawn().unwrap();
    let backend = backend::spawn().unwrap();
    store.put("servers", "i-0", entry(&backend));
    store.put("config", "main", config(1, 1_000_000));
    (store, backend)
}

/// A gateway that reaches the store through a TCP relay, which can be blocked.
pub struct ProxiedGateway {
    pub gateway: Gateway,
    store_link: relay::Relay,
}

impl ProxiedGateway {
    pub fn spawn(store: &store::Handle, seeds: Vec<SocketAddr>) -> Self {
        Self::spawn_in(store, "a", seeds)
    }

    fn spawn_in(store: &store::Handle, failure_domain: &str, seeds: Vec<SocketAddr>) -> Self {
        Self::spawn_with(store, failure_domain, seeds, relay::Link::Open)
    }

    /// Starts a gateway whose link to the store is in a given state.
    fn spawn_with(
        store: &store::Handle,
        failure_domain: &str,
        seeds: Vec<SocketAddr>,
        link: relay::Link,
    ) -> Self {
        let store_link = relay::spawn(store.address()).unwrap();
        store_link.set(link);
        let settings = Settings {
            store_address: store_link.address(),
            seed_addresses: seeds,
            failure_domain: failure_domain.into(),
            vm: format!("vm-{}", store_link.address().port())
                .as_str()
                .into(),
            ..settings(store)
        };
        let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
        Self {
            gateway,
            store_link,
        }
    }

    /// Waits until a request that needs no tokens is served.
    async fn until_served(&self, limit: Duration) {
        let address = self.gateway.client_address();
        let served = async || {
            let response = fetch(address, request("/public/x", &[])).await.ok()?;
            (response.status() == 200).then_some(())
        };
        wait::poll(limit, "served request", served).await.unwrap();
    }

    /// Returns whether the active configuration has a route for the path.
    async fn has_route(&self, path: &str) -> bool {
        let response = fetch(self.gateway.client_address(), request(path, &[])).await;
        response.is_ok_and(|response| !matches!(response.status().as_u16(), 404 | 503))
    }

    /// Waits until the active configuration has a route for the path.
    pub async fn until_route(&self, path: &str, limit: Duration) {
        let known = async || self.has_route(path).await.then_some(());
        wait::poll(limit, "route for the path", known)
            .await
            .unwrap();
    }
}

/// A configuration with a further route for the path prefix.
pub fn extended(version: u64, prefix: &str) -> Value {
    let mut config = config(version, 1_000_000);
    let mut route = config["routes"][0].clone();
    route["name"] = json!(format!("added-{version}"));
    route["pathPrefix"] = json!(prefix);
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

/// Starts two gateways, of which the first relays changes to the second.
async fn relay_and_follower(store: &store::Handle) -> (ProxiedGateway, ProxiedGateway) {
    let first = ProxiedGateway::spawn(store, Vec::new());
    let second = ProxiedGateway::spawn(store, vec![first.gateway.peer_address()]);
    let (relay, follower) = match first.gateway.incarnation() < second.gateway.incarnation() {
        true => (first, second),
        false => (second, first),
    };
    relay.until_route("/safe/", LIMIT).await;
    follower.until_route("/safe/", LIMIT).await;
    let relayed = || follower.gateway.is_relayed("config");
    wait::until(LIMIT, "relayed configuration", relayed)
        .await
        .unwrap();
    (relay, follower)
}

/// One of two gateways relays changes to the other, the follower. The follower must apply a relayed
/// change while its connection to the store is blocked, and a change from the store while the
/// connection of its relay is blocked.
#[test]
fn changes_arrive_through_a_relay_or_from_the_store() {
    block_on(async {
        let (store, _backend) = spawn_store();
        let (relay, follower) = relay_and_follower(&store).await;
        let apply = Duration::from_millis(settings(&store).bounds.config_apply_ms);
        follower.store_link.set(relay::Link::Stalled);
        store.put("config", "main", extended(2, "/second/"));
        follower.until_route("/second/", apply).await;
        follower.store_link.set(relay::Link::Open);
        relay.store_link.set(relay::Link::Stalled);
        store.put("config", "main", extended(3, "/third/"));
        follower.until_route("/third/", apply).await;
        assert!(!relay.has_route("/third/").await);
    });
}

/// Time for which watches report no changes while the store compacts its history.
const SILENCE: Duration = Duration::from_secs(1);

/// Guards against routers that missed a change for good: a store that compacts its history reports no
/// changes for a while, and a watch that ended in that time stated a revision beyond the change.
#[test]
fn a_configuration_written_while_the_store_compacts_is_in_force_in_time() {
    block_on(async {
        let (store, _backend) = spawn_store();
        let (relay, follower) = relay_and_follower(&store).await;
        let seeds = vec![relay.gateway.peer_address()];
        let single = ProxiedGateway::spawn_in(&store, "b", seeds);
        single.until_route("/safe/", LIMIT).await;
        // The first watch of the relay, which began before it had a subscriber, ends in the meantime.
        let bounds = settings(&store).bounds;
        monoio::time::sleep(Duration::from_millis(bounds.contact_ms)).await;
        store.compact(SILENCE);
        store.put("config", "main", extended(2, "/second/"));
        monoio::time::sleep(Duration::from_millis(bounds.config_apply_ms)).await;
        for gateway in [&relay, &follower, &single] {
            assert!(gateway.has_route("/second/").await);
        }
    });
}

/// Guards against routers that ignore the newer version of a peer, because the store keeps confirming a
/// view that lacks a change.
#[test]
fn a_configuration_that_a_peer_advertises_is_applied_although_the_view_is_confirmed() {
    const LONG_SILENCE: Duration = Duration::from_secs(8);
    block_on(async {
        let (store, _backend) = spawn_store();
        let (relay, follower) = relay_and_follower(&store).await;
        let bounds = settings(&store).bounds;
        monoio::time::sleep(Duration::from_millis(bounds.contact_ms)).await;
        store.compact(LONG_SILENCE);
        store.put("config", "main", extended(2, "/second/"));
        // A gateway that starts lists the objects, which shows the change.
        let seeds = vec![relay.gateway.peer_address()];
        let started = ProxiedGateway::spawn_in(&store, "b", seeds);
        started.until_route("/second/", LIMIT).await;
        monoio::time::sleep(Duration::from_millis(bounds.config_apply_ms)).await;
        for gateway in [&relay, &follower] {
            assert!(gateway.has_route("/second/").await);
        }
    });
}

/// Guards against proper requests that are turned away for good by a gateway that does not know the
/// newest configuration, and knows that it may not.
#[rstest]
#[case::unknown_route("/second/", KEY, 404)]
#[case::unknown_key("/safe/x", "key-2", 401)]
fn unknown_routes_and_keys_are_refused_for_the_moment_while_the_configuration_may_be_out_of_date(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
) {
    block_on(async {
        let (store, _backend) = spawn_store();
        let gateway = ProxiedGateway::spawn(&store, Vec::new());
        gateway.until_served(LIMIT).await;
        let send = async || {
            let mut request = request(path, &[]);
            let key = key.parse().unwrap();
            request.headers_mut().insert("peridotrack-credential", key);
            let address = gateway.gateway.client_address();
            fetch(address, request).await.unwrap()
        };
        assert_eq!(send().await.status(), status);
        gateway.store_link.set(relay::Link::Stalled);
        let refused = async || {
            let response = send().await;
            let is_retried = response.headers().contains_key("retry-after");
            (response.status() == 503 && is_retried).then_some(())
        };
        wait::poll(LIMIT, "refusal for the moment", refused)
            .await
            .unwrap();
        gateway.until_served(LIMIT).await;
        gateway.store_link.set(relay::Link::Open);
        let rejected = async || (send().await.status() == status).then_some(());
        wait::poll(LIMIT, "refusal for good", rejected)
            .await
            .unwrap();
    });
}

/// Guards against servers that are used although a relay missed their draining.
#[rstest]
#[case::first_server(0)]
#[case::second_server(1)]
fn a_server_that_drains_while_the_store_compacts_gets_no_new_request(#[case] index: usize) {
    block_on(async {
        let (store, first) = spawn_store();
        let servers = [first, backend::spawn().unwrap()];
        store.put("servers", "i-1", entry(&servers[1]));
        let (relay, follower) = relay_and_follower(&store).await;
        let bounds = settings(&store).bounds;
        monoio::time::sleep(Duration::from_millis(bounds.contact_ms)).await;
        store.compact(SILENCE);
        let mut draining = entry(&servers[index]);
        draining["state"] = json!("draining");
        store.put("servers", &format!("i-{index}"), draining);
        monoio::time::sleep(Duration::from_millis(bounds.drain_ms)).await;
        let before = servers[index].arrivals();
        for gateway in [&relay, &follower] {
            let address = gateway.gateway.client_address();
            for _ in 0..20 {
                let response = fetch(address, request("/public/x", &[])).await.unwrap();
                assert_eq!(response.status(), 200);
            }
        }
        assert_eq!(servers[index].arrivals(), before);
    });
}

/// A relay announces a large configuration without its content, and the follower reads it from the store.
/// Connections of earlier watches that fell silent in the meantime must not delay that.
#[test]
fn a_large_configuration_is_applied_in_time_after_idle_connections_fell_silent() {
    const ADDED_BYTES: usize = 40_000;
    const SILENCE: Duration = Duration::from_secs(1);
    block_on(async {
        let (store, _backend) = spawn_store();
        let (_relay, follower) = relay_and_follower(&store).await;
        // The watches that the follower began before it had a relay end in the meantime.
        let bounds = settings(&store).bounds;
        monoio::time::sleep(Duration::from_millis(bounds.contact_ms)).await;
        follower.store_link.silence_connections();
        monoio::time::sleep(SILENCE).await;
        let mut large = extended(2, "/second/");
        large["comment"] = json!("x".repeat(ADDED_BYTES));
        store.put("config", "main", large);
        let apply = Duration::from_millis(bounds.config_apply_ms);
        follower.until_route("/second/", apply).await;
    });
}

#[test]
fn the_newest_readable_of_several_configurations_is_applied() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        for version in 5..=20 {
            fixture
                .store
                .put("config", "main", config(version, 1_000_000));
        }
        fixture
            .store
            .put("config", "main", json!({ "version": "none" }));
        let applied = || -> Vec<u64> {
            let events = fixture.gateway.kernel().timeline().after(0);
            let applied = events
                .iter()
                .filter(|event| &*event.name == "ConfigApplied");
            applied
                .map(|event| match event.fields["version"] {
                    event::Value::Number(version) => version,
                    ref value => panic!("version is not a number: {value:?}"),
                })
                .collect()
        };
        let newest = || applied().contains(&20);
        wait::until(LIMIT, "newest version", newest).await.unwrap();
        assert_eq!(applied(), [4, 20]);
    });
}

/// Time by which a store that turns a gateway away may delay a configuration further.
const STORE_DELAY: Duration = Duration::from_secs(5);

/// Which of three gateways the store turns away; the first two are in one failure domain.
#[derive(Clone, Copy)]
enum TurnedAway {
    /// Of the first two, the one that relays changes to the other.
    Relay,
    /// Both of the first failure domain.
    Domain,
    /// The only one of the second failure domain.
    Single,
}

/// Guards against gateways that went on by an older configuration for as long as the store turned them
/// away, although it served others, which they reach.
#[rstest]
#[case::relay_closed(TurnedAway::Relay, relay::Link::Cut)]
#[case::domain_closed(TurnedAway::Domain, relay::Link::Cut)]
#[case::domain_silent(TurnedAway::Domain, relay::Link::Stalled)]
#[case::single_closed(TurnedAway::Single, relay::Link::Cut)]
#[case::single_one_way(TurnedAway::Single, relay::Link::ResponsesStalled)]
fn a_configuration_reaches_gateways_that_the_store_turns_away(
    #[case] turned_away: TurnedAway,
    #[case] link: relay::Link,
) {
    block_on(async {
        let (store, _backend) = spawn_store();
        let first = ProxiedGateway::spawn(&store, Vec::new());
        let seeds = vec![first.gateway.peer_address()];
        let second = ProxiedGateway::spawn(&store, seeds.clone());
        let third = ProxiedGateway::spawn_in(&store, "b", seeds);
        let (lower, higher) = match first.gateway.incarnation() < second.gateway.incarnation() {
            true => (first, second),
            false => (second, first),
        };
        for gateway in [&lower, &higher, &third] {
            gateway.until_route("/safe/", LIMIT).await;
        }
        let relayed = || higher.gateway.is_relayed("config");
        wait::until(LIMIT, "relayed configuration", relayed)
            .await
            .unwrap();
        let affected = match turned_away {
            TurnedAway::Relay => vec![&lower],
            TurnedAway::Domain => vec![&lower, &higher],
            TurnedAway::Single => vec![&third],
        };
        for gateway in affected {
            gateway.store_link.set(link);
        }
        let apply = Duration::from_millis(settings(&store).bounds.config_apply_ms);
        for version in 2..4 {
            let path = format!("/added-{version}/");
            store.put("config", "main", extended(version, &path));
            for gateway in [&lower, &higher, &third] {
                gateway.until_route(&path, apply + STORE_DELAY).await;
            }
        }
    });
}

/// Guards against gateways that did not serve, or did not know new servers, for as long as the store
/// turned them away.
#[rstest]
#[case::closed(relay::Link::Cut)]
#[case::silent(relay::Link::Stalled)]
fn servers_are_known_to_gateways_that_the_store_turns_away(#[case] link: relay::Link) {
    block_on(async {
        let store = store::spawn().unwrap();
        let former = backend::spawn().unwrap();
        store.put("servers", "i-0", entry(&former));
        store.put("config", "main", config(1, 1_000_000));
        let first = ProxiedGateway::spawn(&store, Vec::new());
        let seeds = vec![first.gateway.peer_address()];
        let second = ProxiedGateway::spawn_in(&store, "b", seeds.clone());
        for gateway in [&first, &second] {
            gateway.until_served(LIMIT).await;
        }
        second.store_link.set(link);
        let started = ProxiedGateway::spawn_with(&store, "b", seeds, link);
        started.until_served(Duration::from_secs(7)).await;
        let server = backend::spawn().unwrap();
        store.put("servers", "i-1", entry(&server));
        former.set_mode(backend::Mode::Refuse);
        for gateway in [&first, &second, &started] {
            gateway.until_served(Duration::from_secs(7)).await;
        }
        assert!(server.arrivals() >= 3);
    });
}

/// Guards against entries of other writers that a peer passes on with those of the servers: together they
/// may exceed what a frame holds, and a gateway that the store turns away would never know the servers.
#[rstest]
#[case::one(1, 1_048_400)]
#[case::many(12, 100_000)]
fn servers_are_known_from_peers_beside_large_entries_of_other_writers(
    #[case] entries: usize,
    #[case] bytes: usize,
) {
    block_on(async {
        let (store, _backend) = spawn_store();
        for kind in ["servers", "config", "quarantine"] {
            for number in 0..entries {
                let spec = json!({"service": "batch", "text": "x".repeat(bytes)});
                store.put(kind, &format!("batch-{number}"), spec);
            }
        }
        let first = ProxiedGateway::spawn(&store, Vec::new());
        first.until_served(LIMIT).await;
        let seeds = vec![first.gateway.peer_address()];
        let started = ProxiedGateway::spawn_with(&store, "b", seeds, relay::Link::Cut);
        started.until_served(Duration::from_secs(7)).await;
    });
}

/// Guards against a gateway that the store turns away and that goes on with the former entry of a server,
/// because its peer sends no contents of other writers.
#[test]
fn an_entry_that_another_writer_replaced_is_known_from_a_peer() {
    block_on(async {
        let (store, _backend) = spawn_store();
        let first = ProxiedGateway::spawn(&store, Vec::new());
        let seeds = vec![first.gateway.peer_address()];
        let turned_away = ProxiedGateway::spawn_in(&store, "b", seeds);
        for gateway in [&first, &turned_away] {
            gateway.until_served(LIMIT).await;
        }
        turned_away.store_link.set(relay::Link::Cut);
        let spec = json!({"service": "batch", "text": "x".repeat(1_000_000)});
        store.put("servers", "i-0", spec);
        let address = turned_away.gateway.client_address();
        let refused = async || {
            let response = fetch(address, request("/public/x", &[])).await.ok()?;
            (response.status() == 503).then_some(())
        };
        wait::poll(Duration::from_secs(7), "refused request", refused)
            .await
            .unwrap();
    });
}

/// Guards against the removal of servers that a peer does not know, because it cannot read the list to
/// its end.
#[test]
fn a_known_server_is_kept_if_a_peer_does_not_know_all() {
    block_on(async {
        let (store, _backend) = spawn_store();
        let turned_away = ProxiedGateway::spawn(&store, Vec::new());
        turned_away.until_served(LIMIT).await;
        turned_away.store_link.set(relay::Link::Cut);
        for name in ["batch-0", "batch-1"] {
            store.put("servers", name, json!({"service": "batch"}));
            store.make_malformed("servers", name, store::Flaw::Name);
        }
        let seeds = vec![turned_away.gateway.peer_address()];
        let _partial = ProxiedGateway::spawn_in(&store, "b", seeds);
        let is_fetched = || {
            let events = turned_away.gateway.kernel().timeline().after(0);
            let servers = event::Value::from("servers");
            let mut fetched = events
                .iter()
                .filter(|event| &*event.name == "ObjectsFetched");
            fetched.any(|event| event.fields["kind"] == servers)
        };
        wait::until(LIMIT, "fetched objects", is_fetched)
            .await
            .unwrap();
        turned_away.store_link.set(relay::Link::Open);
        // Time in which missing entries are kept after an outage.
        monoio::time::sleep(Duration::from_secs(4)).await;
        turned_away.until_served(Duration::from_secs(1)).await;
    });
}

/// Guards against a router of a large failure domain that gets no objects: a peer of another domain knows
/// only few of its routers.
#[test]
fn a_peer_that_is_not_known_gets_the_objects_that_it_asks_for() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let kernel = Kernel::open(Options::default()).unwrap();
        let settings = settings(&fixture.store);
        let any = settings.peer_address;
        let link = peer::Link::bind(kernel, SENDER, any, &settings.peer_key).unwrap();
        let names = Rc::new(RefCell::new(Vec::new()));
        let received = Rc::clone(&names);
        let on_frame = move |_, frame| {
            if let peer::Frame::Follow {
                message: follow_message::Message::Snapshot(snapshot),
                ..
            } = frame
            {
                let objects = snapshot.objects.into_iter();
                received.borrow_mut().extend(objects.map(|(name, _)| name));
            }
        };
        link.subscribe(on_frame, |_| {});
        let frame = peer::Frame::Follow {
            to: fixture.gateway.incarnation(),
            kind: "servers".into(),
            message: follow_message::Message::Fetch { after: None },
        };
        link.send(fixture.gateway.peer_address(), &frame);
        let is_received = || *names.borrow() == ["i-0"];
        wait::until(LIMIT, "objects", is_received).await.unwrap();
    });
}
