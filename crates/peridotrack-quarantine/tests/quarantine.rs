//! Tests of one quarantine, event by event.

use peridotrack_quarantine::{
    event::{Action, Event, Now},
    options::Options,
    quarantine::Quarantine,
    signature::Signature,
    statement::{Clearance, Crash, OPERATOR, Statement},
};
use rstest::rstest;

const FIRST: Signature = Signature::Part(1);
const FATAL: Signature = Signature::Part(2);
const OTHER: Signature = Signature::Part(3);

fn at(monotonic_us: u64) -> Now {
    Now {
        monotonic_us,
        wall_ms: 1_000_000 + monotonic_us / 1_000,
    }
}

fn quarantine() -> Quarantine {
    Quarantine::new("vm-1".into(), Options::default())
}

/// Sends a request with the signatures to a server, which ends under it.
fn crash(quarantine: &mut Quarantine, signatures: &[Signature], server: &str) -> Vec<Action> {
    let trial = quarantine.begin(at(0), signatures);
    let trial = trial.expect("the request is not refused");
    let backend_server = server.into();
    quarantine.on_event(
        at(0),
        Event::Broken {
            trial,
            backend_server,
        },
    );
    let backend_server = server.into();
    quarantine.on_event(at(0), Event::ServerEnded { backend_server })
}

/// Returns the signatures because of which a request is refused.
fn refused(quarantine: &Quarantine, signatures: &[Signature]) -> Vec<Signature> {
    let refusal = quarantine.check(at(0), signatures).unwrap_err();
    refusal.block.signatures
}

/// Returns the signatures of a request that is sent, with the depths of a crash under them.
fn depths(quarantine: &mut Quarantine, signatures: &[Signature]) -> Vec<(Signature, u32)> {
    let trial = quarantine.begin(at(0), signatures).unwrap();
    trial.signatures
}

fn complete(quarantine: &mut Quarantine, signatures: &[Signature]) {
    let signatures = signatures.to_vec();
    quarantine.on_event(at(0), Event::Completed { signatures });
}

/// Returns the statement that the quarantine sends to its peers.
fn sent(quarantine: &mut Quarantine) -> Option<Statement> {
    let actions = quarantine.on_event(at(1_000_000), Event::Tick);
    actions.into_iter().find_map(|action| match action {
        Action::Send(statement) => Some(statement),
        _ => None,
    })
}

fn stated(quarantine: &mut Quarantine, author: &str, statement: Statement) {
    let author = author.into();
    quarantine.on_event(at(0), Event::Stated { author, statement });
}

#[test]
fn the_third_crash_in_sequence_blocks_the_part() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, &[FATAL], "s-1");
    assert!(quarantine.may_retry(&[FATAL]));
    crash(&mut quarantine, &[FATAL], "s-2");
    assert!(!quarantine.may_retry(&[FATAL]));
    crash(&mut quarantine, &[FATAL], "s-3");
    assert_eq!(refused(&quarantine, &[FIRST, FATAL]), [FATAL]);
}

/// Guards against the block of a popular part after a loss of power: all servers end under requests
/// that were sent before any of these ends was known.
#[test]
fn servers_that_end_together_block_no_part() {
    let mut quarantine = quarantine();
    let trial = quarantine.begin(at(0), &[FIRST]).unwrap();
    for number in 0..20 {
        let backend_server = format!("s-{number}").as_str().into();
        let trial = trial.clone();
        quarantine.on_event(
            at(0),
            Event::Broken {
                trial,
                backend_server,
            },
        );
    }
    for number in 0..20 {
        let backend_server = format!("s-{number}").as_str().into();
        quarantine.on_event(at(0), Event::ServerEnded { backend_server });
    }
    assert!(quarantine.check(at(0), &[FIRST]).is_ok());
    assert!(quarantine.may_retry(&[FIRST]));
}

/// Guards against the block of parts that a sound request shares with those that crash servers.
#[test]
fn parts_of_completed_requests_are_not_blocked() {
    let mut quarantine = quarantine();
    for server in ["s-1", "s-2", "s-3", "s-4"] {
        if quarantine.check(at(0), &[FIRST, OTHER, FATAL]).is_ok() {
            crash(&mut quarantine, &[FIRST, OTHER, FATAL], server);
        }
        complete(&mut quarantine, &[FIRST, OTHER]);
    }
    assert_eq!(quarantine.blocks().len(), 1);
    assert_eq!(quarantine.blocks()[0].signatures, [FATAL]);
    assert!(quarantine.check(at(0), &[FIRST, OTHER]).is_ok());
}

