//! Tests of the checks of what backend servers state: each reports a breach and accepts what is
//! allowed.

mod common;

use common::{AT_MS, execution, record, sent, step};
use peridotrack_soak::{
    check::{Execution, Record, SentRequest, check},
    schedule::Fault,
    stated::{PausedArrival, StatedLeaving},
};
use peridotrack_standin::{
    harness::relay::Link,
    hosted::{client::Outcome, deployment::Kind},
};
use rstest::rstest;

/// Returns a record with a server that leaves and `states_leaving` in the response to a request, and
/// another request to it that is sent `after_ms` later.
fn leaving(after_ms: u64, first: Outcome, states_leaving: bool, incarnation: u64) -> Record {
    let request = |id: &str, at_ms, outcome| SentRequest {
        id: id.to_owned(),
        at_ms,
        end_ms: at_ms + 50,
        ..sent(Kind::Safe, outcome)
    };
    let run = |id: &str, at_ms, states_leaving| Execution {
        id: id.to_owned(),
        states_leaving,
        at_ms,
        ..execution()
    };
    let second_ms = AT_MS + 50 + after_ms;
    let second = SentRequest {
        incarnation,
        ..request("r-2", second_ms, Outcome::Status(200))
    };
    Record {
        leaving: vec![StatedLeaving {
            server: "i-1".to_owned(),
            from_ms: AT_MS - 1_000,
        }],
        ..record(
            vec![request("r-1", AT_MS, first), second],
            vec![
                run("r-1", AT_MS + 10, states_leaving),
                run("r-2", second_ms + 10, true),
            ],
        )
    }
}

#[rstest]
#[case::in_time(2_000, Outcome::Status(200), true, 1, false)]
#[case::late(2_001, Outcome::Status(200), true, 1, true)]
#[case::not_passed_on(2_001, Outcome::Status(502), true, 1, false)]
#[case::not_stated(2_001, Outcome::Status(200), false, 1, false)]
#[case::restarted_since(2_001, Outcome::Status(200), true, 2, false)]
fn a_request_long_after_a_server_stated_that_it_leaves_is_a_breach(
    #[case] after_ms: u64,
    #[case] first: Outcome,
    #[case] states_leaving: bool,
    #[case] incarnation: u64,
    #[case] is_breach: bool,
) {
    let record = leaving(after_ms, first, states_leaving, incarnation);
    assert_eq!(!check(&record).is_empty(), is_breach);
}

/// Returns a record with a refusal that states a pause of 2 s, and `count` later requests in it, the
/// first one `after_ms` later.
fn paused(count: u64, after_ms: u64) -> Record {
    let at_ms = |number: u64| match number {
        0 => AT_MS,
        _ => AT_MS + after_ms + number,
    };
    let request = |number| SentRequest {
        id: format!("r-{number}"),
        at_ms: at_ms(number),
        end_ms: at_ms(number) + 50,
        ..sent(Kind::Safe, Outcome::Status(503))
    };
    Record {
        paused_arrivals: (0..=count)
            .map(|number| PausedArrival {
                id: format!("r-{number}"),
                server: "i-1".to_owned(),
                backend: 0,
                at_ms: at_ms(number),
                until_ms: AT_MS + 2_000,
            })
            .collect(),
        ..record((0..=count).map(request).collect(), Vec::new())
    }
}

#[rstest]
#[case::allowed(2, 600, None, false)]
#[case::one_more(3, 600, None, true)]
#[case::at_once(3, 100, None, false)]
#[case::after_the_end(3, 2_000, None, false)]
#[case::frozen_router(3, 600, Some(Fault::Pause(0)), false)]
#[case::other_router(3, 600, Some(Fault::Pause(1)), true)]
#[case::broken_link(3, 600, Some(Fault::BackendLink(0, Link::Cut)), false)]
fn more_requests_in_a_pause_than_allowed_are_a_breach(
    #[case] count: u64,
    #[case] after_ms: u64,
    #[case] fault: Option<Fault>,
    #[case] is_breach: bool,
) {
    let record = Record {
        steps: fault.map(|fault| step(AT_MS, fault)).into_iter().collect(),
        ..paused(count, after_ms)
    };
    assert_eq!(!check(&record).is_empty(), is_breach);
}

/// A server that is replaced in a pause is registered under another name while its process refuses.
#[test]
fn requests_to_the_successor_of_a_paused_server_are_allowed() {
    let mut record = paused(3, 600);
    for arrival in &mut record.paused_arrivals[1..] {
        arrival.server = "i-2".to_owned();
    }
    assert!(check(&record).is_empty());
}
