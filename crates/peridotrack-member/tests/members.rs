//! Tests of one router's membership, event by event.

use std::net::SocketAddr;

use peridotrack_member::{
    action::{Action, Event, ListedVm, Note},
    member::{Local, Members, Options},
    message::{HeartbeatSequence, Message, Record, Report, State},
    peer::Reason,
};
use peridotrack_types::{id, name};
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const SELF_PORT: u16 = 7_001;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn members() -> Members {
    members_with(Options::default())
}

/// Returns the membership of a router that ignores missing replies, so that only heartbeat
/// sequences decide which peers are live.
fn members_by_sequences() -> Members {
    members_with(Options {
        unanswered_heartbeats: u32::MAX,
        ..Options::default()
    })
}

fn members_with(options: Options) -> Members {
    let local = Local {
        vm: name::Vm::from("a"),
        incarnation: id::Incarnation(100),
        started_wall_ms: 1_000,
        failure_domain: name::FailureDomain::from("d1"),
        peer_address: address(SELF_PORT),
        caller_address: address(SELF_PORT),
    };
    let seeds = vec![address(7_009)];
    Members::new(local, seeds, options, 5, 0)
}

fn record(vm: &str, incarnation: u64, started_wall_ms: u64, heartbeat_sequence: u64) -> Record {
    Record {
        vm: name::Vm::from(vm),
        incarnation: id::Incarnation(incarnation),
        started_wall_ms,
        failure_domain: name::FailureDomain::from("d1"),
        peer_address: address(7_002),
        caller_address: address(7_002),
        heartbeat_sequence,
        config_version: 0,
        state: State::Serving,
    }
}

fn heartbeat(from: Record) -> Event {
    gossip(from, Vec::new(), Vec::new())
}

fn gossip(
    from: Record,
    records: Vec<Record>,
    heartbeat_sequences: Vec<HeartbeatSequence>,
) -> Event {
    Event::Message {
        from_address: address(9),
        message: Message::Heartbeat(Report {
            from,
            heartbeat_sequences,
            records,
            wanted_records: 0,
            domain_peers: 0,
        }),
    }
}

/// Ticks each second up to `end_us` and returns all actions.
fn tick_until(members: &mut Members, start_us: u64, end_us: u64) -> Vec<Action> {
    (start_us..=end_us)
        .step_by(usize::try_from(SECOND_US).unwrap())
        .flat_map(|now_us| members.on_event(now_us, Event::Tick))
        .collect()
}

/// Returns the peers that joined and left as text such as `+b` and `-b Silent`.
fn changes(actions: &[Action]) -> Vec<String> {
    let text = |action: &Action| match action {
        Action::Joined { peer } => Some(format!("+{}", peer.record.vm)),
        Action::Left { peer, reason } => Some(format!("-{} {reason:?}", peer.record.vm)),
        _ => None,
    };
    actions.iter().filter_map(text).collect()
}

fn live_incarnations(members: &Members, now_us: u64) -> Vec<u64> {
    let incarnation = |peer: &peridotrack_member::peer::Peer| peer.record.incarnation.0;
    members.live(now_us).map(incarnation).collect()
}

#[rstest]
#[case::newer_start(record("b", 2, 2_000, 1), &["-b Replaced", "+b"], 2)]
#[case::older_start(record("b", 2, 500, 99), &[], 1)]
#[case::same_start_lower_id(record("b", 0, 1_000, 99), &[], 1)]
#[case::same_incarnation(record("b", 1, 1_000, 6), &[], 1)]
#[case::late_message(record("b", 1, 1_000, 2), &[], 1)]
#[case::another_vm(record("c", 3, 500, 1), &["+c"], 1)]
fn only_a_newer_incarnation_replaces_one(
    #[case] later: Record,
    #[case] expected: &[&str],
    #[case] incarnation_of_b: u64,
    #[values(false, true)] is_gossiped: bool,
) {
    let mut members = members();
    let first = members.on_event(1, heartbeat(record("b", 1, 1_000, 5)));
    assert_eq!(changes(&first), ["+b"]);
    let event = if is_gossiped {
        gossip(record("b", 1, 1_000, 5), vec![later], Vec::new())
    } else {
        heartbeat(later)
    };
    let actions = members.on_event(2, event);
    assert_eq!(changes(&actions), expected);
    assert_eq!(live_incarnations(&members, 2)[0], incarnation_of_b);
}

#[test]
fn a_silent_peer_leaves_and_rejoins_with_its_next_heartbeat() {
    let mut members = members_by_sequences();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    let actions = tick_until(&mut members, 0, 11 * SECOND_US);
    assert_eq!(changes(&actions), ["-b Silent"]);
    assert!(live_incarnations(&members, 11 * SECOND_US).is_empty());
    let late = members.on_event(11 * SECOND_US, heartbeat(record("b", 1, 1_000, 5)));
    assert_eq!(changes(&late), Vec::<String>::new());
    let next = members.on_event(11 * SECOND_US, heartbeat(record("b", 1, 1_000, 6)));
    assert_eq!(changes(&next), ["+b"]);
}

#[test]
fn gossiped_heartbeat_sequences_keep_a_peer_live() {
    let mut members = members();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    for step in 1..30 {
        let entry = HeartbeatSequence {
            incarnation: id::Incarnation(1),
            sequence: 5 + step,
        };
        let now_us = step * SECOND_US;
        let event = gossip(record("c", 3, 1_000, step), Vec::new(), vec![entry]);
        members.on_event(now_us, event);
        assert!(live_incarnations(&members, now_us).contains(&1));
    }
}

