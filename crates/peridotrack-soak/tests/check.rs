//! Each check sees the breach that it is for, and nothing in what is allowed.

use peridotrack_soak::{
    check::{Ran, Record, Sent, check},
    schedule::{Fault, Step},
};
use peridotrack_standin::hosted::{
    client::Outcome,
    deployment::{Kind, bounds},
    store,
};
use rstest::rstest;

const AT_MS: u64 = 20_000;

fn sent(kind: Kind, answer: Outcome) -> Sent {
    Sent {
        id: "r-1".to_owned(),
        kind,
        account: 0,
        router: 0,
        life: 1,
        at_ms: AT_MS,
        end_ms: AT_MS + 50,
        prompt_tokens: 100,
        events: 0,
        version: 2,
        answer,
    }
}

fn ran() -> Ran {
    Ran {
        id: "r-1".to_owned(),
        expected: "i-1".to_owned(),
        account: "t-1".to_owned(),
        has_key: false,
        at_ms: AT_MS + 10,
    }
}

fn record(sent: Vec<Sent>, ran: Vec<Ran>) -> Record {
    Record {
        sent,
        ran,
        versions: vec![(1, 0), (2, 10_000)],
        prepaid: vec![(0, 1_000)],
        accounts: vec!["t-1", "t-2"],
        healed_ms: 1_000_000,
        ..Record::default()
    }
}

fn step(at_ms: u64, fault: Fault) -> Step {
    Step {
        at_ms,
        for_ms: 500,
        fault,
    }
}

#[rstest]
#[case::run_once(Kind::Unsafe, Outcome::Status(200), 1, 0)]
#[case::run_twice(Kind::Unsafe, Outcome::Status(200), 2, 1)]
#[case::stream_run_twice(Kind::Stream, Outcome::Status(200), 2, 1)]
#[case::repeated_safe_request(Kind::Safe, Outcome::Status(200), 2, 0)]
#[case::false_refusal(Kind::Unsafe, Outcome::Status(503), 1, 1)]
#[case::true_refusal(Kind::Unsafe, Outcome::Status(503), 0, 0)]
#[case::outcome_unknown(Kind::Unsafe, Outcome::Status(502), 1, 0)]
#[case::another_answer(Kind::Safe, Outcome::Wrong("x".to_owned()), 1, 1)]
#[case::lost(Kind::Safe, Outcome::Incomplete, 1, 1)]
#[case::never_passed_on(Kind::Safe, Outcome::Incomplete, 0, 0)]
fn requests_are_judged_by_runs_and_answers(
    #[case] kind: Kind,
    #[case] answer: Outcome,
    #[case] runs: usize,
    #[case] breaches: usize,
) {
    let record = record(vec![sent(kind, answer)], vec![ran(); runs]);
    assert_eq!(check(&record).len(), breaches, "{:?}", check(&record));
}

#[rstest]
#[case::disturbed(Fault::Kill(0), 0)]
#[case::planned_work(Fault::Stop(0), 1)]
fn only_disturbance_excuses_a_lost_request(#[case] fault: Fault, #[case] breaches: usize) {
    let mut record = record(vec![sent(Kind::Safe, Outcome::Incomplete)], vec![ran()]);
    record.steps = vec![step(AT_MS - 200, fault)];
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::unknown_request(Ran { id: "r-9".to_owned(), ..ran() })]
#[case::other_account(Ran { account: "t-2".to_owned(), ..ran() })]
#[case::key_passed_on(Ran { has_key: true, ..ran() })]
fn runs_must_be_asked_for(#[case] run: Ran) {
    let record = record(vec![sent(Kind::Safe, Outcome::Status(200))], vec![run]);
    assert_eq!(check(&record).len(), 1);
}

#[rstest]
#[case::in_time(AT_MS - 1_000, None, 0)]
#[case::too_late(AT_MS - bounds::DRAIN_MS - 1_000, None, 1)]
#[case::while_the_store_is_away(
    AT_MS - bounds::DRAIN_MS - 1_000,
    Some(Fault::Store(store::Mode::Busy)),
    0
)]
fn drained_servers_get_nothing(
    #[case] drained_ms: u64,
    #[case] fault: Option<Fault>,
    #[case] breaches: usize,
) {
    let mut record = record(vec![sent(Kind::Safe, Outcome::Status(200))], vec![ran()]);
    record.draining = vec![("i-1".to_owned(), drained_ms)];
    record.steps = fault
        .map(|fault| step(AT_MS - 600, fault))
        .into_iter()
        .collect();
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::known(10_000, Outcome::Status(200), 0)]
#[case::not_yet(AT_MS - 500, Outcome::Status(404), 0)]
#[case::too_late(10_000, Outcome::Status(404), 1)]
fn versions_are_in_force_in_time(
    #[case] acked_ms: u64,
    #[case] answer: Outcome,
    #[case] breaches: usize,
) {
    let mut record = record(vec![sent(Kind::Probe, answer)], Vec::new());
    record.versions = vec![(1, 0), (2, acked_ms)];
    assert_eq!(check(&record).len(), breaches);
}

#[test]
fn a_router_never_goes_back() {
    let knew = sent(Kind::Probe, Outcome::Status(200));
    let later = Sent {
        at_ms: AT_MS + 1_000,
        end_ms: AT_MS + 1_050,
        ..sent(Kind::Probe, Outcome::Status(404))
    };
    let mut record = record(vec![knew, later], Vec::new());
    // The store is away, so that only the step back counts.
    record.steps = vec![step(AT_MS - 100, Fault::Store(store::Mode::Mute))];
    record.versions = vec![(1, 0), (2, AT_MS - 100)];
    assert_eq!(check(&record).len(), 1);
}

#[rstest]
#[case::all_of_it(900, 0)]
#[case::more(901, 1)]
fn prompts_and_events_stay_within_what_is_prepaid(#[case] events: u64, #[case] breaches: usize) {
    let stream = Sent {
        events,
        ..sent(Kind::Stream, Outcome::Status(200))
    };
    assert_eq!(check(&record(vec![stream], vec![ran()])).len(), breaches);
}

#[test]
fn a_later_top_up_does_not_cover_what_was_consumed_before() {
    let stream = Sent {
        events: 901,
        ..sent(Kind::Stream, Outcome::Status(200))
    };
    let mut record = record(vec![stream], vec![ran()]);
    record.prepaid.push((AT_MS + 10_000, 5_000));
    assert_eq!(check(&record).len(), 1);
}

#[rstest]
#[case::served(Outcome::Status(200), 0)]
#[case::refused(Outcome::Status(503), 1)]
fn requests_are_served_again_after_the_faults(#[case] answer: Outcome, #[case] breaches: usize) {
    let mut record = record(vec![sent(Kind::Safe, answer)], Vec::new());
    record.healed_ms = AT_MS - bounds::RECOVER_MS - 1;
    assert_eq!(check(&record).len(), breaches);
}

#[rstest]
#[case::over_for_a_while(AT_MS - bounds::CONTACT_MS - 600, 1)]
#[case::just_over(AT_MS - bounds::CONTACT_MS - 400, 0)]
fn a_disturbance_excuses_for_the_time_of_contact(#[case] at_ms: u64, #[case] breaches: usize) {
    let mut record = record(vec![sent(Kind::Probe, Outcome::Status(404))], Vec::new());
    record.versions = vec![(1, 0), (2, AT_MS - 10_000)];
    record.steps = vec![step(at_ms, Fault::Store(store::Mode::Mute))];
    assert_eq!(check(&record).len(), breaches);
}
