//! Requests whose response is not streamed: what is forwarded, when another backend server is
//! tried, and how failures are reported.

use std::time::{Duration, Instant};

use bytes::Bytes;
use peridotrack_kernel::event;
use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::backend::{self, Mode},
};
use rstest::rstest;
use serde_json::json;

use crate::fixture::{self, Fixture, LIMIT, config, entry, request};

#[test]
fn a_request_reaches_a_server_unchanged_and_without_its_key() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let sent = request(
            "/safe/x?y=1",
            &[
                ("peridotrack-tenant-id", "somebody-else"),
                ("peridotrack-hold", "h-1"),
                ("x-own", "1"),
            ],
        );
        let response = fixture.send(sent).await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(&response.body()[..], b"the answer");
        assert_eq!(response.headers()["peridotrack-response-seal"], "3e1b");
        let runs = fixture.backends[0].runs();
        let [run] = &runs[..] else {
            panic!("one run: {runs:?}")
        };
        assert_eq!(run.target, "/safe/x?y=1");
        assert_eq!(&run.body[..], b"body");
        assert_eq!(run.headers["peridotrack-request-id"], "9c41");
        assert_eq!(run.headers["peridotrack-tenant-id"], "t-1");
        assert_eq!(run.headers["peridotrack-expect-instance"], "i-0");
        assert_eq!(run.headers["x-own"], "1");
        assert!(!run.headers.contains_key("peridotrack-credential"));
        assert!(!run.headers.contains_key("peridotrack-hold"));
        let left_ms: u64 = run.headers["peridotrack-deadline-ms"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=1_500).contains(&left_ms), "{left_ms}");
    });
}

#[rstest]
#[case("/safe/x", "nobody", 401)]
#[case("/safe/x", "", 401)]
#[case("/public/x", "nobody", 200)]
#[case("/nowhere/x", fixture::KEY, 404)]
#[case("/safe", fixture::KEY, 404)]
fn keys_and_routes_are_checked(#[case] path: &str, #[case] key: &str, #[case] status: u16) {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let mut request = request(path, &[]);
        let key = key.parse().unwrap();
        request.headers_mut().insert("peridotrack-credential", key);
        assert_eq!(fixture.send(request).await.unwrap().status(), status);
        assert_eq!(fixture.runs(), usize::from(status == 200));
    });
}

/// Guards against refusals that cannot be found by the client's identifier, and of which nothing says on
/// which configuration they were decided.
#[rstest]
#[case::unknown_route("/nowhere/x", fixture::KEY)]
#[case::unknown_key("/safe/x", "nobody")]
fn a_rejected_request_is_logged_with_the_configuration_that_decided(
    #[case] path: &str,
    #[case] key: &str,
) {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let mut request = request(path, &[]);
        let key = key.parse().unwrap();
        request.headers_mut().insert("peridotrack-credential", key);
        fixture.send(request).await.unwrap();
        let events = fixture.gateway.kernel().timeline().after(0);
        let refusal = events.iter().find(|event| &*event.name == "RequestRefused");
        let fields = &refusal.unwrap().fields;
        let number = |name: &str| match fields[name] {
            event::Value::Number(number) => number,
            ref other => panic!("{name} is not a number: {other:?}"),
        };
        assert_eq!(fields["client_request"], event::Value::Text("9c41".into()));
        assert_eq!(number("config_version"), 4);
        assert!(number("config_age_us") < LIMIT.as_micros() as u64);
        assert_eq!(fields["is_config_relayed"], event::Value::Flag(false));
    });
}

/// The proof header and status 421 allow a retry even for requests that may run only once.
#[rstest]
fn a_request_proven_not_run_is_retried_on_the_other_server(
    #[values(Mode::Refuse, Mode::Misdirect)] mode: Mode,
    #[values("/safe/x", "/unsafe/x", "/stream/x")] path: &str,
) {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.set_modes(mode);
        assert!(fixture.get(path).await.unwrap().status().as_u16() >= 429);
        let arrivals: Vec<u64> = fixture
            .backends
            .iter()
            .map(|backend| backend.arrivals())
            .collect();
        assert_eq!(arrivals, [1, 1], "each server got one attempt");
        assert_eq!(fixture.runs(), 0);
    });
}

/// Guards against failing a request, or using up its only attempt, because of a server that never
/// received it: nothing listens on its address.
#[rstest]
#[case("/once/x")]
#[case("/unsafe/x")]
fn a_refused_connection_is_retried_on_the_other_server(#[case] path: &str) {
    block_on(async {
        let fixture = Fixture::spawn_before_config(2);
        let mut refusing = entry(&fixture.backends[1]);
        refusing["address"] = "127.0.0.1:1".into();
        fixture.store.put("servers", "i-1", refusing);
        fixture.store.put("config", "main", config(4, 1_000_000));
        fixture.ready().await;
        for _ in 0..4 {
            assert_eq!(fixture.get(path).await.unwrap().status(), 200);
        }
    });
}

