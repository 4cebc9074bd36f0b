//! Measures of routing with six routers and fourteen engines, one of them slow.
//!
//! [`measure`] simulates the routers of this project and the baselines of [`policy`] with [`fleet`].
//! Every policy gets the same arrivals. A load of 100% is the rate at which the engines complete
//! requests together when each always has a full batch of random requests.

use peridotrack_route::options::Options;

use crate::{
    report::{Figure, Report},
    route::{
        case::{Case, Fault, Run, Trace},
        policy::Policy,
        workload::Mix,
    },
};

pub mod capacity;
pub mod case;
pub mod engine;
pub mod fleet;
pub mod policy;
pub mod timing;
pub mod workload;

const SECOND_US: u64 = 1_000_000;
const ENGINES: usize = 14;
const ROUTERS: usize = 6;
const SLOTS: usize = 16;
/// Speed of the slow engine, relative to the others.
const SLOW_SPEED: f64 = 1.0 / 3.0;
const DURATION_US: u64 = 60 * SECOND_US;
/// Time before which first-token times, timely responses and goodput are not measured.
const WARM_UP_US: u64 = 10 * SECOND_US;
/// Simulated time at which a fault is injected, in the cases that have one.
const FAULT_US: u64 = 20 * SECOND_US;
const DEADLINE_US: u64 = 30 * SECOND_US;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Share of requests that come from the largest client account in most measures.
const LARGE_SHARE: f64 = 0.3;
/// Share of requests that come from the largest client account while it floods the fleet at 200%
/// load.
const FLOOD_SHARE: f64 = 0.75;
const NON_IDEMPOTENT_SHARE: f64 = 0.3;

const NO_TARGET: &str = "shown for comparison";
const TARGET_P99: &str = "issue 5: 99th percentile no worse than the best baseline at every cell";
const TARGET_P99_LATE_REPORTS: &str =
    "issue 5: at least 25% better at 80% load with reports 1 s late";
const TARGET_GOODPUT: &str = "issue 5: goodput at 200% at least 95% of that at 100%";
const TARGET_NOT_RUN: &str = "brief: a refusal saying \"not run\" is true";
const TARGET_AT_MOST_ONCE: &str = "brief: a non-idempotent request runs at most once";
const TARGET_AMPLIFICATION: &str =
    "issue 5: amplification at most 1.1 when half the engines vanish";
const TARGET_LEAVING: &str = "issue 5: no new work for a leaving server within 3 s";

/// Runs every routing measure and adds its figures to `report`.
pub fn measure(report: &mut Report) {
    let capacity_per_s =
        capacity::requests_per_s(&base_mix(1.0), &engine_speeds(), SLOTS, DURATION_US);
    let name = "capacity of 14 engines with 16 slots, one at a third of the speed";
    report.add(Figure::unbounded(
        name,
        capacity_per_s,
        "requests/s",
        NO_TARGET,
    ));
    for load in [0.5, 0.8, 0.95, 1.2] {
        for late_s in [0, 1, 5] {
            measure_first_token(report, capacity_per_s, load, late_s);
        }
    }
    measure_goodput(report, capacity_per_s);
    measure_flood(report, capacity_per_s);
    measure_vanish(report, capacity_per_s);
    measure_leave(report, capacity_per_s);
}

/// Measures first-token times, prefix-cache hits and timely responses of every policy at one load
/// and one delay of load reports.
fn measure_first_token(report: &mut Report, capacity_per_s: f64, load: f64, late_s: u64) {
    let cell = format!("{:.0}% load, reports {late_s} s late", load * 100.0);
    let mut best_baseline_ms = f64::INFINITY;
    let mut peridotrack_ms = f64::NAN;
    for policy in Policy::ALL {
        let runs = run_seeds(&base_case(policy, capacity_per_s * load, late_s));
        let name = policy.name();
        let times = first_token_times_us(&runs);
        let p99_ms = percentile_ms(&times, 0.99);
        if policy == Policy::Peridotrack {
            peridotrack_ms = p99_ms;
        } else {
            best_baseline_ms = best_baseline_ms.min(p99_ms);
        }
        let mut show = |quantity: &str, value: f64, unit| {
            let measure = format!("{quantity}, {cell}, {name}");
            report.add(Figure::unbounded(measure, value, unit, NO_TARGET));
        };
        show("first token p95", percentile_ms(&times, 0.95), "ms");
        show("first token p99", p99_ms, "ms");
        show(
            "prefix-cache hits",
            prefix_hit_share(&runs),
            "share of lookups",
        );
        show(
            "answered in time",
            completed_share(&runs),
            "share of requests",
        );
    }
    let (bound, from) = match (load, late_s) {
        (0.8, 1) => (0.75, TARGET_P99_LATE_REPORTS),
        _ => (1.0, TARGET_P99),
    };
    let measure = format!("first token p99 over the best baseline's, {cell}");
    let ratio = peridotrack_ms / best_baseline_ms;
    report.add(Figure::at_most(measure, ratio, "ratio", bound, from));
}

