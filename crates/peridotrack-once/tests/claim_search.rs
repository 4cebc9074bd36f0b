//! Seeded search over faults of the store, the routers, the backend server and the callers.

mod support;

use peridotrack_once::claim;
use rstest::rstest;
use support::{
    fleet::{Attempt, Faults, Fleet},
    store,
    trace::Told,
};

/// Seeds tried for each case.
const SEEDS: u64 = 300;
const ROUTERS: usize = 4;
const KEYS: u32 = 12;

/// Small pages and short epochs, so that seals and drops happen within one run.
fn options() -> claim::Options {
    claim::Options {
        shards: 2,
        page_bytes: 1_500,
        epoch_us: 6_000_000,
        retained_epochs: 5,
        unknown_after_us: 500_000,
        outcome_window_us: 20_000,
        probe_us: 100_000,
        ..claim::Options::default()
    }
}

fn arrivals(fleet: &mut Fleet, until_us: u64) {
    for key in 0..KEYS {
        let begin_us = fleet.rng.u64(0..until_us / 2);
        for _ in 0..fleet.rng.u32(1..7) {
            // Some retries cross, some come much later, some carry another request.
            let at_us = begin_us + fleet.rng.u64(0..until_us / 2);
            let attempt = Attempt {
                router: fleet.rng.usize(0..ROUTERS),
                key,
                content: u8::from(fleet.rng.u32(0..10) == 0),
                timeout_us: fleet.rng.u64(20_000..900_000),
            };
            fleet.arrive(at_us, attempt);
        }
    }
}

fn store_faults() -> store::Faults {
    store::Faults {
        lost_requests: 30,
        lost_replies: 80,
        late_writes: 80,
        refused: 30,
        stale_reads: 150,
        slow: 50,
    }
}

fn fleet_faults() -> Faults {
    Faults {
        killed: 4,
        paused: 10,
        lost_answers: 150,
        refused_by_backend: 100,
        callers_gone: 50,
    }
}

/// Counts of what a search met, so that a search that meets nothing fails.
#[derive(Debug, Default)]
struct Met {
    answers: u32,
    replays: u32,
    refusals: u32,
    unknown: u32,
    kills: u32,
    pages: u64,
}

impl Met {
    fn add(&mut self, fleet: &Fleet) {
        for trace in fleet.traces.values() {
            match &trace.told {
                Some(Told::Answer(_)) => self.answers += 1,
                Some(Told::Replay(_)) => self.replays += 1,
                Some(Told::Refused(_) | Told::NotRun) => self.refusals += 1,
                Some(Told::Unknown) | None => self.unknown += 1,
            }
        }
        self.kills += fleet.kills;
        let heads = (0..2).filter_map(|shard| fleet.store.latest(&format!("claims/{shard}")));
        self.pages += heads.map(|head| head.sequence).sum::<u64>();
    }
}

#[rstest]
#[case::calm(store::Faults::default(), Faults::default())]
#[case::store(store_faults(), Faults::default())]
#[case::routers(store::Faults::default(), fleet_faults())]
#[case::both(store_faults(), fleet_faults())]
fn at_most_one_run_a_key(#[case] store: store::Faults, #[case] faults: Faults) {
    let mut met = Met::default();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, ROUTERS, options());
        fleet.store.faults = store;
        fleet.faults = faults;
        arrivals(&mut fleet, 6_000_000);
        if seed % 3 == 0 {
            fleet.run(2_000_000);
            fleet.store.down_until_us = 3_500_000;
        }
        fleet.run(20_000_000);
        fleet.check();
        met.add(&fleet);
    }
    println!("{met:?}");
    assert!(
        met.answers > 1_000 && met.replays > 100 && met.refusals > 100,
        "{met:?}"
    );
    assert!(
        met.pages > 100 && (faults.killed == 0 || met.kills > 100),
        "{met:?}"
    );
}

/// With every router alive, a claim that was given up on leaves nothing behind: a key that never
/// ran is granted to the next caller.
#[test]
fn a_key_that_never_ran_is_granted_again() {
    let (mut never_ran, mut abandoned) = (0, 0);
    for seed in 0..SEEDS {
        // A paused claimant must not count as lost, and a caller that leaves after the first byte
        // ends its request as unknown: both would rightly keep the key from being granted.
        let options = claim::Options {
            unknown_after_us: 60_000_000,
            ..options()
        };
        let mut fleet = Fleet::new(seed, ROUTERS, options);
        fleet.store.faults = store_faults();
        fleet.faults = Faults {
            killed: 0,
            callers_gone: 0,
            ..fleet_faults()
        };
        arrivals(&mut fleet, 6_000_000);
        fleet.run(8_000_000);
        fleet.store.faults = store::Faults::default();
        fleet.faults = Faults::default();
        fleet.run(14_000_000);
        assert!(fleet.is_settled(), "seed {seed}: outcomes are left");
        for key in 0..KEYS {
            let attempt = Attempt {
                router: (key as usize) % ROUTERS,
                key: key + KEYS * u32::from(has_run(&fleet, key)),
                content: 0,
                timeout_us: 500_000,
            };
            never_ran += u32::from(attempt.key < KEYS);
            fleet.arrive(14_000_000 + u64::from(key) * 10_000, attempt);
        }
        let told_before = fleet.traces.len();
        fleet.run(16_000_000);
        fleet.check();
        let last = fleet
            .traces
            .values()
            .filter(|trace| trace.begun_us >= 14_000_000);
        for trace in last {
            let is_answered = matches!(trace.told, Some(Told::Answer(_)));
            assert!(is_answered, "seed {seed}: {trace:?}");
        }
        abandoned += told_before as u32;
    }
    assert!(
        never_ran > 20,
        "only {never_ran} of {abandoned} requests left a key unused"
    );
}

fn has_run(fleet: &Fleet, key: u32) -> bool {
    let mut traces = fleet.traces.values();
    traces.any(|trace| trace.attempt.key == key && trace.runs > 0)
}
