//! Placement where the memory of servers binds.

mod support;

use peridotrack_route::{
    event::{Offer, Outcome},
    options::Options,
    router::Router,
};
use rstest::rstest;
use support::{SECOND_US, dispatched, dispatched_request, finish, offer, register, rules};

const MEMORY_TOKENS: u64 = 10_000;

fn router(engines: usize, memory_tokens: Option<u64>) -> Router {
    let mut register = register(engines, 0, 16);
    let memory = memory_tokens.map(|tokens| (support::MODEL.into(), tokens));
    register.memory_tokens = memory.into_iter().collect();
    let mut router = Router::new(Options::default(), "domain-0".into(), 1, 0);
    router.configure(0, &register, &rules(16));
    router
}

fn offer_of(sequence: u64, size_tokens: u64) -> Offer {
    Offer {
        size_tokens,
        ..offer(sequence)
    }
}

/// Guards against offering a server more than its memory, and against a bound where none is asked
/// for.
#[rstest]
#[case::binding(Some(MEMORY_TOKENS), false)]
#[case::not_binding(None, true)]
fn a_server_is_offered_what_its_memory_takes(
    #[case] memory_tokens: Option<u64>,
    #[case] is_dispatched: bool,
) {
    let mut router = router(1, memory_tokens);
    assert!(dispatched(&router.offer(0, offer_of(1, 6_000))).is_some());
    assert!(dispatched(&router.offer(0, offer_of(2, 4_000))).is_some());
    let third = router.offer(0, offer_of(3, 100));
    assert_eq!(dispatched(&third).is_some(), is_dispatched);
}

/// Guards against requests that stay queued, or are sent too early, when memory becomes free.
#[test]
fn a_request_waits_until_there_is_memory() {
    let mut router = router(1, Some(MEMORY_TOKENS));
    router.offer(0, offer_of(1, 2_000));
    router.offer(0, offer_of(2, 7_000));
    assert!(router.offer(0, offer_of(3, 6_000)).is_empty());
    let early = finish(&mut router, SECOND_US, 1, Outcome::Done);
    assert_eq!(dispatched_request(&early), None);
    let later = finish(&mut router, 2 * SECOND_US, 2, Outcome::Done);
    assert_eq!(dispatched_request(&later), Some(3));
}

/// Guards against a request that waits for ever because it is larger than any server's memory.
#[test]
fn a_request_larger_than_the_memory_is_placed_at_an_idle_server() {
    let mut router = router(2, Some(MEMORY_TOKENS));
    let busy = dispatched(&router.offer(0, offer_of(1, 100)));
    let idle = dispatched(&router.offer(0, offer_of(2, 20_000)));
    assert!(idle.is_some() && idle != busy);
    assert!(dispatched(&router.offer(0, offer_of(3, 20_000))).is_none());
}