/// Measures the requests that complete in time, per second, up to twice the capacity.
fn measure_goodput(report: &mut Report, capacity_per_s: f64) {
    for policy in Policy::ALL {
        let per_s = [1.0, 1.2, 2.0].map(|load| {
            let runs = run_seeds(&base_case(policy, capacity_per_s * load, 1));
            let per_s = goodput_per_s(&runs);
            let measure = format!("goodput, {:.0}% load, {}", load * 100.0, policy.name());
            report.add(Figure::unbounded(measure, per_s, "requests/s", NO_TARGET));
            per_s
        });
        let measure = format!("goodput at 100% over that at 200%, {}", policy.name());
        let ratio = per_s[0] / per_s[2];
        report.add(match policy {
            Policy::Peridotrack => {
                Figure::at_most(measure, ratio, "ratio", 1.0 / 0.95, TARGET_GOODPUT)
            }
            _ => Figure::unbounded(measure, ratio, "ratio", NO_TARGET),
        });
    }
}

/// Measures the share of a small client account's requests that complete while the largest account
/// floods the fleet; the lowest share among the small accounts is reported.
fn measure_flood(report: &mut Report, capacity_per_s: f64) {
    for policy in Policy::ALL {
        let mut case = base_case(policy, capacity_per_s * 2.0, 1);
        case.mix.large_share = FLOOD_SHARE;
        let runs = run_seeds(&case);
        let accounts = 1..workload::ACCOUNTS;
        let shares = accounts.map(|account| {
            let of_account = |trace: &&Trace| trace.arrival.account == account;
            let traces = || runs.iter().flat_map(|run| &run.traces).filter(of_account);
            let done = traces().filter(|trace| trace.done_us.is_some()).count();
            done as f64 / traces().count() as f64
        });
        let least = shares.fold(f64::INFINITY, f64::min);
        let name = policy.name();
        let measure = format!("least share of a small client account, one floods, {name}");
        report.add(Figure::unbounded(
            measure,
            least,
            "share of its requests",
            NO_TARGET,
        ));
    }
}

/// Measures the attempts per request after half of the engines vanish with everything they run.
fn measure_vanish(report: &mut Report, capacity_per_s: f64) {
    for load in [0.4, 0.8] {
        let mut case = base_case(Policy::Peridotrack, capacity_per_s * load, 1);
        case.mix.non_idempotent_share = NON_IDEMPOTENT_SHARE;
        case.fault = Fault::Vanish {
            at_us: FAULT_US,
            engines: ENGINES / 2,
        };
        let runs = run_seeds(&case);
        let cell = format!("half the engines vanish at {:.0}% load", load * 100.0);
        let after = |trace: &&Trace| trace.arrival.arrival_us >= FAULT_US;
        let traces = || runs.iter().flat_map(|run| &run.traces);
        let requests = traces().filter(after).count();
        let attempts: u32 = traces().filter(after).map(|trace| trace.attempts).sum();
        let ratio = f64::from(attempts) / requests as f64;
        let measure = format!("attempts over requests, {cell}");
        report.add(Figure::at_most(
            measure,
            ratio,
            "ratio",
            1.1,
            TARGET_AMPLIFICATION,
        ));
        add_fault_outcomes(report, &runs, &cell);
    }
}

/// Measures how long dispatches still reach an engine after it begins to refuse new work.
fn measure_leave(report: &mut Report, capacity_per_s: f64) {
    for (late_s, has_gossip) in [(0, true), (1, true), (5, true), (5, false)] {
        let mut case = base_case(Policy::Peridotrack, capacity_per_s * 0.8, late_s);
        case.has_gossip = has_gossip;
        case.mix.non_idempotent_share = NON_IDEMPOTENT_SHARE;
        case.fault = Fault::Leave { at_us: FAULT_US };
        let runs = run_seeds(&case);
        let propagation = match has_gossip {
            true => "routers tell each other",
            false => "each router on its own",
        };
        let cell = format!("one engine leaves, reports {late_s} s late, {propagation}");
        let last_us = runs.iter().filter_map(|run| run.last_to_leaving_us).max();
        let seconds = last_us.map_or(0.0, |last_us| (last_us - FAULT_US) as f64 / 1e6);
        let measure = format!("time until no new work reaches it, {cell}");
        report.add(match has_gossip {
            true => Figure::at_most(measure, seconds, "s", 3.0, TARGET_LEAVING),
            false => Figure::unbounded(measure, seconds, "s", NO_TARGET),
        });
        add_fault_outcomes(report, &runs, &cell);
    }
}

