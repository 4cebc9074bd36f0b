//! Fault cases for the usage log of one router: lost messages, failed flushes and lost origins.

mod support;

use peridotrack_once::usage;
use peridotrack_types::id;
use rstest::rstest;
use support::records;

const LOCAL: id::Incarnation = id::Incarnation(1);
const PEER: id::Incarnation = id::Incarnation(2);
const OTHER: id::Incarnation = id::Incarnation(3);

fn request_id(incarnation: id::Incarnation, sequence: u64) -> id::Request {
    id::Request {
        incarnation,
        sequence,
    }
}

fn local_record(sequence: u64) -> usage::Record {
    records::record(&format!("key-{sequence}"), request_id(LOCAL, sequence), 100)
}

fn log(peers: &[id::Incarnation]) -> usage::Log {
    let mut log = usage::Log::new(LOCAL, usage::Options::default(), 0);
    assert_eq!(log.set_peers(0, peers), []);
    log
}

fn released(actions: &[usage::Action]) -> Vec<u64> {
    let sequence = |action: &usage::Action| match action {
        usage::Action::ReleaseResponse { request_id } => Some(request_id.sequence),
        _ => None,
    };
    actions.iter().filter_map(sequence).collect()
}

fn written(actions: &[usage::Action]) -> Option<(String, usage::Batch)> {
    actions.iter().find_map(|action| match action {
        usage::Action::Write { object, body } => Some((object.clone(), body.clone())),
        _ => None,
    })
}

fn held_event(sequence: u64) -> usage::Event {
    let message = usage::Message::Held {
        origin: LOCAL,
        sequence,
    };
    usage::Event::Received {
        peer: PEER,
        message,
    }
}

fn copy_event(origin: id::Incarnation, sequence: u64, flushed_through: u64) -> usage::Event {
    let record = records::record("key", request_id(origin, sequence), 100);
    usage::Event::Received {
        peer: origin,
        message: usage::Message::Copy {
            origin,
            copy: usage::Copy {
                sequence,
                records: vec![record],
            },
            flushed_through,
        },
    }
}

/// Event by which the response of a record is released.
enum Trigger {
    PeerAcknowledges,
    FlushSucceeds,
    /// The flush fails and no peer acknowledges.
    Nothing,
}

#[rstest]
#[case::acknowledged(&[PEER], Trigger::PeerAcknowledges, 1_000, false)]
#[case::flushed_without_ack(&[PEER], Trigger::FlushSucceeds, 50_000, false)]
#[case::flushed_alone(&[], Trigger::FlushSucceeds, 50_000, false)]
#[case::bounded_with_peer(&[PEER], Trigger::Nothing, 200_000, true)]
#[case::bounded_alone(&[], Trigger::Nothing, 200_000, true)]
fn a_response_is_released_when_its_record_is_safe_or_after_a_timeout(
    #[case] peers: &[id::Incarnation],
    #[case] trigger: Trigger,
    #[case] released_us: u64,
    #[case] is_unprotected: bool,
) {
    let mut log = log(peers);
    assert_eq!(released(&log.record(0, local_record(1))), [0; 0]);
    for now_us in (1_000..released_us).step_by(1_000) {
        let actions = log.on_event(now_us, usage::Event::Tick);
        assert_eq!(released(&actions), [0; 0], "released too early at {now_us}");
        if let (Some((object, _)), Trigger::Nothing) = (written(&actions), &trigger) {
            log.on_event(now_us, usage::Event::FlushUnknown { object });
        }
    }
    let actions = match trigger {
        Trigger::PeerAcknowledges => log.on_event(released_us, held_event(1)),
        Trigger::FlushSucceeds => {
            let actions = log.on_event(released_us, usage::Event::Tick);
            let (object, batch) = written(&actions).expect("a flush");
            assert_eq!(
                (object.as_str(), batch.sequence),
                ("usage/0000000000000001/1", 1)
            );
            log.on_event(released_us, usage::Event::Flushed { object })
        }
        Trigger::Nothing => log.on_event(released_us, usage::Event::Tick),
    };
    assert_eq!(released(&actions), [1]);
    let request_id = request_id(LOCAL, 1);
    let note = usage::Action::Note(usage::Note::Unprotected { request_id });
    assert_eq!(actions.contains(&note), is_unprotected);
}

