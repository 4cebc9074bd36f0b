//! Seeded search for keys that run twice or are refused wrongly.
//!
//! Injects faults of the store, the routers, the backend server and the callers.

mod support;

use peridotrack_once::claim;
use rstest::rstest;
use support::{
    fleet::{Attempt, Faults, Fleet},
    store,
    trace::Received,
};

/// Number of seeds for each case.
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
            // Some retries overlap, some arrive much later, some have another content.
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
        lost_responses: 150,
        refused_by_backend: 100,
        disconnected_callers: 50,
    }
}

/// Counts of results, kills and pages, so that a search that covers too few of them fails.
#[derive(Debug, Default)]
struct Coverage {
    responses: u32,
    replays: u32,
    refusals: u32,
    unknown: u32,
    kills: u32,
    pages: u64,
}

impl Coverage {
    fn add(&mut self, fleet: &Fleet) {
        for trace in fleet.traces.values() {
            match &trace.received {
                Some(Received::Response(_)) => self.responses += 1,
                Some(Received::Replay(_)) => self.replays += 1,
                Some(Received::Refused(_) | Received::NotRun) => self.refusals += 1,
                Some(Received::Unknown) | None => self.unknown += 1,
            }
        }
        self.kills += fleet.kills;
        let heads = (0..2).filter_map(|shard| fleet.store.latest(&format!("claims/{shard}")));
        self.pages += heads.map(|head| head.sequence).sum::<u64>();
    }
}

#[rstest]
#[case::no_faults(store::Faults::default(), Faults::default())]
#[case::store(store_faults(), Faults::default())]
#[case::routers(store::Faults::default(), fleet_faults())]
#[case::both(store_faults(), fleet_faults())]
fn a_key_runs_at_most_once(#[case] store: store::Faults, #[case] faults: Faults) {
    let mut coverage = Coverage::default();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, ROUTERS, options());
        fleet.store.faults = store;
        fleet.faults = faults;
        arrivals(&mut fleet, 6_000_000);
        if seed % 3 == 0 {
            fleet.run(2_000_000);
            fleet.store.unavailable_until_us = 3_500_000;
        }
        fleet.run(20_000_000);
        fleet.check();
        coverage.add(&fleet);
    }
    println!("{coverage:?}");
    assert!(
        coverage.responses > 1_000 && coverage.replays > 100 && coverage.refusals > 100,
        "{coverage:?}"
    );
    assert!(
        coverage.pages > 100 && (faults.killed == 0 || coverage.kills > 100),
        "{coverage:?}"
    );
}

/// A claim that was abandoned while its router stays alive must not keep its row: a key that never
/// ran is granted to the next caller.
#[test]
fn a_key_that_never_ran_is_granted_again() {
    let (mut never_ran, mut requests) = (0, 0);
    for seed in 0..SEEDS {
        // A claim recorded as unknown after a pause, or because its caller disconnected after the
        // first byte, correctly prevents a grant; this test excludes both cases.
        let options = claim::Options {
            unknown_after_us: 60_000_000,
            ..options()
        };
        let mut fleet = Fleet::new(seed, ROUTERS, options);
        fleet.store.faults = store_faults();
        fleet.faults = Faults {
            killed: 0,
            disconnected_callers: 0,
            ..fleet_faults()
        };
        arrivals(&mut fleet, 6_000_000);
        fleet.run(8_000_000);
        fleet.store.faults = store::Faults::default();
        fleet.faults = Faults::default();
        fleet.run(14_000_000);
        assert!(fleet.is_settled(), "seed {seed}: unrecorded outcomes");
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
        let requests_before = fleet.traces.len();
        fleet.run(16_000_000);
        fleet.check();
        let last = fleet
            .traces
            .values()
            .filter(|trace| trace.begun_us >= 14_000_000);
        for trace in last {
            let has_response = matches!(trace.received, Some(Received::Response(_)));
            assert!(has_response, "seed {seed}: {trace:?}");
        }
        requests += requests_before as u32;
    }
    assert!(
        never_ran > 20,
        "only {never_ran} of {requests} requests left a key unused"
    );
}

fn has_run(fleet: &Fleet, key: u32) -> bool {
    let mut traces = fleet.traces.values();
    traces.any(|trace| trace.attempt.key == key && trace.runs > 0)
}
