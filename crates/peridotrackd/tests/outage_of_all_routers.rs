//! An outage of the store for all routers at once, longer than the time in which a change must be applied:
//! the routers list the configuration afterwards instead of watching it on.

use std::{path::Path, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use peridotrack_soak::fleet::Fleet;
use peridotrack_standin::{
    harness::{
        http::{block_on, fetch},
        relay::Link,
    },
    hosted::{
        deployment::{self, bounds},
        store::Quirk,
    },
};
use serde_json::json;

const ROUTERS: usize = 6;
const BACKENDS: usize = 2;
const PREPAID_TOKENS: u64 = 2_000_000;
/// Time before the outage, in which the views move on by watches.
const BEFORE: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_millis(bounds::CONTACT_MS);
const APPLY: Duration = Duration::from_millis(bounds::CONFIG_APPLY_MS);
/// Changes after the outage.
const CHANGES: u64 = 2;

/// What is odd about the store after the outage.
#[derive(Debug, Clone, Copy)]
enum Oddity {
    RevisionsRestart,
    Quirk(Quirk),
}

fn write_version(fleet: &Fleet, version: u64) {
    let config = deployment::config(version, PREPAID_TOKENS);
    fleet.store.put("config", "main", config);
}

async fn probe(fleet: &Fleet, router: usize, version: u64) -> Option<StatusCode> {
    let (_, key) = deployment::ACCOUNTS[0];
    let request = http::Request::post(deployment::probe_path(version))
        .header("host", "a.example")
        .header(
            "peridotrack-request-id",
            format!("{router:04x}{version:012x}"),
        )
        .header("peridotrack-deadline-ms", "2000")
        .header("peridotrack-credential", key)
        .body(Bytes::new())
        .unwrap();
    let address = fleet.routers[router].client_address();
    Some(fetch(address, request).await.ok()?.status())
}

async fn play(oddity: Oddity) {
    let program = Path::new(env!("CARGO_BIN_EXE_peridotrackd"));
    let fleet = Fleet::spawn(program, ROUTERS, BACKENDS, PREPAID_TOKENS).await;
    let fleet = fleet.unwrap();
    for sequence in 0..100 {
        let foreign = json!({ "sequence": sequence });
        fleet.store.put("foreign", "a", foreign);
    }
    write_version(&fleet, 2);
    monoio::time::sleep(BEFORE).await;
    for router in &fleet.routers {
        router.link.set(Link::Cut);
    }
    match oddity {
        Oddity::RevisionsRestart => fleet.store.restart_revisions(),
        Oddity::Quirk(quirk) => fleet.store.set_quirk(Some(quirk)),
    }
    monoio::time::sleep(OUTAGE).await;
    for router in &fleet.routers {
        router.link.set(Link::Open);
    }
    monoio::time::sleep(CONTACT).await;
    for version in 3..3 + CHANGES {
        write_version(&fleet, version);
        monoio::time::sleep(APPLY).await;
        for router in 0..ROUTERS {
            let status = probe(&fleet, router, version).await;
            let context = format!("{oddity:?}, front-{router}, version {version}");
            assert_eq!(status, Some(StatusCode::OK), "{context}");
        }
    }
}

/// Guards against configurations that no router applies any more after an outage of the store, while it
/// answers all calls and nothing is logged. The runs follow one another, because their routers use the
/// same settings files.
#[test]
fn no_configuration_is_in_force_any_more_after_an_outage_of_the_store() {
    for oddity in [
        Oddity::RevisionsRestart,
        Oddity::Quirk(Quirk::RejectedLists),
    ] {
        block_on(play(oddity));
    }
}
