//! A stream goes on only at servers of the software version that began it.

mod support;

use peridotrack_route::{
    event::{Action, Continuation, Event, Offer, Outcome},
    router::Router,
};
use peridotrack_types::{name, problem::Kind, register::Register, stream::Origin};
use rstest::rstest;
use support::{SECOND_US, dispatched, engine, finish, refused, register, request, rules};

const MS_US: u64 = 1_000;
const SLOTS: u32 = 4;

/// Returns a register with one engine for each version.
fn versions(versions: &[&str]) -> Register {
    let mut register = register(versions.len(), 0, SLOTS);
    for (engine, version) in register.engines.iter_mut().zip(versions) {
        engine.lifetime.software_version = Some((*version).into());
        engine.lifetime.started_ms = Some(1);
    }
    register
}

fn router(register: &Register) -> Router {
    let options = peridotrack_route::options::Options {
        min_retries: 100.0,
        ..Default::default()
    };
    let mut router = Router::new(options, "domain-0".into(), 1, 0);
    router.configure(0, register, &rules(64));
    router
}

fn offer(sequence: u64) -> Offer {
    Offer {
        continuation: Continuation::AnyServer,
        deadline_us: 20 * SECOND_US,
        ..support::offer(sequence)
    }
}

fn take_up(sequence: u64, server: usize, version: &str) -> Offer {
    Offer {
        origin: Some(origin(server, version)),
        ..offer(sequence)
    }
}

fn origin(server: usize, version: &str) -> Origin {
    Origin {
        backend_server: engine(server, SLOTS).name,
        software_version: Some(version.into()),
    }
}

fn broken() -> Outcome {
    Outcome::Broken {
        sent: true,
        events_seen: 2,
    }
}

fn first_token(router: &mut Router, now_us: u64, sequence: u64) {
    let request_id = request(sequence);
    router.on_event(now_us, Event::FirstToken { request_id });
}

fn number(backend: &name::BackendServer) -> usize {
    backend
        .as_str()
        .strip_prefix("engine-")
        .unwrap()
        .parse()
        .unwrap()
}

#[test]
fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let versions = ["v1", "v2", "v1", "v2", "v2"];
    let register = self::versions(&versions);
    let mut router = router(&register);
    for sequence in 1..=100 {
        let now_us = sequence * 100 * MS_US;
        let offer = Offer {
            deadline_us: now_us + 20 * SECOND_US,
            ..offer(sequence)
        };
        let began = dispatched(&router.offer(now_us, offer)).expect("dispatched");
        first_token(&mut router, now_us + 1, sequence);
        let mut next = finish(&mut router, now_us + 2, sequence, broken());
        if next.is_empty() {
            // The breaker of the other server is open; the one that failed is tried once more.
            next = router.on_event(now_us + 50 * MS_US, Event::Tick);
        }
        let goes_on = dispatched(&next).expect("a server of the version is free");
        assert_eq!(versions[number(&began)], versions[number(&goes_on)]);
        finish(&mut router, now_us + 60 * MS_US, sequence, Outcome::Done);
    }
}

/// Until its first event, a stream has no version.
#[test]
fn a_stream_without_an_event_is_placed_anywhere() {
    let mut router = router(&versions(&["v1", "v2"]));
    let began = dispatched(&router.offer(0, offer(1))).unwrap();
    let outcome = Outcome::Broken {
        sent: true,
        events_seen: 0,
    };
    let next = dispatched(&finish(&mut router, 1, 1, outcome)).unwrap();
    assert_ne!(began, next);
    first_token(&mut router, 2, 1);
    let origin = router.origin(request(1)).unwrap();
    assert_eq!(origin.backend_server, next);
}

#[rstest]
#[case::no_server_of_the_version("v3")]
#[case::server_known_with_another_version("v2")]
fn a_take_up_that_no_server_can_serve_is_refused_for_good(#[case] version: &str) {
    let mut router = router(&versions(&["v1", "v2"]));
    let server = if version == "v2" { 0 } else { 9 };
    let actions = router.offer(0, take_up(1, server, version));
    assert_eq!(refused(&actions), Some((Kind::NoBackendServer, 0)));
}

/// The server that began the stream may be gone.
#[test]
fn a_take_up_goes_on_at_another_server_of_the_version() {
    let mut router = router(&versions(&["v1", "v2"]));
    let actions = router.offer(0, take_up(1, 9, "v2"));
    assert_eq!(dispatched(&actions), Some(engine(1, SLOTS).name));
}

#[rstest]
#[case::within_the_deadline(8, true)]
#[case::past_the_deadline(20, false)]
fn a_take_up_waits_for_a_pause_only_within_its_deadline(#[case] pause_s: u64, #[case] waits: bool) {
    let mut router = router(&versions(&["v1", "v2"]));
    let pause = Event::Pause {
        backend: engine(0, SLOTS).name,
        duration_us: pause_s * SECOND_US,
    };
    router.on_event(0, pause);
    let actions = router.offer(0, take_up(1, 0, "v1"));
    match waits {
        true => {
            assert_eq!(actions, []);
            // It holds up nobody whom the other server can take.
            assert!(dispatched(&router.offer(1, offer(2))).is_some());
            let actions = router.on_event(pause_s * SECOND_US, Event::Tick);
            assert_eq!(dispatched(&actions), Some(engine(0, SLOTS).name));
        }
        false => {
            let refusal = Some((Kind::NoBackendServer, pause_s * 1_000));
            assert_eq!(refused(&actions), refusal);
        }
    }
}

