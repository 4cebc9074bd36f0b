//! Decisions of the router in single scenarios.

mod support;

use peridotrack_route::{
    event::{Action, Event, Outcome, Target},
    options::Options,
    router::Router,
};
use peridotrack_types::{problem::Kind, rules};
use rstest::rstest;
use support::*;

const MS_US: u64 = 1_000;

/// Decision after a failed attempt.
#[derive(Debug, PartialEq)]
enum Next {
    Dispatch,
    Resume(u64),
    Refuse(Kind),
}

fn next(actions: &[Action]) -> Option<Next> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { attempt, .. } => {
            assert_eq!(*attempt, 2);
            Some(Next::Dispatch)
        }
        Action::Resume { offset, .. } => Some(Next::Resume(*offset)),
        Action::Refuse { kind, .. } => Some(Next::Refuse(*kind)),
        Action::Note(_) => None,
    })
}

fn broken(sent: bool, events_seen: u64) -> Outcome {
    Outcome::Broken { sent, events_seen }
}

#[rstest]
#[case::connect_failed(true, false, Outcome::ConnectFailed, Next::Dispatch)]
#[case::connect_failed_non_idempotent(false, false, Outcome::ConnectFailed, Next::Dispatch)]
#[case::refused(true, true, Outcome::RefusedNotRun, Next::Dispatch)]
#[case::refused_unsent_non_idempotent(false, false, Outcome::RefusedNotRun, Next::Dispatch)]
#[case::refused_non_idempotent(false, true, Outcome::RefusedNotRun, Next::Refuse(Kind::Overloaded))]
#[case::broken_unsent_non_idempotent(false, false, broken(false, 0), Next::Dispatch)]
#[case::broken_sent(true, true, broken(true, 0), Next::Dispatch)]
#[case::broken_sent_non_idempotent(
    false,
    true,
    broken(true, 0),
    Next::Refuse(Kind::OutcomeUnknown)
)]
#[case::broken_sent_only_by_event(
    false,
    true,
    broken(false, 0),
    Next::Refuse(Kind::OutcomeUnknown)
)]
#[case::broken_sent_only_by_outcome(
    false,
    false,
    broken(true, 0),
    Next::Refuse(Kind::OutcomeUnknown)
)]
#[case::broken_stream(true, true, broken(true, 7), Next::Resume(7))]
#[case::broken_stream_non_idempotent(
    false,
    true,
    broken(true, 7),
    Next::Refuse(Kind::OutcomeUnknown)
)]
#[case::timeout_unsent_non_idempotent(false, false, Outcome::Timeout { sent: false }, Next::Dispatch)]
#[case::timeout_sent(true, true, Outcome::Timeout { sent: true }, Next::Dispatch)]
#[case::timeout_non_idempotent(
    false, true, Outcome::Timeout { sent: true }, Next::Refuse(Kind::OutcomeUnknown)
)]
fn failed_attempt_is_retried_resumed_or_refused(
    #[case] idempotent: bool,
    #[case] byte_sent: bool,
    #[case] outcome: Outcome,
    #[case] expected: Next,
) {
    let mut router = router(3, 4, 8);
    let mut offer = offer(1);
    offer.idempotent = idempotent;
    router.offer(0, offer);
    if byte_sent {
        sent(&mut router, 1, 1);
    }
    let actions = finish(&mut router, 2, 1, outcome);
    assert_eq!(next(&actions), Some(expected));
}

#[rstest]
fn failed_attempt_past_its_deadline_is_refused(#[values(true, false)] idempotent: bool) {
    let mut router = router(3, 4, 8);
    let mut offer = offer(1);
    offer.idempotent = idempotent;
    offer.deadline_us = 10;
    router.offer(0, offer);
    let actions = finish(&mut router, 10, 1, Outcome::ConnectFailed);
    assert_eq!(next(&actions), Some(Next::Refuse(Kind::Overloaded)));
}