/// Parts that always occur together are told apart by requests that have only some of them.
#[rstest]
#[case::sound(OTHER, false)]
#[case::fatal(FATAL, true)]
fn a_request_with_one_of_two_blocked_parts_tells_them_apart(
    #[case] single: Signature,
    #[case] crashes: bool,
) {
    let mut quarantine = quarantine();
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut quarantine, &[OTHER, FATAL], server);
    }
    assert_eq!(quarantine.blocks()[0].signatures, [FATAL, OTHER]);
    assert!(quarantine.check(at(0), &[single]).is_ok());
    if crashes {
        crash(&mut quarantine, &[single], "s-4");
    } else {
        complete(&mut quarantine, &[single]);
    }
    assert_eq!(quarantine.blocks()[0].signatures, [FATAL]);
    assert!(quarantine.check(at(0), &[OTHER]).is_ok());
    assert!(quarantine.check(at(0), &[FATAL]).is_err());
}

/// A broken connection alone is no crash: a caller must not be able to have a part blocked.
#[rstest]
#[case::unknown(None)]
#[case::alive(Some(Event::ServerAlive { backend_server: "s-1".into(), sent_us: 1 }))]
#[case::late(Some(Event::Tick))]
fn a_broken_connection_to_a_server_that_has_not_ended_is_no_crash(#[case] news: Option<Event>) {
    let mut quarantine = quarantine();
    let trial = quarantine.begin(at(0), &[FATAL]).unwrap();
    let backend_server = "s-1".into();
    let broken = Event::Broken {
        trial,
        backend_server,
    };
    quarantine.on_event(at(0), broken);
    let is_known = news.is_some();
    if let Some(event) = news {
        quarantine.on_event(at(6_000_000), event);
    }
    let backend_server = if is_known { "s-1" } else { "s-2" }.into();
    quarantine.on_event(at(6_000_000), Event::ServerEnded { backend_server });
    assert_eq!(depths(&mut quarantine, &[FATAL]), [(FATAL, 1)]);
}

/// A response that was on its way when the connection broke does not show that the server runs.
#[test]
fn a_response_to_an_earlier_request_does_not_exclude_a_crash() {
    let mut quarantine = quarantine();
    let trial = quarantine.begin(at(0), &[FATAL]).unwrap();
    let broken = Event::Broken {
        trial,
        backend_server: "s-1".into(),
    };
    quarantine.on_event(at(10), broken);
    let alive = Event::ServerAlive {
        backend_server: "s-1".into(),
        sent_us: 5,
    };
    quarantine.on_event(at(20), alive);
    let backend_server = "s-1".into();
    quarantine.on_event(at(30), Event::ServerEnded { backend_server });
    assert_eq!(depths(&mut quarantine, &[FATAL]), [(FATAL, 2)]);
}

#[test]
fn crashes_that_peers_state_count() {
    let mut routers = [quarantine(), quarantine(), quarantine()];
    for number in 0..3 {
        let server = format!("s-{number}");
        crash(&mut routers[number], &[FATAL], &server);
        let statement = sent(&mut routers[number]).unwrap();
        for (other, router) in routers.iter_mut().enumerate() {
            if other != number {
                stated(router, &format!("vm-{}", 10 + number), statement.clone());
            }
        }
    }
    for router in &routers {
        let refusal = router.check(at(0), &[FATAL]).unwrap_err();
        assert_eq!(refusal.block.crashes.len(), 3);
    }
}

#[test]
fn a_completion_elsewhere_clears_the_part_here() {
    let (mut here, mut there) = (quarantine(), quarantine());
    crash(&mut here, &[FIRST], "s-1");
    stated(&mut there, "vm-2", sent(&mut here).unwrap());
    assert_eq!(depths(&mut there, &[FIRST]), [(FIRST, 2)]);
    complete(&mut there, &[FIRST]);
    let cleared = sent(&mut there).unwrap();
    assert_eq!(cleared.clearances.len(), 1);
    stated(&mut here, "vm-3", cleared);
    assert_eq!(depths(&mut here, &[FIRST]), [(FIRST, 1)]);
    // Neither states anything any more.
    let withdrawn = sent(&mut here).unwrap();
    assert!(withdrawn.is_empty());
    stated(&mut there, "vm-2", withdrawn);
    assert!(sent(&mut there).unwrap().is_empty());
}

#[test]
fn a_restarted_router_adopts_what_its_earlier_incarnation_stated() {
    let mut earlier = quarantine();
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut earlier, &[FATAL], server);
    }
    let statement = sent(&mut earlier).unwrap();
    let mut restarted = quarantine();
    stated(&mut restarted, "vm-1", statement.clone());
    assert!(restarted.check(at(0), &[FATAL]).is_err());
    let next = sent(&mut restarted).unwrap();
    assert!(next.sequence > statement.sequence);
    assert_eq!(next.crashes, statement.crashes);
}

/// Guards against a store that keeps a crash which was cleared while its write was in progress.
#[test]
fn a_statement_that_changed_during_a_write_is_written_again() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, &[FATAL], "s-1");
    let actions = quarantine.on_event(at(1_000_000), Event::Tick);
    assert!(matches!(actions[..], [Action::Send(_), Action::Write(_)]));
    complete(&mut quarantine, &[FATAL]);
    assert!(
        quarantine
            .on_event(at(1_000_000), Event::Written)
            .is_empty()
    );
    let actions = quarantine.on_event(at(2_000_000), Event::Tick);
    let written = actions.iter().find_map(|action| match action {
        Action::Write(statement) => Some(statement),
        _ => None,
    });
    assert!(written.is_some_and(Statement::is_empty), "{actions:?}");
}

