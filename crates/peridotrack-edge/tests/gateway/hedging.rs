//! Slow requests that may be repeated are sent to a second server; the other attempt is cancelled.

use std::time::{Duration, Instant};

use bytes::Bytes;
use peridotrack_standin::harness::{
    http::{block_on, fetch},
    wait,
};
use rstest::rstest;

use crate::fixture::{Fixture, LIMIT, config, request};

/// Requests after which the time to the answer is known, with a margin.
const KNOWN: usize = 60;
/// Time to the answer from which the delay of a hedge follows, long against the noise of a machine.
const USUAL: Duration = Duration::from_millis(40);
/// Time to the answer of the slow server.
const SLOW: Duration = Duration::from_millis(1_200);
/// Time within which a hedged request is answered.
const HEDGED: Duration = Duration::from_millis(700);
/// Requests of one round.
const ROUND: usize = 12;
/// Rounds in which the slow server must get a request; placement chooses it at random.
const MAX_ROUNDS: usize = 20;
/// First requests of a round: enough others follow that show that not all servers are slow.
const FOLLOWED: usize = 3;

/// Starts a gateway with two servers and this ratio, which knows the times of `path`; then one server
/// becomes slow.
async fn with_a_slow_server(ratio: f64, path: &str) -> Fixture {
    let fixture = Fixture::spawn_with(2, |settings| {
        settings.hedge_ratio = ratio;
        settings.bounds.retry_ratio = 1.0;
    });
    fixture.store.put("config", "main", config(4, 1_000_000));
    fixture.ready().await;
    for backend in &fixture.backends {
        backend.set_response_delay(USUAL);
        backend.set_event_interval(Duration::from_millis(1));
    }
    for _ in 0..KNOWN {
        let response = fixture.send(sized(path)).await;
        assert_eq!(response.unwrap().status(), 200);
    }
    fixture.backends[0].set_response_delay(SLOW);
    fixture.backends[1].set_response_delay(Duration::from_millis(1));
    fixture
}

/// Returns a request of the size that all tests here use.
fn sized(path: &str) -> http::Request<Bytes> {
    request(path, &[("peridotrack-token-usage", "90,10")])
}

/// Sends the requests of a round, 10 ms apart, and returns how long each took.
async fn round(fixture: &Fixture, path: &'static str) -> Vec<Duration> {
    let address = fixture.gateway.client_address();
    let mut tasks = Vec::new();
    for _ in 0..ROUND {
        tasks.push(monoio::spawn(async move {
            let begin = Instant::now();
            let response = fetch(address, sized(path)).await;
            assert_eq!(response.unwrap().status(), 200);
            begin.elapsed()
        }));
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut elapsed = Vec::new();
    for task in tasks {
        elapsed.push(task.await);
    }
    elapsed
}

/// Guards against a hedge that is not sent, and against one whose loser goes on at its server: no
/// client disconnects here, so only the gateway can have cancelled a request.
#[rstest]
#[case("/safe/x")]
#[case("/stream/resumable/x")]
fn a_request_at_a_slow_server_is_answered_by_the_other(#[case] path: &'static str) {
    block_on(async {
        let fixture = with_a_slow_server(0.5, path).await;
        for _ in 0..MAX_ROUNDS {
            let elapsed = round(&fixture, path).await;
            for time in &elapsed[..FOLLOWED] {
                assert!(*time < HEDGED, "{elapsed:?}");
            }
            if fixture.backends[0].cancelled() > 0 {
                break;
            }
        }
        let is_cancelled = || fixture.backends[0].cancelled() > 0;
        wait::until(LIMIT, "cancelled first attempt", is_cancelled)
            .await
            .unwrap();
    });
}

/// Guards against a second run of a request that may run only once, and against hedges that the
/// operators did not ask for.
#[rstest]
#[case::may_run_only_once(0.5, "/unsafe/x")]
#[case::not_resumable(0.5, "/stream/x")]
#[case::off(0.0, "/safe/x")]
fn nothing_is_sent_twice(#[case] ratio: f64, #[case] path: &'static str) {
    block_on(async {
        let fixture = with_a_slow_server(ratio, path).await;
        let (mut rounds, mut is_slow) = (0, false);
        while !is_slow && rounds < MAX_ROUNDS {
            rounds += 1;
            let elapsed = round(&fixture, path).await;
            is_slow = elapsed.iter().any(|time| *time >= SLOW);
        }
        assert!(is_slow, "the slow server had a request");
        assert_eq!(fixture.runs(), KNOWN + rounds * ROUND);
        let cancelled: u64 = fixture.backends.iter().map(|it| it.cancelled()).sum();
        assert_eq!(cancelled, 0);
    });
}
