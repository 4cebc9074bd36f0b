//! Changes of backend server entries and of the configuration in the store must be applied in time,
//! also around an outage of the store and next to objects that cannot be decoded.

use std::time::{Duration, Instant};

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::{backend, store},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::fixture::{Fixture, LIMIT, config, entry};

/// Time within which a change in the store must be applied.
const APPLY: Duration = Duration::from_secs(2);

/// Time after a store outage within which a gateway must be connected again.
const CONTACT: Duration = Duration::from_secs(3);

/// Waits until all requests go to the server `index` of the two, and checks that this remains so: a
/// gateway without load may send a few in a row to one of two equal servers.
async fn until_only(fixture: &Fixture, index: usize) {
    let only = async || {
        let before = fixture.backends[1 - index].arrivals();
        for _ in 0..8 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
        (fixture.backends[1 - index].arrivals() == before).then_some(())
    };
    wait::poll(APPLY, "single server for all requests", only)
        .await
        .unwrap();
    let end = Instant::now() + APPLY;
    while Instant::now() < end {
        assert_eq!(only().await, Some(()), "request to the other server");
    }
}

#[rstest]
#[case::first_server(0)]
#[case::second_server(1)]
fn a_draining_server_gets_no_new_request(#[case] index: usize) {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        let mut draining = entry(&fixture.backends[index]);
        draining["state"] = json!("draining");
        fixture
            .store
            .put("servers", &format!("i-{index}"), draining);
        until_only(&fixture, 1 - index).await;
    });
}

/// Guards against a watch that is repeated without end because its response is larger than the limit:
/// no later change was known until the store forgot those before it.
#[rstest]
#[case::first_server(0)]
#[case::second_server(1)]
fn a_draining_server_gets_no_new_request_after_changes_larger_than_a_response(
    #[case] index: usize,
) {
    const FOREIGN_ENTRIES: usize = 4;
    const FOREIGN_BYTES: usize = 900_000;
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        for number in 0..FOREIGN_ENTRIES {
            let text = json!({"comment": "x".repeat(FOREIGN_BYTES)});
            fixture.store.put("servers", &format!("z-{number}"), text);
        }
        let mut draining = entry(&fixture.backends[index]);
        draining["state"] = json!("draining");
        fixture
            .store
            .put("servers", &format!("i-{index}"), draining);
        monoio::time::sleep(APPLY).await;
        let before = fixture.backends[index].arrivals();
        for _ in 0..40 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
        assert_eq!(fixture.backends[index].arrivals(), before);
    });
}

#[test]
fn a_removed_server_gets_no_new_request() {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.store.remove("servers", "i-1");
        until_only(&fixture, 0).await;
    });
}

/// Guards against an entry that is kept because the store has closed the connection of a watch, which
/// it may do at any time: its server, which leaves, got requests until it ended.
#[rstest]
#[case::cut_once_before_the_removal(false)]
#[case::cut_again_and_again(true)]
fn a_removed_server_gets_no_new_request_although_watches_are_cut_off(#[case] is_repeated: bool) {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let limit = Some(Duration::from_millis(400));
        fixture.store.cut_watches_after(limit);
        let calls = fixture.store.counters().calls;
        let cut = || fixture.store.counters().calls > calls + 6;
        wait::until(LIMIT, "watches that were cut off", cut)
            .await
            .unwrap();
        if !is_repeated {
            fixture.store.cut_watches_after(None);
        }
        fixture.store.remove("servers", "i-0");
        fixture.until_status("/safe/x", 503, APPLY).await;
    });
}

/// Guards against a server that leaves and gets requests until it ends, because each further outage of the
/// store puts off the removal of its entry.
#[test]
fn a_removed_server_gets_no_new_request_although_the_store_fails_again_and_again() {
    const SERVES: Duration = Duration::from_millis(1_200);
    const FAILS: Duration = Duration::from_millis(500);
    /// Outages after the one in which the gateway may not have learnt of the removal.
    const OUTAGES: usize = 4;
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let fail = async || {
            fixture.store.set_mode(store::Mode::Reset);
            monoio::time::sleep(FAILS).await;
            fixture.store.set_mode(store::Mode::Serve);
        };
        fail().await;
        fixture.store.remove("servers", "i-0");
        monoio::time::sleep(SERVES).await;
        fail().await;
        monoio::time::sleep(SERVES).await;
        for outage in 0..OUTAGES {
            fail().await;
            assert_eq!(
                fixture.get("/safe/x").await.unwrap().status(),
                503,
                "{outage}"
            );
            monoio::time::sleep(SERVES).await;
        }
    });
}

