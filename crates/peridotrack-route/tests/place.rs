//! Placement by failure domain, prefix affinity, load and slow start.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use peridotrack_route::{
    breaker::State,
    event::{Event, Outcome},
    load_estimate,
    options::Options,
    router::Router,
};
use peridotrack_types::{name, register};
use rstest::rstest;
use support::*;

fn router_in(domain: &str, seed: u64, register: &register::Register) -> Router {
    let mut router = Router::new(Options::default(), domain.into(), seed, 0);
    router.configure(0, register, &rules(64));
    router
}

fn domain_of(register: &register::Register, backend: &name::BackendServer) -> String {
    let mut engines = register.engines.iter();
    let engine = engines.find(|engine| &engine.name == backend);
    engine.expect("listed").failure_domain.to_string()
}

#[rstest]
fn idle_fleet_serves_in_the_local_failure_domain(
    #[values("domain-0", "domain-1", "domain-2", "domain-3")] domain: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let register = register(14, 0, 8);
    let mut router = router_in(domain, seed, &register);
    let backend = dispatched(&router.offer(0, offer(1))).expect("dispatched");
    assert_eq!(domain_of(&register, &backend), domain);
}

#[rstest]
fn other_failure_domains_are_used_under_load() {
    let register = register(8, 0, 8);
    let mut router = router_in("domain-0", 1, &register);
    let mut domains = BTreeMap::<_, usize>::new();
    for sequence in 1..=16 {
        let backend = dispatched(&router.offer(0, offer(sequence))).expect("dispatched");
        *domains.entry(domain_of(&register, &backend)).or_default() += 1;
    }
    assert_eq!(domains.len(), 4, "{domains:?}");
    assert!(domains["domain-0"] <= 6, "{domains:?}");
}

#[rstest]
fn other_regions_are_used_last() {
    let mut register = register(4, 0, 4);
    for domain in &mut register.failure_domains[2..] {
        domain.region = "bali".to_owned();
    }
    let mut router = router_in("domain-0", 1, &register);
    let backends = (1..=16).map(|sequence| dispatched(&router.offer(0, offer(sequence))));
    let domains: Vec<_> = backends
        .map(|backend| domain_of(&register, &backend.expect("dispatched")))
        .collect();
    let far = |domain: &String| domain == "domain-2" || domain == "domain-3";
    assert!(!domains[..2].iter().any(far), "{domains:?}");
    assert_eq!(domains.iter().filter(|domain| far(domain)).count(), 8);
}

/// Returns the server that an idle fleet chooses for each of many rare prefixes.
fn homes(domain: &str, seed: u64, register: &register::Register) -> Vec<name::BackendServer> {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut router = router_in(domain, seed, register);
    // Earlier requests make the share of each prefix small, so that it has one home.
    for sequence in 1_001..=3_000 {
        router.offer(0, offer(sequence));
        router.cancel(0, request(sequence));
    }
    let mut home = |sequence| {
        let mut offer = offer(sequence);
        offer.prefix_hash = Some(rng.u64(..));
        let backend = dispatched(&router.offer(sequence, offer)).expect("dispatched");
        // A cancelled request gives no sample of the server's speed.
        router.cancel(sequence, request(sequence));
        backend
    };
    (1..=400).map(&mut home).collect()
}

#[rstest]
#[case::small(14)]
#[case::larger_than_the_ring_window(100)]
fn routers_agree_on_the_home_of_a_prefix(#[case] engines: usize) {
    let register = register(engines, 0, 8);
    let first = homes("domain-0", 1, &register);
    assert_eq!(first, homes("domain-3", 2, &register));
    let used: BTreeSet<_> = first.iter().collect();
    assert!(used.len() > engines / 2, "{} of {engines}", used.len());
}

#[rstest]
#[case::small(14)]
#[case::larger_than_the_ring_window(100)]
fn prefixes_move_only_from_a_removed_server(#[case] engines: usize) {
    let mut register = register(engines, 0, 8);
    let before = homes("domain-0", 1, &register);
    let removed = register.engines.remove(engines / 2).name;
    let after = homes("domain-0", 1, &register);
    let moved = before.iter().zip(&after).filter(|(b, a)| a != b);
    let others = moved.filter(|(before, _)| **before != removed).count();
    assert!(others <= before.len() / 50, "{others} moved");
}

#[rstest]
fn hot_prefix_spreads_over_many_servers() {
    let register = register(14, 0, 8);
    let mut router = router_in("domain-0", 1, &register);
    let mut counts = BTreeMap::<_, usize>::new();
    for sequence in 1..=56 {
        let mut offer = offer(sequence);
        offer.prefix_hash = Some(7);
        let backend = dispatched(&router.offer(0, offer)).expect("dispatched");
        *counts.entry(backend).or_default() += 1;
    }
    assert!(counts.len() >= 7, "{counts:?}");
}

/// Engine 1 has two of this router's requests; engine 0 was reported as full `age_us` ago.
#[rstest]
#[case::fresh(0, 1)]
#[case::stale(2 * SECOND_US, 1)]
#[case::expired(25 * SECOND_US, 0)]
fn reported_load_ages_out(#[case] age_us: u64, #[case] chosen: usize) {
    let register = register(2, 0, 8);
    for seed in 0..20 {
        let mut router = router_in("elsewhere", seed, &register);
        let now_us = 30 * SECOND_US;
        let report = |number: usize, running, age_us| Event::LoadReport {
            backend: engine(number, 8).name,
            running,
            queued: 0,
            slots: 8,
            duration_percent: None,
            age_us,
            leaving: false,
        };
        router.on_event(now_us, report(0, 8, 0));
        router.offer(now_us, offer(1));
        router.offer(now_us, offer(2));
        let now_us = now_us + age_us;
        let backend = dispatched(&router.offer(now_us, offer(3)));
        assert_eq!(backend, Some(engine(chosen, 8).name));
    }
}

