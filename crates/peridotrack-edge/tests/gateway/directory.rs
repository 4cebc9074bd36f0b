//! Backend servers and configurations that come and go in the store.

use std::time::Duration;

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{backend, store},
};
use serde_json::{Value, json};

use crate::rig::{LIMIT, Rig, config, entry};

/// Time after which a change in the store is in force.
const APPLY: Duration = Duration::from_secs(2);

/// Time after an outage of the store after which a gateway counts as connected.
const CONTACT: Duration = Duration::from_secs(3);

async fn until_only(rig: &Rig, index: usize) {
    let only = async || {
        let before = rig.engines[1 - index].arrivals();
        for _ in 0..8 {
            assert_eq!(rig.get("/safe/x").await.unwrap().status(), 200);
        }
        (rig.engines[1 - index].arrivals() == before).then_some(())
    };
    wait::poll(APPLY, "one server alone", only).await.unwrap();
}

#[test]
fn a_draining_server_gets_no_new_request() {
    block_on(async {
        let rig = Rig::spawn(2).await;
        let mut draining = entry(&rig.engines[0]);
        draining["state"] = json!("draining");
        rig.store.put("servers", "i-0", draining);
        until_only(&rig, 1).await;
    });
}

#[test]
fn a_removed_server_gets_no_new_request() {
    block_on(async {
        let rig = Rig::spawn(2).await;
        rig.store.remove("servers", "i-1");
        until_only(&rig, 0).await;
    });
}

#[test]
fn an_entry_of_another_writer_harms_no_other() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.store.put("servers", "i-7", json!("no server"));
        rig.store.put("servers", "i-8", json!({"service": "lm"}));
        let mut unknown = entry(&rig.engines[0]);
        unknown["service"] = json!("a service that came later");
        rig.store.put("servers", "i-9", unknown);
        rig.store.put("config", "other", json!(7));
        rig.store.put("config", "main", config(5, 1_000_000));
        for _ in 0..5 {
            assert_eq!(rig.get("/safe/x").await.unwrap().status(), 200);
        }
    });
}

#[test]
fn what_cannot_be_read_and_what_is_refused_is_logged_once() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        let count = |name: &str| {
            let events = rig.gateway.kernel().timeline().after(0);
            events.iter().filter(|event| &*event.name == name).count()
        };
        rig.store.put("servers", "i-7", json!("no server"));
        rig.store.put("servers", "i-7", json!("no server yet"));
        rig.store.put("servers", "i-8", json!("no server"));
        let named = || count("ObjectIgnored") > 1;
        wait::until(LIMIT, "an event for each entry", named)
            .await
            .unwrap();
        assert_eq!(count("ObjectIgnored"), 2);
        rig.store.set_mode(store::Mode::Busy);
        let calls = rig.store.counters().calls;
        let refused = || rig.store.counters().calls > calls + 8;
        wait::until(LIMIT, "refused calls", refused).await.unwrap();
        // The other watch may have ended in between with an answer from before.
        assert!((1..=2).contains(&count("PlatformRefused")));
    });
}

#[test]
fn a_new_server_is_found_after_the_history_is_gone() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.engines[0].set_mode(backend::Mode::Refuse);
        let other = backend::spawn().unwrap();
        rig.store.put("servers", "i-1", entry(&other));
        rig.store.clear_history();
        let served = async || {
            let answer = rig.get("/safe/x").await?;
            (answer.status() == 200).then_some(())
        };
        wait::poll(LIMIT, "the new server", served).await.unwrap();
        assert!(!other.runs().is_empty());
    });
}

#[test]
fn entries_that_lapse_with_the_store_are_kept_until_they_are_back() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.store.set_mode(store::Mode::Reset);
        rig.store.remove("servers", "i-0");
        let lost = || {
            let events = rig.gateway.kernel().timeline().after(0);
            events.iter().any(|event| &*event.name == "PlatformLost")
        };
        wait::until(LIMIT, "the loss of the store", lost)
            .await
            .unwrap();
        rig.store.set_mode(store::Mode::Serve);
        for _ in 0..15 {
            assert_eq!(rig.get("/safe/x").await.unwrap().status(), 200);
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        rig.until_status("/safe/x", 503, LIMIT).await;
    });
}

fn without_first_route(version: u64) -> Value {
    let mut config = config(version, 1_000_000);
    config["routes"].as_array_mut().unwrap().remove(0);
    config
}

#[test]
fn a_watch_that_an_outage_silenced_is_begun_again_in_time() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        let calls = async |count: u64| {
            let before = rig.store.counters().calls;
            let made = || rig.store.counters().calls >= before + count;
            wait::until(LIMIT, "calls", made).await.unwrap();
        };
        rig.store.set_mode(store::Mode::Reset);
        calls(2).await;
        rig.store.set_mode(store::Mode::Mute);
        calls(2).await;
        rig.store.set_mode(store::Mode::Serve);
        rig.store.put("config", "main", without_first_route(9));
        rig.until_status("/safe/x", 404, CONTACT).await;
    });
}

#[test]
fn a_configuration_is_applied_and_never_goes_back() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.store.put("config", "main", without_first_route(9));
        rig.until_status("/safe/x", 404, APPLY).await;
        rig.store.put("config", "main", config(8, 1_000_000));
        rig.store.put("config", "main", json!({"version": "ten"}));
        monoio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(rig.get("/safe/x").await.unwrap().status(), 404);
        assert_eq!(rig.get("/unsafe/x").await.unwrap().status(), 200);
    });
}
