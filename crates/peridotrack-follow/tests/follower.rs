//! One follower, step by step.

use peridotrack_follow::{
    event::{Action, Event},
    follower::{Follower, Options},
    message::{Change, Message, Update},
};
use peridotrack_types::id;
use rstest::rstest;

const SELF: id::Incarnation = id::Incarnation(5);
const RELAY: id::Incarnation = id::Incarnation(2);
const HIGHER: id::Incarnation = id::Incarnation(9);
const MS: u64 = 1_000;

fn change(content: &[u8]) -> Change {
    Change {
        name: "a".to_owned(),
        content: content.to_vec(),
        is_removed: false,
    }
}

fn update(from_revision: u64, revision: u64, changes: &[Change]) -> Event {
    Event::Peer {
        from: RELAY,
        message: Message::Update(Update {
            from_revision,
            revision,
            changes: changes.to_vec(),
            since_loss_us: None,
        }),
    }
}

fn watched(revision: u64, changes: &[Change]) -> Event {
    Event::Watched {
        changes: changes.to_vec(),
        revision,
        since_loss_us: None,
    }
}

fn taken(actions: &[Action]) -> usize {
    let takes = actions
        .iter()
        .filter(|action| matches!(action, Action::Apply { .. }));
    takes.count()
}

fn watch_wait_ms(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Watch { wait_ms, .. } => Some(*wait_ms),
        _ => None,
    })
}

/// A follower at revision 10 that has a lower peer, with its own watch ended at 20 ms.
fn relayed() -> Follower {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    let _ = follower.on_event(0, Event::Peers(vec![RELAY, HIGHER]));
    let _ = follower.on_event(10 * MS, Event::Listed { revision: 10 });
    let _ = follower.on_event(15 * MS, update(10, 10, &[]));
    let _ = follower.on_event(20 * MS, watched(10, &[]));
    assert!(follower.is_relayed(20 * MS));
    follower
}

#[test]
fn a_follower_that_hears_its_relay_makes_no_calls() {
    let mut follower = relayed();
    for step in 1..100 {
        let now_us = 20 * MS + step * 500 * MS;
        let actions = follower.on_event(now_us, update(10, 10 + step, &[]));
        assert_eq!(watch_wait_ms(&actions), None);
    }
    assert_eq!(follower.revision(), Some(109));
}

#[test]
fn silence_ends_relaying() {
    let mut follower = relayed();
    let silence_us = Options::default().silence_us;
    let before = follower.on_event(silence_us, Event::Tick);
    assert_eq!(watch_wait_ms(&before), None);
    let after = follower.on_event(20 * MS + silence_us, Event::Tick);
    assert!(watch_wait_ms(&after).is_some());
}

#[rstest]
#[case::continued(update(10, 12, &[change(b"x")]), 1, true)]
#[case::overlapping(update(4, 12, &[change(b"x")]), 1, true)]
#[case::known_already(update(4, 10, &[change(b"x")]), 0, true)]
#[case::missed_one(update(11, 12, &[change(b"x")]), 0, false)]
#[case::told_of_a_large_one(update(12, 12, &[]), 0, false)]
fn updates_count_if_they_continue_the_view(
    #[case] event: Event,
    #[case] takes: usize,
    #[case] is_relayed: bool,
) {
    let mut follower = relayed();
    let actions = follower.on_event(30 * MS, event);
    assert_eq!(taken(&actions), takes);
    assert_eq!(follower.is_relayed(30 * MS), is_relayed);
    assert_eq!(watch_wait_ms(&actions).is_some(), !is_relayed);
}

#[test]
fn only_the_chosen_relay_counts() {
    let mut follower = relayed();
    let Event::Peer { message, .. } = update(10, 12, &[change(b"x")]) else {
        unreachable!()
    };
    let from = HIGHER;
    let actions = follower.on_event(30 * MS, Event::Peer { from, message });
    assert_eq!((taken(&actions), follower.revision()), (0, Some(10)));
}

#[rstest]
#[case::small(100, 10, 1)]
#[case::too_large_to_pass_on(100_000, 12, 0)]
fn a_relay_passes_changes_on(
    #[case] bytes: usize,
    #[case] from_revision: u64,
    #[case] changes: usize,
) {
    let mut follower = Follower::new(RELAY, Options::default(), 0);
    let _ = follower.on_event(0, Event::Peers(vec![SELF]));
    let actions = follower.on_event(MS, Event::Listed { revision: 10 });
    assert_eq!(watch_wait_ms(&actions), Some(600));
    let subscribe = Event::Peer {
        from: SELF,
        message: Message::Subscribe,
    };
    let _ = follower.on_event(2 * MS, subscribe);
    let actions = follower.on_event(3 * MS, watched(12, &[change(&vec![0; bytes])]));
    let sent = actions.iter().find_map(|action| match action {
        Action::Send {
            message: Message::Update(update),
            ..
        } => Some((update.from_revision, update.changes.len())),
        _ => None,
    });
    assert_eq!(sent, Some((from_revision, changes)));
    assert_eq!(taken(&actions), 1);
}

#[test]
fn failed_calls_are_repeated_ever_less_often() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    let mut now_us = 0;
    let mut calls = 0;
    while now_us < 10_000 * MS {
        let actions = follower.on_event(now_us, Event::Tick);
        if !actions.is_empty() {
            calls += 1;
            let _ = follower.on_event(now_us, Event::CallFailed);
        }
        now_us += 10 * MS;
    }
    assert!((25..=60).contains(&calls), "{calls} calls");
}

#[test]
fn a_lost_history_needs_another_list() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    let first = follower.on_event(0, Event::Tick);
    assert_eq!(first, [Action::List]);
    let _ = follower.on_event(MS, Event::Listed { revision: 3 });
    let again = follower.on_event(2 * MS, Event::HistoryLost);
    assert_eq!(again, [Action::List]);
}

#[rstest]
#[case::soon(900, false)]
#[case::late(1_100, true)]
fn a_view_that_is_too_old_is_listed_anew(#[case] at_ms: u64, #[case] is_listed: bool) {
    let options = Options {
        relist_after_us: 1_000 * MS,
        ..Options::default()
    };
    let mut follower = Follower::new(SELF, options, 0);
    follower.on_event(0, Event::Tick);
    follower.on_event(0, Event::Listed { revision: 10 });
    follower.on_event(600 * MS, Event::CallFailed);
    let actions = follower.on_event(at_ms * MS, Event::Tick);
    assert_eq!(actions.contains(&Action::List), is_listed);
    assert_eq!(watch_wait_ms(&actions).is_some(), !is_listed);
}
