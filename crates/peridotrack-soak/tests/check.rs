//! Tests of the checks of a soak run: each reports the breach that it looks for and accepts what the
//! promises allow.

mod common;

use common::{AT_MS, content, execution, record, sent, step};
use peridotrack_soak::{
    check::{Drain, Execution, Record, SentRequest, StatedLimit, check},
    schedule::Fault,
};
use peridotrack_standin::{
    harness::relay::Link,
    hosted::{
        backend::{self, Cause},
        client::Outcome,
        deployment::{Kind, bounds},
        store,
    },
};
use rstest::rstest;

#[rstest]
#[case::executed_once(Kind::Unsafe, Outcome::Status(200), 1, 0)]
#[case::executed_twice(Kind::Unsafe, Outcome::Status(200), 2, 1)]
#[case::stream_executed_twice(Kind::Stream, Outcome::Status(200), 2, 1)]
#[case::repeated_safe_request(Kind::Safe, Outcome::Status(200), 2, 0)]
#[case::false_refusal(Kind::Unsafe, Outcome::Status(503), 1, 1)]
#[case::true_refusal(Kind::Unsafe, Outcome::Status(503), 0, 0)]
#[case::outcome_unknown(Kind::Unsafe, Outcome::Status(502), 1, 0)]
#[case::wrong_response(Kind::Safe, Outcome::Wrong("x".to_owned()), 1, 1)]
#[case::lost(Kind::Safe, Outcome::Incomplete, 1, 1)]
#[case::never_run(Kind::Safe, Outcome::Incomplete, 0, 0)]
fn breaches_follow_from_executions_and_outcomes(
    #[case] kind: Kind,
    #[case] outcome: Outcome,
    #[case] executions: usize,
    #[case] breaches: usize,
) {
    let record = record(vec![sent(kind, outcome)], vec![execution(); executions]);
    assert_eq!(check(&record).len(), breaches, "{:?}", check(&record));
}

#[rstest]
#[case::fault(Fault::Kill(0), 0)]
#[case::planned_maintenance(Fault::Stop(0), 1)]
fn only_an_unplanned_fault_excuses_a_lost_request(#[case] fault: Fault, #[case] breaches: usize) {
    let mut record = record(
        vec![sent(Kind::Safe, Outcome::Incomplete)],
        vec![execution()],
    );
    record.steps = vec![step(AT_MS - 200, fault)];
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::killed(Outcome::Unanswered, 1, Fault::Kill(0), 0)]
#[case::another_router_killed(Outcome::Unanswered, 1, Fault::Kill(1), 1)]
#[case::stopped(Outcome::Unanswered, 1, Fault::Stop(0), 1)]
#[case::server_is_mute(Outcome::Unanswered, 1, Fault::Backend(0, backend::Mode::Mute), 1)]
#[case::not_read(Outcome::Unanswered, 0, Fault::Stop(0), 0)]
#[case::read_and_not_run(Outcome::Dropped, 0, Fault::Stop(0), 1)]
#[case::read_and_killed(Outcome::Dropped, 0, Fault::Pause(0), 0)]
#[case::sent_in_part(Outcome::NotSent, 0, Fault::Stop(0), 0)]
fn only_a_fault_of_the_router_excuses_that_no_byte_of_a_response_arrives(
    #[case] outcome: Outcome,
    #[case] executions: usize,
    #[case] fault: Fault,
    #[case] breaches: usize,
) {
    let executions = vec![execution(); executions];
    let mut record = record(vec![sent(Kind::Safe, outcome)], executions);
    record.steps = vec![step(AT_MS - 200, fault)];
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::unknown_request(Execution { id: "r-9".to_owned(), ..execution() })]
#[case::other_account(Execution { account: "t-2".to_owned(), ..execution() })]
#[case::key_forwarded(Execution { has_credential: true, ..execution() })]
fn an_execution_must_match_its_request(#[case] execution: Execution) {
    let record = record(
        vec![sent(Kind::Safe, Outcome::Status(200))],
        vec![execution],
    );
    assert_eq!(check(&record).len(), 1);
}

