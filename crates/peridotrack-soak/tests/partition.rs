//! Partitions of routers from all backend servers are checked against the routers that reach them.

mod common;

use common::{AT_MS, record, sent};
use peridotrack_soak::{
    check::{SentRequest, check},
    schedule::{Fault, Step},
};
use peridotrack_standin::{
    harness::relay::Link,
    hosted::{client::Outcome, deployment::Kind},
};
use rstest::rstest;

/// Requests to each of two routers, of which the first one is partitioned.
const REQUESTS: u64 = 60;

/// Requests to a router, of which some are served and the others are refused.
fn requests(router: usize, at_ms: u64, served: u64) -> impl Iterator<Item = SentRequest> {
    (0..REQUESTS).map(move |number| SentRequest {
        id: format!("r-{router}-{number}"),
        router,
        at_ms: at_ms + number,
        end_ms: at_ms + number + 50,
        prompt_tokens: 0,
        ..sent(
            Kind::Safe,
            Outcome::Status(if number < served { 200 } else { 503 }),
        )
    })
}

fn partition(domain: usize, at_ms: u64) -> Step {
    Step {
        at_ms,
        duration_ms: 8_000,
        fault: Fault::Partition(domain, Link::Partitioned),
    }
}

fn breaches(served: [u64; 2], steps: Vec<Step>) -> Vec<String> {
    let requests = requests(0, AT_MS, served[0]).chain(requests(1, AT_MS, served[1]));
    let mut record = record(requests.collect(), Vec::new());
    record.steps = steps;
    check(&record)
}

#[rstest]
#[case::rare([20, 60], 1)]
#[case::two_thirds([40, 60], 0)]
#[case::just_below([39, 60], 1)]
#[case::none_anywhere([0, 0], 0)]
#[case::as_rare_elsewhere([20, 30], 0)]
fn partitioned_routers_serve_less_than_two_thirds(#[case] served: [u64; 2], #[case] count: usize) {
    assert_eq!(
        breaches(served, vec![partition(0, AT_MS - 4_000)]).len(),
        count
    );
}

#[rstest]
#[case::just_begun(vec![partition(0, AT_MS - 2_000)])]
#[case::ended(vec![partition(0, AT_MS - 8_000)])]
#[case::everywhere(vec![partition(0, AT_MS - 4_000), partition(1, AT_MS - 4_000)])]
#[case::of_the_others(vec![partition(1, AT_MS - 4_000)])]
#[case::killed(vec![partition(0, AT_MS - 4_000), common::step(AT_MS - 1_000, Fault::Kill(0))])]
fn refusals_are_excused(#[case] steps: Vec<Step>) {
    assert!(breaches([0, 60], steps).is_empty());
}
