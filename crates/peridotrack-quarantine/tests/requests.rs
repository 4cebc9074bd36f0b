//! Tests of whole requests under which servers end, event by event.

use peridotrack_quarantine::{
    event::{Action, Event, Now, Refusal, Trial},
    options::Options,
    quarantine::Quarantine,
    signature::Signature,
    statement::Statement,
};

const FATAL: Signature = Signature::Request([1; 16]);
const SOUND: Signature = Signature::Request([2; 16]);
const PART: Signature = Signature::Part(7);
/// Start of the time of day; the first turn of the routers begins there.
const START_MS: u64 = 1_200_000_000;

fn at(monotonic_ms: u64) -> Now {
    Now {
        monotonic_us: monotonic_ms * 1_000,
        wall_ms: START_MS + monotonic_ms,
    }
}

fn quarantine(vm: &str) -> Quarantine {
    Quarantine::new(vm.into(), Options::default())
}

/// Sends a request at some time, if it is not refused.
fn begin(
    quarantine: &mut Quarantine,
    at_ms: u64,
    signatures: &[Signature],
) -> Result<Trial, Refusal> {
    quarantine.begin(at(at_ms), signatures)
}

/// Reports that the server of a request ended.
fn end(quarantine: &mut Quarantine, at_ms: u64, trial: &Trial, server: &str) {
    let broken = Event::Broken {
        trial: trial.clone(),
        backend_server: server.into(),
    };
    quarantine.on_event(at(at_ms), broken);
    let backend_server = server.into();
    quarantine.on_event(at(at_ms), Event::ServerEnded { backend_server });
}

fn crash(quarantine: &mut Quarantine, signatures: &[Signature], server: &str) {
    let trial = begin(quarantine, 0, signatures).expect("the request is not refused");
    end(quarantine, 0, &trial, server);
}

fn complete(quarantine: &mut Quarantine, at_ms: u64, signatures: &[Signature]) {
    let signatures = signatures.to_vec();
    quarantine.on_event(at(at_ms), Event::Completed { signatures });
}

/// Has every router hear the statement of every other.
fn exchange(routers: &mut [(&str, Quarantine)], at_ms: u64) {
    let statements: Vec<(String, Statement)> = routers
        .iter_mut()
        .flat_map(|(vm, router)| {
            let actions = router.on_event(at(at_ms), Event::Tick);
            let statements = actions.into_iter().filter_map(|action| match action {
                Action::Send(statement) => Some(statement),
                _ => None,
            });
            statements
                .map(|statement| ((*vm).to_owned(), statement))
                .collect::<Vec<_>>()
        })
        .collect();
    for (author, statement) in statements {
        for (vm, router) in &mut *routers {
            if *vm != author {
                let author = author.as_str().into();
                let statement = statement.clone();
                router.on_event(at(at_ms), Event::Stated { author, statement });
            }
        }
    }
}