#[rstest]
fn retry_goes_to_another_server() {
    for seed in 0..50 {
        let mut router = Router::new(Options::default(), "domain-0".into(), seed, 0);
        router.configure(0, &register(2, 0, 4), &rules(8));
        let first = dispatched(&router.offer(0, offer(1)));
        let second = dispatched(&finish(&mut router, 1, 1, Outcome::ConnectFailed));
        assert!(second.is_some() && first != second);
    }
}

#[rstest]
fn stream_is_not_resumed_while_breaker_is_open() {
    let mut router = router(1, 8, 8);
    for sequence in 1..=6 {
        router.offer(0, offer(sequence));
        sent(&mut router, 1, sequence);
    }
    let last = (1..=6).map(|sequence| next(&finish(&mut router, 2, sequence, broken(true, 3))));
    assert_eq!(last.last(), Some(Some(Next::Refuse(Kind::BackendFailed))));
}

#[rstest]
fn started_response_is_never_dispatched_again() {
    let options = Options {
        retry_ratio: 1.0,
        max_resumes: 0,
        ..Options::default()
    };
    let mut router = Router::new(options, "domain-0".into(), 1, 0);
    router.configure(0, &register(3, 0, 4), &rules(8));
    router.offer(0, offer(1));
    sent(&mut router, 1, 1);
    let actions = finish(&mut router, 2, 1, broken(true, 3));
    assert_eq!(next(&actions), Some(Next::Refuse(Kind::BackendFailed)));
}

#[rstest]
fn unknown_target_is_refused() {
    let mut router = router(1, 8, 8);
    let mut offer = offer(1);
    offer.target = Target::Service("unknown".into());
    let refusal = refused(&router.offer(0, offer));
    assert_eq!(refusal.map(|(kind, _)| kind), Some(Kind::NoBackendServer));
}

#[rstest]
#[case::leaving_event(false)]
#[case::load_report(true)]
fn leaving_server_receives_no_work(#[case] by_report: bool) {
    let mut router = router(2, 4, 64);
    let backend = engine(0, 4).name;
    router.on_event(
        SECOND_US,
        match by_report {
            false => Event::Leaving {
                backend: backend.clone(),
            },
            true => report(0, 0, 0, true),
        },
    );
    // Reports measured before the indication or within the hold time do not end the leaving state.
    router.on_event(2 * SECOND_US, report(0, 0, 3_000_000, false));
    router.on_event(9 * SECOND_US, report(0, 0, 0, false));
    for sequence in 1..=20 {
        let actions = router.offer(9 * SECOND_US, offer(sequence));
        assert_ne!(dispatched(&actions), Some(backend.clone()));
    }
    // A report measured after the hold time ends it, and queued requests are dispatched.
    let actions = router.on_event(12 * SECOND_US, report(0, 0, 0, false));
    assert_eq!(dispatched(&actions), Some(backend));
}

fn report(number: usize, running: u32, age_us: u64, leaving: bool) -> Event {
    Event::LoadReport {
        backend: engine(number, 4).name,
        running,
        queued: 0,
        slots: 4,
        duration_percent: None,
        age_us,
        leaving,
    }
}

#[rstest]
fn removed_server_drains() {
    let mut router = router(2, 1, 64);
    router.offer(0, offer(1));
    router.offer(0, offer(2));
    router.configure(1, &register(1, 0, 1), &rules(64));
    assert_eq!(router.status(1).backend_servers.len(), 2);
    for sequence in 3..=6 {
        assert_eq!(dispatched(&router.offer(2, offer(sequence))), None);
    }
    let dispatches: Vec<_> = (1..=2)
        .filter_map(|sequence| dispatched(&finish(&mut router, 3, sequence, Outcome::Done)))
        .collect();
    assert_eq!(dispatches, [engine(0, 1).name]);
    assert_eq!(router.status(3).backend_servers.len(), 1);
}

#[rstest]
fn queue_is_refused_when_last_server_leaves() {
    let mut router = router(1, 1, 64);
    router.offer(0, offer(1));
    router.offer(0, offer(2));
    let backend = engine(0, 1).name;
    let refusal = refused(&router.on_event(1, Event::Leaving { backend }));
    assert_eq!(refusal.map(|(kind, _)| kind), Some(Kind::NoBackendServer));
}

