//! `timeline`, `explain` and `status` against several fake routers.

mod common;

use common::{KEY, Router, routers, run, unused_address};
use peridotrack::{
    explain, fleet,
    report::Exit,
    status,
    timeline::{self, ClockOffset, ProcessEvents, merge},
};
use peridotrack_kernel::event;
use rstest::rstest;
use serde_json::{Value, json};

const REQUEST: &str = "00000000000000aa-7";

fn event(process: &str, sequence: u64, wall_us: u64, more: &Value) -> Value {
    let mut event = json!({
        "process": process, "sequence": sequence, "wall_us": wall_us,
        "number": 200, "name": "RequestAccepted", "severity": "info",
    });
    let fields = event.as_object_mut().unwrap();
    fields.extend(more.as_object().unwrap().clone());
    event
}

fn recorded(process: &str, sequence: u64, wall_us: u64) -> event::Recorded {
    serde_json::from_value(event(process, sequence, wall_us, &json!({}))).unwrap()
}

#[rstest]
#[case::exact(1_000, 1_200, 1_100, 0, 100)]
#[case::ahead(1_000, 1_200, 5_100, 4_000, 100)]
#[case::behind(5_000, 5_200, 1_100, -4_000, 100)]
#[case::at_once(1_000, 1_000, 1_007, 7, 0)]
#[case::local_clock_set_back(1_000, 900, 1_000, 0, 0)]
fn an_offset_is_estimated_from_the_midpoint(
    #[case] sent: u64,
    #[case] received: u64,
    #[case] process: u64,
    #[case] ahead_us: i64,
    #[case] bound_us: u64,
) {
    let expected = ClockOffset { ahead_us, bound_us };
    assert_eq!(ClockOffset::estimate(sent, received, process), expected);
}

#[test]
fn the_estimate_with_the_smaller_error_bound_is_kept() {
    let estimate = |bound_us| {
        Some(ClockOffset {
            ahead_us: 0,
            bound_us,
        })
    };
    assert_eq!(ClockOffset::tighter(estimate(3), estimate(2)), estimate(2));
    assert_eq!(ClockOffset::tighter(None, estimate(2)), estimate(2));
    assert_eq!(ClockOffset::tighter(estimate(3), None), estimate(3));
}

/// Guards against events out of order where the clocks of processes differ or are set back.
#[test]
fn events_merge_by_corrected_time_and_keep_the_order_of_each_process() {
    let source = |ahead_us, events| ProcessEvents {
        offset: ClockOffset {
            ahead_us,
            bound_us: 1,
        },
        events,
    };
    // The first clock is an hour ahead; the second is set back between its last two events.
    let hour_us = 3_600_000_000;
    let first = vec![
        recorded("a", 1, hour_us + 10),
        recorded("a", 2, hour_us + 30),
    ];
    let second = vec![
        recorded("b", 1, 20),
        recorded("b", 2, 40),
        recorded("b", 3, 5),
    ];
    let signed = i64::try_from(hour_us).unwrap();
    let merged = merge(vec![source(signed, first), source(0, second)]);
    let order: Vec<_> = merged
        .iter()
        .map(|merged| {
            format!(
                "{}{}@{}",
                merged.event.process, merged.event.sequence, merged.at_wall_us
            )
        })
        .collect();
    assert_eq!(order, ["a1@10", "b1@20", "a2@30", "b2@40", "b3@40"]);
}

#[rstest]
#[case(0, "1970-01-01T00:00:00.000000Z")]
#[case(951_782_400_000_000, "2000-02-29T00:00:00.000000Z")]
#[case(1_796_342_723_000_001, "2026-12-04T00:05:23.000001Z")]
#[case(4_107_542_399_999_999, "2100-02-28T23:59:59.999999Z")]
fn times_are_shown_as_utc(#[case] wall_us: u64, #[case] expected: &str) {
    assert_eq!(timeline::utc(wall_us), expected);
}

/// Spawns a fake router with these events and a clock that is `ahead_us` ahead.
fn router(ahead_us: u64, events: Vec<Value>) -> Router {
    Router::spawn(move |path| {
        let after: u64 = path.split_once("after=").unwrap().1.parse().unwrap();
        let is_newer = |event: &&Value| event["sequence"].as_u64() > Some(after);
        let events: Vec<_> = events.iter().filter(is_newer).collect();
        json!({ "now_wall_us": fleet::wall_us() + ahead_us, "events": events })
    })
}

