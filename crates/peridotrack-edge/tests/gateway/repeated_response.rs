//! A store that sends a response once more on a kept connection: it must not be taken for the response
//! to a call of another kind, and no change may be missed.

use std::time::Duration;

use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::log;
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        wait,
    },
    hosted::{
        backend,
        repeater::{self, Repeated, When},
        store,
    },
};
use peridotrack_types::gateway::{Bounds, Settings};
use rstest::rstest;
use serde_json::json;

use crate::fixture::{self, LIMIT, request, settings};

/// Changes that a test writes.
const CHANGES: u64 = 4;
/// Requests to each gateway that show which servers are used.
const REQUESTS: usize = 20;

/// Two gateways of one failure domain, of which one relays changes to the other, in front of a store
/// that repeats responses.
struct Fleet {
    store: store::Handle,
    servers: [backend::Handle; 2],
    gateways: Vec<Gateway>,
    bounds: Bounds,
}

impl Fleet {
    async fn spawn(repeated: Repeated, when: When) -> Self {
        let store = store::spawn().unwrap();
        let servers = [backend::spawn().unwrap(), backend::spawn().unwrap()];
        for (number, server) in servers.iter().enumerate() {
            store.put("servers", &format!("i-{number}"), fixture::entry(server));
        }
        store.put("config", "main", fixture::config(1, 1_000_000));
        let bounds = settings(&store).bounds;
        let mut seeds = Vec::new();
        let mut gateways = Vec::new();
        for number in 0..2 {
            let settings = Settings {
                vm: format!("vm-{number}").as_str().into(),
                seed_addresses: seeds.clone(),
                store_address: repeater::spawn(store.address(), repeated, when).unwrap(),
                ..settings(&store)
            };
            let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
            seeds.push(gateway.peer_address());
            gateways.push(gateway);
        }
        for gateway in &gateways {
            let served = async || (status(gateway, "/public/x").await == 200).then_some(());
            wait::poll(LIMIT, "served request", served).await.unwrap();
        }
        let relayed = || gateways.iter().any(|gateway| gateway.is_relayed("config"));
        wait::until(LIMIT, "relayed configuration", relayed)
            .await
            .unwrap();
        monoio::time::sleep(Duration::from_millis(bounds.contact_ms)).await;
        Self {
            store,
            servers,
            gateways,
            bounds,
        }
    }

    /// Writes a configuration with a further route and, at the same time, the entry of a server.
    fn change(&self, version: u64, state: &str) {
        let mut config = fixture::config(version, 1_000_000);
        let mut route = config["routes"][0].clone();
        route["name"] = json!(format!("added-{version}"));
        route["pathPrefix"] = json!(prefix(version));
        config["routes"].as_array_mut().unwrap().push(route);
        let mut entry = fixture::entry(&self.servers[1]);
        entry["sequence"] = json!(version);
        entry["state"] = json!(state);
        self.store.put("config", "main", config);
        self.store.put("servers", "i-1", entry);
    }
}

fn prefix(version: u64) -> String {
    format!("/added-{version}/")
}

async fn status(gateway: &Gateway, path: &str) -> u16 {
    let response = fetch(gateway.client_address(), request(path, &[])).await;
    response.map_or(0, |response| response.status().as_u16())
}

/// Guards against changes that were missed for good while the view counted as confirmed, because a
/// connection on which each response is that to the call before was used for watches of any kind.
#[rstest]
fn a_change_is_in_force_late_because_the_store_repeats_responses(
    #[values(Repeated::Watches, Repeated::Refusals(429), Repeated::Refusals(503))]
    repeated: Repeated,
    #[values(
        When::AtOnce,
        When::After(Duration::from_millis(5)),
        When::Idle(Duration::from_millis(300)),
        When::WithNext
    )]
    when: When,
) {
    block_on(async {
        let fleet = Fleet::spawn(repeated, when).await;
        for version in 2..2 + CHANGES {
            let is_last = version == 1 + CHANGES;
            fleet.change(version, if is_last { "draining" } else { "ready" });
            monoio::time::sleep(Duration::from_millis(fleet.bounds.config_apply_ms)).await;
            for gateway in &fleet.gateways {
                assert_eq!(status(gateway, &prefix(version)).await, 200, "{version}");
            }
        }
        let before = fleet.servers[1].arrivals();
        for gateway in &fleet.gateways {
            for _ in 0..REQUESTS {
                assert_eq!(status(gateway, "/public/x").await, 200);
            }
            let events = gateway.kernel().timeline().after(0);
            let mut ignored = events
                .iter()
                .filter(|event| &*event.name == "ObjectIgnored");
            assert!(
                ignored.next().is_none(),
                "an object of another kind is read"
            );
        }
        assert_eq!(fleet.servers[1].arrivals(), before, "the server drains");
    });
}