#[rstest]
#[case::lost_response(|object| usage::Event::FlushUnknown { object })]
#[case::refused(|object| usage::Event::FlushRefused { object, retry_after_ms: 10 })]
fn a_batch_is_written_again_unchanged(#[case] failure: fn(String) -> usage::Event) {
    let mut log = log(&[PEER]);
    log.record(0, local_record(1));
    log.on_event(1_000, held_event(1));
    let first = written(&log.on_event(10_000_000, usage::Event::Tick)).expect("a flush");
    log.on_event(10_040_000, failure(first.0.clone()));
    log.record(10_050_000, local_record(2));
    let again = written(&log.on_event(10_200_000, usage::Event::Tick));
    assert_eq!(
        again.as_ref(),
        Some(&first),
        "newer records wait for the next batch"
    );
    let object = first.0;
    let actions = log.on_event(10_210_000, usage::Event::Flushed { object });
    let through = 1;
    let message = usage::Message::Flushed {
        origin: LOCAL,
        through,
    };
    assert!(actions.contains(&usage::Action::Send {
        peer: PEER,
        message
    }));
    assert_eq!(log.backlog_records(), 1);
}

#[rstest]
#[case::origin_lost(false, 5_000_000)]
#[case::stopping(true, 1_000)]
fn copies_are_flushed_for_a_lost_origin(#[case] is_stopping: bool, #[case] recover_after_us: u64) {
    let mut log = log(&[PEER, OTHER]);
    log.on_event(0, copy_event(PEER, 1, 0));
    log.on_event(0, copy_event(PEER, 2, 1));
    log.on_event(0, copy_event(PEER, 1, 0));
    assert_eq!(
        log.held_records(),
        1,
        "the first copy is flushed, even if it arrives again"
    );
    let actions = if is_stopping {
        log.stop(recover_after_us)
    } else {
        log.set_peers(0, &[OTHER]);
        assert_eq!(log.next_tick_us(), Some(recover_after_us));
        log.on_event(recover_after_us, usage::Event::Tick)
    };
    let (object, batch) = written(&actions).expect("a recovery");
    assert_eq!(object, "usage/0000000000000002/0000000000000001/1");
    assert_eq!(
        (batch.origin, batch.writer, batch.records.len()),
        (PEER, LOCAL, 1)
    );
    log.on_event(recover_after_us, usage::Event::Flushed { object });
    assert!(log.is_flushed());
}

#[test]
fn a_stopping_router_accepts_no_copies() {
    let mut log = log(&[PEER]);
    log.stop(0);
    assert_eq!(log.on_event(1, copy_event(PEER, 1, 0)), []);
    assert!(log.is_flushed());
}

#[test]
fn a_record_is_copied_again_when_its_holder_leaves() {
    let mut log = log(&[PEER]);
    log.record(0, local_record(1));
    log.on_event(1_000, held_event(1));
    assert_eq!(log.unprotected_records(), 0);
    let actions = log.set_peers(2_000, &[OTHER]);
    assert_eq!(log.unprotected_records(), 1);
    let is_copy = |action: &usage::Action| {
        matches!(
            action,
            usage::Action::Send {
                peer: OTHER,
                message: usage::Message::Copy { .. }
            }
        )
    };
    assert!(actions.iter().any(is_copy), "{actions:?}");
}

#[test]
fn an_origin_is_notified_of_copies_held_for_long() {
    let mut log = log(&[PEER]);
    let message = usage::Message::Held {
        origin: PEER,
        sequence: 1,
    };
    log.on_event(0, copy_event(PEER, 1, 0));
    let actions = log.on_event(30_000_000, usage::Event::Tick);
    let reminder = usage::Action::Send {
        peer: PEER,
        message,
    };
    assert_eq!(actions, [reminder]);
}
