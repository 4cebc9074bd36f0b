//! Evacuations in the store are followed if the settings state a bound, and only then.

use std::time::Duration;

use peridotrack_edge::gateway::Gateway;
use peridotrack_kernel::log;
use peridotrack_standin::harness::{http::block_on, wait};
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, config, entry, settings};

/// Bound on the time until an evacuation is known, in milliseconds.
const EVACUATION_MS: u64 = 3_000;
const WITHIN: Duration = Duration::from_millis(EVACUATION_MS);

/// Starts a gateway that follows evacuations, with a server in each of the domains `a` and `b`.
async fn spawn() -> Fixture {
    let mut fixture = Fixture::spawn_before_config(2);
    let mut other = entry(&fixture.backends[1]);
    other["zone"] = json!("b");
    fixture.store.put("servers", "i-1", other);
    fixture.store.put("config", "main", config(4, 1_000_000));
    let mut settings = settings(&fixture.store);
    settings.bounds.evacuation_ms = Some(EVACUATION_MS);
    settings.regions.insert("b".into(), "r".to_owned());
    fixture.gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
    fixture.ready().await;
    fixture
}

/// Waits until requests go to the server `index` alone.
async fn until_only(fixture: &Fixture, index: usize) {
    let only = async || {
        let before = fixture.backends[1 - index].arrivals();
        for _ in 0..16 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
        (fixture.backends[1 - index].arrivals() == before).then_some(())
    };
    wait::poll(WITHIN, "a single server", only).await.unwrap();
}

async fn until_used(fixture: &Fixture, index: usize) {
    let before = fixture.backends[index].arrivals();
    let used = async || {
        assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        (fixture.backends[index].arrivals() > before).then_some(())
    };
    wait::poll(LIMIT, "requests to the server", used)
        .await
        .unwrap();
}

#[test]
fn an_evacuated_domain_receives_nothing_until_it_is_taken_back() {
    block_on(async {
        let fixture = spawn().await;
        fixture.store.put("evacuations", "a", json!({}));
        until_only(&fixture, 1).await;
        fixture.store.remove("evacuations", "a");
        until_used(&fixture, 0).await;
    });
}

#[test]
fn requests_are_refused_at_once_while_all_domains_are_evacuated() {
    block_on(async {
        let fixture = spawn().await;
        fixture.store.put("evacuations", "a", json!({}));
        fixture.store.put("evacuations", "b", json!({}));
        fixture.until_status("/safe/x", 503, WITHIN).await;
        let response = fixture.get("/safe/x").await.unwrap();
        assert!(response.headers().contains_key("retry-after"));
        fixture.store.remove("evacuations", "b");
        fixture.until_status("/safe/x", 200, LIMIT).await;
        until_only(&fixture, 1).await;
    });
}

/// Guards against a gateway that starts during an evacuation and serves before it knows of it.
#[test]
fn a_gateway_that_starts_during_an_evacuation_keeps_to_it() {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        fixture.store.put("evacuations", "a", json!({}));
        fixture.store.put("config", "main", config(4, 1_000_000));
        let mut settings = settings(&fixture.store);
        settings.bounds.evacuation_ms = Some(EVACUATION_MS);
        let gateway = Gateway::spawn(settings, log::Output::Off).unwrap();
        let fixture = Fixture { gateway, ..fixture };
        fixture.ready().await;
        assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 503);
        assert_eq!(fixture.backends[0].arrivals(), 0);
    });
}

/// Guards against deployments that pay for calls which they did not ask for.
#[test]
fn without_a_bound_evacuations_are_not_followed() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.store.put("evacuations", "a", json!({}));
        monoio::time::sleep(WITHIN).await;
        assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
    });
}