#[rstest]
#[case::leave_notice(false)]
#[case::gossiped(true)]
fn a_stopped_incarnation_never_rejoins(#[case] is_gossiped: bool) {
    let mut members = members();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    let mut stopped = record("b", 1, 1_000, 6);
    stopped.state = State::Stopped;
    let event = if is_gossiped {
        gossip(record("c", 3, 1_000, 1), vec![stopped], Vec::new())
    } else {
        heartbeat(stopped)
    };
    let actions = members.on_event(1, event);
    assert!(changes(&actions).contains(&"-b Stopped".to_owned()));
    let late = members.on_event(2, heartbeat(record("b", 1, 1_000, 9)));
    assert_eq!(changes(&late), Vec::<String>::new());
    let restarted = members.on_event(3, heartbeat(record("b", 2, 2_000, 1)));
    assert_eq!(changes(&restarted), ["+b"]);
}

#[test]
fn a_peer_with_a_failed_send_is_unreachable_until_it_sends() {
    let mut members = members();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    let failed = Event::SendFailed {
        address: address(7_002),
    };
    let actions = members.on_event(1, failed);
    assert_eq!(changes(&actions), ["-b Unreachable"]);
    let entry = HeartbeatSequence {
        incarnation: id::Incarnation(1),
        sequence: 6,
    };
    let gossiped = gossip(record("c", 3, 1_000, 1), Vec::new(), vec![entry]);
    assert_eq!(changes(&members.on_event(2, gossiped)), ["+c"]);
    let direct = members.on_event(3, heartbeat(record("b", 1, 1_000, 6)));
    assert_eq!(changes(&direct), ["+b"]);
}

#[test]
fn peers_stay_live_at_first_after_a_pause_of_the_local_process() {
    let mut members = members_by_sequences();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    let resumed_us = 600 * SECOND_US;
    let actions = members.on_event(resumed_us, Event::Tick);
    assert!(actions.contains(&Action::Note(Note::Resumed { gap_us: resumed_us })));
    assert_eq!(live_incarnations(&members, resumed_us), [1]);
    let is_gossiped = actions.iter().any(|action| match action {
        Action::Send { message, .. } => !message.report().heartbeat_sequences.is_empty(),
        _ => false,
    });
    assert!(
        !is_gossiped,
        "gossiped the sequence of a peer without a heartbeat since the pause"
    );
    let later = tick_until(&mut members, resumed_us, resumed_us + 11 * SECOND_US);
    assert_eq!(changes(&later), ["-b Silent"]);
}

#[rstest]
#[case::successor(2_000, true)]
#[case::predecessor(500, false)]
fn a_newer_incarnation_on_the_local_vm_is_reported_once(
    #[case] started: u64,
    #[case] is_reported: bool,
) {
    let mut members = members();
    let by = id::Incarnation(7);
    let note = Action::Note(Note::Superseded { by });
    let first = members.on_event(1, heartbeat(record("a", 7, started, 1)));
    assert_eq!(first.contains(&note), is_reported);
    let second = members.on_event(2, heartbeat(record("a", 7, started, 2)));
    assert!(!second.contains(&note));
    assert!(live_incarnations(&members, 2).is_empty());
}

#[test]
fn listed_vms_are_contacted_and_leaving_vms_are_marked() {
    let mut members = members();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    let listed = |vm: &str, port, is_leaving| ListedVm {
        vm: name::Vm::from(vm),
        peer_address: Some(address(port)),
        is_leaving,
    };
    let vms = vec![listed("b", 7_002, true), listed("z", 7_050, false)];
    members.on_event(0, Event::VmList(vms));
    assert!(members.peers().all(|peer| peer.is_listed_leaving));
    let actions = tick_until(&mut members, 0, 9 * SECOND_US);
    let is_contact = |action: &Action| matches!(action, Action::Send { address: to, .. } if *to == address(7_050));
    assert!(actions.iter().any(is_contact));
}

#[test]
fn a_stopping_router_sends_leave_notices() {
    let mut members = members();
    members.on_event(0, heartbeat(record("b", 1, 1_000, 5)));
    let actions = members.stop(1);
    let [
        Action::Send {
            address: to,
            message,
        },
    ] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*to, address(7_002));
    assert_eq!(message.report().from.state, State::Stopped);
    assert!(message.report().from.heartbeat_sequence > 0);
}

#[test]
fn a_peer_without_replies_is_unreachable() {
    let mut members = members();
    let mut actions = Vec::new();
    for second in 0..20 {
        let entry = HeartbeatSequence {
            incarnation: id::Incarnation(1),
            sequence: 10 + second,
        };
        let now_us = second * SECOND_US;
        let records = vec![record("b", 1, 1_000, 5)];
        let mut from = record("c", 3, 1_000, second + 1);
        from.peer_address = address(7_003);
        actions.extend(members.on_event(now_us, gossip(from, records, vec![entry])));
        actions.extend(members.on_event(now_us, Event::Tick));
    }
    assert_eq!(changes(&actions), ["+c", "+b", "-b Unreachable"]);
    let status = |peer: &peridotrack_member::peer::Peer| peer.status;
    let left = peridotrack_member::peer::Status::Left(Reason::Unreachable);
    assert_eq!(members.peers().map(status).next(), Some(left));
}
