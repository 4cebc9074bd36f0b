//! Contract tests of the platform stand-in: its object API and its injected faults.

mod common;

use common::{call, header, run};
use peridotrack_standin::platform::{self, Control, Options, Vm, VmState, rate, store};
use rstest::rstest;

fn spawn(control: Control) -> platform::Handle {
    let options = Options {
        control,
        ..Options::default()
    };
    platform::spawn(&options).unwrap()
}

/// Executes calls in order on one store and checks the status and the ETag of each response.
#[test]
fn writes_take_effect_only_if_their_precondition_holds() {
    let steps = [
        ("GET /v1/objects/a/b", 404, ""),
        ("PUT /v1/objects/a/b | if-match: \"1\"", 412, ""),
        ("PUT /v1/objects/a/b | if-none-match: *", 200, "\"1\""),
        ("PUT /v1/objects/a/b | if-none-match: *", 412, "\"1\""),
        ("PUT /v1/objects/c | if-none-match: *", 200, "\"2\""),
        ("PUT /v1/objects/a/b | if-match: \"2\"", 412, "\"1\""),
        ("PUT /v1/objects/a/b | if-match: \"1\"", 200, "\"3\""),
        ("GET /v1/objects/a/b", 200, "\"3\""),
        ("DELETE /v1/objects/a/b | if-match: \"1\"", 412, "\"3\""),
        ("DELETE /v1/objects/a/b | if-match: \"3\"", 200, ""),
        ("GET /v1/objects/a/b", 404, ""),
        ("PUT /v1/objects/a/b | if-none-match: *", 200, "\"5\""),
    ];
    run(async {
        let platform = spawn(Control::default());
        for (head, status, etag) in steps {
            let response = call(platform.address(), head, "x").await.unwrap();
            assert_eq!(
                (response.status().as_u16(), header(&response, "etag")),
                (status, etag),
                "{head}"
            );
        }
        let counters = platform.counters();
        assert_eq!(
            (
                counters.reads,
                counters.writes,
                counters.refused.precondition
            ),
            (3, 9, 4)
        );
        assert_eq!(counters.writes_by_prefix["a"], 8);
    });
}

#[rstest]
#[case::no_precondition("PUT /v1/objects/a", 428)]
#[case::two_preconditions("PUT /v1/objects/a | if-match: \"1\" | if-none-match: *", 400)]
#[case::version_unquoted("PUT /v1/objects/a | if-match: 1", 400)]
#[case::none_match_version("PUT /v1/objects/a | if-none-match: \"1\"", 400)]
#[case::delete_absent("DELETE /v1/objects/a | if-none-match: *", 400)]
#[case::escaped_key("GET /v1/objects/a%20b", 400)]
#[case::empty_key("GET /v1/objects/", 400)]
#[case::method("POST /v1/objects/a", 405)]
#[case::path("GET /v2/objects", 404)]
#[case::limit("GET /v1/objects?limit=x", 400)]
fn malformed_call_has_no_effect(#[case] head: &str, #[case] status: u16) {
    run(async {
        let platform = spawn(Control::default());
        let response = call(platform.address(), head, "x").await.unwrap();
        assert_eq!(response.status(), status);
        assert_eq!(
            (
                platform.counters().version,
                platform.counters().refused.malformed
            ),
            (0, 1)
        );
    });
}

#[rstest]
#[case::at_limit(1024 * 1024, 200)]
#[case::over_limit(1024 * 1024 + 1, 413)]
fn values_above_1_mib_are_refused(#[case] bytes: usize, #[case] status: u16) {
    run(async {
        let platform = spawn(Control::default());
        let head = "PUT /v1/objects/a | if-none-match: *";
        let response = call(platform.address(), head, vec![b'x'; bytes])
            .await
            .unwrap();
        assert_eq!(response.status(), status);
    });
}