/// Other writers store objects of the same kinds; the gateway must skip those that it cannot use.
#[test]
fn entries_that_cannot_be_used_do_not_affect_others() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.store.put("servers", "i-7", json!("no server"));
        fixture
            .store
            .put("servers", "i-8", json!({"service": "lm"}));
        let mut unknown = entry(&fixture.backends[0]);
        unknown["service"] = json!("a service that came later");
        fixture.store.put("servers", "i-9", unknown);
        fixture.store.put("config", "other", json!(7));
        fixture.store.put("config", "main", config(5, 1_000_000));
        for _ in 0..5 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
    });
}

/// Guards against a log line for each repeated write of an unreadable entry and each refused call.
#[test]
fn unreadable_entries_and_refused_calls_are_logged_once() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let count = |name: &str| {
            let events = fixture.gateway.kernel().timeline().after(0);
            events.iter().filter(|event| &*event.name == name).count()
        };
        fixture.store.put("servers", "i-7", json!("no server"));
        fixture.store.put("servers", "i-7", json!("no server yet"));
        fixture.store.put("servers", "i-8", json!("no server"));
        let is_logged = || count("ObjectIgnored") > 1;
        wait::until(LIMIT, "event for each entry", is_logged)
            .await
            .unwrap();
        assert_eq!(count("ObjectIgnored"), 2);
        fixture.store.set_mode(store::Mode::Busy);
        let calls = fixture.store.counters().calls;
        let refused = || fixture.store.counters().calls > calls + 8;
        wait::until(LIMIT, "refused calls", refused).await.unwrap();
        // The watch of the other kind may end in between with a response from before the mode
        // changed.
        assert!((1..=2).contains(&count("PlatformRefused")));
    });
}

/// A watch from a revision that the store no longer keeps must be followed by a new listing.
#[test]
fn a_new_server_is_found_after_the_store_lost_its_history() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.backends[0].set_mode(backend::Mode::Refuse);
        let other = backend::spawn().unwrap();
        fixture.store.put("servers", "i-1", entry(&other));
        fixture.store.clear_history();
        let served = async || {
            let response = fixture.get("/safe/x").await?;
            (response.status() == 200).then_some(())
        };
        wait::poll(LIMIT, "request served by the new server", served)
            .await
            .unwrap();
        assert!(!other.runs().is_empty());
    });
}

/// Guards against having no backend server after a store outage, in which servers could not renew
/// their entries and these expired. Entries that stay missing after it are removed.
#[test]
fn entries_that_expire_in_a_store_outage_are_kept_until_they_can_be_renewed() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.store.set_mode(store::Mode::Reset);
        fixture.store.remove("servers", "i-0");
        let lost = || {
            let events = fixture.gateway.kernel().timeline().after(0);
            events.iter().any(|event| &*event.name == "PlatformLost")
        };
        wait::until(LIMIT, "loss of the store", lost).await.unwrap();
        fixture.store.set_mode(store::Mode::Serve);
        for _ in 0..15 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        fixture.until_status("/safe/x", 503, LIMIT).await;
    });
}

/// A configuration without the route for `/safe/`.
fn without_first_route(version: u64) -> Value {
    let mut config = config(version, 1_000_000);
    config["routes"].as_array_mut().unwrap().remove(0);
    config
}

/// An outage may leave a watch that never gets a response. The gateway must detect that and watch
/// anew within the time in which it must be connected again.
#[test]
fn a_watch_silenced_by_an_outage_is_restarted_in_time() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let calls = async |count: u64| {
            let before = fixture.store.counters().calls;
            let made = || fixture.store.counters().calls >= before + count;
            wait::until(LIMIT, "calls to the store", made)
                .await
                .unwrap();
        };
        fixture.store.set_mode(store::Mode::Reset);
        calls(2).await;
        fixture.store.set_mode(store::Mode::Mute);
        calls(2).await;
        fixture.store.set_mode(store::Mode::Serve);
        fixture.store.put("config", "main", without_first_route(9));
        fixture.until_status("/safe/x", 404, CONTACT).await;
    });
}

#[test]
fn a_configuration_is_applied_and_never_replaced_by_an_older_or_unreadable_one() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.store.put("config", "main", without_first_route(9));
        fixture.until_status("/safe/x", 404, APPLY).await;
        fixture.store.put("config", "main", config(8, 1_000_000));
        fixture
            .store
            .put("config", "main", json!({"version": "ten"}));
        monoio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 404);
        assert_eq!(fixture.get("/unsafe/x").await.unwrap().status(), 200);
    });
}
