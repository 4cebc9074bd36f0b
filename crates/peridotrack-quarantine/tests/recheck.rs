//! Rechecks of blocks, event by event.

use peridotrack_quarantine::{
    event::{Action, Event, Now},
    options::Options,
    quarantine::Quarantine,
    recheck::{Claim, Claims, Outcome},
    signature::Signature,
    statement::Statement,
};
use rstest::rstest;

const SHARED: Signature = Signature::Part(1);
const OTHER: Signature = Signature::Part(2);
const REQUEST: Signature = Signature::Request([3; 16]);
const FIRST_DELAY_MS: u64 = 4_000;

fn at(ms: u64) -> Now {
    Now {
        monotonic_us: ms * 1_000,
        wall_ms: 1_000_000 + ms,
    }
}

/// Sends a request to a server, which ends under it.
fn crash(quarantine: &mut Quarantine, at_ms: u64, signatures: &[Signature], server: &str) {
    let trial = quarantine.begin(at(at_ms), signatures).unwrap();
    let broken = Event::Broken {
        trial,
        backend_server: server.into(),
    };
    quarantine.on_event(at(at_ms), broken);
    let backend_server = server.into();
    quarantine.on_event(at(at_ms), Event::ServerEnded { backend_server });
}

/// Returns a router that refuses the signature since 0 ms.
fn blocked(vm: &str, signature: Signature) -> Quarantine {
    let mut quarantine = Quarantine::new(vm.into(), Options::default());
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut quarantine, 0, &[signature], server);
    }
    quarantine
}

fn is_refused(quarantine: &Quarantine, at_ms: u64, signatures: &[Signature]) -> bool {
    quarantine.check(at(at_ms), signatures).is_err()
}

/// Makes the claim that is due for a request, if one is.
fn claim(quarantine: &mut Quarantine, at_ms: u64, signatures: &[Signature]) -> Option<Claim> {
    let refusal = quarantine.check(at(at_ms), signatures).unwrap_err();
    quarantine.claim(at(at_ms), &refusal.block)
}

/// Reports the result of a claim that the store decides on.
fn decide(
    quarantine: &mut Quarantine,
    at_ms: u64,
    claim: Claim,
    stored: &mut Option<Claims>,
) -> Outcome {
    let outcome = match claim.next(stored.as_ref()) {
        Ok(next) => Outcome::Granted {
            count: stored.insert(next).count,
        },
        Err(taken) => taken,
    };
    quarantine.on_event(at(at_ms), Event::Claimed { claim, outcome });
    outcome
}

/// Guards against a block that only an operator ends.
#[rstest]
#[case::part(SHARED)]
#[case::request(REQUEST)]
fn a_completed_recheck_ends_the_block(#[case] signature: Signature) {
    let mut router = blocked("vm-1", signature);
    let refusal = router.check(at(1_000), &[signature]).unwrap_err();
    assert_eq!(refusal.recheck_in_us, Some(3_000_000));
    assert!(claim(&mut router, FIRST_DELAY_MS - 1, &[signature]).is_none());
    let due = claim(&mut router, FIRST_DELAY_MS, &[signature]).unwrap();
    let outcome = decide(&mut router, FIRST_DELAY_MS, due, &mut None);
    assert_eq!(outcome, Outcome::Granted { count: 1 });
    assert!(router.begin(at(FIRST_DELAY_MS), &[signature]).is_ok());
    assert!(is_refused(&router, FIRST_DELAY_MS, &[signature]));
    let signatures = vec![signature];
    router.on_event(at(5_000), Event::Completed { signatures });
    assert!(!is_refused(&router, 5_000, &[signature]));
}

/// Guards against a fleet whose routers all recheck a part under which servers do end.
#[test]
fn one_router_of_the_fleet_rechecks() {
    let (mut first, mut second) = (blocked("vm-1", SHARED), blocked("vm-2", SHARED));
    let mut stored = None;
    let due = FIRST_DELAY_MS;
    let claims = [&mut first, &mut second].map(|router| claim(router, due, &[SHARED]).unwrap());
    let [of_first, of_second] = claims;
    decide(&mut first, due, of_first, &mut stored);
    let outcome = decide(&mut second, due, of_second, &mut stored);
    assert_eq!(outcome, Outcome::Taken { count: 1 });
    assert!(!is_refused(&first, due, &[SHARED]));
    assert!(is_refused(&second, due, &[SHARED]));
    assert!(claim(&mut second, due + 31_000, &[SHARED]).is_none());
    assert!(claim(&mut second, due + 32_000, &[SHARED]).is_some());
}