#[rstest]
#[case::all("", r#"{"items":[{"key":"a","version":1},{"key":"b/1","version":2},{"key":"b/2","version":3},{"key":"c","version":4}]}"#)]
#[case::prefix(
    "?prefix=b/",
    r#"{"items":[{"key":"b/1","version":2},{"key":"b/2","version":3}]}"#
)]
#[case::after("?prefix=b/&after=b/1", r#"{"items":[{"key":"b/2","version":3}]}"#)]
#[case::limit("?limit=1", r#"{"items":[{"key":"a","version":1}]}"#)]
#[case::none("?prefix=d", r#"{"items":[]}"#)]
fn list_filters_by_prefix_position_and_limit(#[case] query: &str, #[case] expected: &str) {
    run(async {
        let platform = spawn(Control::default());
        for key in ["a", "b/1", "b/2", "c"] {
            let head = format!("PUT /v1/objects/{key} | if-none-match: *");
            call(platform.address(), &head, "x").await.unwrap();
        }
        let response = call(platform.address(), &format!("GET /v1/objects{query}"), "").await;
        assert_eq!(response.unwrap().body(), expected);
    });
}

#[test]
fn write_takes_effect_although_its_response_is_lost() {
    run(async {
        let platform = spawn(Control {
            lose_replies: Some(1),
            ..Control::default()
        });
        let head = "PUT /v1/objects/a | if-none-match: *";
        let error = call(platform.address(), head, "x").await.unwrap_err();
        assert!(error.bytes_written);
        let response = call(platform.address(), "GET /v1/objects/a", "")
            .await
            .unwrap();
        assert_eq!(
            (header(&response, "etag"), &response.body()[..]),
            ("\"1\"", &b"x"[..])
        );
        assert_eq!(platform.counters().lost_replies, 1);
    });
}

#[test]
fn stale_read_returns_the_previous_version() {
    run(async {
        let platform = spawn(Control::default());
        let put = |precondition, value| {
            let head = format!("PUT /v1/objects/a | {precondition}");
            let address = platform.address();
            async move { call(address, &head, value).await.unwrap() }
        };
        put("if-none-match: *", "old").await;
        put("if-match: \"1\"", "new").await;
        platform.control(Control {
            stale_reads: Some(1),
            ..Control::default()
        });
        for (etag, value) in [("\"1\"", "old"), ("\"2\"", "new")] {
            let response = call(platform.address(), "GET /v1/objects/a", "")
                .await
                .unwrap();
            assert_eq!(
                (header(&response, "etag"), &response.body()[..]),
                (etag, value.as_bytes())
            );
        }
    });
}

#[rstest]
#[case::write(Control { write_rate_per_s: Some(0), ..Control::default() }, "PUT /v1/objects/a | if-none-match: *", 429)]
#[case::write_limit_excludes_reads(Control { write_rate_per_s: Some(0), ..Control::default() }, "GET /v1/objects/a", 404)]
#[case::read(Control { read_rate_per_s: Some(0), ..Control::default() }, "GET /v1/objects/a", 429)]
#[case::list(Control { read_rate_per_s: Some(0), ..Control::default() }, "GET /v1/objects", 429)]
#[case::watch(Control { read_rate_per_s: Some(0), ..Control::default() }, "GET /v1/watch/a?timeout_ms=0", 429)]
#[case::vms(Control { read_rate_per_s: Some(0), ..Control::default() }, "GET /v1/vms", 429)]
fn calls_above_their_rate_limit_get_429(
    #[case] control: Control,
    #[case] head: &str,
    #[case] status: u16,
) {
    run(async {
        let platform = spawn(control);
        let response = call(platform.address(), head, "x").await.unwrap();
        assert_eq!(response.status(), status);
        let retry_after = if status == 429 { "1" } else { "" };
        assert_eq!(header(&response, "retry-after"), retry_after);
        assert_eq!(platform.counters().version, 0);
    });
}

#[test]
fn bucket_holds_one_second_of_calls() {
    let mut bucket = rate::TokenBucket::new(2, 0);
    let taken: Vec<bool> = [
        0, 0, 0, 499_999, 500_000, 500_000, 9_000_000, 9_000_000, 9_000_000,
    ]
    .map(|now_us| bucket.take(now_us))
    .into();
    assert_eq!(
        taken,
        [true, true, false, false, true, false, true, true, false]
    );
}

