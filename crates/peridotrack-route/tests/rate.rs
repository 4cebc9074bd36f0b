//! Rates of this router's requests to a server: they also hold for requests that were placed before.

mod support;

use peridotrack_route::event::{Event, Outcome};
use support::{SECOND_US, dispatched, engine, finish, offer, request, router};

fn rate(per_s: Option<f64>) -> Event {
    Event::Rate {
        backend: engine(0, 4).name,
        per_s,
    }
}

/// Guards against a burst at a server that has become cold: requests that were waiting for their
/// connections when the limit began.
#[test]
fn a_request_that_was_placed_before_the_limit_is_not_sent() {
    let mut router = router(2, 4, 64);
    let first = (1..)
        .find(|sequence| dispatched(&router.offer(0, offer(*sequence))) == Some(engine(0, 4).name));
    let first = first.unwrap();
    router.on_event(1, rate(Some(4.0)));
    router.on_event(2, rate(Some(2.0)));
    assert!(!router.may_send(2, request(first)));
    let next = finish(&mut router, 2, first, Outcome::Withdrawn);
    assert_eq!(dispatched(&next), Some(engine(1, 4).name));
}

/// Guards against a limited server that receives nothing, because its own requests are withdrawn.
#[test]
fn a_request_that_the_limit_allows_is_sent() {
    let mut router = router(1, 4, 64);
    router.on_event(0, rate(Some(2.0)));
    let actions = router.offer(SECOND_US, offer(1));
    assert_eq!(dispatched(&actions), Some(engine(0, 4).name));
    router.on_event(SECOND_US + 1, rate(Some(1.0)));
    assert!(router.may_send(SECOND_US + 2, request(1)));
}
