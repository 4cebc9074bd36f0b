//! Tests of one follower, event by event.

use std::ops::Range;

use peridotrack_follow::{
    event::{Action, Event},
    follower::{Follower, Options},
    message::{Change, DatedUpdate, Message, Snapshot, Update},
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

/// An update that the relay sent after the subscription of `subscribed_us`, `age_us` after its own view
/// was confirmed.
fn dated(subscribed_us: u64, age_us: u64, revision: u64, changes: &[Change]) -> Event {
    let update = Update {
        from_revision: 10,
        revision,
        changes: changes.to_vec(),
        since_loss_us: None,
    };
    let message = Message::DatedUpdate(DatedUpdate {
        subscribed_us,
        age_us,
        update,
    });
    Event::Peer {
        from: RELAY,
        message,
    }
}

fn subscribe(message: Message) -> Event {
    Event::Peer {
        from: SELF,
        message,
    }
}

fn messages(actions: &[Action]) -> Vec<Message> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

fn watched(revision: u64, changes: &[Change]) -> Event {
    Event::Watched {
        changes: changes.to_vec(),
        last_change: (!changes.is_empty()).then_some(revision),
        revision,
        since_loss_us: None,
    }
}

fn applied(actions: &[Action]) -> usize {
    let applies = actions
        .iter()
        .filter(|action| matches!(action, Action::Apply { .. }));
    applies.count()
}

fn watch_wait_ms(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Watch { wait_ms, .. } => Some(*wait_ms),
        _ => None,
    })
}

/// Returns a follower at revision 10 that a relay keeps current; its last watch of the store ended
/// at 20 ms.
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
fn updates_of_the_relay_replace_calls_to_the_store() {
    let mut follower = relayed();
    for step in 1..100 {
        let now_us = 20 * MS + step * 500 * MS;
        let actions = follower.on_event(now_us, update(10, 10 + step, &[]));
        assert_eq!(watch_wait_ms(&actions), None);
    }
    assert_eq!(follower.revision(), Some(109));
}