#[rstest]
fn older_report_does_not_replace_a_newer_one() {
    let register = register(2, 0, 8);
    let mut router = router_in("elsewhere", 1, &register);
    let now_us = 30 * SECOND_US;
    for (running, age_us) in [(8, 0), (0, 3 * SECOND_US)] {
        let report = Event::LoadReport {
            backend: engine(0, 8).name,
            running,
            queued: 0,
            slots: 8,
            duration_percent: None,
            age_us,
            leaving: false,
        };
        router.on_event(now_us, report);
    }
    let backend = dispatched(&router.offer(now_us, offer(1)));
    assert_eq!(backend, Some(engine(1, 8).name));
}

#[rstest]
fn added_server_has_a_slow_start() {
    let mut router = router_in("domain-0", 1, &register(1, 0, 16));
    router.configure(SECOND_US, &register(2, 0, 16), &rules(64));
    let added = engine(1, 16).name;
    let limit = |router: &Router, now_us| {
        let servers = router.status(now_us).backend_servers;
        let server = servers.into_iter().find(|server| server.name == added);
        server.expect("listed").limit_requests
    };
    assert_eq!(limit(&router, SECOND_US), 1.0);
    assert_eq!(limit(&router, 6 * SECOND_US), 8.0);
    router.on_event(11 * SECOND_US, Event::Tick);
    assert_eq!(limit(&router, 11 * SECOND_US), 16.0);
}

#[rstest]
fn only_server_has_no_slow_start() {
    let mut router = router_in("domain-0", 1, &register::Register::default());
    router.configure(SECOND_US, &register(1, 0, 16), &rules(64));
    let status = router.status(SECOND_US);
    assert_eq!(status.backend_servers[0].limit_requests, 16.0);
}

#[rstest]
#[case::only_server(1, 16.0)]
#[case::one_of_two(2, 1.0)]
fn recovered_server_has_a_slow_start_unless_it_is_alone(
    #[case] engines: usize,
    #[case] expected_requests: f64,
) {
    let mut router = router_in("elsewhere", 1, &register(engines, 0, 16));
    let broken = dispatched(&router.offer(0, offer(1))).expect("dispatched");
    finish(&mut router, 0, 1, Outcome::ConnectFailed);
    let mut now_us = 2 * SECOND_US;
    for sequence in 2..=60 {
        router.offer(now_us, offer(sequence));
        finish(
            &mut router,
            now_us + SECOND_US / 10,
            sequence,
            Outcome::Done,
        );
        now_us += SECOND_US / 5;
        let status = router.status(now_us);
        let mut servers = status.backend_servers.iter();
        let server = servers
            .find(|server| server.name == broken)
            .expect("listed");
        if server.breaker == State::Closed {
            assert!((server.limit_requests - expected_requests).abs() < 0.5);
            return;
        }
    }
    panic!("never closed");
}

/// Every first token takes 10 ms, except `slow_us` at the home of a prefix that is too rare for a
/// second home.
#[rstest]
#[case::as_fast_as_the_others(SECOND_US / 100, true)]
#[case::ten_times_slower(SECOND_US / 10, false)]
fn slow_home_loses_its_prefix(#[case] slow_us: u64, #[case] kept: bool) {
    let mut router = router_in("domain-2", 1, &register(2, 0, 8));
    let mut home = None;
    let mut at_home = Vec::new();
    for sequence in 1..=800 {
        let now_us = sequence * SECOND_US / 8;
        let mut offer = offer(sequence);
        offer.deadline_us = now_us + 30 * SECOND_US;
        // The first requests sample the first-token times of both servers.
        let has_prefix = sequence > 400 && sequence.is_multiple_of(20);
        offer.prefix_hash = has_prefix.then_some(7);
        let backend = dispatched(&router.offer(now_us, offer)).expect("dispatched");
        if has_prefix && home.is_none() {
            home = Some(backend.clone());
        }
        let is_home = home.as_ref() == Some(&backend);
        if has_prefix {
            at_home.push(is_home);
        }
        let wait_us = if is_home { slow_us } else { SECOND_US / 100 };
        let request_id = request(sequence);
        router.on_event(now_us + wait_us, Event::FirstToken { request_id });
        finish(&mut router, now_us + wait_us, sequence, Outcome::Done);
    }
    let last = &at_home[at_home.len() - 5..];
    let held = last.iter().filter(|is_home| **is_home).count();
    assert_eq!(held >= 4, kept, "{at_home:?}");
}

/// Guards against a statement that lasts longer than the spell, an older one that replaces a newer
/// one, and a preference for a server that was fast a moment ago.
#[test]
fn a_stated_duration_ages_within_a_few_hundred_ms() {
    let mut stated = load_estimate::StatedDuration::default();
    assert_eq!(stated.factor(SECOND_US), 1.0);
    stated.on_report(SECOND_US, 250);
    assert_eq!(stated.factor(SECOND_US), 2.5);
    stated.on_report(SECOND_US / 2, 100);
    assert_eq!(stated.factor(SECOND_US), 2.5);
    assert!(stated.factor(SECOND_US + 600_000) < 1.05);
    stated.on_report(2 * SECOND_US, 10);
    assert_eq!(stated.factor(2 * SECOND_US), 1.0);
}

/// Guards against reading a server that is always slow as one in a slow spell.
#[test]
fn a_stated_duration_counts_relative_to_the_usual_one() {
    let mut stated = load_estimate::StatedDuration::default();
    for second in 1..=200 {
        stated.on_report(second * SECOND_US, 160);
    }
    assert!(stated.factor(200 * SECOND_US) < 1.01);
}