/// Returns two routers that noticed that four servers ended under the request at once.
fn suspicious() -> [(&'static str, Quarantine); 2] {
    let mut routers = [("vm-1", quarantine("vm-1")), ("vm-2", quarantine("vm-2"))];
    for (number, (_, router)) in routers.iter_mut().enumerate() {
        let trials: Vec<Trial> = (0..3 - 2 * number)
            .map(|_| begin(router, 0, &[FATAL]).unwrap())
            .collect();
        for (index, trial) in trials.iter().enumerate() {
            end(router, 0, trial, &format!("s-{number}-{index}"));
        }
    }
    exchange(&mut routers, 1_000);
    routers
}

#[test]
fn the_third_server_that_ends_in_sequence_blocks_the_request() {
    let mut quarantine = quarantine("vm-1");
    crash(&mut quarantine, &[FATAL], "s-1");
    assert!(quarantine.may_retry(&[FATAL]));
    crash(&mut quarantine, &[FATAL], "s-2");
    assert!(!quarantine.may_retry(&[FATAL]));
    crash(&mut quarantine, &[FATAL], "s-3");
    let refusal = quarantine.check(at(0), &[FATAL]).unwrap_err();
    assert!(refusal.is_proven);
    assert_eq!(refusal.block.signatures, [FATAL]);
    assert!(quarantine.check(at(0), &[SOUND]).is_ok());
}

/// Guards against the block of a request that thousands send: it is always in flight at servers
/// that end for another reason.
#[test]
fn a_popular_request_is_cleared_by_a_completion_elsewhere() {
    let mut routers = [("vm-1", quarantine("vm-1")), ("vm-2", quarantine("vm-2"))];
    for (number, server) in ["s-1", "s-2", "s-3", "s-4"].into_iter().enumerate() {
        let at_ms = 1_000 * number as u64;
        let trial = begin(&mut routers[0].1, at_ms, &[SOUND]).unwrap();
        end(&mut routers[0].1, at_ms, &trial, server);
        exchange(&mut routers, at_ms + 100);
        complete(&mut routers[1].1, at_ms + 200, &[SOUND]);
        exchange(&mut routers, at_ms + 300);
    }
    for (_, router) in &routers {
        assert!(router.check(at(5_000), &[SOUND]).is_ok());
        assert!(router.may_retry(&[SOUND]));
    }
}

/// Guards against the block of sound requests that were in flight at the servers that a fatal one
/// ended.
#[test]
fn requests_beside_a_fatal_one_are_sent_on() {
    let mut quarantine = quarantine("vm-1");
    for server in ["s-1", "s-2", "s-3"] {
        let fatal = begin(&mut quarantine, 0, &[FATAL]).unwrap();
        let sound = begin(&mut quarantine, 0, &[SOUND]).unwrap();
        let broken = Event::Broken {
            trial: sound,
            backend_server: server.into(),
        };
        quarantine.on_event(at(0), broken);
        end(&mut quarantine, 0, &fatal, server);
        if server != "s-3" {
            complete(&mut quarantine, 0, &[SOUND]);
        }
    }
    assert!(quarantine.check(at(0), &[FATAL]).unwrap_err().is_proven);
    assert!(quarantine.check(at(0), &[SOUND]).is_ok());
    assert!(quarantine.may_retry(&[SOUND]));
}

/// Returns when the router sends an undecided request, at `from_ms` or later.
fn turn(quarantine: &Quarantine, from_ms: u64, signature: Signature) -> u64 {
    let options = Options::default();
    let cycle_ms = options.probe_groups * options.probe_turn_ms;
    let mut times = (from_ms..from_ms + cycle_ms).step_by(10);
    let turn = times.find(|at_ms| quarantine.check(at(*at_ms), &[signature]).is_ok());
    turn.expect("each router has a turn")
}

/// Two requests that were in flight at the same servers are told apart by sending each once more.
#[test]
fn requests_with_the_same_crashes_are_told_apart_by_probes() {
    let mut quarantine = quarantine("vm-1");
    for server in ["s-1", "s-2", "s-3"] {
        let fatal = begin(&mut quarantine, 0, &[FATAL]).unwrap();
        let sound = begin(&mut quarantine, 0, &[SOUND]).unwrap();
        let broken = Event::Broken {
            trial: sound,
            backend_server: server.into(),
        };
        quarantine.on_event(at(0), broken);
        end(&mut quarantine, 0, &fatal, server);
    }
    assert!(!quarantine.may_retry(&[SOUND]));
    let at_ms = turn(&quarantine, 0, SOUND);
    begin(&mut quarantine, at_ms, &[SOUND]).unwrap();
    let refusal = begin(&mut quarantine, at_ms + 1, &[SOUND]).unwrap_err();
    assert!(!refusal.is_proven);
    complete(&mut quarantine, at_ms + 20, &[SOUND]);
    assert!(begin(&mut quarantine, at_ms + 21, &[SOUND]).is_ok());
    let refusal = quarantine.check(at(at_ms + 21), &[FATAL]).unwrap_err();
    assert!(refusal.is_proven);
}

/// Guards against a wave of requests that waited at many routers for a server to return, none of
/// which is known to follow a crash.
#[test]
fn few_routers_at_a_time_send_a_request_after_servers_that_ended_together() {
    let mut routers = suspicious();
    let statement = sent(&mut routers[0].1, 2_000);
    let names: Vec<String> = (10..64).map(|number| format!("vm-{number}")).collect();
    let mut senders = 0;
    for vm in &names {
        let mut other = quarantine(vm);
        let author = "vm-1".into();
        let statement = statement.clone();
        other.on_event(at(2_000), Event::Stated { author, statement });
        senders += usize::from(begin(&mut other, 2_000, &[FATAL]).is_ok());
    }
    assert!((1..=names.len() / 4).contains(&senders), "{senders}");
}

/// Returns the statement that a router sends after another server ended.
fn sent(router: &mut Quarantine, at_ms: u64) -> Statement {
    let trial = begin(router, at_ms, &[SOUND]).unwrap();
    end(router, at_ms, &trial, "other");
    let actions = router.on_event(at(at_ms + 100), Event::Tick);
    let statements = actions.into_iter().find_map(|action| match action {
        Action::Send(statement) => Some(statement),
        _ => None,
    });
    statements.expect("the change is stated")
}

#[test]
fn a_probe_that_crashes_proves_the_request() {
    let mut routers = suspicious();
    let at_ms = turn(&routers[0].1, 2_000, FATAL);
    let trial = begin(&mut routers[0].1, at_ms, &[FATAL]).unwrap();
    assert_eq!(trial.depth(), 2);
    end(&mut routers[0].1, at_ms + 60, &trial, "s-5");
    exchange(&mut routers, at_ms + 100);
    for (_, router) in &routers {
        let refusal = router.check(at(at_ms + 100), &[FATAL]).unwrap_err();
        assert!(refusal.is_proven);
    }
}

#[test]
fn a_probe_that_completes_clears_the_request_everywhere() {
    let mut routers = suspicious();
    let at_ms = turn(&routers[0].1, 2_000, FATAL);
    begin(&mut routers[0].1, at_ms, &[FATAL]).unwrap();
    complete(&mut routers[0].1, at_ms + 30, &[FATAL]);
    exchange(&mut routers, at_ms + 100);
    for (_, router) in &mut routers {
        assert!(begin(router, at_ms + 100, &[FATAL]).is_ok());
        assert!(router.may_retry(&[FATAL]));
    }
}

#[test]
fn a_probe_that_reached_no_server_is_sent_again_at_once() {
    let [(_, mut router), _] = suspicious();
    let at_ms = turn(&router, 2_000, FATAL);
    let trial = begin(&mut router, at_ms, &[FATAL]).unwrap();
    assert!(begin(&mut router, at_ms, &[FATAL]).is_err());
    router.withdraw(&trial);
    assert!(begin(&mut router, at_ms, &[FATAL]).is_ok());
}

#[test]
fn a_server_that_starts_again_under_its_name_counts_again() {
    let mut quarantine = quarantine("vm-1");
    crash(&mut quarantine, &[FATAL], "s-1@100");
    crash(&mut quarantine, &[FATAL], "s-1@200");
    crash(&mut quarantine, &[FATAL], "s-1@300");
    let refusal = quarantine.check(at(0), &[FATAL]).unwrap_err();
    assert_eq!(refusal.block.crashes.len(), 3);
}

/// The news that a new run has started ends only what was sent to the former one.
#[test]
fn the_end_of_a_run_is_not_the_end_of_the_next() {
    let mut quarantine = quarantine("vm-1");
    let trial = begin(&mut quarantine, 0, &[FATAL]).unwrap();
    let broken = Event::Broken {
        trial,
        backend_server: "s-1@200".into(),
    };
    quarantine.on_event(at(0), broken);
    for (run, depth) in [("s-1@100", 1), ("s-1@200", 2)] {
        let backend_server = run.into();
        quarantine.on_event(at(0), Event::ServerEnded { backend_server });
        let trial = begin(&mut quarantine, 0, &[FATAL]).unwrap();
        assert_eq!(trial.signatures, [(FATAL, depth)], "{run}");
    }
}

/// Guards against a caller that displaces the crashes under the requests of others by many requests
/// of its own.
#[test]
fn many_fatal_requests_do_not_displace_the_evidence_under_another() {
    let mut quarantine = quarantine("vm-1");
    for server in ["s-1", "s-2"] {
        crash(&mut quarantine, &[FATAL], server);
    }
    let max_entries = Options::default().max_entries;
    for number in 0..2 * max_entries as u16 {
        let mut digest = [3; 16];
        digest[..2].copy_from_slice(&number.to_be_bytes());
        let signatures = [Signature::Request(digest)];
        crash(&mut quarantine, &signatures, &format!("t-{number}"));
    }
    crash(&mut quarantine, &[FATAL], "s-3");
    assert!(quarantine.check(at(0), &[FATAL]).unwrap_err().is_proven);
}

/// Another request with a part of the blocked one's prompt is sent: the crashes prove the request,
/// but no part of it.
#[test]
fn a_blocked_request_does_not_block_its_prompt_parts() {
    let mut quarantine = quarantine("vm-1");
    for server in ["s-1", "s-2", "s-3"] {
        crash(&mut quarantine, &[PART, FATAL], server);
    }
    assert!(
        quarantine
            .check(at(0), &[PART, FATAL])
            .unwrap_err()
            .is_proven
    );
    assert!(quarantine.check(at(0), &[PART, SOUND]).is_ok());
}

/// Guards against a crash that goes unnoticed because a server that still runs has reset many
/// connections.
#[test]
fn connections_that_a_running_server_resets_do_not_displace_a_crash() {
    let mut quarantine = quarantine("vm-1");
    for number in 0..=Options::default().max_pending as u128 {
        let signatures = [Signature::Request(number.to_be_bytes())];
        let trial = begin(&mut quarantine, 0, &signatures).unwrap();
        let broken = Event::Broken {
            trial,
            backend_server: "s-0".into(),
        };
        quarantine.on_event(at(0), broken);
    }
    crash(&mut quarantine, &[FATAL], "s-1");
    let trial = begin(&mut quarantine, 0, &[FATAL]).unwrap();
    assert_eq!(trial.depth(), 2);
}
