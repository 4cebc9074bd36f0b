//! Whole requests: what is passed on, what is repeated, what is said of failures.

use std::time::{Duration, Instant};

use bytes::Bytes;
use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::backend::Mode,
};
use rstest::rstest;

use crate::rig::{self, LIMIT, Rig, config, entry, request};

#[test]
fn a_request_reaches_a_server_unchanged_and_without_its_key() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        let sent = request(
            "/safe/x?y=1",
            &[
                ("peridotrack-tenant-id", "somebody-else"),
                ("peridotrack-hold", "h-1"),
                ("x-own", "1"),
            ],
        );
        let answer = rig.send(sent).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(&answer.body()[..], b"the answer");
        assert_eq!(answer.headers()["peridotrack-response-seal"], "3e1b");
        let runs = rig.engines[0].runs();
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
#[case("/nowhere/x", rig::KEY, 404)]
#[case("/safe", rig::KEY, 404)]
fn keys_and_routes_are_checked(#[case] path: &str, #[case] key: &str, #[case] status: u16) {
    block_on(async {
        let rig = Rig::spawn(1).await;
        let mut request = request(path, &[]);
        let key = key.parse().unwrap();
        request.headers_mut().insert("peridotrack-credential", key);
        assert_eq!(rig.send(request).await.unwrap().status(), status);
        assert_eq!(rig.runs(), usize::from(status == 200));
    });
}

#[rstest]
fn a_request_that_surely_did_not_run_is_tried_elsewhere(
    #[values(Mode::Refuse, Mode::Misdirect)] mode: Mode,
    #[values("/safe/x", "/unsafe/x", "/stream/x")] path: &str,
) {
    block_on(async {
        let rig = Rig::spawn(2).await;
        rig.set_modes(mode);
        assert!(rig.get(path).await.unwrap().status().as_u16() >= 429);
        let arrivals: Vec<u64> = rig.engines.iter().map(|engine| engine.arrivals()).collect();
        assert_eq!(arrivals, [1, 1], "both were tried, each once");
        assert_eq!(rig.runs(), 0);
    });
}

#[rstest]
#[case("/once/x")]
#[case("/unsafe/x")]
fn an_address_that_nobody_listens_on_costs_no_attempt(#[case] path: &str) {
    block_on(async {
        let rig = Rig::spawn_before_config(2);
        let mut nowhere = entry(&rig.engines[1]);
        nowhere["address"] = "127.0.0.1:1".into();
        rig.store.put("servers", "i-1", nowhere);
        rig.store.put("config", "main", config(4, 1_000_000));
        rig.ready().await;
        for _ in 0..4 {
            assert_eq!(rig.get(path).await.unwrap().status(), 200);
        }
    });
}

#[rstest]
#[case::refused(Mode::Refuse, "/unsafe/x", 429..=503, 0)]
#[case::misdirected(Mode::Misdirect, "/unsafe/x", 429..=503, 0)]
#[case::reset(Mode::Reset, "/unsafe/x", 502..=502, 1)]
#[case::crossed(Mode::Cross, "/unsafe/x", 502..=502, 1)]
#[case::unsigned(Mode::Unsigned, "/unsafe/x", 502..=502, 1)]
#[case::ran_and_said_503(Mode::RefuseAfterRun, "/unsafe/x", 502..=502, 1)]
#[case::mute(Mode::Mute, "/unsafe/x", 504..=504, 1)]
#[case::stream_reset(Mode::Reset, "/stream/x", 502..=502, 1)]
fn what_may_have_run_is_not_sent_again_nor_called_not_run(
    #[case] mode: Mode,
    #[case] path: &str,
    #[case] statuses: std::ops::RangeInclusive<u16>,
    #[case] runs: usize,
) {
    block_on(async {
        let rig = Rig::spawn(2).await;
        rig.set_modes(mode);
        let answer = rig.get(path).await.unwrap();
        assert!(statuses.contains(&answer.status().as_u16()), "{answer:?}");
        assert!(!answer.headers().contains_key("peridotrack-response-seal"));
        assert_eq!(rig.runs(), runs);
        let may_come_back = answer.headers().contains_key("retry-after");
        assert_eq!(may_come_back, runs == 0, "{answer:?}");
    });
}

#[rstest]
#[case::reset(Mode::Reset)]
#[case::crossed(Mode::Cross)]
#[case::unsigned(Mode::Unsigned)]
#[case::failed(Mode::Fail)]
fn an_idempotent_request_is_tried_elsewhere_after_a_failure(#[case] mode: Mode) {
    block_on(async {
        let rig = Rig::spawn(2).await;
        rig.engines[0].set_mode(mode);
        for _ in 0..4 {
            assert_eq!(rig.get("/safe/x").await.unwrap().status(), 200);
        }
    });
}

#[test]
fn a_servers_own_failure_goes_to_the_client_with_its_signature() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.set_modes(Mode::Fail);
        let answer = rig.get("/unsafe/x").await.unwrap();
        assert_eq!(answer.status(), 500);
        assert_eq!(answer.headers()["peridotrack-response-seal"], "3e1b");
        assert_eq!(&answer.body()[..], b"the answer");
        assert_eq!(rig.runs(), 1);
    });
}

#[test]
fn the_final_answer_comes_when_the_time_is_up_and_the_server_is_left() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.set_modes(Mode::Mute);
        let begin = Instant::now();
        let mut request = request("/unsafe/x", &[]);
        let patience = "300".parse().unwrap();
        request
            .headers_mut()
            .insert("peridotrack-deadline-ms", patience);
        assert_eq!(rig.send(request).await.unwrap().status(), 504);
        assert!(begin.elapsed() < Duration::from_millis(800));
        let left = || rig.engines[0].cancelled() == 1;
        wait::until(LIMIT, "the cancelled request", left)
            .await
            .unwrap();
    });
}

#[test]
fn a_client_that_leaves_cancels_its_request() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.set_modes(Mode::Mute);
        let sending = monoio::time::timeout(Duration::from_millis(200), rig.get("/safe/x"));
        assert!(sending.await.is_err(), "the request is still open");
        let left = || rig.engines[0].cancelled() == 1;
        wait::until(LIMIT, "the cancelled request", left)
            .await
            .unwrap();
        assert_eq!(rig.runs(), 1);
    });
}

#[test]
fn without_a_configuration_nothing_is_denied() {
    block_on(async {
        let rig = Rig::spawn_before_config(1);
        let answer = rig.get("/nowhere/x").await.unwrap();
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
        assert!(!rig.is_ready().await);
    });
}

#[test]
fn a_stopping_gateway_serves_and_says_that_it_closes() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        rig.gateway.begin_stop();
        assert!(!rig.is_ready().await);
        let answer = rig.get("/safe/x").await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["connection"], "close");
        let outcome = rig.gateway.stop().await;
        assert_eq!(outcome.cut_requests, 0);
        assert!(outcome.is_budget_closed);
        assert!(rig.get("/safe/x").await.is_none());
    });
}

#[test]
fn a_head_beyond_the_limit_is_refused() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        let long = "x".repeat(20 * 1024);
        let mut large = request("/safe/x", &[("x-long", &long)]);
        assert_eq!(rig.send(large).await.unwrap().status(), 431);
        large = request("/safe/x", &[]);
        *large.body_mut() = Bytes::from(vec![0; 5 * 1024 * 1024]);
        let answer = rig.send(large).await;
        assert!(answer.is_none_or(|answer| answer.status() == 413));
        assert_eq!(rig.runs(), 0);
    });
}