#[test]
fn a_silent_relay_is_replaced_by_a_watch() {
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
#[case::already_known(update(4, 10, &[change(b"x")]), 0, true)]
#[case::missed_one(update(11, 12, &[change(b"x")]), 0, false)]
#[case::too_large_to_send(update(12, 12, &[]), 0, false)]
fn updates_that_continue_the_view_are_applied(
    #[case] event: Event,
    #[case] applies: usize,
    #[case] is_relayed: bool,
) {
    let mut follower = relayed();
    let actions = follower.on_event(30 * MS, event);
    assert_eq!(applied(&actions), applies);
    assert_eq!(follower.is_relayed(30 * MS), is_relayed);
    assert_eq!(watch_wait_ms(&actions).is_some(), !is_relayed);
}

#[test]
fn updates_of_a_peer_that_is_not_the_relay_are_ignored() {
    let mut follower = relayed();
    let Event::Peer { message, .. } = update(10, 12, &[change(b"x")]) else {
        unreachable!()
    };
    let from = HIGHER;
    let actions = follower.on_event(30 * MS, Event::Peer { from, message });
    assert_eq!((applied(&actions), follower.revision()), (0, Some(10)));
}

#[rstest]
#[case::small(100, 10, 1)]
#[case::too_large_to_send(100_000, 12, 0)]
fn a_relay_sends_changes_to_its_subscribers(
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
    assert_eq!(applied(&actions), 1);
}

#[test]
fn failed_calls_are_repeated_with_backoff() {
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
fn a_lost_history_causes_another_list() {
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
fn a_view_that_is_too_old_is_listed_again(#[case] at_ms: u64, #[case] is_listed: bool) {
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

fn watched_revision(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Watch { revision, .. } => Some(*revision),
        _ => None,
    })
}

/// Guards against changes that are missed for good, because a watch without changes states a revision
/// beyond them.
#[test]
fn watches_go_on_from_a_stated_revision_only_once_it_is_old() {
    let settle_us = Options::default().settle_us;
    let mut follower = Follower::new(SELF, Options::default(), 0);
    follower.on_event(0, Event::Tick);
    follower.on_event(0, Event::Listed { revision: 10 });
    let unchanged = |revision| watched(revision, &[]);
    let first_us = 600 * MS;
    let actions = follower.on_event(first_us, unchanged(15));
    assert_eq!(watched_revision(&actions), Some(10));
    // The watch that ends now was sent before the first statement was old.
    let actions = follower.on_event(first_us + settle_us, unchanged(20));
    assert_eq!(watched_revision(&actions), Some(10));
    let wait_us = Options::default().wait_us;
    let actions = follower.on_event(first_us + settle_us + wait_us, unchanged(25));
    assert_eq!(watched_revision(&actions), Some(15));
    let actions = follower.on_event(first_us + settle_us + 2 * wait_us, unchanged(30));
    assert_eq!(watched_revision(&actions), Some(15));
}

/// Guards against subscribers that watch the store themselves for as long as a stated revision is not old,
/// after a relay has listed the objects.
#[test]
fn objects_are_listed_if_the_store_does_not_report_what_a_relay_has_announced() {
    let mut follower = relayed();
    let actions = follower.on_event(30 * MS, update(14, 14, &[]));
    assert_eq!(watch_wait_ms(&actions), Some(0));
    let actions = follower.on_event(40 * MS, watched(14, &[]));
    assert!(actions.contains(&Action::List));
    follower.on_event(50 * MS, Event::Listed { revision: 15 });
    follower.on_event(60 * MS, update(14, 14, &[]));
    assert!(follower.is_relayed(60 * MS));
}

/// Guards against an older object that replaces a newer one, and a change that is skipped, because the
/// response to a watch came after an update of the relay that moved the view past it.
#[test]
fn a_response_behind_the_view_changes_nothing() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    follower.on_event(0, Event::Peers(vec![RELAY]));
    let actions = follower.on_event(MS, Event::Listed { revision: 10 });
    assert_eq!(watched_revision(&actions), Some(10));
    let actions = follower.on_event(2 * MS, update(10, 20, &[change(b"new")]));
    assert_eq!(applied(&actions), 1);
    let event = Event::Watched {
        changes: vec![change(b"old")],
        last_change: Some(12),
        revision: 25,
        since_loss_us: None,
    };
    let actions = follower.on_event(3 * MS, event);
    assert_eq!((applied(&actions), follower.revision()), (0, Some(20)));
}

/// Guards against older objects of a peer that replace newer ones while the objects are listed anew.
#[test]
fn a_snapshot_older_than_the_view_is_not_adopted_after_the_history_was_lost() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    follower.on_event(0, Event::AllPeers(vec![RELAY]));
    follower.on_event(MS, Event::Listed { revision: 150 });
    follower.on_event(2 * MS, Event::HistoryLost);
    let snapshot = Snapshot {
        is_complete: true,
        revision: 120,
        objects: Vec::new(),
    };
    let event = Event::Peer {
        from: RELAY,
        message: Message::Snapshot(snapshot),
    };
    let actions = follower.on_event(3 * MS, event);
    let is_replaced = |action: &Action| matches!(action, Action::Replace(_));
    assert!(!actions.iter().any(is_replaced));
    assert_eq!(follower.revision(), Some(150));
}

#[rstest]
#[case::stated_beyond(12, Some(12))]
#[case::without_progress(10, None)]
#[case::without_a_revision(0, None)]
fn watches_go_on_from_the_last_change_or_else_the_objects_are_listed(
    #[case] last_change: u64,
    #[case] expected: Option<u64>,
) {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    follower.on_event(0, Event::Tick);
    follower.on_event(0, Event::Listed { revision: 10 });
    let event = Event::Watched {
        changes: vec![change(b"x")],
        last_change: Some(last_change),
        revision: 20,
        since_loss_us: None,
    };
    let actions = follower.on_event(MS, event);
    assert_eq!(watched_revision(&actions), expected);
    assert_eq!(actions.contains(&Action::List), expected.is_none());
    assert_eq!(applied(&actions), usize::from(expected.is_some()));
}

/// Guards against a view that is kept for ever, because one event stated a revision beyond the store's.
#[test]
fn an_event_moves_the_view_no_further_than_the_response_states() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    follower.on_event(0, Event::Tick);
    follower.on_event(0, Event::Listed { revision: 10 });
    let event = Event::Watched {
        changes: vec![change(b"x")],
        last_change: Some(1_000),
        revision: 12,
        since_loss_us: None,
    };
    let actions = follower.on_event(MS, event);
    assert_eq!(watched_revision(&actions), Some(12));
    assert_eq!(applied(&actions), 1);
}

