//! Backend servers that state in their responses that they leave, or for how long they want no
//! request.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::StatusCode;
use peridotrack_standin::{harness::http::block_on, hosted::backend};
use serde_json::json;

use crate::fixture::{self, Fixture, LIMIT};

/// Number of first parts, which requests are placed by.
const PARTS: usize = 31;
/// Time between two requests of a test.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time after the first statement in which a request may still arrive.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Pause that a server asks for.
const PAUSE: Duration = Duration::from_secs(2);

async fn spawn(servers: usize) -> Rc<Fixture> {
    Rc::new(Fixture::spawn(servers).await)
}

/// Sends safe requests and resumable streams, and returns the statuses of their responses. Their
/// prompts begin with different parts, so that all servers are used.
async fn send_for(fixture: &Rc<Fixture>, duration: Duration) -> Vec<StatusCode> {
    let end = Instant::now() + duration;
    let mut requests = Vec::new();
    let mut paths = ["/safe/x", "/stream/resumable/x"].into_iter().cycle();
    while Instant::now() < end {
        let (fixture, path) = (Rc::clone(fixture), paths.next().unwrap());
        let parts = format!("{:x}:10,{:x}:10", requests.len() % PARTS, requests.len());
        requests.push(monoio::spawn(async move {
            let headers = [("peridotrack-prompt-prefix", parts.as_str())];
            fixture.send(fixture::request(path, &headers)).await
        }));
        monoio::time::sleep(INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.unwrap().status());
    }
    statuses
}

/// Guards against gateways that learn only from the directory that a server leaves.
#[test]
fn a_request_reaches_a_server_that_has_said_that_it_leaves() {
    block_on(async {
        let fixture = spawn(3).await;
        send_for(&fixture, Duration::from_millis(300)).await;
        assert!(!fixture.backends[0].runs().is_empty());
        fixture.backends[0].set_leaving(true);
        send_for(&fixture, Duration::from_millis(300)).await;
        fixture.backends[0].take_runs();
        let statuses = send_for(&fixture, Duration::from_secs(2)).await;
        assert_eq!(fixture.backends[0].take_runs().len(), 0);
        assert!(statuses.iter().all(StatusCode::is_success));
    });
}

/// Guards against gateways that forget the statement when the entry of the server lapses and
/// returns, as it does while the store is away.
#[test]
fn a_server_that_leaves_receives_requests_when_its_entry_returns() {
    block_on(async {
        let fixture = spawn(3).await;
        fixture.backends[0].set_leaving(true);
        send_for(&fixture, Duration::from_millis(300)).await;
        fixture.store.remove("servers", "i-0");
        send_for(&fixture, Duration::from_millis(800)).await;
        let entry = fixture::entry(&fixture.backends[0]);
        fixture.store.put("servers", "i-0", entry);
        fixture.backends[0].take_runs();
        send_for(&fixture, Duration::from_secs(2)).await;
        assert_eq!(fixture.backends[0].take_runs().len(), 0);
    });
}

/// The statement holds for one lifetime of a server.
#[test]
fn a_server_that_started_again_receives_requests() {
    block_on(async {
        let fixture = spawn(2).await;
        let mut entry = fixture::entry(&fixture.backends[0]);
        entry["born"] = json!(1_000);
        fixture.store.put("servers", "i-0", entry.clone());
        send_for(&fixture, Duration::from_millis(600)).await;
        fixture.backends[0].set_leaving(true);
        send_for(&fixture, Duration::from_millis(300)).await;
        fixture.backends[0].set_leaving(false);
        fixture.backends[0].take_runs();
        entry["born"] = json!(2_000);
        fixture.store.put("servers", "i-0", entry);
        send_for(&fixture, Duration::from_secs(2)).await;
        assert!(!fixture.backends[0].take_runs().is_empty());
    });
}

/// Guards against gateways that send to a server in the time for which it wants no request.
#[test]
fn a_server_that_asked_for_a_pause_receives_requests_in_it() {
    block_on(async {
        let fixture = spawn(3).await;
        send_for(&fixture, Duration::from_millis(300)).await;
        fixture.backends[0].pause(PAUSE);
        let statuses = send_for(&fixture, PAUSE + Duration::from_secs(1)).await;
        let arrivals = fixture.backends[0].take_paused_arrivals();
        let first = arrivals.first().expect("a request asks for the pause").at;
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.at > first + TOLERANCE);
        assert_eq!(late.count(), 0, "{} requests in the pause", arrivals.len());
        assert!(statuses.iter().all(StatusCode::is_success));
        let after_pause = |run: &backend::Run| run.at > first + PAUSE;
        assert!(fixture.backends[0].runs().iter().any(after_pause));
    });
}

/// Guards against refusals that say nothing of the pauses that all servers asked for.
#[test]
fn callers_are_not_told_when_the_first_pause_ends() {
    block_on(async {
        let fixture = spawn(2).await;
        fixture.backends[0].pause(PAUSE);
        fixture.backends[1].pause(2 * PAUSE);
        let start = Instant::now();
        while start.elapsed() < PAUSE / 2 {
            let sent = Instant::now();
            let response = fixture.get("/safe/x").await.unwrap();
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
            let retry_after = response.headers()["retry-after"].to_str().unwrap();
            let retry_after = Duration::from_secs_f64(retry_after.parse().unwrap());
            let returns = sent + retry_after;
            assert!(returns + TOLERANCE > start + PAUSE, "{retry_after:?}");
            assert!(returns < start + 2 * PAUSE, "{retry_after:?}");
            assert!(sent.elapsed() < TOLERANCE, "{:?}", sent.elapsed());
            monoio::time::sleep(INTERVAL).await;
        }
        for backend in &fixture.backends {
            assert!(backend.take_paused_arrivals().len() <= 2);
            assert!(backend.runs().is_empty());
        }
        fixture.until_status("/safe/x", 200, LIMIT).await;
    });
}