/// Parts of sound requests are cleared by the next completion, mostly before a write is due.
#[test]
fn a_crash_that_is_cleared_at_once_is_not_written() {
    let mut quarantine = quarantine();
    crash(&mut quarantine, &[FIRST], "s-1");
    complete(&mut quarantine, &[FIRST]);
    let actions = quarantine.on_event(at(1_000_000), Event::Tick);
    let is_write = |action: &Action| matches!(action, Action::Write(_));
    assert!(!actions.iter().any(is_write), "{actions:?}");
}

#[test]
fn operators_lift_a_block_by_clearances() {
    let mut quarantine = quarantine();
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut quarantine, &[FATAL], server);
    }
    let servers = ["s-1", "s-2", "s-3"];
    let clearances = servers.map(|server| Clearance {
        signature: FATAL,
        backend_server: server.into(),
    });
    let statement = Statement {
        sequence: 1,
        crashes: Vec::new(),
        clearances: clearances.to_vec(),
    };
    stated(&mut quarantine, OPERATOR, statement);
    assert_eq!(depths(&mut quarantine, &[FATAL]), [(FATAL, 1)]);
}

#[test]
fn aged_crashes_are_dropped() {
    let mut quarantine = quarantine();
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut quarantine, &[FATAL], server);
    }
    let day_us = Options::default().crash_age_ms * 1_000;
    quarantine.on_event(at(day_us - 1), Event::Tick);
    assert!(quarantine.check(at(0), &[FATAL]).is_err());
    quarantine.on_event(at(2 * day_us), Event::Tick);
    assert!(quarantine.check(at(0), &[FATAL]).is_ok());
}

/// Whatever parts clients invent, the statement stays bounded, and keeps the proof.
#[test]
fn a_statement_is_bounded_and_keeps_the_proof_of_a_block() {
    let mut quarantine = quarantine();
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut quarantine, &[FATAL], server);
    }
    for number in 0..1_000 {
        crash(
            &mut quarantine,
            &[Signature::Part(100 + number)],
            &format!("t-{number}"),
        );
    }
    let statement = sent(&mut quarantine).unwrap();
    assert_eq!(statement.crashes.len(), Options::default().max_entries);
    let is_proof = |crash: &&Crash| crash.signature == FATAL;
    assert_eq!(statement.crashes.iter().filter(is_proof).count(), 3);
    assert!(quarantine.check(at(0), &[FATAL]).is_err());
}

#[test]
fn a_statement_is_json_with_hexadecimal_signatures() {
    let text = r#"{"sequence":7,"crashes":[{"signature":"1f","backend_server":"s-1","depth":2,"at_wall_ms":5},{"signature":"request:000102030405060708090a0b0c0d0e0f","backend_server":"s-2@77","depth":1,"at_wall_ms":6}],"clearances":[]}"#;
    let statement: Statement = serde_json::from_str(text).unwrap();
    assert_eq!(statement.crashes[0].signature, Signature::Part(0x1f));
    let digest = std::array::from_fn(|index| index as u8);
    assert_eq!(statement.crashes[1].signature, Signature::Request(digest));
    assert_eq!(statement.crashes[1].backend_server.born_ms, Some(77));
    assert_eq!(serde_json::to_string(&statement).unwrap(), text);
    for text in [
        "zz",
        "request:00",
        "request:zz0102030405060708090a0b0c0d0e0f",
    ] {
        assert!(text.parse::<Signature>().is_err(), "{text}");
    }
}

#[test]
fn a_statement_of_an_earlier_version_is_read() {
    let text = r#"{"sequence":7,"crashes":[{"part":"1f","backend_server":"s-1","depth":2,"at_wall_ms":5}],"clearances":[{"part":"20","backend_server":"s-2"}]}"#;
    let statement: Statement = serde_json::from_str(text).unwrap();
    assert_eq!(statement.crashes[0].signature, Signature::Part(0x1f));
    assert_eq!(statement.crashes[0].backend_server, "s-1".into());
    assert_eq!(statement.clearances[0].signature, Signature::Part(0x20));
}

/// Routers send statements as postcard, without field names.
#[test]
fn a_statement_survives_the_encoding_of_peers() {
    let mut quarantine = quarantine();
    crash(
        &mut quarantine,
        &[FATAL, Signature::Request([7; 16])],
        "s-1@5",
    );
    let statement = sent(&mut quarantine).unwrap();
    let bytes = postcard::to_stdvec(&statement).unwrap();
    assert_eq!(
        postcard::from_bytes::<Statement>(&bytes).unwrap(),
        statement
    );
}
