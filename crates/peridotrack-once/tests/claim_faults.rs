//! Fault cases for the claims of one router: lost responses, conflicts, an unavailable store and
//! pauses.

mod support;

use std::collections::BTreeMap;

use peridotrack_once::{claim, digest, shard_object};
use peridotrack_types::{id, name, problem::Kind};
use rstest::rstest;

const LOCAL: id::Incarnation = id::Incarnation(1);
const OTHER: id::Incarnation = id::Incarnation(2);
const DEADLINE_US: u64 = 1_000_000;

fn request_id(incarnation: id::Incarnation) -> id::Request {
    id::Request {
        incarnation,
        sequence: 1,
    }
}

fn account() -> name::ClientAccount {
    name::ClientAccount::from("gramedia")
}

fn request(sequence: u64, deadline_us: u64) -> claim::Request<'static> {
    claim::Request {
        request_id: id::Request {
            incarnation: LOCAL,
            sequence,
        },
        account: account(),
        key: "order-17",
        request_digest: [1; 32],
        deadline_us,
    }
}

/// Returns a head with another router's claim of the same key.
fn claimed_by_other(state: shard_object::State, request_digest: u8) -> shard_object::ShardObject {
    let row = shard_object::Row {
        request_digest: digest::Digest([request_digest; 32]),
        nonce: 99,
        incarnation: OTHER,
        request_id: request_id(OTHER),
        timeout_ms: 5_000,
        state,
    };
    shard_object::ShardObject {
        rows: BTreeMap::from([(digest::of_key(&account(), "order-17"), row)]),
        ..shard_object::ShardObject::default()
    }
}

fn responded(body: shard_object::Body) -> shard_object::State {
    shard_object::State::Responded(shard_object::Response {
        status: 201,
        content_type: "text/plain".to_owned(),
        body,
    })
}

fn refuse(kind: Kind, retry_after_ms: Option<u64>) -> claim::Decision {
    claim::Decision::Refuse {
        kind,
        retry_after_ms,
    }
}

fn decisions(actions: &[claim::Action]) -> Vec<claim::Decision> {
    let decision = |action: &claim::Action| match action {
        claim::Action::Decide { decision, .. } => Some(decision.clone()),
        _ => None,
    };
    actions.iter().filter_map(decision).collect()
}

fn read(actions: &[claim::Action]) -> String {
    let object = |action: &claim::Action| match action {
        claim::Action::Read { object } => Some(object.clone()),
        _ => None,
    };
    actions.iter().find_map(object).expect("a read")
}

fn write(actions: &[claim::Action]) -> (Option<u64>, shard_object::ShardObject) {
    let write = |action: &claim::Action| match action {
        claim::Action::Write { expected, body, .. } => Some((*expected, body.clone())),
        _ => None,
    };
    actions.iter().find_map(write).expect("a write")
}

/// Begins a request and runs it until its first write, of a head at version 3.
fn first_write() -> (claim::Claims, String, shard_object::ShardObject) {
    let mut claims = claim::Claims::new(LOCAL, claim::Options::default(), 1, 0);
    let object = read(&claims.begin(0, request(1, DEADLINE_US)));
    let event = claim::Event::Read {
        object: object.clone(),
        version: 3,
        body: shard_object::ShardObject::default(),
    };
    claims.on_event(1_000, event);
    let (expected, body) = write(&claims.on_event(3_000, claim::Event::Tick));
    assert_eq!(expected, Some(3));
    (claims, object, body)
}

/// The row that the store has when the head is read back.
enum Stored {
    Nothing,
    Local,
    Other(u8),
}

#[rstest]
#[case::lost_response_local(true, Stored::Local, Some(claim::Decision::Granted))]
#[case::lost_response_other(true, Stored::Other(1), Some(refuse(Kind::InProgress, Some(1_000))))]
#[case::lost_response_other_request(true, Stored::Other(2), Some(refuse(Kind::KeyConflict, None)))]
#[case::lost_request(true, Stored::Nothing, None)]
#[case::conflict(false, Stored::Other(1), Some(refuse(Kind::InProgress, Some(1_000))))]
#[case::conflict_other_key(false, Stored::Nothing, None)]
fn a_claim_is_read_back_after_a_failed_write(
    #[case] is_response_lost: bool,
    #[case] stored: Stored,
    #[case] decision: Option<claim::Decision>,
) {
    let (mut claims, object, written) = first_write();
    let event = if is_response_lost {
        claim::Event::WriteUnknown {
            object: object.clone(),
        }
    } else {
        claim::Event::Conflict {
            object: object.clone(),
        }
    };
    assert_eq!(decisions(&claims.on_event(4_000, event)), []);
    assert!(
        !claims.may_send(4_000, request_id(LOCAL)),
        "the claim is not known to be stored"
    );

    let object = read(&claims.on_event(20_000, claim::Event::Tick));
    let (version, body) = match stored {
        Stored::Nothing if is_response_lost => (3, shard_object::ShardObject::default()),
        Stored::Nothing => (4, shard_object::ShardObject::default()),
        Stored::Local => (4, written.clone()),
        Stored::Other(request_digest) => (
            4,
            claimed_by_other(shard_object::State::Claimed, request_digest),
        ),
    };
    let actions = claims.on_event(
        21_000,
        claim::Event::Read {
            object,
            version,
            body,
        },
    );
    match decision {
        Some(decision) => assert_eq!(decisions(&actions), [decision]),
        None => {
            let (expected, again) = write(&actions);
            assert_eq!(
                (expected, again),
                (Some(version), written),
                "the same row is written again"
            );
        }
    }
}