/// Adds figures for outcomes that must never occur, and for timely responses, in runs with a fault.
fn add_fault_outcomes(report: &mut Report, runs: &[Run], cell: &str) {
    let traces = || runs.iter().flat_map(|run| &run.traces);
    let is_false_not_run = |trace: &&Trace| trace.is_refused_as_not_run() && trace.executions > 0;
    let false_not_run = traces().filter(is_false_not_run).count();
    let measure = format!("refusals that said \"not run\" and ran, {cell}");
    report.add(Figure::at_most(
        measure,
        false_not_run as f64,
        "requests",
        0.0,
        TARGET_NOT_RUN,
    ));
    let ran_twice = |trace: &&Trace| !trace.arrival.idempotent && trace.executions > 1;
    let repeated = traces().filter(ran_twice).count();
    let measure = format!("non-idempotent requests run more than once, {cell}");
    report.add(Figure::at_most(
        measure,
        repeated as f64,
        "requests",
        0.0,
        TARGET_AT_MOST_ONCE,
    ));
    let measure = format!("answered in time, {cell}");
    report.add(Figure::unbounded(
        measure,
        completed_share(runs),
        "share of requests",
        NO_TARGET,
    ));
}

fn base_mix(rate_per_s: f64) -> Mix {
    Mix {
        rate_per_s,
        duration_us: DURATION_US,
        routers: ROUTERS,
        large_share: LARGE_SHARE,
        non_idempotent_share: 0.0,
    }
}

fn engine_speeds() -> [f64; ENGINES] {
    let mut speeds = [1.0; ENGINES];
    speeds[ENGINES - 1] = SLOW_SPEED;
    speeds
}

fn base_case(policy: Policy, rate_per_s: f64, late_s: u64) -> Case {
    Case {
        policy,
        options: Options::default(),
        mix: base_mix(rate_per_s),
        speeds: engine_speeds().to_vec(),
        slots: SLOTS,
        report_delay_us: late_s * SECOND_US,
        deadline_us: DEADLINE_US,
        has_gossip: true,
        fault: Fault::None,
        seed: 0,
    }
}

fn run_seeds(case: &Case) -> Vec<Run> {
    let run = |&seed: &u64| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let arrivals = workload::arrivals(&case.mix, &mut rng);
        let case = Case {
            seed,
            ..case.clone()
        };
        fleet::run(&case, &arrivals)
    };
    SEEDS.iter().map(run).collect()
}

fn traces_after_warm_up(runs: &[Run]) -> impl Iterator<Item = &Trace> {
    runs.iter()
        .flat_map(|run| &run.traces)
        .filter(|trace| trace.arrival.arrival_us >= WARM_UP_US)
}

/// Returns the sorted first-token times of requests that were not refused, in microseconds.
///
/// A request without a first token counts as [`DEADLINE_US`].
fn first_token_times_us(runs: &[Run]) -> Vec<u64> {
    let mut times: Vec<_> = traces_after_warm_up(runs)
        .filter(|trace| trace.refusal.is_none())
        .map(|trace| trace.first_token_us.unwrap_or(DEADLINE_US))
        .collect();
    times.sort_unstable();
    times
}

fn percentile_ms(sorted_us: &[u64], share: f64) -> f64 {
    let rank = (sorted_us.len() as f64 * share) as usize;
    let time_us = sorted_us.get(rank).or(sorted_us.last());
    time_us.map_or(f64::NAN, |&time_us| time_us as f64 / 1_000.0)
}

fn prefix_hit_share(runs: &[Run]) -> f64 {
    let hits: u64 = runs.iter().map(|run| run.prefix_hits).sum();
    let lookups: u64 = runs.iter().map(|run| run.prefix_lookups).sum();
    hits as f64 / lookups as f64
}

fn completed_share(runs: &[Run]) -> f64 {
    let done = traces_after_warm_up(runs)
        .filter(|trace| trace.done_us.is_some())
        .count();
    done as f64 / traces_after_warm_up(runs).count() as f64
}

/// Returns the requests completed per second between the warm-up and the last arrival.
fn goodput_per_s(runs: &[Run]) -> f64 {
    let window = WARM_UP_US..DURATION_US;
    let traces = runs.iter().flat_map(|run| &run.traces);
    let done = traces
        .filter_map(|trace| trace.done_us)
        .filter(|done_us| window.contains(done_us))
        .count();
    let seconds = (DURATION_US - WARM_UP_US) / SECOND_US * runs.len() as u64;
    done as f64 / seconds as f64
}
