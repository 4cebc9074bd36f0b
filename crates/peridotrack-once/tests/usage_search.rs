//! Seeded search for lost usage records.
//!
//! Injects lost messages, writes and replies, partitions, kills, pauses and stops; a single failure
//! must lose no record of a response that was released.

mod support;

use rstest::rstest;
use support::domain::{Domain, Faults, Lost, ROUTERS};

const SEEDS: u64 = 300;

fn all_faults() -> Faults {
    Faults {
        lost_messages: 100,
        lost_writes: 100,
        lost_replies: 100,
        killed: 3,
        max_kills: usize::MAX,
        paused: 5,
        stopped: 3,
        partitioned: 5,
    }
}

#[rstest]
#[case::no_faults(Faults::default())]
#[case::lost(Faults { killed: 0, paused: 0, stopped: 0, ..all_faults() })]
#[case::one_killed(Faults { killed: 5, max_kills: 1, ..Faults::default() })]
#[case::one_killed_and_lost(Faults {
    max_kills: 1, paused: 0, stopped: 0, partitioned: 0, ..all_faults()
})]
#[case::killed(Faults { killed: 5, max_kills: usize::MAX, ..Faults::default() })]
#[case::stopped(Faults { killed: 0, stopped: 10, ..all_faults() })]
#[case::all(all_faults())]
fn no_record_is_lost_by_a_single_failure(#[case] faults: Faults) {
    let mut lost = Lost::default();
    let (mut records, mut deaths) = (0, 0);
    for seed in 0..SEEDS {
        let mut domain = Domain::new(seed, faults);
        for _ in 0..150 {
            let at_us = domain.rng.u64(0..3_000_000);
            let router = domain.rng.usize(0..ROUTERS);
            domain.arrive_at(at_us, router);
        }
        domain.run(4_000_000);
        domain.heal();
        domain.run(12_000_000);
        assert_eq!(
            domain.remaining_records(),
            [(0, 0); ROUTERS],
            "seed {seed}: records are left"
        );
        domain.check(&mut lost);
        records += domain.traces.len();
        deaths += domain.dead.len();
    }
    println!("{records} records, {deaths} routers ended, {lost:?}");
    let can_lose = faults.killed > 0 && faults.max_kills > 1;
    let lost = lost.unprotected + lost.with_all_holders;
    assert!(can_lose || lost == 0, "lost by a single failure");
    assert!(
        faults.killed + faults.stopped == 0 || deaths > 100,
        "{deaths} deaths"
    );
}