#[rstest]
#[case::text(responded(shard_object::Body::Text("978-0".to_owned())), 1, 0, claim::Decision::Replay {
    status: 201, content_type: "text/plain".to_owned(), body: b"978-0".to_vec(),
})]
#[case::bytes(responded(shard_object::Body::Hex("ff00".to_owned())), 1, 0, claim::Decision::Replay {
    status: 201, content_type: "text/plain".to_owned(), body: vec![255, 0],
})]
#[case::too_large(
    responded(shard_object::Body::TooLarge),
    1,
    0,
    refuse(Kind::OutcomeUnknown, None)
)]
#[case::unknown(shard_object::State::Unknown, 1, 0, refuse(Kind::OutcomeUnknown, None))]
#[case::running(
    shard_object::State::Claimed,
    1,
    0,
    refuse(Kind::InProgress, Some(1_000))
)]
#[case::nearly_overdue(
    shard_object::State::Claimed,
    1,
    4_900_000,
    refuse(Kind::InProgress, Some(98))
)]
#[case::overdue(
    shard_object::State::Claimed,
    1,
    5_000_000,
    refuse(Kind::OutcomeUnknown, None)
)]
#[case::other_request(
    responded(shard_object::Body::TooLarge),
    2,
    0,
    refuse(Kind::KeyConflict, None)
)]
fn a_claimed_key_is_never_granted(
    #[case] state: shard_object::State,
    #[case] request_digest: u8,
    #[case] second_us: u64,
    #[case] decision: claim::Decision,
) {
    let mut claims = claim::Claims::new(LOCAL, claim::Options::default(), 1, 0);
    let body = claimed_by_other(state, request_digest);
    let mut actions = Vec::new();
    // On the first request this router first reads the claim; the second arrives at
    // `second_us`.
    for (sequence, now_us) in [(1, 0), (2, second_us)] {
        let object = read(&claims.begin(now_us, request(sequence, now_us + DEADLINE_US)));
        let event = claim::Event::Read {
            object,
            version: 7,
            body: body.clone(),
        };
        actions = claims.on_event(now_us, event);
        if decisions(&actions).is_empty() {
            actions = claims.on_event(now_us + 2_000, claim::Event::Tick);
        }
        claims.on_event(now_us + 60_000, claim::Event::Tick);
    }
    assert_eq!(decisions(&actions), [decision]);
}

#[rstest]
#[case::absent(|object| claim::Event::ReadFailed { object })]
#[case::overloaded(|object| claim::Event::WriteRefused { object, retry_after_ms: 10 })]
fn claims_are_refused_at_once_while_the_store_is_unavailable(
    #[case] failure: fn(String) -> claim::Event,
) {
    let options = claim::Options::default();
    let mut claims = claim::Claims::new(LOCAL, options.clone(), 1, 0);
    let mut object = read(&claims.begin(0, request(1, 30_000_000)));
    let mut now_us = 0;
    for failures in 1..=options.unavailable_after_failures {
        let decided = decisions(&claims.on_event(now_us, failure(object.clone())));
        if failures == options.unavailable_after_failures {
            assert_eq!(decided, [refuse(Kind::ClaimUnavailable, Some(1_000))]);
            break;
        }
        now_us += options.retry_max_us;
        object = read(&claims.on_event(now_us, claim::Event::Tick));
    }
    assert!(now_us < 30_000_000, "refused long before the deadline");

    let actions = claims.begin(now_us + 1, request(2, 60_000_000));
    assert_eq!(
        decisions(&actions),
        [refuse(Kind::ClaimUnavailable, Some(1_000))]
    );
    assert_eq!(
        actions.len(),
        1,
        "an unavailable store is not called for each request"
    );

    let probe_us = now_us + options.probe_us;
    read(&claims.begin(probe_us, request(3, 60_000_000)));
    let actions = claims.begin(probe_us, request(4, 60_000_000));
    assert_eq!(actions.len(), 1, "one probe at a time");
}

#[rstest]
#[case::before(DEADLINE_US - 1, true)]
#[case::at(DEADLINE_US, false)]
#[case::long_after(1_000 * DEADLINE_US, false)]
fn a_paused_claimant_sends_only_before_its_deadline(#[case] resumed_us: u64, #[case] sends: bool) {
    let (mut claims, object, _) = first_write();
    let version = 4;
    let actions = claims.on_event(5_000, claim::Event::Written { object, version });
    assert_eq!(decisions(&actions), [claim::Decision::Granted]);
    assert_eq!(claims.may_send(resumed_us, request_id(LOCAL)), sends);
    assert!(
        !claims.may_send(resumed_us, request_id(LOCAL)),
        "permission is granted once"
    );
}