#[test]
fn version_increases_across_deletion() {
    let mut store = store::Store::default();
    let first = store
        .write("a", store::Precondition::Absent, "1".into())
        .unwrap();
    store.delete("a", first).unwrap();
    let second = store
        .write("a", store::Precondition::Absent, "2".into())
        .unwrap();
    assert!(second > first && store.read_previous("a").is_none());
}

#[rstest]
#[case::down(Control { down: Some(true), ..Control::default() }, [false, false])]
#[case::one_listener(Control { cut_listeners: Some(vec![1]), ..Control::default() }, [true, false])]
fn partitioned_clients_get_no_response(#[case] control: Control, #[case] responds: [bool; 2]) {
    run(async {
        let any = "127.0.0.1:0".parse().unwrap();
        let options = Options {
            listen: vec![any, any],
            control,
        };
        let platform = platform::spawn(&options).unwrap();
        for (address, responds) in platform.addresses().iter().zip(responds) {
            let outcome = call(*address, "PUT /v1/objects/a | if-none-match: *", "x").await;
            assert_eq!(outcome.is_ok(), responds);
            let control = call(*address, "GET /control", "").await.unwrap();
            assert_eq!(control.status(), 200);
        }
        assert_eq!(platform.counters().writes, u64::from(responds[0]));
    });
}

#[rstest]
#[case::newer_at_once("?after=0&timeout_ms=60000", false, 200)]
#[case::later_write("?after=1&timeout_ms=60000", true, 200)]
#[case::no_write("?after=1&timeout_ms=10", false, 204)]
fn watch_returns_on_a_newer_version_or_timeout(
    #[case] query: &str,
    #[case] write: bool,
    #[case] status: u16,
) {
    run(async {
        let platform = spawn(Control::default());
        let address = platform.address();
        call(address, "PUT /v1/objects/a | if-none-match: *", "x")
            .await
            .unwrap();
        let head = format!("GET /v1/watch/a{query}");
        let watching = monoio::spawn(async move { call(address, &head, "").await.unwrap() });
        if write {
            common::until(|| platform.counters().waiting_watches == 1).await;
            call(address, "PUT /v1/objects/a | if-match: \"1\"", "y")
                .await
                .unwrap();
        }
        assert_eq!(watching.await.status(), status);
        assert_eq!(
            (
                platform.counters().watches,
                platform.counters().waiting_watches
            ),
            (1, 0)
        );
    });
}

#[test]
fn outage_ends_a_waiting_watch() {
    run(async {
        let platform = spawn(Control::default());
        let address = platform.address();
        let watching = monoio::spawn(async move { call(address, "GET /v1/watch/a", "").await });
        common::until(|| platform.counters().waiting_watches == 1).await;
        platform.control(Control {
            down: Some(true),
            ..Control::default()
        });
        assert!(watching.await.is_err());
    });
}

#[rstest]
#[case::visible(
    0,
    r#"{"items":[{"name":"e1","address":"10.0.0.1:1","state":"leaving"}]}"#
)]
#[case::lagging(3_600_000, r#"{"items":[]}"#)]
fn new_list_of_vms_is_visible_after_the_lag(#[case] vms_lag_ms: u64, #[case] expected: &str) {
    run(async {
        let vm = Vm {
            name: "e1".to_owned(),
            address: "10.0.0.1:1".parse().unwrap(),
            state: VmState::Leaving,
        };
        let platform = spawn(Control {
            vms: Some(vec![vm]),
            vms_lag_ms: Some(vms_lag_ms),
            ..Control::default()
        });
        let response = call(platform.address(), "GET /v1/vms", "").await.unwrap();
        assert_eq!(response.body(), expected);
    });
}

#[test]
fn control_refuses_unknown_fields() {
    run(async {
        let platform = spawn(Control::default());
        let response = call(platform.address(), "POST /control", r#"{"dwon":true}"#)
            .await
            .unwrap();
        assert_eq!(response.status(), 400);
        let response = call(platform.address(), "POST /control", r#"{"down":true}"#)
            .await
            .unwrap();
        assert_eq!(response.status(), 204);
        assert!(call(platform.address(), "GET /v1/vms", "").await.is_err());
    });
}