/// Guards against a view that is kept for ever, because it states a revision beyond the store's: neither a
/// watch nor a list confirms it.
#[rstest]
#[case::watched(true)]
#[case::listed(false)]
fn a_view_beyond_the_revision_of_the_store_is_replaced_by_a_list(#[case] is_watched: bool) {
    let options = Options {
        relist_after_us: 2_000 * MS,
        ..Options::default()
    };
    let mut follower = Follower::new(SELF, options, 0);
    follower.on_event(0, Event::Tick);
    follower.on_event(0, Event::Listed { revision: 1_000 });
    let at_us = 2_500 * MS;
    let actions = match is_watched {
        true => follower.on_event(at_us, watched(10, &[])),
        false => {
            follower.on_event(MS, Event::CallFailed);
            follower.on_event(at_us, Event::Tick)
        }
    };
    assert!(actions.contains(&Action::List));
    assert_ne!(follower.confirmed_us(), Some(at_us));
    assert!(follower.accepts_list(10));
    let actions = follower.on_event(at_us + MS, Event::Listed { revision: 10 });
    assert_eq!(watched_revision(&actions), Some(10));
    assert_eq!(follower.confirmed_us(), Some(at_us + MS));
}

/// Guards against a subscriber that keeps its view for ever, after its relay has found that the store does
/// not have the revision of it.
#[test]
fn a_subscriber_lists_the_objects_if_the_revisions_of_its_relay_go_back() {
    let mut follower = relayed();
    let actions = follower.on_event(30 * MS, update(10, 1_000, &[change(b"x")]));
    assert_eq!((applied(&actions), follower.revision()), (1, Some(1_000)));
    let actions = follower.on_event(40 * MS, update(8, 8, &[]));
    assert!(actions.contains(&Action::List));
    assert!(!follower.is_relayed(40 * MS));
    follower.on_event(50 * MS, Event::Listed { revision: 8 });
    let actions = follower.on_event(60 * MS, update(8, 9, &[change(b"y")]));
    assert_eq!((applied(&actions), follower.revision()), (1, Some(9)));
    assert!(follower.is_relayed(60 * MS));
}

/// Guards against calls without a pause, which exceed the rates of the store for all routers.
#[rstest]
#[case::watches_end_at_once(watched(10, &[]))]
#[case::changes_are_repeated(watched(10, &[change(b"x")]))]
#[case::the_history_is_lost(Event::HistoryLost)]
#[case::the_store_lacks_the_revision(watched(9, &[]))]
#[case::watches_are_rejected(Event::CallRejected)]
fn calls_that_bring_nothing_are_paced(#[case] result: Event) {
    const SPAN_US: u64 = 60_000 * MS;
    let options = Options::default();
    let mut follower = Follower::new(SELF, options.clone(), 0);
    let mut actions = follower.on_event(0, Event::Tick);
    let mut calls = 0;
    for now_us in (MS..SPAN_US).step_by(MS as usize) {
        let is_list = actions.contains(&Action::List);
        let event = match is_list || watch_wait_ms(&actions).is_some() {
            true => {
                calls += 1;
                match is_list {
                    true => Event::Listed { revision: 10 },
                    false => result.clone(),
                }
            }
            false => Event::Tick,
        };
        actions = follower.on_event(now_us, event);
    }
    // A list and a watch after each of the longest delays, which are jittered by half.
    let limit = 2 * SPAN_US / (options.backoff_max_us / 2);
    assert!(calls <= limit, "{calls} calls, {limit} at most");
    assert!(follower.confirmed_us() > Some(SPAN_US - 1_000 * MS));
}