#[test]
fn a_request_is_explained_with_causes_over_all_routers() {
    run(async {
        let hour_us = 3_600_000_000;
        let request = json!({ "request_id": REQUEST });
        let one = router(
            hour_us,
            vec![
                event("vm-1", 1, hour_us + 1_000, &json!({})),
                event("vm-1", 2, hour_us + 2_000, &request),
                event(
                    "vm-1",
                    3,
                    hour_us + 3_000,
                    &json!({ "request_id": REQUEST, "cause": 1 }),
                ),
                event(
                    "vm-1",
                    4,
                    hour_us + 5_000,
                    &json!({ "cause": 3, "fields": { "why": "full" } }),
                ),
                event(
                    "vm-1",
                    5,
                    hour_us + 6_000,
                    &json!({ "request_id": "00000000000000aa-8" }),
                ),
            ],
        );
        let two = router(0, vec![event("vm-2", 9, 4_000_000, &request)]);
        let queried = routers("explain", &[one.address, two.address], KEY);
        let report = explain::explain(REQUEST.parse().unwrap(), &queried)
            .await
            .unwrap();
        assert_eq!(report.exit, Exit::Done);
        let events = report.json["events"].as_array().unwrap();
        let order: Vec<_> = events
            .iter()
            .map(|merged| {
                let event = &merged["event"];
                format!(
                    "{} {}",
                    event["process"].as_str().unwrap(),
                    event["sequence"]
                )
            })
            .collect();
        assert_eq!(order, ["vm-1 1", "vm-1 2", "vm-1 3", "vm-1 4", "vm-2 9"]);
        assert!(
            report.text.contains("why=full because of #3"),
            "{}",
            report.text
        );
        let clock = report.json["routers"][0]["clock_ahead_us"]
            .as_i64()
            .unwrap();
        let bound = report.json["routers"][0]["clock_bound_us"]
            .as_u64()
            .unwrap();
        assert!(
            clock.abs_diff(i64::try_from(hour_us).unwrap()) <= bound + 1,
            "{clock} {bound}"
        );
    });
}

#[test]
fn an_unknown_request_and_an_unreachable_router_are_reported() {
    run(async {
        let one = router(0, vec![]);
        let queried = routers("explain", &[one.address], KEY);
        let report = explain::explain(REQUEST.parse().unwrap(), &queried)
            .await
            .unwrap();
        assert_eq!(report.exit, Exit::Refused);
        let queried = routers("explain", &[one.address, unused_address()], KEY);
        let report = explain::explain(REQUEST.parse().unwrap(), &queried)
            .await
            .unwrap();
        assert_eq!(report.exit, Exit::Unreachable);
    });
}

#[test]
fn the_last_events_of_a_timeline_are_shown() {
    run(async {
        let events = (1..=9).map(|n| event("vm-1", n, n, &json!({}))).collect();
        let one = router(0, events);
        let queried = routers("timeline", &[one.address], KEY);
        let report = timeline::timeline(&queried, Some(2)).await.unwrap();
        let shown = report.json["events"].as_array().unwrap();
        assert_eq!(shown.len(), 2);
        assert_eq!(shown[1]["event"]["sequence"], 9);
        assert!(
            report.text.contains("vm-1 #9 200 RequestAccepted"),
            "{}",
            report.text
        );
    });
}

#[test]
fn status_shows_each_router_and_those_not_reached() {
    run(async {
        let one = Router::holding("vm-1", 3, 0);
        let queried = routers("status", &[one.address, unused_address()], KEY);
        let report = status::status(&queried).await.unwrap();
        assert_eq!(report.exit, Exit::Unreachable);
        let expected = "vm-1 00000000000000aa in d1, serving, config 3, 1 of 2 peers live, \
                        platform reached";
        assert!(report.text.contains(expected), "{}", report.text);
        assert_eq!(report.json["routers"][0]["status"]["vm"], "vm-1");
        assert!(report.json["routers"][1]["error"].is_string());
    });
}