#[test]
fn a_waiting_take_up_goes_before_queued_requests() {
    let mut router = router(&versions(&["v1"]));
    for sequence in 1..=SLOTS.into() {
        router.offer(0, offer(sequence));
    }
    assert_eq!(router.offer(1, offer(10)), []);
    assert_eq!(router.offer(2, take_up(11, 0, "v1")), []);
    let next = finish(&mut router, 3, 1, Outcome::Done);
    assert_eq!(support::dispatched_request(&next), Some(11));
    let next = finish(&mut router, 4, 2, Outcome::Done);
    assert_eq!(support::dispatched_request(&next), Some(10));
}

#[test]
fn a_waiting_take_up_is_refused_when_its_version_leaves() {
    let register = versions(&["v1", "v2"]);
    let mut router = router(&register);
    for sequence in 1..=8 {
        router.offer(0, offer(sequence));
    }
    assert_eq!(router.offer(1, take_up(11, 9, "v1")), []);
    let left = Register {
        engines: register.engines[1..].to_vec(),
        ..register
    };
    let actions = router.configure(2, &left, &rules(64));
    assert_eq!(refused(&actions), Some((Kind::NoBackendServer, 0)));
}

#[test]
fn a_waiting_take_up_can_be_cancelled() {
    let mut router = router(&versions(&["v1"]));
    for sequence in 1..=SLOTS.into() {
        router.offer(0, offer(sequence));
    }
    assert_eq!(router.offer(2, take_up(11, 0, "v1")), []);
    router.cancel(3, request(11));
    assert_eq!(router.open_requests(), 4);
    let next = finish(&mut router, 4, 1, Outcome::Done);
    assert_eq!(dispatched(&next), None);
}

/// An entry may be older than the process that runs under its name.
#[rstest]
#[case::before_the_first_event(true)]
#[case::after_the_first_event(false)]
fn a_stream_goes_on_nowhere_if_its_server_started_again_as_another_version(
    #[case] is_before_first_event: bool,
) {
    let mut register = versions(&["v1", "v1", "v2"]);
    let mut router = router(&register);
    let began = dispatched(&router.offer(0, offer(1))).unwrap();
    if !is_before_first_event {
        first_token(&mut router, 1, 1);
    }
    let lifetime = &mut register.engines[number(&began)].lifetime;
    lifetime.software_version = Some("v9".into());
    lifetime.started_ms = Some(2);
    router.configure(2, &register, &rules(64));
    if is_before_first_event {
        first_token(&mut router, 3, 1);
    }
    assert_eq!(router.origin(request(1)), None);
    let next = finish(&mut router, 4, 1, broken());
    assert_eq!(dispatched(&next), None);
    assert!(matches!(
        next[..],
        [Action::Refuse {
            retry_after_ms: 0,
            ..
        }]
    ));
}

/// A request that waits for a connection may reach the process that has started since.
#[test]
fn a_request_to_a_server_that_started_again_is_withdrawn() {
    let mut register = versions(&["v1"]);
    let mut router = router(&register);
    router.offer(0, offer(1));
    assert!(router.may_send(1, request(1)));
    register.engines[0].lifetime.started_ms = Some(2);
    router.configure(2, &register, &rules(64));
    assert!(!router.may_send(3, request(1)));
}

/// The process that has started since under the name may have another version.
#[rstest]
#[case::the_process_of_the_entry(Some(1), false)]
#[case::an_earlier_process(Some(0), true)]
#[case::unknown_process(None, true)]
fn a_stream_does_not_go_on_at_a_server_whose_process_has_ended(
    #[case] started_ms: Option<u64>,
    #[case] goes_on: bool,
) {
    let register = versions(&["v1"]);
    let mut router = router(&register);
    let ended = Event::Ended {
        backend: engine(0, SLOTS).name,
        started_ms,
    };
    router.on_event(0, ended);
    let actions = router.offer(1, take_up(1, 9, "v1"));
    assert_eq!(dispatched(&actions).is_some(), goes_on);
    // A stream that begins there now cannot be taken up.
    router.offer(2, offer(2));
    first_token(&mut router, 3, 2);
    assert_eq!(router.origin(request(2)).is_some(), goes_on);
}

#[test]
fn a_server_that_started_again_as_the_same_version_continues_streams() {
    let mut register = versions(&["v1"]);
    let mut router = router(&register);
    let ended = Event::Ended {
        backend: engine(0, SLOTS).name,
        started_ms: Some(1),
    };
    router.on_event(0, ended);
    register.engines[0].lifetime.started_ms = Some(2);
    router.configure(1, &register, &rules(64));
    let actions = router.offer(2, take_up(1, 0, "v1"));
    assert_eq!(dispatched(&actions), Some(engine(0, SLOTS).name));
}