/// Guards against running a request twice. Clients read 429, 503 and `Retry-After` as a statement
/// that it did not run, so these must not follow an attempt that may have run, not even if the
/// server itself sent 503.
#[rstest]
#[case::refused(Mode::Refuse, "/unsafe/x", 429..=503, 0)]
#[case::misdirected(Mode::Misdirect, "/unsafe/x", 429..=503, 0)]
#[case::reset(Mode::Reset, "/unsafe/x", 502..=502, 1)]
#[case::crossed(Mode::Cross, "/unsafe/x", 502..=502, 1)]
#[case::unsigned(Mode::Unsigned, "/unsafe/x", 502..=502, 1)]
#[case::ran_and_responded_503(Mode::RefuseAfterRun, "/unsafe/x", 502..=502, 1)]
#[case::mute(Mode::Mute, "/unsafe/x", 504..=504, 1)]
#[case::stream_reset(Mode::Reset, "/stream/x", 502..=502, 1)]
fn a_request_that_may_have_run_is_neither_retried_nor_reported_as_not_run(
    #[case] mode: Mode,
    #[case] path: &str,
    #[case] statuses: std::ops::RangeInclusive<u16>,
    #[case] runs: usize,
) {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.set_modes(mode);
        let response = fixture.get(path).await.unwrap();
        assert!(
            statuses.contains(&response.status().as_u16()),
            "{response:?}"
        );
        assert!(!response.headers().contains_key("peridotrack-response-seal"));
        assert_eq!(fixture.runs(), runs);
        let has_retry_after = response.headers().contains_key("retry-after");
        assert_eq!(has_retry_after, runs == 0, "{response:?}");
    });
}

#[rstest]
#[case::reset(Mode::Reset)]
#[case::crossed(Mode::Cross)]
#[case::unsigned(Mode::Unsigned)]
#[case::failed(Mode::Fail)]
fn an_idempotent_request_is_retried_after_a_failure(#[case] mode: Mode) {
    block_on(async {
        let fixture = Fixture::spawn(2).await;
        fixture.backends[0].set_mode(mode);
        for _ in 0..4 {
            assert_eq!(fixture.get("/safe/x").await.unwrap().status(), 200);
        }
    });
}

/// A signed error response with no retry left reaches the client in place of a problem of the
/// gateway.
#[test]
fn an_error_response_of_a_server_is_forwarded_with_its_signature() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.set_modes(Mode::Fail);
        let response = fixture.get("/unsafe/x").await.unwrap();
        assert_eq!(response.status(), 500);
        assert_eq!(response.headers()["peridotrack-response-seal"], "3e1b");
        assert_eq!(&response.body()[..], b"the answer");
        assert_eq!(fixture.runs(), 1);
    });
}

#[test]
fn a_request_past_its_deadline_gets_504_and_is_cancelled_at_the_server() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.set_modes(Mode::Mute);
        let begin = Instant::now();
        let mut request = request("/unsafe/x", &[]);
        let deadline_ms = "300".parse().unwrap();
        request
            .headers_mut()
            .insert("peridotrack-deadline-ms", deadline_ms);
        assert_eq!(fixture.send(request).await.unwrap().status(), 504);
        assert!(begin.elapsed() < Duration::from_millis(800));
        let is_cancelled = || fixture.backends[0].cancelled() == 1;
        wait::until(LIMIT, "cancelled request", is_cancelled)
            .await
            .unwrap();
    });
}

#[test]
fn a_request_is_cancelled_when_its_client_disconnects() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.set_modes(Mode::Mute);
        let sending = monoio::time::timeout(Duration::from_millis(200), fixture.get("/safe/x"));
        assert!(sending.await.is_err(), "the request is still open");
        let is_cancelled = || fixture.backends[0].cancelled() == 1;
        wait::until(LIMIT, "cancelled request", is_cancelled)
            .await
            .unwrap();
        assert_eq!(fixture.runs(), 1);
    });
}

/// Guards against weights below 1 that count as 0, so that the first service gets all requests.
#[test]
fn a_route_is_split_by_weights_that_are_fractions() {
    block_on(async {
        let fixture = Fixture::spawn_before_config(2);
        let mut entry = entry(&fixture.backends[1]);
        entry["service"] = json!("lm-2");
        fixture.store.put("servers", "i-1", entry);
        let mut config = config(4, 1_000_000);
        config["services"]
            .as_array_mut()
            .unwrap()
            .push(json!({"name": "lm-2"}));
        config["routes"][0]["trafficSplit"] = json!([
            {"service": "lm", "weight": 0.5}, {"service": "lm-2", "weight": 0.5},
        ]);
        fixture.store.put("config", "main", config);
        fixture.ready().await;
        let both_ran = async || {
            fixture.get("/safe/x").await;
            let is_idle = |backend: &backend::Handle| backend.runs().is_empty();
            (!fixture.backends.iter().any(is_idle)).then_some(())
        };
        wait::poll(LIMIT, "runs of both services", both_ran)
            .await
            .unwrap();
    });
}

/// A gateway without a configuration does not know which paths exist, so it must not send 404.
#[test]
fn without_a_configuration_requests_get_503_with_a_retry_delay() {
    block_on(async {
        let fixture = Fixture::spawn_before_config(1);
        let response = fixture.get("/nowhere/x").await.unwrap();
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        assert!(!fixture.is_ready().await);
    });
}

#[test]
fn a_stopping_gateway_serves_requests_with_connection_close() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        fixture.gateway.begin_stop();
        assert!(!fixture.is_ready().await);
        let response = fixture.get("/safe/x").await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["connection"], "close");
        let outcome = fixture.gateway.stop().await;
        assert_eq!(outcome.cut_requests, 0);
        assert!(outcome.is_budget_closed);
        assert!(fixture.get("/safe/x").await.is_none());
    });
}

#[test]
fn a_head_or_body_beyond_the_limit_is_refused() {
    block_on(async {
        let fixture = Fixture::spawn(1).await;
        let long = "x".repeat(20 * 1024);
        let mut large = request("/safe/x", &[("x-long", &long)]);
        assert_eq!(fixture.send(large).await.unwrap().status(), 431);
        large = request("/safe/x", &[]);
        *large.body_mut() = Bytes::from(vec![0; 5 * 1024 * 1024]);
        let response = fixture.send(large).await;
        assert!(response.is_none_or(|response| response.status() == 413));
        assert_eq!(fixture.runs(), 0);
    });
}
