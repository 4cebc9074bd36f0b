//! Fleets of routers among servers of two versions: no stream is joined from both, and as many
//! take-ups go on as new streams begin.

mod sim;

use rstest::rstest;
use sim::{Counts, Fault, Fleet};

/// Least share of the take-ups that go on while two servers of their version run, against that of new
/// streams that begin.
const LEAST_RATIO: f64 = 0.95;
const SEEDS: u64 = 20;

#[rstest]
fn streams_go_on_at_the_version_that_began_them(
    #[values(6, 54)] routers: usize,
    #[values(
        Fault::None,
        Fault::KillAll,
        Fault::Cut,
        Fault::SlowStore,
        Fault::SameName,
        Fault::All
    )]
    fault: Fault,
) {
    let mut sum = Counts::default();
    let mut most_joined = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(routers, fault, seed);
        fleet.run();
        let counts = fleet.counts;
        most_joined = most_joined.max(counts.joined);
        sum.take_ups += counts.take_ups;
        sum.take_ups_served += counts.take_ups_served;
        sum.new += counts.new;
        sum.new_served += counts.new_served;
        sum.messages += counts.messages;
    }
    let take_ups = sum.take_ups_served as f64 / sum.take_ups as f64;
    let new = sum.new_served as f64 / sum.new as f64;
    println!(
        "{most_joined} joined, {take_ups:.3} of {} take-ups, {new:.3} of new",
        sum.take_ups
    );
    assert_eq!(most_joined, 0);
    assert!(sum.take_ups > 100);
    assert!(take_ups >= LEAST_RATIO * new, "{take_ups} of {new}");
}
