//! Messages of other routers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use peridotrack_budget::message::{Message, Reply};
use peridotrack_edge::{gateway::Gateway, peer};
use peridotrack_kernel::{Kernel, Options, event, log};
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        relay, wait,
    },
    hosted::{backend, store},
};
use peridotrack_types::{gateway::Settings, id, name};
use serde_json::{Value, json};

use crate::{
    budget::ask,
    rig::{LIMIT, Rig, config, entry, request, settings},
};

const SENDER: id::Incarnation = id::Incarnation(77);

fn give(to: id::Incarnation, sent_tokens: u64) -> peer::Frame {
    let message = Message::Transfer {
        budget: "t-1".into(),
        sent_tokens,
        reply: Reply::Unsolicited,
        is_scarce: false,
    };
    peer::Frame::Budget { to, message }
}

#[test]
fn tokens_for_an_earlier_incarnation_at_the_address_are_not_taken() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        assert_eq!(ask(&rig).await, 200);
        let kernel = Kernel::open(Options::default()).unwrap();
        let settings = settings(&rig.store);
        let any = settings.peer_address;
        let link = peer::Link::bind(Rc::clone(&kernel), SENDER, any, &settings.peer_key).unwrap();
        let gateway = &rig.gateway;
        let earlier = id::Incarnation(gateway.incarnation().0 ^ 1);
        link.send(gateway.peer_address(), &give(earlier, 5_000));
        link.send(gateway.peer_address(), &give(gateway.incarnation(), 7));
        let received = || {
            let report = gateway.budget().report(&name::Budget::from("t-1"));
            report.is_some_and(|report| report.received_tokens > 0)
        };
        wait::until(LIMIT, "the tokens", received).await.unwrap();
        let report = gateway.budget().report(&name::Budget::from("t-1")).unwrap();
        assert_eq!(report.received_tokens, 7);
    });
}

/// A gateway whose way to the store can be held.
struct Routed {
    gateway: Gateway,
    way: relay::Relay,
}

impl Routed {
    fn spawn(store: &store::Handle, seeds: Vec<SocketAddr>) -> Self {
        let way = relay::spawn(store.address()).unwrap();
        let settings = Settings {
            store_address: way.address(),
            seed_addresses: seeds,
            vm: format!("vm-{}", way.address().port()).as_str().into(),
            ..settings(store)
        };
        let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
        Self { gateway, way }
    }

    /// Returns whether the configuration in force has a route for the path.
    async fn knows(&self, path: &str) -> bool {
        let answer = fetch(self.gateway.client_address(), request(path, &[])).await;
        answer.is_ok_and(|answer| !matches!(answer.status().as_u16(), 404 | 503))
    }

    async fn until_known(&self, path: &str, limit: Duration) {
        let known = async || self.knows(path).await.then_some(());
        wait::poll(limit, "the route", known).await.unwrap();
    }
}

/// A configuration with one more route.
fn extended(version: u64, prefix: &str) -> Value {
    let mut config = config(version, 1_000_000);
    let mut route = config["routes"][0].clone();
    route["name"] = json!(format!("added-{version}"));
    route["pathPrefix"] = json!(prefix);
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

#[test]
fn changes_come_through_a_peer_or_from_the_store() {
    block_on(async {
        let store = store::spawn().unwrap();
        let engine = backend::spawn().unwrap();
        store.put("servers", "i-0", entry(&engine));
        store.put("config", "main", config(1, 1_000_000));
        let first = Routed::spawn(&store, Vec::new());
        let second = Routed::spawn(&store, vec![first.gateway.peer_address()]);
        let (relay, follower) = match first.gateway.incarnation() < second.gateway.incarnation() {
            true => (first, second),
            false => (second, first),
        };
        relay.until_known("/safe/", LIMIT).await;
        follower.until_known("/safe/", LIMIT).await;
        let relayed = || follower.gateway.is_relayed("config");
        wait::until(LIMIT, "the relay", relayed).await.unwrap();
        let apply = Duration::from_millis(settings(&store).bounds.config_apply_ms);
        follower.way.set(relay::Link::Stalled);
        store.put("config", "main", extended(2, "/second/"));
        follower.until_known("/second/", apply).await;
        follower.way.set(relay::Link::Open);
        relay.way.set(relay::Link::Stalled);
        store.put("config", "main", extended(3, "/third/"));
        follower.until_known("/third/", apply).await;
        assert!(!relay.knows("/third/").await);
    });
}

#[test]
fn of_configurations_that_come_together_the_newest_readable_one_is_applied() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        for version in 5..=20 {
            rig.store.put("config", "main", config(version, 1_000_000));
        }
        rig.store
            .put("config", "main", json!({ "version": "none" }));
        let applied = || -> Vec<u64> {
            let events = rig.gateway.kernel().timeline().after(0);
            let applied = events
                .iter()
                .filter(|event| &*event.name == "ConfigApplied");
            applied
                .map(|event| match event.fields["version"] {
                    event::Value::Number(version) => version,
                    ref value => panic!("a version that is {value:?}"),
                })
                .collect()
        };
        let newest = || applied().contains(&20);
        wait::until(LIMIT, "the newest version", newest)
            .await
            .unwrap();
        assert_eq!(applied(), [4, 20]);
    });
}