/// Guards against a view that is kept for ever, because the store rejects the calls of one sort while it
/// answers those of the other.
#[rstest]
#[case::lists(true)]
#[case::watches(false)]
fn calls_of_the_other_sort_keep_the_view_current_if_those_of_one_are_rejected(
    #[case] rejects_lists: bool,
) {
    const SPAN_US: u64 = 60_000 * MS;
    let options = Options {
        relist_after_us: 2_000 * MS,
        ..Options::default()
    };
    let longest_us = options.wait_us + options.backoff_max_us;
    let mut follower = Follower::new(SELF, options, 0);
    follower.on_event(0, Event::Tick);
    let mut actions = follower.on_event(0, Event::Listed { revision: 10 });
    // An outage, after which a list is preferred.
    let mut now_us = 5_000 * MS;
    follower.on_event(now_us, Event::CallFailed);
    let (mut ends_us, mut calls) = (None, 0);
    while now_us < SPAN_US {
        now_us += 10 * MS;
        let is_list = actions.contains(&Action::List);
        if is_list || watch_wait_ms(&actions).is_some() {
            let wait_us = watch_wait_ms(&actions).unwrap_or(0) * MS;
            let is_rejected = is_list == rejects_lists;
            let event = match (is_rejected, is_list) {
                (true, _) => Event::CallRejected,
                (false, true) => Event::Listed { revision: 10 },
                (false, false) => watched(10, &[]),
            };
            ends_us = Some((now_us + if is_rejected { 0 } else { wait_us }, event));
            calls += 1;
        }
        actions = match ends_us.take_if(|(at_us, _)| *at_us <= now_us) {
            Some((_, event)) => follower.on_event(now_us, event),
            None => follower.on_event(now_us, Event::Tick),
        };
        let confirmed_us = follower.confirmed_us().unwrap();
        let is_caught_up = now_us > 10_000 * MS;
        assert!(
            !is_caught_up || now_us <= confirmed_us + longest_us,
            "{now_us}"
        );
    }
    assert!(calls < 600, "{calls} calls");
}

/// Guards against changes that are missed for good, because the store has lost the latest ones and gives out
/// their revisions again.
#[test]
fn a_view_is_listed_again_after_the_store_was_rewound_although_a_relay_confirms_it() {
    let mut follower = relayed();
    let actions = follower.on_event(30 * MS, Event::Rewound);
    assert!(actions.contains(&Action::List));
    follower.on_event(40 * MS, Event::Listed { revision: 12 });
    assert_eq!(follower.revision(), Some(12));
    assert!(follower.is_relayed(40 * MS));
}

/// Guards against a router that asks no peer for the objects, although the store rejects all its calls.
#[test]
fn peers_are_asked_while_the_store_rejects_all_calls() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    let _ = follower.on_event(0, Event::AllPeers(vec![SELF, HIGHER]));
    let _ = follower.on_event(0, Event::Listed { revision: 10 });
    let mut asked = 0;
    for now_us in (MS..10_000 * MS).step_by(10 * MS as usize) {
        asked += fetches(&follower.on_event(now_us, Event::Tick));
        let _ = follower.on_event(now_us, Event::CallRejected);
    }
    assert!(asked > 10, "asked {asked} times");
}

/// A relay whose history is lost does not know which changes its subscribers lack.
#[test]
fn a_relay_that_has_listed_the_objects_tells_its_subscribers_at_once() {
    let mut follower = Follower::new(RELAY, Options::default(), 0);
    let _ = follower.on_event(0, Event::Peers(vec![SELF]));
    let _ = follower.on_event(MS, Event::Listed { revision: 10 });
    let subscribe = Event::Peer {
        from: SELF,
        message: Message::Subscribe,
    };
    let _ = follower.on_event(2 * MS, subscribe);
    let _ = follower.on_event(3 * MS, Event::HistoryLost);
    let actions = follower.on_event(4 * MS, Event::Listed { revision: 14 });
    let update = Update {
        from_revision: 14,
        revision: 14,
        ..Update::default()
    };
    let message = Message::Update(update);
    assert!(actions.contains(&Action::Send { to: SELF, message }));
}

fn led() -> Options {
    Options {
        is_led: true,
        silence_us: 20_000 * MS,
        ..Options::default()
    }
}

/// Guards against a view that stays stale for the length of a long wait: the leading follower
/// detects a silent relay.
#[test]
fn a_led_follower_watches_the_store_as_soon_as_the_leader_lost_its_relay() {
    let mut follower = Follower::new(SELF, led(), 0);
    let _ = follower.on_event(0, Event::Relay(Some(RELAY)));
    let _ = follower.on_event(10 * MS, Event::Listed { revision: 10 });
    let _ = follower.on_event(15 * MS, update(10, 10, &[]));
    let actions = follower.on_event(20 * MS, watched(10, &[]));
    assert_eq!(watch_wait_ms(&actions), None);
    assert_eq!(follower.relay(20 * MS), Some(RELAY));
    let actions = follower.on_event(15_000 * MS, Event::Relay(Some(RELAY)));
    assert_eq!(watch_wait_ms(&actions), None);
    let actions = follower.on_event(15_100 * MS, Event::Relay(None));
    assert!(watch_wait_ms(&actions).is_some());
}