#[rstest]
#[case::in_time(AT_MS - 1_000, None, 0)]
#[case::too_late(AT_MS - bounds::DRAIN_MS - 1_000, None, 1)]
#[case::while_the_store_is_unavailable(
    AT_MS - bounds::DRAIN_MS - 1_000,
    Some(Fault::Store(store::Mode::Busy)),
    0
)]
#[case::held_up_on_its_link(
    AT_MS - bounds::DRAIN_MS - 1_000,
    Some(Fault::BackendLink(3, Link::Stalled)),
    0
)]
#[case::beside_a_fault_of_another_link(
    AT_MS - bounds::DRAIN_MS - 1_000,
    Some(Fault::BackendLink(2, Link::Stalled)),
    1
)]
fn drained_servers_receive_no_requests(
    #[case] drained_ms: u64,
    #[case] fault: Option<Fault>,
    #[case] breaches: usize,
) {
    let mut record = record(
        vec![sent(Kind::Safe, Outcome::Status(200))],
        vec![execution()],
    );
    record.draining = vec![Drain {
        server: "i-1".to_owned(),
        backend: 3,
        at_ms: drained_ms,
    }];
    record.steps = fault
        .map(|fault| step(AT_MS - 600, fault))
        .into_iter()
        .collect();
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::applied(10_000, Outcome::Status(200), 0)]
#[case::not_yet(AT_MS - 500, Outcome::Status(404), 0)]
#[case::too_late(10_000, Outcome::Status(404), 1)]
fn versions_are_applied_in_time(
    #[case] written_ms: u64,
    #[case] outcome: Outcome,
    #[case] breaches: usize,
) {
    let mut record = record(vec![sent(Kind::Probe, outcome)], Vec::new());
    record.versions = vec![(1, 0), (2, written_ms)];
    assert_eq!(check(&record).len(), breaches);
}

#[test]
fn a_configuration_rollback_is_a_breach() {
    let applied = sent(Kind::Probe, Outcome::Status(200));
    let later = SentRequest {
        at_ms: AT_MS + 1_000,
        end_ms: AT_MS + 1_050,
        ..sent(Kind::Probe, Outcome::Status(404))
    };
    let mut record = record(vec![applied, later], Vec::new());
    // The store is unavailable, so that only the rollback is a breach and not the late version.
    record.steps = vec![step(AT_MS - 100, Fault::Store(store::Mode::Mute))];
    record.versions = vec![(1, 0), (2, AT_MS - 100)];
    assert_eq!(check(&record).len(), 1);
}

#[rstest]
#[case::all_prepaid_tokens(900, 0)]
#[case::one_token_more(901, 1)]
fn prompts_and_events_stay_within_the_prepaid_tokens(#[case] events: u64, #[case] breaches: usize) {
    let stream = SentRequest {
        events,
        ..sent(Kind::Stream, Outcome::Status(200))
    };
    assert_eq!(
        check(&record(vec![stream], vec![execution()])).len(),
        breaches
    );
}

#[test]
fn a_top_up_does_not_cover_earlier_consumption() {
    let stream = SentRequest {
        events: 901,
        ..sent(Kind::Stream, Outcome::Status(200))
    };
    let mut record = record(vec![stream], vec![execution()]);
    record.prepaid.push((AT_MS + 10_000, 5_000));
    assert_eq!(check(&record).len(), 1);
}

#[rstest]
#[case::served(Outcome::Status(200), 0)]
#[case::refused(Outcome::Status(503), 1)]
fn most_requests_are_served_after_the_faults(#[case] outcome: Outcome, #[case] breaches: usize) {
    let mut record = record(vec![sent(Kind::Safe, outcome)], Vec::new());
    record.faults_cleared_ms = AT_MS - bounds::RECOVER_MS - 1;
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::ended_before_the_contact_time(AT_MS - bounds::CONTACT_MS - 600, 1)]
#[case::ended_within_the_contact_time(AT_MS - bounds::CONTACT_MS - 400, 0)]
fn a_disruption_excuses_lateness_for_the_contact_time(#[case] at_ms: u64, #[case] breaches: usize) {
    let mut record = record(vec![sent(Kind::Probe, Outcome::Status(404))], Vec::new());
    record.versions = vec![(1, 0), (2, AT_MS - 10_000)];
    record.steps = vec![step(at_ms, Fault::Store(store::Mode::Mute))];
    assert_eq!(check(&record).len(), breaches);
}

