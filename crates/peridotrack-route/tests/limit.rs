//! Concurrency limit: reactions to load reports, refusals and late first tokens.

use peridotrack_route::limit::Limit;
use rstest::rstest;

const SLOTS: u32 = 16;

/// Six routers share one server and always use their full limits; without convergence, they would
/// overload it together.
#[rstest]
fn routers_share_the_slots() {
    let mut limits = vec![Limit::new(SLOTS); 6];
    let mut total = 0;
    for _ in 0..50 {
        let local: Vec<_> = limits.iter().map(|limit| limit.requests() as u32).collect();
        total = local.iter().sum();
        for (limit, local) in limits.iter_mut().zip(local) {
            limit.on_report(local, total);
        }
    }
    assert!((SLOTS - 4..=SLOTS + 6).contains(&total), "{total}");
    assert!(limits.iter().all(|limit| limit.requests() < 4.0));
}

#[rstest]
fn free_slots_raise_the_limit() {
    let mut limit = Limit::new(SLOTS);
    limit.on_report(8, 64);
    let lowered = limit.requests();
    assert!(lowered < 10.0, "{lowered}");
    for _ in 0..8 {
        limit.on_report(4, 4);
    }
    assert!(limit.requests() > 15.0);
}

#[rstest]
#[case::refusals(|limit: &mut Limit| limit.on_refusal())]
#[case::late_first_tokens(|limit: &mut Limit| limit.on_first_token(9e6, 1e6, 8))]
#[case::full_server(|limit: &mut Limit| limit.on_report(0, 1_000))]
fn limit_falls_but_never_below_one(#[case] lower: fn(&mut Limit)) {
    let mut limit = Limit::new(SLOTS);
    lower(&mut limit);
    assert!(limit.requests() < f64::from(SLOTS));
    for _ in 0..100 {
        lower(&mut limit);
    }
    assert_eq!(limit.requests(), 1.0);
    // Without reports, timely first tokens at full use raise the limit again.
    for _ in 0..200 {
        let in_flight = limit.requests().ceil() as u32;
        limit.on_first_token(1e6, 1e6, in_flight);
    }
    assert_eq!(limit.requests(), f64::from(SLOTS));
}