/// Servers that do end under a part are asked ever more rarely.
#[test]
fn the_wait_grows_with_each_recheck_under_which_a_server_ends() {
    let mut router = blocked("vm-1", SHARED);
    let (mut stored, mut now_ms, mut delay_ms) = (None, 0, FIRST_DELAY_MS);
    for number in 4..8 {
        assert!(claim(&mut router, now_ms + delay_ms - 1, &[SHARED]).is_none());
        now_ms += delay_ms;
        let due = claim(&mut router, now_ms, &[SHARED]).unwrap();
        decide(&mut router, now_ms, due, &mut stored);
        crash(&mut router, now_ms, &[SHARED], &format!("s-{number}"));
        assert!(is_refused(&router, now_ms + 10, &[SHARED]));
        assert!(!router.may_retry(&[SHARED]));
        delay_ms *= 8;
    }
}

/// A request that was let through but reached no server has shown nothing.
#[test]
fn a_recheck_that_reached_no_server_is_repeated() {
    let mut router = blocked("vm-1", SHARED);
    let due = claim(&mut router, FIRST_DELAY_MS, &[SHARED]).unwrap();
    decide(&mut router, FIRST_DELAY_MS, due, &mut None);
    let trial = router.begin(at(FIRST_DELAY_MS), &[SHARED]).unwrap();
    assert!(is_refused(&router, FIRST_DELAY_MS, &[SHARED]));
    router.withdraw(&trial);
    assert!(!is_refused(&router, FIRST_DELAY_MS, &[SHARED]));
    // One that reached a server and had no result follows after the time that news may take.
    let _ = router.begin(at(FIRST_DELAY_MS), &[SHARED]).unwrap();
    assert!(is_refused(&router, FIRST_DELAY_MS + 4_999, &[SHARED]));
    assert!(!is_refused(&router, FIRST_DELAY_MS + 5_000, &[SHARED]));
}

#[test]
fn a_claim_is_not_used_after_another_server_has_ended() {
    let mut router = blocked("vm-1", SHARED);
    let due = claim(&mut router, FIRST_DELAY_MS, &[SHARED]).unwrap();
    let mut peer = blocked("vm-2", SHARED);
    let mut crashes = Statement::default();
    for action in peer.on_event(at(1_000), Event::Tick) {
        if let Action::Send(statement) = action {
            crashes = statement;
        }
    }
    crashes.crashes[0].backend_server = "s-9".into();
    let author = "vm-2".into();
    let statement = crashes;
    router.on_event(at(FIRST_DELAY_MS), Event::Stated { author, statement });
    decide(&mut router, FIRST_DELAY_MS, due, &mut None);
    assert!(is_refused(&router, FIRST_DELAY_MS, &[SHARED]));
}

/// Without the store a block stays, and the claim is repeated.
#[test]
fn a_claim_without_the_store_is_repeated_later() {
    let mut router = blocked("vm-1", SHARED);
    let due = claim(&mut router, FIRST_DELAY_MS, &[SHARED]).unwrap();
    assert!(claim(&mut router, FIRST_DELAY_MS, &[SHARED]).is_none());
    let outcome = Outcome::Failed;
    let event = Event::Claimed {
        claim: due,
        outcome,
    };
    router.on_event(at(FIRST_DELAY_MS), event);
    assert!(is_refused(&router, FIRST_DELAY_MS, &[SHARED]));
    assert!(claim(&mut router, 2 * FIRST_DELAY_MS, &[SHARED]).is_some());
}

/// A request of two blocks needs the rechecks of both.
#[test]
fn a_request_of_two_blocks_is_refused_until_both_are_rechecked() {
    let mut router = blocked("vm-1", SHARED);
    for server in ["t-1", "t-2", "t-3"] {
        crash(&mut router, 0, &[OTHER], server);
    }
    let both = [SHARED, OTHER];
    for _ in 0..2 {
        assert!(is_refused(&router, FIRST_DELAY_MS, &both));
        let due = claim(&mut router, FIRST_DELAY_MS, &both).unwrap();
        decide(&mut router, FIRST_DELAY_MS, due, &mut None);
    }
    assert!(!is_refused(&router, FIRST_DELAY_MS, &both));
}

/// Claims of an earlier block of the same signatures do not delay a later one.
#[test]
fn claims_of_an_earlier_block_do_not_count() {
    let mut router = blocked("vm-1", SHARED);
    let due = claim(&mut router, FIRST_DELAY_MS, &[SHARED]).unwrap();
    let earlier = Claims {
        count: 5,
        ended_servers: vec!["r-1".into(), "r-2".into()],
    };
    assert_eq!(due.next(Some(&earlier)).unwrap().count, 1);
    let same = Claims {
        count: 5,
        ended_servers: vec!["r-1".into(), "s-2".into()],
    };
    assert_eq!(due.next(Some(&same)), Err(Outcome::Taken { count: 5 }));
}
