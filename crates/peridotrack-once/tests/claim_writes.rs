//! Platform calls of claims at several arrival rates, with and without batching.
//!
//! Guards against more head writes per claim than the batching windows allow.
//!
//! `cargo test -p peridotrack-once --test claim_writes -- --nocapture` prints the figures.

mod support;

use peridotrack_once::claim;
use rstest::rstest;
use support::{
    fleet::{Attempt, Fleet},
    trace::{Received, Trace},
};

const ROUTERS: usize = 8;
const SIMULATED_S: u64 = 5;

/// Calls for 1,000 claims and latencies of their decisions.
struct Counts {
    writes: u64,
    reads: u64,
    conflicts: u64,
    refused: u64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Options without batching: nearly every key has its own shard, and no write waits for others.
fn unbatched() -> claim::Options {
    claim::Options {
        shards: 1 << 20,
        claim_window_us: 0,
        outcome_window_us: 0,
        ..claim::Options::default()
    }
}

fn batched(shards: u32) -> claim::Options {
    claim::Options {
        shards,
        ..claim::Options::default()
    }
}

fn measure(claims_per_s: u64, options: claim::Options) -> Counts {
    let mut fleet = Fleet::new(claims_per_s, ROUTERS, options);
    let claims = claims_per_s * SIMULATED_S;
    for key in 0..claims as u32 {
        let attempt = Attempt {
            router: fleet.rng.usize(0..ROUTERS),
            key,
            content: 0,
            timeout_us: 2_000_000,
        };
        let at_us = fleet.rng.u64(0..SIMULATED_S * 1_000_000);
        fleet.arrive(at_us, attempt);
    }
    fleet.run((SIMULATED_S + 5) * 1_000_000);
    fleet.check();
    assert!(fleet.is_settled(), "outcomes are left");
    let traces = fleet.traces.values();
    let mut waits_us: Vec<_> = traces
        .map(|trace| trace.decided_us - trace.begun_us)
        .collect();
    waits_us.sort_unstable();
    let quantile_ms = |per_mille: usize| waits_us[waits_us.len() * per_mille / 1_000] as f64 / 1e3;
    let refused = |trace: &&Trace| !matches!(trace.received, Some(Received::Response(_)));
    Counts {
        writes: fleet.store.writes * 1_000 / claims,
        reads: fleet.store.reads * 1_000 / claims,
        conflicts: fleet.store.conflicts * 1_000 / claims,
        refused: fleet.traces.values().filter(refused).count() as u64 * 1_000 / claims,
        p50_ms: quantile_ms(500),
        p99_ms: quantile_ms(990),
    }
}

#[rstest]
#[case::rate_10(10, 2_000)]
#[case::rate_50(50, 1_950)]
#[case::rate_200(200, 1_650)]
#[case::rate_400(400, 1_450)]
fn platform_calls_per_1000_claims_are_bounded(#[case] claims_per_s: u64, #[case] max_writes: u64) {
    let default = claim::Options::default();
    let cases = [
        ("unbatched", unbatched()),
        ("64 shards", batched(64)),
        ("32 shards", batched(32)),
        ("8 shards", batched(8)),
        ("1 shard", batched(1)),
    ];
    for (name, options) in cases {
        let is_default = options == default;
        let counts = measure(claims_per_s, options);
        println!(
            "{claims_per_s:>4} claims/s, {name:>9}: {:>5} writes {:>5} reads {:>5} conflicts, \
             decided in {:>5.1} ms p50 {:>6.1} ms p99",
            counts.writes, counts.reads, counts.conflicts, counts.p50_ms, counts.p99_ms,
        );
        assert_eq!(counts.refused, 0);
        assert!(
            !is_default || counts.writes <= max_writes,
            "{} writes",
            counts.writes
        );
        assert!(
            !is_default || counts.conflicts <= 100,
            "{} conflicts",
            counts.conflicts
        );
    }
}