#[test]
fn a_led_follower_relies_on_a_new_relay_only_after_its_first_update() {
    let mut follower = Follower::new(SELF, led(), 0);
    let _ = follower.on_event(0, Event::Relay(Some(HIGHER)));
    let _ = follower.on_event(10 * MS, Event::Listed { revision: 10 });
    let _ = follower.on_event(20 * MS, watched(10, &[]));
    let actions = follower.on_event(30 * MS, Event::Relay(Some(RELAY)));
    assert!(actions.contains(&Action::Send {
        to: RELAY,
        message: Message::Subscribe,
    }));
    assert_eq!(follower.relay(30 * MS), None);
    // Changes up to revision 12 are missing.
    let _ = follower.on_event(40 * MS, update(12, 12, &[]));
    assert_eq!(follower.relay(40 * MS), None);
    let _ = follower.on_event(50 * MS, update(10, 12, &[change(b"x")]));
    assert_eq!(follower.relay(50 * MS), Some(RELAY));
}

/// A watch that does not wait shows whether the store is available.
#[test]
fn a_watch_that_was_cut_off_is_followed_by_one_that_does_not_wait() {
    let options = Options::default();
    let mut follower = Follower::new(SELF, options.clone(), 0);
    let _ = follower.on_event(10 * MS, Event::Listed { revision: 10 });
    let _ = follower.on_event(400 * MS, Event::WatchCut);
    let actions = follower.on_event(500 * MS, Event::Tick);
    assert_eq!(watch_wait_ms(&actions), Some(0));
    let _ = follower.on_event(510 * MS, Event::CallFailed);
    let actions = follower.on_event(710 * MS, Event::Tick);
    assert_eq!(watch_wait_ms(&actions), Some(0));
    let actions = follower.on_event(720 * MS, watched(10, &[]));
    assert_eq!(watch_wait_ms(&actions), Some(options.retry_wait_us / MS));
    let actions = follower.on_event(1_220 * MS, watched(10, &[]));
    assert_eq!(watch_wait_ms(&actions), Some(options.wait_us / MS));
}

/// The relay has announced a change, so that the store responds at once if the connection works. With a
/// long wait, the timeout of a silent connection would pass only after the change had to be applied.
#[test]
fn a_watch_for_changes_that_a_relay_has_announced_does_not_wait() {
    let options = Options::default();
    let mut follower = relayed();
    let actions = follower.on_event(500 * MS, update(12, 12, &[]));
    assert_eq!(watch_wait_ms(&actions), Some(0));
    let actions = follower.on_event(510 * MS, watched(12, &[change(b"x")]));
    assert_eq!(applied(&actions), 1);
    assert_eq!(watch_wait_ms(&actions), Some(options.wait_us / MS));
}

/// Guards against calls without a pause to a store that cuts each watch off at once.
#[test]
fn watches_that_are_cut_off_at_once_are_repeated_with_backoff() {
    let options = Options::default();
    let mut follower = Follower::new(SELF, options, 0);
    let mut actions = follower.on_event(0, Event::Listed { revision: 10 });
    let mut calls = 0;
    for step in 1..=1_000 {
        let now_us = step * 10 * MS;
        actions = match watch_wait_ms(&actions) {
            Some(wait_ms) => {
                calls += 1;
                follower.on_event(
                    now_us,
                    match wait_ms {
                        0 => watched(10, &[]),
                        _ => Event::WatchCut,
                    },
                )
            }
            None => follower.on_event(now_us, Event::Tick),
        };
    }
    assert!(calls <= 80, "{calls} calls in 10 s");
}

fn snapshot(from: id::Incarnation, revision: u64) -> Event {
    let objects = vec![("a".to_owned(), b"new".to_vec())];
    let message = Message::Snapshot(Snapshot {
        is_complete: true,
        revision,
        objects,
    });
    Event::Peer { from, message }
}

fn fetches(actions: &[Action]) -> usize {
    let is_fetch = |action: &&Action| {
        matches!(
            action,
            Action::Send {
                message: Message::Fetch { .. },
                ..
            }
        )
    };
    actions.iter().filter(is_fetch).count()
}