#[rstest]
fn open_breaker_sets_retry_after_to_its_probe_time() {
    let mut router = router(1, 4, 64);
    for sequence in 1..=2 {
        router.offer(0, offer(sequence));
        finish(&mut router, 0, sequence, Outcome::ConnectFailed);
    }
    let early = refused(&router.offer(100 * MS_US, offer(3))).expect("refused");
    let late = refused(&router.offer(300 * MS_US, offer(4))).expect("refused");
    assert_eq!(early.0, Kind::NoBackendServer);
    assert_eq!(early.1 - late.1, 200);
    let reopened_us = (300 + late.1) * MS_US;
    assert!(dispatched(&router.offer(reopened_us, offer(5))).is_some());
}

/// Returns a router with one server whose mean request duration has converged to `duration_us`.
fn router_with_duration(duration_us: u64, queue_requests: u32, queue_wait_share: f64) -> Router {
    let options = Options {
        queue_wait_share,
        ..Options::default()
    };
    let mut router = Router::new(options, "domain-0".into(), 1, 0);
    router.configure(0, &register(1, 0, 1), &rules(queue_requests));
    for round in 0..200 {
        let mut offer = offer(1_000 + round);
        offer.deadline_us = u64::MAX / 2;
        router.offer(round * duration_us, offer);
        let end_us = (round + 1) * duration_us;
        finish(&mut router, end_us, 1_000 + round, Outcome::Done);
    }
    router
}

/// One request runs; of the others, only those are queued whose expected wait is within the bound.
#[rstest]
#[case::whole_slack_short_requests(1.0, 100 * MS_US, 8..=10)]
#[case::whole_slack_long_requests(1.0, 2_000 * MS_US, 8..=10)]
#[case::half_of_the_slack(0.5, 100 * MS_US, 4..=5)]
#[case::default_share(Options::default().queue_wait_share, 2_000 * MS_US, 1..=2)]
fn request_with_too_long_expected_wait_is_refused_at_once(
    #[case] queue_wait_share: f64,
    #[case] duration_us: u64,
    #[case] waiting: std::ops::RangeInclusive<usize>,
) {
    let mut router = router_with_duration(duration_us, 1_000, queue_wait_share);
    let now_us = 200 * duration_us;
    let mut refusals = Vec::new();
    for sequence in 1..=20 {
        let mut offer = offer(sequence);
        offer.deadline_us = now_us + 10 * duration_us;
        refusals.extend(refused(&router.offer(now_us, offer)));
    }
    assert!(waiting.contains(&(19 - refusals.len())), "{refusals:?}");
    assert!(refusals.iter().all(|(kind, _)| *kind == Kind::Overloaded));
    let duration_ms = duration_us / MS_US;
    let (_, first_ms) = refusals[0];
    assert!(first_ms > 0 && first_ms <= 2 * duration_ms, "{first_ms}");
}

#[rstest]
fn retry_after_grows_with_the_queue() {
    let refusal_ms = |queue_requests: u32| {
        let mut router = router_with_duration(100 * MS_US, queue_requests, 1.0);
        let now_us = 20 * SECOND_US;
        let offers = 1..=u64::from(queue_requests) + 2;
        let last = offers.filter_map(|sequence| refused(&router.offer(now_us, offer(sequence))));
        last.last().expect("refused").1
    };
    let (short_ms, long_ms) = (refusal_ms(10), refusal_ms(100));
    assert!((1_000..=1_300).contains(&short_ms), "{short_ms}");
    assert!((10_000..=10_500).contains(&long_ms), "{long_ms}");
}

#[rstest]
fn cancelled_request_frees_its_slot() {
    let mut router = router(1, 1, 8);
    router.offer(0, offer(1));
    router.offer(0, offer(2));
    router.offer(0, offer(3));
    assert_eq!(router.cancel(1, request(2)), []);
    assert_eq!(dispatched_request(&router.cancel(2, request(1))), Some(3));
    assert_eq!(finish(&mut router, 3, 1, Outcome::Done), []);
    finish(&mut router, 4, 3, Outcome::Done);
    assert_eq!(router.open_requests(), 0);
}

