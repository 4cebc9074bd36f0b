//! Entries of other writers in the list of backend servers, while all gateway processes are killed and
//! started again.

use std::{path::Path, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use peridotrack_soak::fleet::Fleet;
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        wait,
    },
    hosted::deployment,
};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_peridotrackd");
const ROUTERS: usize = 3;
const BACKENDS: usize = 2;
const PREPAID_TOKENS: u64 = 2_000_000;
/// Time in which a fleet serves again after the loss of all processes.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests to each router after the recovery.
const REQUESTS: usize = 20;

/// Beginnings of names with characters that mean something else in a path or query.
const NAMES: [&str; 5] = [
    "batch job",
    "batch&watch=1",
    "batch+job",
    "batch#1",
    "batch%20job",
];

/// Sends a request to a router and returns whether a backend server answered it.
async fn is_served(fleet: &Fleet, router: usize) -> bool {
    let (_, key) = deployment::ACCOUNTS[0];
    let request = http::Request::post("/safe/x")
        .header("host", "a.example")
        .header("peridotrack-request-id", "9c41")
        .header("peridotrack-deadline-ms", "2000")
        .header("peridotrack-credential", key)
        .body(Bytes::new())
        .unwrap();
    let result = fetch(fleet.routers[router].client_address(), request).await;
    result.is_ok_and(|response| response.status() == StatusCode::OK)
}

/// Kills all routers, starts them again and asserts that each serves.
async fn assert_served_after_restart(fleet: &mut Fleet, name: &str) {
    for router in &mut fleet.routers {
        router.kill().unwrap();
    }
    for router in &mut fleet.routers {
        router.restart(Path::new(PROGRAM)).unwrap();
    }
    for router in 0..ROUTERS {
        let served = async || is_served(fleet, router).await.then_some(());
        let recovered = wait::poll(RECOVERY, "a response", served).await;
        recovered.unwrap_or_else(|error| panic!("{name:?}, router {router}: {error}"));
    }
    for number in 0..REQUESTS * ROUTERS {
        let router = number % ROUTERS;
        assert!(is_served(fleet, router).await, "{name:?}, router {router}");
    }
    for router in &mut fleet.routers {
        assert!(router.process.is_running(), "{name:?}");
    }
}

/// Guards against a fleet that does not serve again after a restart while an entry with an odd name
/// stands in the list of backend servers.
#[test]
fn a_fleet_that_starts_again_serves_beside_entries_with_odd_names() {
    block_on(async {
        let fleet = Fleet::spawn(Path::new(PROGRAM), ROUTERS, BACKENDS, PREPAID_TOKENS).await;
        let mut fleet = fleet.unwrap();
        for name in NAMES {
            // The stand-in returns two objects in a page, so that the first page ends with an odd name.
            let names = [0, 1, 2].map(|number| format!("{name}{number}"));
            for name in &names {
                let spec = json!({"service": "batch"});
                fleet.store.put("servers", name, spec);
            }
            assert_served_after_restart(&mut fleet, name).await;
            for name in &names {
                fleet.store.remove("servers", name);
            }
        }
    });
}