fn replaces(actions: &[Action]) -> bool {
    let is_replacement = |action: &Action| matches!(action, Action::Replace(_));
    actions.iter().any(is_replacement)
}

/// Returns a follower without peers in its failure domain whose view is at revision 10, and whose
/// calls to the store fail for some seconds.
fn turned_away() -> (Follower, u64) {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    let _ = follower.on_event(0, Event::AllPeers(vec![SELF, HIGHER]));
    let _ = follower.on_event(10 * MS, Event::Listed { revision: 10 });
    let now_us = 3_000 * MS;
    let actions = follower.on_event(now_us, Event::CallFailed);
    assert_eq!(fetches(&actions), 1);
    (follower, now_us)
}

#[test]
fn peers_are_asked_only_while_calls_to_the_store_fail() {
    let (mut follower, now_us) = turned_away();
    let again = follower.on_event(now_us + 100 * MS, Event::Tick);
    assert_eq!(fetches(&again), 0);
    let later = follower.on_event(now_us + Options::default().fetch_us, Event::Tick);
    assert_eq!(fetches(&later), 1);
    let now_us = now_us + 10_000 * MS;
    let _ = follower.on_event(now_us, watched(10, &[]));
    let served = follower.on_event(now_us + 100 * MS, Event::Tick);
    assert_eq!(fetches(&served), 0);
}

#[test]
fn a_snapshot_of_a_peer_is_adopted_if_it_is_newer() {
    let (mut follower, now_us) = turned_away();
    assert!(!replaces(&follower.on_event(now_us, snapshot(RELAY, 12))));
    assert!(!replaces(&follower.on_event(now_us, snapshot(HIGHER, 10))));
    assert!(replaces(&follower.on_event(now_us, snapshot(HIGHER, 12))));
    assert_eq!(follower.revision(), Some(12));
    assert!(!replaces(&follower.on_event(now_us, snapshot(HIGHER, 11))));
}

/// Routers without a source must not confirm each other's view.
#[test]
fn objects_that_were_fetched_are_not_passed_on() {
    let fetch = |after| Event::Peer {
        from: HIGHER,
        message: Message::Fetch { after },
    };
    let is_sent = |actions: &[Action]| {
        let is_snapshot = |action: &Action| matches!(action, Action::SendSnapshot { .. });
        actions.iter().any(is_snapshot)
    };
    let mut follower = relayed();
    assert!(is_sent(&follower.on_event(30 * MS, fetch(None))));
    assert!(is_sent(&follower.on_event(30 * MS, fetch(Some(9)))));
    assert!(!is_sent(&follower.on_event(30 * MS, fetch(Some(10)))));
    let (mut follower, now_us) = turned_away();
    let _ = follower.on_event(now_us, snapshot(HIGHER, 12));
    assert_eq!(follower.revision(), Some(12));
    assert!(!is_sent(&follower.on_event(now_us, fetch(None))));
}

/// Guards against a router that has just started and takes the objects that it fetched for confirmed:
/// it asked no peer again and passed them on.
#[test]
fn objects_that_were_fetched_do_not_count_as_confirmed_after_a_start() {
    let options = Options {
        silence_us: 20_000 * MS,
        ..Options::default()
    };
    let start_us = 1_000 * MS;
    let mut follower = Follower::new(SELF, options, start_us);
    let _ = follower.on_event(start_us, Event::AllPeers(vec![SELF, HIGHER]));
    let _ = follower.on_event(start_us, Event::CallFailed);
    let now_us = start_us + 100 * MS;
    assert!(replaces(&follower.on_event(now_us, snapshot(HIGHER, 12))));
    let from = HIGHER;
    let message = Message::Fetch { after: None };
    let asked = follower.on_event(now_us, Event::Peer { from, message });
    let is_sent = |action: &Action| matches!(action, Action::SendSnapshot { .. });
    assert!(!asked.iter().any(is_sent));
    let later = follower.on_event(now_us + Options::default().fetch_us, Event::Tick);
    assert_eq!(fetches(&later), 1);
    assert!(replaces(&follower.on_event(now_us, snapshot(HIGHER, 13))));
}