#[rstest]
fn low_priority_is_not_starved() {
    let mut router = router(1, 1, 8);
    let with = |sequence, priority| {
        let mut offer = offer(sequence);
        offer.priority = priority;
        offer.deadline_us = u64::MAX / 2;
        offer
    };
    router.offer(0, with(1, rules::Priority::High));
    router.offer(0, with(2, rules::Priority::Low));
    let (mut running, mut now_us) = (1, 0);
    for sequence in 3..100 {
        router.offer(now_us, with(sequence, rules::Priority::High));
        now_us += 100 * MS_US;
        let actions = finish(&mut router, now_us, running, Outcome::Done);
        running = dispatched_request(&actions).expect("queue is not empty");
        if running == 2 {
            break;
        }
    }
    assert_eq!(running, 2);
    assert!(now_us <= 5 * SECOND_US, "waited {now_us} us");
}

fn rate(router: &mut Router, now_us: u64, engine: usize, per_s: Option<f64>) {
    let backend = format!("engine-{engine}").as_str().into();
    router.on_event(now_us, Event::Rate { backend, per_s });
}

/// Guards against requests that wait for a server which states a rate, or are refused without a
/// time to come back.
#[test]
fn requests_beyond_a_stated_rate_are_refused_until_the_next_is_due() {
    let mut router = router(1, 8, 100);
    rate(&mut router, 0, 0, Some(2.0));
    let refused = |actions: &[Action]| match actions {
        [
            Action::Refuse {
                kind,
                retry_after_ms,
                ..
            },
        ] => Some((*kind, *retry_after_ms)),
        _ => None,
    };
    let actions = router.offer(0, offer(1));
    assert_eq!(refused(&actions), Some((Kind::NoBackendServer, 500)));
    let actions = router.offer(500 * MS_US, offer(2));
    assert!(
        matches!(actions[..], [Action::Dispatch { .. }]),
        "{actions:?}"
    );
    let actions = router.offer(600 * MS_US, offer(3));
    assert_eq!(refused(&actions), Some((Kind::NoBackendServer, 400)));
}

#[test]
fn a_server_that_states_a_rate_is_replaced_by_others_and_returns_slowly() {
    let mut router = router(2, 8, 100);
    rate(&mut router, 0, 0, Some(0.0));
    let mut sequence = 0;
    let mut sent_to = |router: &mut Router, now_us: u64, engine: &str| {
        let mut count = 0;
        for _ in 0..6 {
            sequence += 1;
            let actions = router.offer(now_us, offer(sequence));
            let is_to = |action: &Action| matches!(action, Action::Dispatch { backend, .. } if backend.as_str() == engine);
            count += actions.iter().filter(|action| is_to(action)).count();
        }
        count
    };
    assert_eq!(sent_to(&mut router, 0, "engine-1"), 6);
    rate(&mut router, SECOND_US, 0, None);
    assert_eq!(sent_to(&mut router, SECOND_US, "engine-0"), 1);
}

/// Guards against a server that receives any number of requests because its limit was known before
/// its entry.
#[rstest]
#[case::before_the_entry(false)]
#[case::entry_removed_and_back(true)]
fn the_rate_of_a_server_that_the_register_does_not_name_is_lost(#[case] was_known: bool) {
    let mut router = router(1, 4, 64);
    let backend = engine(1, 4).name;
    if was_known {
        router.configure(0, &register(2, 0, 4), &rules(64));
    }
    let per_s = Some(0.0);
    router.on_event(
        0,
        Event::Rate {
            backend: backend.clone(),
            per_s,
        },
    );
    router.configure(1, &register(1, 0, 4), &rules(64));
    router.configure(2, &register(2, 0, 4), &rules(64));
    let chosen = (1..=8).filter_map(|sequence| dispatched(&router.offer(3, offer(sequence))));
    assert!(chosen.into_iter().all(|chosen| chosen != backend));
}
