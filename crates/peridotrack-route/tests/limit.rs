//! Limit: reactions to reports, refusals and late first tokens.

use peridotrack_route::limit::Limit;
use rstest::rstest;

const SLOTS: u32 = 16;

/// Six routers that share one server and always want more than it has.
#[rstest]
fn routers_share_the_slots() {
    let mut limits = vec![Limit::new(SLOTS); 6];
    let mut total = 0;
    for _ in 0..50 {
        let own: Vec<_> = limits.iter().map(|limit| limit.requests() as u32).collect();
        total = own.iter().sum();
        for (limit, own) in limits.iter_mut().zip(own) {
            limit.on_report(own, total);
        }
    }
    assert!((SLOTS - 4..=SLOTS + 6).contains(&total), "{total}");
    assert!(limits.iter().all(|limit| limit.requests() < 4.0));
}

#[rstest]
fn room_raises_the_limit() {
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
fn limit_falls_but_never_below_one(#[case] sign: fn(&mut Limit)) {
    let mut limit = Limit::new(SLOTS);
    sign(&mut limit);
    assert!(limit.requests() < f64::from(SLOTS));
    for _ in 0..100 {
        sign(&mut limit);
    }
    assert_eq!(limit.requests(), 1.0);
    // Without reports, full use at good speed raises it again.
    for _ in 0..200 {
        let in_flight = limit.requests().ceil() as u32;
        limit.on_first_token(1e6, 1e6, in_flight);
    }
    assert_eq!(limit.requests(), f64::from(SLOTS));
}
