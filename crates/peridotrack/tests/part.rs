//! `part show` and `part lift` against a stand-in of the store of the users' platform.

use peridotrack::{part, report::Exit};
use peridotrack_quarantine::statement::Part;
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
        let report = part::show(store.address()).await.unwrap();
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
        let report = part::lift(store.address(), Part(0x1f)).await.unwrap();
        assert_eq!(report.json["withdrawn_crashes"], 3);
        let report = part::show(store.address()).await.unwrap();
        assert_eq!(report.text, "no prompt part is blocked\n");
    });
}

#[test]
fn a_part_without_crashes_cannot_be_lifted() {
    block_on(async {
        let store = blocked_store();
        let failure = part::lift(store.address(), Part(0x20)).await.unwrap_err();
        assert_eq!(failure.exit, Exit::Refused);
    });
}
