//! `quarantine show` and `quarantine lift` against a stand-in of the store of the users' platform.

use peridotrack::{quarantine, report::Exit};
use peridotrack_quarantine::signature::Signature;
use peridotrack_standin::{harness::http::block_on, hosted::store};
use serde_json::json;

/// Three servers ended under part 1f; two gateways reported them.
fn blocked_store() -> store::Handle {
    let store = store::spawn().unwrap();
    let crash = |server: &str, depth: u32| {
        json!({"part": "1f", "backend_server": server, "depth": depth,
            "at_wall_ms": chrono::Utc::now().timestamp_millis()})
    };
    let first = json!({"sequence": 5, "crashes": [crash("s-1", 1), crash("s-3", 3)],
        "clearances": []});
    let second = json!({"sequence": 9, "crashes": [crash("s-2", 2)], "clearances": []});
    store.put("quarantine", "front-a-1", first);
    store.put("quarantine", "front-b-1", second);
    store
}

#[test]
fn a_blocked_part_is_shown_with_its_crashes() {
    block_on(async {
        let store = blocked_store();
        let report = quarantine::show(store.address()).await.unwrap();
        assert!(
            report.text.contains("prompt part 1f is blocked"),
            "{}",
            report.text
        );
        let crashes = &report.json["blocks"][0]["crashes"];
        assert_eq!(crashes[1]["backend_server"], "s-2");
        assert_eq!(crashes[1]["reported_by"], json!(["front-b-1"]));
    });
}

#[test]
fn a_lifted_part_is_no_longer_blocked() {
    block_on(async {
        let store = blocked_store();
        let report = quarantine::lift(store.address(), Signature::Part(0x1f))
            .await
            .unwrap();
        assert_eq!(report.json["withdrawn_crashes"], 3);
        let report = quarantine::show(store.address()).await.unwrap();
        assert_eq!(report.text, "no request is blocked\n");
    });
}

#[test]
fn a_part_without_crashes_cannot_be_lifted() {
    block_on(async {
        let store = blocked_store();
        let failure = quarantine::lift(store.address(), Signature::Part(0x20))
            .await
            .unwrap_err();
        assert_eq!(failure.exit, Exit::Refused);
    });
}

/// A statement of an earlier version calls the signature `part`; one of this version names a run of
/// a server.
#[test]
fn a_blocked_request_is_shown_and_lifted() {
    block_on(async {
        let store = blocked_store();
        let signature = "request:000102030405060708090a0b0c0d0e0f";
        let crash = |server: &str, depth: u32| {
            json!({"signature": signature, "backend_server": server, "depth": depth,
                "at_wall_ms": chrono::Utc::now().timestamp_millis()})
        };
        let crashes = [
            crash("s-7@100", 1),
            crash("s-7@200", 2),
            crash("s-8@100", 2),
        ];
        let statement = json!({"sequence": 5, "crashes": crashes, "clearances": []});
        store.put("quarantine", "front-c-1", statement);
        let report = quarantine::show(store.address()).await.unwrap();
        let shown = format!("{signature} is blocked");
        assert!(report.text.contains(&shown), "{}", report.text);
        assert!(report.text.contains("s-7@200 ended"), "{}", report.text);
        let signature = signature.parse().unwrap();
        let report = quarantine::lift(store.address(), signature).await.unwrap();
        assert_eq!(report.json["withdrawn_crashes"], 3);
        let report = quarantine::show(store.address()).await.unwrap();
        assert!(!report.text.contains(&shown), "{}", report.text);
    });
}
