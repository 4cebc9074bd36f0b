//! Placement of requests with known prompts, by pending prefill and cached parts.

mod support;

use peridotrack_route::{
    event::{Continuation, Event, Offer, Outcome},
    options::Options,
    prefill::{Part, Prefill, Prompt, Speed},
    router::Router,
};
use peridotrack_types::name;
use rstest::rstest;
use support::{SECOND_US, dispatched, finish, offer, refused, register, request, rules, sent};

const SHARED_TOKENS: u64 = 5_000;
const UNSHARED_TOKENS: u64 = 6_000;

fn prompt(shared: u64, unshared: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: [part(shared, SHARED_TOKENS), part(unshared, UNSHARED_TOKENS)].into(),
        tokens: SHARED_TOKENS + UNSHARED_TOKENS,
    }
}

fn offer_with(sequence: u64, shared: u64) -> Offer {
    let prompt = prompt(shared, 1_000 + sequence);
    Offer {
        prefix_hash: prompt.shared_id(),
        prompt: Some(prompt),
        ..offer(sequence)
    }
}

fn router(seed: u64, engines: usize) -> Router {
    let mut router = Router::new(Options::default(), "domain-0".into(), seed, 0);
    router.configure(0, &register(engines, 0, 64), &rules(16));
    router
}

/// Serves one request while no other is in flight; returns its server.
fn serve(router: &mut Router, now_us: u64, sequence: u64, shared: u64) -> name::BackendServer {
    let actions = router.offer(now_us, offer_with(sequence, shared));
    let server = dispatched(&actions).unwrap();
    sent(router, now_us, sequence);
    let request_id = request(sequence);
    router.on_event(now_us + 80_000, Event::FirstToken { request_id });
    finish(router, now_us + 200_000, sequence, Outcome::Done);
    server
}

#[test]
fn routers_agree_on_the_engine_for_a_shared_part() {
    for shared in 1..20 {
        let servers: Vec<_> = (0..4)
            .map(|seed| serve(&mut router(seed, 9), SECOND_US, 1, shared))
            .collect();
        assert!(
            servers.windows(2).all(|pair| pair[0] == pair[1]),
            "{servers:?}"
        );
    }
}

#[test]
fn shared_parts_are_spread_over_the_engines() {
    let mut router = router(1, 9);
    let servers: std::collections::BTreeSet<_> = (1..100)
        .map(|shared| serve(&mut router, SECOND_US + shared * 300_000, shared, shared))
        .collect();
    assert_eq!(servers.len(), 9);
}

#[test]
fn waiting_prompts_divert_requests_to_other_engines() {
    let mut router = router(1, 3);
    let mut servers = Vec::new();
    for sequence in 1..=12 {
        let actions = router.offer(SECOND_US, offer_with(sequence, 7));
        servers.push(dispatched(&actions).unwrap());
    }
    let most = servers
        .iter()
        .map(|server| servers.iter().filter(|other| *other == server).count())
        .max();
    assert!(most.unwrap() <= 7, "12 prompts at once: {servers:?}");
}

#[test]
fn reported_wait_shrinks_with_the_age_of_the_report() {
    let mut prefill = Prefill::default();
    let mut speed = Speed::new(10.0);
    for _ in 0..1_000 {
        speed.on_dispatch(10_000.0);
    }
    prefill.on_report(SECOND_US, 5);
    let wait_us = |now_us| prefill.wait_us(now_us, &speed);
    assert!((wait_us(SECOND_US) - 500_000.0).abs() < 1_000.0);
    assert!((wait_us(SECOND_US + 400_000) - 100_000.0).abs() < 1_000.0);
    assert_eq!(wait_us(2 * SECOND_US), 0.0);
}

#[test]
fn cached_parts_need_no_prefill_until_they_expire() {
    let mut prefill = Prefill::default();
    let (first, second) = (prompt(1, 2), prompt(1, 3));
    let whole = (SHARED_TOKENS + UNSHARED_TOKENS) as f64;
    assert_eq!(prefill.tokens_to_prefill(0, &first), whole);
    prefill.on_dispatch(0, &first, whole);
    assert_eq!(
        prefill.tokens_to_prefill(SECOND_US, &second),
        UNSHARED_TOKENS as f64
    );
    assert_eq!(prefill.tokens_to_prefill(60 * SECOND_US, &second), whole);
}

#[test]
fn slowdown_is_measured_and_decays() {
    let mut prefill = Prefill::default();
    for _ in 0..20 {
        prefill.on_first_token(SECOND_US, 800_000.0, 100_000.0);
    }
    assert!(prefill.slowdown(SECOND_US) > 6.0);
    assert!(prefill.slowdown(600 * SECOND_US) < 1.2);
}

#[rstest]
#[case::one_dispatch_allowed(1, false)]
#[case::two_dispatches_allowed(2, true)]
fn broken_stream_is_dispatched_again_if_any_server_can_continue(
    #[case] max_dispatches: u32,
    #[case] expected: bool,
) {
    let mut router = router(1, 3);
    for sequence in 1..50 {
        serve(&mut router, SECOND_US, sequence, 1);
    }
    let offer = Offer {
        continuation: Continuation::AnyServer,
        max_dispatches: Some(max_dispatches),
        ..offer_with(100, 1)
    };
    let first = dispatched(&router.offer(2 * SECOND_US, offer)).unwrap();
    sent(&mut router, 2 * SECOND_US, 100);
    let broken = Outcome::Broken {
        sent: true,
        events_seen: 3,
    };
    let actions = finish(&mut router, 3 * SECOND_US, 100, broken);
    match dispatched(&actions) {
        Some(second) => assert!(expected && second != first),
        None => assert!(!expected && refused(&actions).is_some()),
    }
}

#[test]
fn charged_refusal_retries_are_bounded_by_the_retry_budget() {
    let options = Options {
        retry_ratio: 0.0,
        min_retries: 1.0,
        charge_refusal_retries: true,
        ..Options::default()
    };
    let mut router = Router::new(options, "domain-0".into(), 1, 0);
    router.configure(0, &register(9, 0, 8), &rules(16));
    let retries = (1..=5).filter(|sequence| {
        let now_us = SECOND_US + sequence;
        router.offer(now_us, offer(*sequence));
        sent(&mut router, now_us, *sequence);
        let actions = finish(&mut router, now_us, *sequence, Outcome::RefusedNotRun);
        dispatched(&actions).is_some()
    });
    assert_eq!(retries.count(), 1);
}
