//! Evacuated failure domains: their servers receive nothing until they are taken back, other domains
//! take the work, and what none can take is refused at once.

mod support;

use std::collections::BTreeSet;

use peridotrack_route::{
    eligibility::Reason,
    event::{Event, Outcome},
    options::Options,
    router::Router,
};
use peridotrack_types::problem::Kind;
use support::{SECOND_US, dispatched, engine, finish, offer, refused, register, router, rules};

fn evacuated(domain: usize, is_evacuated: bool) -> Event {
    Event::Evacuated {
        failure_domain: format!("domain-{domain}").as_str().into(),
        is_evacuated,
    }
}

/// Returns the servers that received one of `count` requests which run at the same time.
fn used(router: &mut Router, now_us: u64, first: u64, count: u64) -> BTreeSet<String> {
    let sequences = first..first + count;
    let mut names = BTreeSet::new();
    for sequence in sequences.clone() {
        let actions = router.offer(now_us, offer(sequence));
        names.extend(dispatched(&actions).map(|name| name.as_str().to_owned()));
    }
    for sequence in sequences {
        router.cancel(now_us, support::request(sequence));
    }
    names
}

#[test]
fn a_domain_receives_nothing_until_it_is_taken_back() {
    let mut router = router(4, 4, 64);
    router.on_event(0, evacuated(1, true));
    assert!(!used(&mut router, 0, 1, 16).contains("engine-1"));
    router.on_event(SECOND_US, evacuated(1, false));
    assert!(used(&mut router, SECOND_US, 300, 16).contains("engine-1"));
}

#[test]
fn a_server_that_appears_in_an_evacuated_domain_receives_nothing() {
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    router.on_event(0, evacuated(1, true));
    router.configure(0, &register(4, 0, 4), &rules(64));
    assert!(!used(&mut router, 0, 1, 16).contains("engine-1"));
}

/// Guards against requests that wait although no server may take them.
#[test]
fn queued_and_new_requests_are_refused_at_once_if_all_domains_are_evacuated() {
    let mut router = router(2, 1, 64);
    for sequence in 1..=3 {
        router.offer(0, offer(sequence));
    }
    assert_eq!(refused(&router.on_event(1, evacuated(0, true))), None);
    let refusal = refused(&router.on_event(1, evacuated(1, true)));
    assert_eq!(refusal.map(|(kind, _)| kind), Some(Kind::NoBackendServer));
    let refusal = refused(&router.offer(2, offer(4)));
    let (kind, retry_after_ms) = refusal.expect("a new request is refused");
    assert_eq!(kind, Kind::NoBackendServer);
    assert!(retry_after_ms > 0);
}

/// Guards against requests that reach an evacuated domain because their connection took long.
#[test]
fn a_request_that_was_not_sent_is_placed_in_another_domain() {
    let mut router = router(2, 4, 64);
    let first = (1..)
        .find(|sequence| dispatched(&router.offer(0, offer(*sequence))) == Some(engine(0, 4).name));
    let first = first.unwrap();
    assert!(router.may_send(0, support::request(first)));
    router.on_event(1, evacuated(0, true));
    assert!(!router.may_send(1, support::request(first)));
    let next = finish(&mut router, 1, first, Outcome::Withdrawn);
    assert_eq!(dispatched(&next), Some(engine(1, 4).name));
}

#[test]
fn repeated_statements_change_nothing_and_the_status_names_the_reason() {
    let mut router = router(2, 4, 64);
    router.on_event(0, evacuated(0, true));
    router.on_event(1, evacuated(0, true));
    let status = router.status(1).backend_servers;
    let reasons: Vec<_> = status[0]
        .ineligibilities
        .iter()
        .map(|it| it.reason)
        .collect();
    assert_eq!(reasons, [Reason::Evacuated]);
    router.on_event(2, evacuated(0, false));
    assert!(
        router.status(2).backend_servers[0]
            .ineligibilities
            .is_empty()
    );
    assert!(router.status(2).backend_servers[0].slow_start);
}