/// Guards against a list that takes long and replaces the newer objects of a peer by older ones.
#[test]
fn a_list_that_is_older_than_the_objects_of_a_peer_is_discarded() {
    let mut follower = Follower::new(SELF, Options::default(), 0);
    let _ = follower.on_event(0, Event::AllPeers(vec![SELF, HIGHER]));
    let _ = follower.on_event(0, Event::CallFailed);
    let again = follower.on_event(1_000 * MS, Event::Tick);
    assert!(again.contains(&Action::List));
    assert!(replaces(
        &follower.on_event(1_100 * MS, snapshot(HIGHER, 12))
    ));
    assert!(!follower.accepts_list(11));
    let next = follower.on_event(1_200 * MS, Event::Listed { revision: 11 });
    assert_eq!(follower.revision(), Some(12));
    let is_watch = |action: &Action| matches!(action, Action::Watch { revision: 12, .. });
    assert!(next.iter().any(is_watch));
}

/// Guards against a router of a large failure domain that asks one peer after another of its own domain,
/// while the store turns away the domain as a whole.
#[rstest]
#[case::domain_turned_away(100..228)]
#[case::others_turned_away(1_000..1_016)]
fn peers_of_both_the_own_and_other_failure_domains_are_asked_soon(#[case] turned_away: Range<u64>) {
    /// Requests within which a peer that the store serves is asked.
    const REQUESTS: u64 = 4;
    let local: Vec<_> = (100..228).map(id::Incarnation).collect();
    let foreign = (1_000..1_016).map(id::Incarnation);
    let all: Vec<_> = local.iter().copied().chain(foreign).collect();
    for seed in 0..40 {
        let options = Options {
            seed,
            ..Options::default()
        };
        let fetch_us = options.fetch_us;
        let mut follower = Follower::new(SELF, options, 0);
        let _ = follower.on_event(0, Event::Peers(local.clone()));
        let _ = follower.on_event(0, Event::AllPeers(all.clone()));
        let mut actions = follower.on_event(0, Event::CallFailed);
        for request in 1..REQUESTS {
            actions.extend(follower.on_event(request * fetch_us, Event::Tick));
        }
        let is_served = |action: &Action| match action {
            Action::Send {
                to,
                message: Message::Fetch { .. },
            } => !turned_away.contains(&to.0),
            _ => false,
        };
        assert!(actions.iter().any(is_served), "seed {seed}");
    }
}

/// Guards against a view that lags behind by as much as the updates of a relay, which come regularly but
/// late.
#[rstest]
#[case::late(3_000, 0)]
#[case::of_a_late_relay(100, 2_900)]
fn late_updates_do_not_keep_the_view_current(#[case] subscribed_ms: u64, #[case] age_ms: u64) {
    let mut follower = relayed();
    let mut watches = 0;
    for step in 1..=10 {
        let now_us = 20 * MS + step * 500 * MS;
        let subscribed_us = now_us.saturating_sub(subscribed_ms * MS);
        let changes = [change(b"x")];
        let event = dated(subscribed_us, age_ms * MS, 10 + step, &changes);
        let actions = follower.on_event(now_us, event);
        watches += usize::from(watch_wait_ms(&actions).is_some());
        assert_eq!(follower.is_relayed(now_us), step <= 3);
    }
    assert_eq!(watches, 1);
    assert_eq!(follower.confirmed_us(), Some(20 * MS));
}

/// The updates of a relay are dated by the subscription that preceded them.
#[test]
fn updates_keep_the_view_current_for_a_time_after_the_subscription() {
    let options = Options::default();
    let mut follower = relayed();
    let subscribed_us = 1_500 * MS;
    let _ = follower.on_event(2_000 * MS, dated(subscribed_us, 0, 10, &[]));
    assert_eq!(follower.confirmed_us(), Some(subscribed_us));
    let until_us = subscribed_us + options.max_age_us;
    assert!(follower.is_relayed(until_us - 1));
    assert!(!follower.is_relayed(until_us));
    // An earlier update that arrives later does not shorten the time.
    let _ = follower.on_event(2_010 * MS, dated(1_000 * MS, 0, 10, &[]));
    assert!(follower.is_relayed(until_us - 1));
    // A relay is silent no later than after its last update.
    let _ = follower.on_event(3_000 * MS, dated(3_000 * MS, 0, 10, &[]));
    assert!(!follower.is_relayed(3_000 * MS + options.silence_us));
}

