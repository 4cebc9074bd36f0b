//! Retry budget and its effect when many engines fail.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_route::{
    event::{Action, Event, Offer, Outcome, Target},
    options::Options,
    retry,
    router::Router,
};
use peridotrack_types::problem::Kind;
use rstest::rstest;
use support::*;

#[rstest]
#[case::little_traffic(3, 1)]
#[case::ten(10, 1)]
#[case::hundred(100, 10)]
#[case::thousand(1_000, 100)]
fn budget_is_a_share_of_traffic(#[case] dispatches: u64, #[case] expected: usize) {
    let mut budget = retry::Budget::new(0.1, 1.0);
    for _ in 0..dispatches {
        budget.on_first_dispatch(0);
    }
    let taken = (0..2_000).filter(|_| budget.try_take(SECOND_US)).count();
    assert_eq!(taken, expected);
    assert!(budget.try_take(11 * SECOND_US), "the window has passed");
}

/// Bounds the attempts per offered request after half of the engines vanished. Without a retry
/// budget, retries of the failed attempts would overload the other half.
#[rstest]
#[case::connections_refused(Outcome::ConnectFailed)]
#[case::connections_break(Outcome::Broken { sent: true, events_seen: 0 })]
fn attempts_stay_bounded_when_half_of_the_engines_vanish(#[case] failure: Outcome) {
    const REQUEST_US: u64 = 400_000;
    const STEP_US: u64 = 10_000;
    const VANISH_US: u64 = 10 * SECOND_US;
    let mut router = router(14, 8, 64);
    let vanished: Vec<_> = (0..7).map(|number| engine(number, 8).name).collect();
    let mut ends = BTreeMap::<u64, Vec<u64>>::new();
    let (mut offers, mut attempts, mut sequence) = (0, 0, 0);
    for now_us in (0..30 * SECOND_US).step_by(STEP_US as usize) {
        let mut actions = router.on_event(now_us, Event::Tick);
        sequence += 1;
        let mut offer = offer(sequence);
        offer.deadline_us = now_us + 30 * SECOND_US;
        actions.extend(router.offer(now_us, offer));
        offers += u32::from(now_us >= VANISH_US);
        for ended in ends.remove(&now_us).unwrap_or_default() {
            actions.extend(finish(&mut router, now_us, ended, Outcome::Done));
        }
        while let Some(action) = actions.pop() {
            let Action::Dispatch {
                request_id,
                backend,
                ..
            } = action
            else {
                continue;
            };
            attempts += u32::from(now_us >= VANISH_US);
            if now_us >= VANISH_US && vanished.contains(&backend) {
                actions.extend(finish(&mut router, now_us, request_id.sequence, failure));
            } else {
                let end_us = now_us + REQUEST_US;
                ends.entry(end_us).or_default().push(request_id.sequence);
            }
        }
    }
    let amplification = f64::from(attempts) / f64::from(offers);
    assert!(amplification <= 1.1, "{attempts} attempts for {offers}");
}

#[test]
fn uncharged_refusal_retries_do_not_use_the_retry_budget() {
    let mut router = router(4, 8, 64);
    for sequence in 1..=8 {
        let now_us = sequence * SECOND_US;
        router.on_event(now_us, Event::Tick);
        let mut offer = offer(sequence);
        offer.deadline_us = now_us + 30 * SECOND_US;
        let first = dispatched(&router.offer(now_us, offer)).expect("a dispatch");
        let actions = finish(&mut router, now_us, sequence, Outcome::RefusedNotRun);
        let second = dispatched(&actions).expect("another dispatch");
        assert_ne!(first, second);
        finish(&mut router, now_us, sequence, Outcome::Done);
    }
}

#[test]
fn retry_budget_counts_only_traffic_of_its_own_pool() {
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    router.configure(0, &register(4, 8, 64), &rules(64));
    let mut retries = 0;
    for sequence in 1..=200 {
        router.offer(SECOND_US, offer(sequence));
        finish(&mut router, SECOND_US, sequence, Outcome::Done);
    }
    for sequence in 201..=210 {
        let call = Offer {
            target: Target::Service(SERVICE.into()),
            ..offer(sequence)
        };
        router.offer(SECOND_US, call);
        let outcome = Outcome::Broken {
            sent: true,
            events_seen: 0,
        };
        let actions = finish(&mut router, SECOND_US, sequence, outcome);
        retries += usize::from(dispatched(&actions).is_some());
    }
    assert_eq!(retries, 1, "a tenth of 10 requests");
}

/// A router that is partitioned from all servers knows nothing of them, and serves again as soon as
/// there is a path.
#[test]
fn attempts_without_a_path_leave_all_servers_eligible() {
    const ENGINES: usize = 4;
    let mut router = router(ENGINES, 8, 64);
    for sequence in 1..=100 {
        let actions = router.offer(0, offer(sequence));
        assert!(dispatched(&actions).is_some(), "{actions:?}");
        let mut actions = finish(&mut router, 0, sequence, Outcome::NoPath);
        while dispatched(&actions).is_some() {
            actions = finish(&mut router, 0, sequence, Outcome::NoPath);
        }
        assert_eq!(refused(&actions), Some((Kind::NoBackendServer, 1_000)));
    }
    let used: BTreeSet<_> = (101..=100 + ENGINES as u64)
        .filter_map(|sequence| dispatched(&router.offer(0, offer(sequence))))
        .collect();
    assert_eq!(used.len(), ENGINES);
}
