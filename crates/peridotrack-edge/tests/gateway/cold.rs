//! Cold servers of a service that states how many requests a second such a server takes.

use std::time::{Duration, Instant};

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::backend,
};
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, config, entry};

/// Requests per second that a cold server takes from all gateways.
const COLD_PER_S: f64 = 8.0;
/// Part of it that gateways use.
const RATE_PART: f64 = 0.7;
/// Time for which a server is cold after its start. A gateway sends nothing to cold servers in its first 3 s,
/// so that a new server is still cold then.
const COLD_START: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(1);
/// Time in which requests are counted: a gateway sends nothing to a cold server in the first 3 s.
const COUNTED: Duration = Duration::from_secs(6);

/// Starts a gateway with two servers, of which the first states that it is cold.
async fn spawn(cold_remaining_ms: f64, cold_per_s: f64) -> Fixture {
    let fixture = Fixture::spawn_before_config(2);
    let mut cold = entry(&fixture.backends[0]);
    cold["coldRemainingMs"] = json!(cold_remaining_ms);
    fixture.store.put("servers", "i-0", cold);
    let mut config = config(4, 1_000_000);
    config["services"][0]["coldStartS"] = json!(COLD_START.as_secs_f64());
    config["services"][0]["coldPerS"] = json!(cold_per_s);
    fixture.store.put("config", "main", config);
    fixture.ready().await;
    fixture
}

/// Sends requests one after the other for [`COUNTED`] and returns the most that the first server
/// received in one second.
async fn most_in_a_second(fixture: &Fixture) -> usize {
    let end = Instant::now() + COUNTED;
    while Instant::now() < end {
        assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    let runs = fixture.backends[0].take_runs();
    let is_within = |from, at| (from..from + WINDOW).contains(&at);
    let counts = runs.iter().map(|first| {
        let within = runs.iter().filter(|run| is_within(first.at, run.at));
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against a gateway that sends a cold server its usual requests, and against one that does not
/// use the server any more.
#[test]
fn a_cold_server_receives_few_requests_until_it_is_warm() {
    block_on(async {
        let fixture = spawn(60_000.0, COLD_PER_S).await;
        let most = most_in_a_second(&fixture).await;
        // Requests are spaced, so that a window holds one more than the rate, rounded up.
        let allowed = (COLD_PER_S * RATE_PART).ceil() as usize + 1;
        assert!((1..=allowed).contains(&most), "{most} of {allowed}");
        fixture
            .store
            .put("servers", "i-0", entry(&fixture.backends[0]));
        let is_used = async || {
            let before = fixture.backends[0].arrivals();
            for _ in 0..64 {
                assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
            }
            (fixture.backends[0].arrivals() > before + 16).then_some(())
        };
        wait::poll(LIMIT, "usual requests", is_used).await.unwrap();
    });
}

/// Guards against a burst at a server that is new in the directory, whose entry states too late that it is
/// cold.
#[test]
fn a_new_server_receives_few_requests_whatever_it_states() {
    block_on(async {
        let mut fixture = spawn(0.0, COLD_PER_S).await;
        let backend = backend::spawn().unwrap();
        fixture.store.put("servers", "i-new", entry(&backend));
        fixture.backends.insert(0, backend);
        let used = async || {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
            (fixture.backends[0].arrivals() > 0).then_some(())
        };
        wait::poll(LIMIT, "requests to the new server", used)
            .await
            .unwrap();
        let first = fixture.backends[0].arrivals();
        let end = Instant::now() + COLD_START / 3;
        while Instant::now() < end {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
        let most = COLD_PER_S * RATE_PART * (COLD_START / 3).as_secs_f64() + 1.0;
        let received = fixture.backends[0].arrivals() - first;
        assert!(received as f64 <= most, "{received} of {most}");
    });
}

/// Guards against a gateway that ends because an entry states a time beyond its clock.
#[test]
fn a_server_may_state_any_time_for_which_it_stays_cold() {
    block_on(async {
        for cold_per_s in [0.0, COLD_PER_S] {
            let fixture = spawn(1e300, cold_per_s).await;
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
    });
}