/// `took_effect` states whether a write with unknown outcome took effect; `None` if the write is
/// pending until after the refusal.
#[rstest]
#[case::in_write(None)]
#[case::lost_response(Some(true))]
#[case::lost_request(Some(false))]
fn a_refused_claim_is_removed(#[case] took_effect: Option<bool>) {
    let (mut claims, object, written) = first_write();
    if took_effect.is_some() {
        let object = object.clone();
        claims.on_event(4_000, claim::Event::WriteUnknown { object });
    }
    let actions = claims.on_event(DEADLINE_US, claim::Event::Tick);
    assert_eq!(
        decisions(&actions),
        [refuse(Kind::ClaimUnavailable, Some(1_000))]
    );
    assert!(!claims.may_send(DEADLINE_US, request_id(LOCAL)));

    let later_us = DEADLINE_US + 2_000_000;
    let (version, body) = match took_effect {
        Some(false) => (3, shard_object::ShardObject::default()),
        Some(true) | None => (4, written),
    };
    if took_effect.is_none() {
        let object = object.clone();
        claims.on_event(DEADLINE_US, claim::Event::Written { object, version });
    }
    let mut actions = claims.on_event(later_us, claim::Event::Tick);
    if actions
        .iter()
        .any(|action| matches!(action, claim::Action::Read { .. }))
    {
        let object = object.clone();
        let read = claim::Event::Read {
            object,
            version,
            body,
        };
        actions = claims.on_event(later_us + 1_000, read);
    }
    if !actions
        .iter()
        .any(|action| matches!(action, claim::Action::Write { .. }))
    {
        actions = claims.on_event(later_us + 1_100_000, claim::Event::Tick);
    }
    // The head is written even if it lacks the row, so that a late write cannot add the row.
    let (expected, body) = write(&actions);
    assert_eq!((expected, body.rows.len()), (Some(version), 0));
    claims.on_event(
        later_us + 1_101_000,
        claim::Event::Written {
            object,
            version: version + 1,
        },
    );
    assert!(claims.is_settled());
}

#[rstest]
#[case::responded(claim::Outcome::Responded { status: 201, content_type: String::new(), body: b"978-0".to_vec() }, 1, false)]
#[case::unknown(claim::Outcome::Unknown, 1, false)]
#[case::not_run(claim::Outcome::NotRun, 0, false)]
#[case::not_run_after_resend(claim::Outcome::NotRun, 1, true)]
fn an_outcome_is_recorded(
    #[case] outcome: claim::Outcome,
    #[case] rows: usize,
    #[case] sends_again: bool,
) {
    let (mut claims, object, _) = first_write();
    let version = 4;
    claims.on_event(
        5_000,
        claim::Event::Written {
            object: object.clone(),
            version,
        },
    );
    assert!(claims.may_send(6_000, request_id(LOCAL)));
    assert!(!sends_again || !claims.may_send(6_500, request_id(LOCAL)));
    let actions = claims.finish(7_000, request_id(LOCAL), outcome);
    assert_eq!(actions, [], "outcomes wait to share a write");
    assert!(!claims.is_settled());
    assert!(!claims.may_send(7_000, request_id(LOCAL)));
    let mut body = shard_object::ShardObject::default();
    body.rows.clone_from(&first_write().2.rows);
    read(&claims.on_event(1_100_000, claim::Event::Tick));
    let actions = claims.on_event(
        1_101_000,
        claim::Event::Read {
            object,
            version,
            body,
        },
    );
    let (expected, body) = write(&actions);
    assert_eq!((expected, body.rows.len()), (Some(version), rows));
    assert!(body.rows.values().all(|row| row.state.is_settled()));
}

#[test]
fn a_request_without_key_is_sent_at_most_once() {
    let mut claims = claim::Claims::new(LOCAL, claim::Options::default(), 1, 0);
    claims.begin_without_key(request_id(LOCAL), DEADLINE_US);
    assert!(claims.may_send(1, request_id(LOCAL)));
    assert!(!claims.may_send(2, request_id(LOCAL)));
    assert_eq!(
        claims.finish(3, request_id(LOCAL), claim::Outcome::Unknown),
        []
    );
    assert!(!claims.may_send(4, request_id(LOCAL)));
}

#[test]
fn an_idle_shard_drops_its_cached_head() {
    let (mut claims, object, _) = first_write();
    claims.on_event(5_000, claim::Event::Written { object, version: 4 });
    let due_us = claims.next_tick_us(5_000).expect("a head is kept");
    assert_eq!(claims.on_event(due_us, claim::Event::Tick), []);
    assert_eq!(claims.next_tick_us(due_us), None);
}