#[test]
fn a_relay_returns_the_latest_subscription_it_received() {
    let mut follower = Follower::new(RELAY, Options::default(), 0);
    let _ = follower.on_event(0, Event::Peers(vec![SELF]));
    let _ = follower.on_event(MS, Event::Listed { revision: 10 });
    let at = |sent_us| subscribe(Message::DatedSubscribe { sent_us });
    let update = |subscribed_us, age_us| {
        let update = Update {
            from_revision: 10,
            revision: 10,
            ..Update::default()
        };
        vec![Message::DatedUpdate(DatedUpdate {
            subscribed_us,
            age_us,
            update,
        })]
    };
    let first = follower.on_event(3 * MS, at(7_000));
    assert_eq!(messages(&first), update(7_000, 2 * MS));
    let _ = follower.on_event(4 * MS, at(9_000));
    let _ = follower.on_event(5 * MS, at(8_000));
    let _ = follower.on_event(6 * MS, subscribe(Message::Subscribe));
    let later = follower.on_event(600 * MS, watched(10, &[]));
    assert_eq!(messages(&later), update(9_000, 0));
}

/// Guards against routers that count the confirmations which a late router passes on as recent.
#[test]
fn an_update_that_is_passed_on_keeps_its_age() {
    let mut follower = relayed();
    let from = HIGHER;
    let message = Message::DatedSubscribe { sent_us: 77 };
    let _ = follower.on_event(500 * MS, Event::Peer { from, message });
    let actions = follower.on_event(1_000 * MS, dated(400 * MS, 100 * MS, 10, &[]));
    let passed_on = messages(&actions)
        .into_iter()
        .find_map(|message| match message {
            Message::DatedUpdate(update) => Some((update.subscribed_us, update.age_us)),
            _ => None,
        });
    assert_eq!(passed_on, Some((77, 700 * MS)));
}

/// A relay of an earlier release ignores dated subscriptions, and its updates have no age.
#[test]
fn a_relay_gets_the_subscription_of_earlier_releases_until_it_sends_a_dated_update() {
    let options = Options::default();
    let mut follower = relayed();
    let mut now_us = 20 * MS + options.subscribe_us;
    let both = |sent_us| vec![Message::DatedSubscribe { sent_us }, Message::Subscribe];
    let actions = follower.on_event(now_us, update(10, 10, &[]));
    assert_eq!(messages(&actions), both(now_us));
    assert!(follower.is_relayed(now_us + options.silence_us - 1));
    assert_eq!(follower.confirmed_us(), Some(now_us));
    now_us += options.subscribe_us;
    let actions = follower.on_event(now_us, dated(now_us, 0, 10, &[]));
    let sent_us = now_us;
    assert_eq!(messages(&actions), [Message::DatedSubscribe { sent_us }]);
}

/// A subscriber of an earlier release does not know dated updates.
#[test]
fn a_subscriber_of_an_earlier_release_gets_updates_without_an_age() {
    let mut follower = Follower::new(RELAY, Options::default(), 0);
    let _ = follower.on_event(0, Event::Peers(vec![SELF]));
    let _ = follower.on_event(MS, Event::Listed { revision: 10 });
    let update = [Message::Update(Update {
        from_revision: 10,
        revision: 10,
        ..Update::default()
    })];
    let first = follower.on_event(3 * MS, subscribe(Message::Subscribe));
    assert_eq!(messages(&first), update);
    let later = follower.on_event(600 * MS, watched(10, &[]));
    assert_eq!(messages(&later), update);
}

/// The leading follower detects late updates; those of a led one, which come rarely, count for long.
#[test]
fn a_led_follower_relies_on_updates_for_as_long_as_the_leader_relies_on_the_relay() {
    let options = Options {
        max_age_us: 20_000 * MS,
        ..led()
    };
    let mut follower = Follower::new(SELF, options, 0);
    let _ = follower.on_event(0, Event::Relay(Some(RELAY)));
    let _ = follower.on_event(10 * MS, Event::Listed { revision: 10 });
    let _ = follower.on_event(15 * MS, dated(5 * MS, 0, 10, &[]));
    let _ = follower.on_event(20 * MS, watched(10, &[]));
    let actions = follower.on_event(15_000 * MS, Event::Relay(Some(RELAY)));
    assert_eq!(watch_wait_ms(&actions), None);
    let actions = follower.on_event(15_100 * MS, Event::Relay(None));
    assert!(watch_wait_ms(&actions).is_some());
}
