//! Retries must find a claim within the retention, in the head or in a sealed page.
//!
//! A key would run twice if a page were missed after a stale read, or dropped too early because a
//! router overestimated the age of an epoch.

mod support;

use peridotrack_once::claim;
use rstest::rstest;
use support::{
    fleet::{Attempt, Fleet},
    store,
    trace::Received,
};

const EPOCH_US: u64 = 1_000_000;
const RETAINED_EPOCHS: u64 = 4;

fn options() -> claim::Options {
    claim::Options {
        shards: 1,
        page_bytes: 2_000,
        epoch_us: EPOCH_US,
        retained_epochs: RETAINED_EPOCHS,
        outcome_window_us: 10_000,
        ..claim::Options::default()
    }
}

fn attempt(router: usize, key: u32) -> Attempt {
    Attempt {
        router,
        key,
        content: 0,
        timeout_us: 500_000,
    }
}

/// Queues requests with other keys, which fill pages and end epochs.
fn arrive_others(fleet: &mut Fleet, from_us: u64, to_us: u64) {
    for (index, at_us) in (from_us..to_us).step_by(20_000).enumerate() {
        let key = 1_000 + (at_us / 20_000) as u32;
        fleet.arrive(at_us, attempt(index % 2, key));
    }
}

#[rstest]
#[case::same_page(100_000, true)]
#[case::next_page(900_000, true)]
#[case::next_epoch(1_500_000, true)]
#[case::end_of_min_retention(EPOCH_US * (RETAINED_EPOCHS - 1), true)]
#[case::long_after(EPOCH_US * (RETAINED_EPOCHS + 3), false)]
fn a_retry_finds_the_claim_within_the_retention(
    #[case] later_us: u64,
    #[case] is_found: bool,
    #[values(0, 150)] stale_reads: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(seed, 3, options());
    fleet.store.faults = store::Faults {
        stale_reads,
        lost_replies: stale_reads / 3,
        ..store::Faults::default()
    };
    fleet.arrive(0, attempt(0, 7));
    arrive_others(&mut fleet, 10_000, later_us);
    fleet.arrive(later_us, attempt(2, 7));
    fleet.run(later_us + 1_000_000);
    let retry = fleet
        .traces
        .values()
        .find(|trace| trace.begun_us == later_us);
    let received = retry.expect("begun").received.clone().expect("received");
    assert_eq!(
        matches!(received, Received::Replay(_)),
        is_found,
        "{received:?}"
    );
    if is_found {
        fleet.check();
    }
}

/// A router that restarts must measure the age of an epoch anew, so that no epoch ends early.
#[test]
fn restarts_never_shorten_the_retention() {
    const MIN_RETENTION_US: u64 = EPOCH_US * (RETAINED_EPOCHS - 1);
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed, 2, options());
        fleet.arrive(0, attempt(0, 7));
        arrive_others(&mut fleet, 10_000, MIN_RETENTION_US);
        fleet.arrive(MIN_RETENTION_US, attempt(1, 7));
        let mut at_us = 100_000;
        while at_us < MIN_RETENTION_US - 100_000 {
            fleet.run(at_us);
            let router = fleet.rng.usize(0..2);
            fleet.kill(router);
            at_us += fleet.rng.u64(50_000..1_500_000);
        }
        fleet.run(MIN_RETENTION_US + 1_000_000);
        fleet.check();
    }
}

#[test]
fn dropped_pages_are_removed() {
    let mut fleet = Fleet::new(5, 2, options());
    arrive_others(&mut fleet, 0, 20_000_000);
    fleet.run(21_000_000);
    let head = fleet.store.latest("claims/0").expect("head");
    assert!(head.epoch > 10, "{} epochs", head.epoch);
    assert!(head.sequence > 100, "{} pages", head.sequence);
    assert_eq!(fleet.store.pages(), head.pages.len());
}