/// Returns a record with crashes from a cause, and `count` requests with it that ran at a time.
fn crashed(cause: &Cause, crashes: u64, count: usize, at_ms: u64) -> Record {
    let request = |number| SentRequest {
        id: format!("r-{number}"),
        prompt_parts: vec![1, 7, number as u64 + 100],
        content: content("fatal"),
        ..sent(Kind::Stream, Outcome::Status(502))
    };
    let execution = |number| Execution {
        id: format!("r-{number}"),
        at_ms,
        ..execution()
    };
    let (requests, executions) = (0..count)
        .map(|number| (request(number), execution(number)))
        .unzip();
    Record {
        crashes: (0..crashes)
            .map(|number| (cause.clone(), AT_MS - 9_000 + number))
            .collect(),
        ..record(requests, executions)
    }
}

#[rstest]
#[case::three(5, 3, AT_MS, false)]
#[case::four(5, 4, AT_MS, true)]
#[case::fewer_crashes(4, 4, AT_MS, false)]
#[case::soon_after_the_fifth_crash(5, 4, AT_MS - 7_000, false)]
fn more_than_three_late_requests_with_a_fatal_part_are_a_breach(
    #[case] crashes: u64,
    #[case] count: usize,
    #[case] at_ms: u64,
    #[case] is_breach: bool,
) {
    let record = crashed(&Cause::Part(7), crashes, count, at_ms);
    assert_eq!(!check(&record).is_empty(), is_breach);
}

#[rstest]
#[case::three(3, 3, AT_MS, false)]
#[case::four(3, 4, AT_MS, true)]
#[case::fewer_crashes(2, 4, AT_MS, false)]
#[case::soon_after_the_third_crash(3, 4, AT_MS - 7_000, false)]
fn more_than_three_late_repetitions_of_a_fatal_request_are_a_breach(
    #[case] crashes: u64,
    #[case] count: usize,
    #[case] at_ms: u64,
    #[case] is_breach: bool,
) {
    let cause = Cause::Request(content("fatal"));
    let record = crashed(&cause, crashes, count, at_ms);
    assert_eq!(!check(&record).is_empty(), is_breach);
}

#[test]
fn a_request_with_another_body_is_not_a_repetition() {
    let cause = Cause::Request(content("other"));
    assert!(check(&crashed(&cause, 3, 4, AT_MS)).is_empty());
}

#[test]
fn a_disrupted_router_may_send_a_fatal_part_late() {
    let disrupted = Record {
        steps: vec![step(AT_MS - 1_000, Fault::Pause(0))],
        ..crashed(&Cause::Part(7), 5, 4, AT_MS)
    };
    assert!(check(&disrupted).is_empty());
}

/// Returns a record with a server that states a limit of 1 a second, allowed to receive 11 requests in
/// 4 s, and `count` requests there, 100 ms apart, from 4 s after it first stated it.
fn limited(count: u64) -> Record {
    let at_ms = |number: u64| match number {
        0 => AT_MS - 4_000,
        _ => AT_MS + 100 * number,
    };
    let request = |number| SentRequest {
        id: format!("r-{number}"),
        at_ms: at_ms(number),
        end_ms: at_ms(number) + 50,
        prompt_tokens: 1,
        ..sent(Kind::Safe, Outcome::Status(200))
    };
    let execution = |number| Execution {
        id: format!("r-{number}"),
        at_ms: at_ms(number),
        ..execution()
    };
    let numbers = 0..=count;
    let (requests, executions) = numbers
        .map(|number| (request(number), execution(number)))
        .unzip();
    Record {
        limits: vec![StatedLimit {
            server: "i-1".to_owned(),
            limit_per_s: 1.0,
            from_ms: AT_MS - 4_000,
            to_ms: AT_MS + 10_000,
        }],
        ..record(requests, executions)
    }
}

#[rstest]
#[case::allowed(11, false)]
#[case::one_more(12, true)]
fn more_requests_than_a_stated_limit_allows_are_a_breach(
    #[case] count: u64,
    #[case] is_breach: bool,
) {
    assert_eq!(!check(&limited(count)).is_empty(), is_breach);
}

#[test]
fn a_disrupted_router_may_exceed_a_stated_limit() {
    let disrupted = Record {
        steps: vec![step(AT_MS - 500, Fault::Pause(0))],
        ..limited(12)
    };
    assert!(check(&disrupted).is_empty());
}
