//! Pauses that servers ask for: no request is sent in them, callers learn when the first one ends,
//! and their end is not met by all callers at once.

mod support;

use std::collections::BTreeSet;

use peridotrack_route::{
    eligibility::{Ineligibility, Reason},
    event::{Event, Offer, Outcome},
};
use peridotrack_types::problem::Kind;
use rstest::rstest;
use support::{SECOND_US, dispatched, engine, finish, refused, router};

const MS_US: u64 = 1_000;

fn pause(number: usize, duration_us: u64) -> Event {
    Event::Pause {
        backend: engine(number, 4).name,
        duration_us,
    }
}

fn offer(sequence: u64, deadline_us: u64) -> Offer {
    Offer {
        deadline_us,
        ..support::offer(sequence)
    }
}

#[test]
fn a_paused_server_receives_nothing_until_the_longest_pause_ends() {
    let mut router = router(2, 4, 64);
    router.on_event(0, pause(0, 4 * SECOND_US));
    router.on_event(SECOND_US, pause(0, SECOND_US));
    let mut first_us = None;
    for sequence in 1..1_000 {
        let now_us = sequence * 10 * MS_US;
        router.on_event(now_us, Event::Tick);
        let chosen = dispatched(&router.offer(now_us, offer(sequence, now_us + 10 * SECOND_US)));
        if chosen == Some(engine(0, 4).name) {
            first_us.get_or_insert(now_us);
        }
        finish(&mut router, now_us + 1, sequence, Outcome::Done);
    }
    let first_us = first_us.expect("the server is used again");
    assert!(
        (4 * SECOND_US..5 * SECOND_US).contains(&first_us),
        "{first_us}"
    );
}

/// A request that was sent before the pause may still be answered in it.
#[test]
fn a_success_does_not_end_a_pause() {
    let mut router = router(1, 4, 64);
    router.offer(0, offer(1, 10 * SECOND_US));
    router.on_event(0, pause(0, 4 * SECOND_US));
    finish(&mut router, SECOND_US, 1, Outcome::Done);
    let refusals = refused(&router.offer(SECOND_US, offer(2, 30 * SECOND_US)));
    assert_eq!(refusals, Some((Kind::NoBackendServer, 3_000)));
}

#[test]
fn callers_return_in_order_after_the_first_of_all_pauses() {
    let mut router = router(2, 4, 64);
    router.on_event(0, pause(0, 4 * SECOND_US));
    router.on_event(0, pause(1, 6 * SECOND_US));
    let returns: BTreeSet<u64> = (1..=20)
        .flat_map(|sequence| refused(&router.offer(SECOND_US, offer(sequence, 30 * SECOND_US))))
        .map(|(kind, retry_after_ms)| {
            assert_eq!(kind, Kind::NoBackendServer);
            retry_after_ms
        })
        .collect();
    assert!(returns.len() > 4, "{returns:?}");
    assert_eq!(returns.first(), Some(&3_000));
    assert!(returns.last() < Some(&4_000), "{returns:?}");
}

#[rstest]
#[case::cannot_wait(9, true)]
#[case::can_wait(20, false)]
fn a_queued_request_waits_for_the_end_of_a_pause_only_within_its_deadline(
    #[case] deadline_s: u64,
    #[case] is_refused: bool,
) {
    let mut router = router(1, 4, 64);
    for sequence in 1..=5 {
        router.offer(0, offer(sequence, deadline_s * SECOND_US));
    }
    let refusal = refused(&router.on_event(1, pause(0, 8 * SECOND_US)));
    assert_eq!(refusal.is_some(), is_refused);
    for sequence in 1..=4 {
        finish(&mut router, 2, sequence, Outcome::Done);
    }
    let later = router.on_event(9 * SECOND_US, Event::Tick);
    assert_eq!(dispatched(&later).is_some(), !is_refused);
}

#[test]
fn a_server_starts_slowly_after_its_pause() {
    let mut router = router(1, 4, 64);
    router.on_event(0, pause(0, 4 * SECOND_US));
    let now_us = 4 * SECOND_US;
    let at_once: usize = (1..=4)
        .filter_map(|sequence| dispatched(&router.offer(now_us, offer(sequence, 60 * SECOND_US))))
        .count();
    assert_eq!(at_once, 1);
}

#[test]
fn the_status_names_the_pause_and_its_end() {
    let mut router = router(1, 4, 64);
    router.on_event(0, pause(0, 4 * SECOND_US));
    let status = router.status(1).backend_servers;
    let expected = Ineligibility::until(Reason::Paused, 4 * SECOND_US);
    assert_eq!(status[0].ineligibilities, [expected]);
    let status = router.status(4 * SECOND_US).backend_servers;
    assert_eq!(status[0].ineligibilities, []);
}

/// A connection may take until after the pause began.
#[rstest]
#[case::pause(pause(0, 4 * SECOND_US))]
#[case::leaving(Event::LeavingStated { backend: engine(0, 4).name, started_ms: None })]
fn a_request_that_was_not_sent_yet_is_withdrawn_and_placed_elsewhere(#[case] event: Event) {
    let mut router = router(2, 4, 64);
    let first = (1..).find(|sequence| {
        let chosen = dispatched(&router.offer(0, offer(*sequence, 10 * SECOND_US)));
        chosen == Some(engine(0, 4).name)
    });
    let first = first.unwrap();
    assert!(router.may_send(0, support::request(first)));
    router.on_event(1, event);
    assert!(!router.may_send(1, support::request(first)));
    let next = finish(&mut router, 1, first, Outcome::Withdrawn);
    assert_eq!(dispatched(&next), Some(engine(1, 4).name));
    assert!(router.may_send(1, support::request(first)));
}

/// Guards against a server that gets all requests at once after a pause, because a limit ends in its slow
/// start and no other server could take the work meanwhile.
#[test]
fn the_end_of_a_limit_does_not_end_the_slow_start_after_a_pause() {
    let mut router = router(1, 4, 64);
    let rate = |per_s| Event::Rate {
        backend: engine(0, 4).name,
        per_s,
    };
    router.on_event(0, rate(Some(2.0)));
    router.on_event(0, pause(0, SECOND_US));
    router.on_event(SECOND_US + MS_US, rate(None));
    assert!(router.status(SECOND_US + MS_US).backend_servers[0].slow_start);
}
