//! Two gateways of one failure domain, of which one relays changes to the other, with two backend servers.

use std::net::SocketAddr;

use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::log;
use peridotrack_standin::{
    harness::{http::fetch, wait},
    hosted::{backend, store},
};
use peridotrack_types::gateway::{Bounds, Settings};
use serde_json::json;

use crate::fixture::{self, LIMIT, request, settings};

/// Two running gateways with the store and the servers that they use.
pub struct Pair {
    pub store: store::Handle,
    pub servers: [backend::Handle; 2],
    pub gateways: Vec<Gateway>,
    pub bounds: Bounds,
}

impl Pair {
    /// Starts the gateways and waits until both serve. `prepare` is called with the store before, and
    /// `store_address` returns the address at which each gateway finds it.
    pub async fn spawn(
        prepare: impl FnOnce(&store::Handle),
        store_address: impl Fn(&store::Handle) -> SocketAddr,
    ) -> Self {
        let store = store::spawn().unwrap();
        let servers = [backend::spawn().unwrap(), backend::spawn().unwrap()];
        for (number, server) in servers.iter().enumerate() {
            store.put("servers", &format!("i-{number}"), fixture::entry(server));
        }
        store.put("config", "main", fixture::config(1, 1_000_000));
        prepare(&store);
        let bounds = settings(&store).bounds;
        let mut seeds = Vec::new();
        let mut gateways = Vec::new();
        for number in 0..2 {
            let settings = Settings {
                vm: format!("vm-{number}").as_str().into(),
                seed_addresses: seeds.clone(),
                store_address: store_address(&store),
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
        Self {
            store,
            servers,
            gateways,
            bounds,
        }
    }

    /// Writes a configuration with a further route and, at the same time, the entry of the second server.
    pub fn change(&self, version: u64, state: &str) {
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

/// Returns the prefix of the route that a version has added.
pub fn prefix(version: u64) -> String {
    format!("/added-{version}/")
}

/// Returns the status of the response to a request, 0 if there is none.
pub async fn status(gateway: &Gateway, path: &str) -> u16 {
    let response = fetch(gateway.client_address(), request(path, &[])).await;
    response.map_or(0, |response| response.status().as_u16())
}
