//! Platform calls and peer traffic of a fleet under steady load.

use peridotrack_budget::options as holder_options;

use crate::fleet::{Fleet, Options, Request};

const SECOND_US: u64 = 1_000_000;

/// Size of a fleet and its load.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of holders, spread evenly over the failure domains.
    pub holders: usize,
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Number of budgets configured.
    pub budgets: usize,
    /// Number of budgets that requests draw on, the first of those configured.
    pub active_budgets: usize,
    /// Requests per second to all holders together.
    pub requests_per_s: u64,
    /// Time for the holders to estimate request rates, in simulated seconds.
    pub warm_up_s: u64,
    /// Time measured after the warm-up, in simulated seconds.
    pub measured_s: u64,
}

/// Calls, bytes and refusals of one run, after the warm-up unless stated otherwise.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Requests that arrived at a running holder.
    pub requests: u64,
    /// Reads that arrived at the store.
    pub reads: u64,
    /// Writes that arrived at the store.
    pub writes: u64,
    /// Encoded bytes of messages between holders.
    pub peer_bytes: u64,
    /// Time measured, in simulated seconds.
    pub seconds: f64,
    /// Tokens spent beyond the highest purchased total, from the start.
    pub overspend_tokens: u64,
    /// Refusals while the holder's failure domain could reach enough tokens, from the start.
    pub strict_false_refusals: u64,
    /// Requests from the start, including those of the warm-up.
    pub all_requests: u64,
}

impl Traffic {
    /// Returns a count per 1,000 measured requests.
    pub fn per_mille(&self, count: u64) -> f64 {
        count as f64 * 1_000.0 / self.requests.max(1) as f64
    }

    /// Returns a count per second of the time measured.
    pub fn per_second(&self, count: u64) -> f64 {
        count as f64 / self.seconds
    }
}

/// Starts the holders of a fleet; those of one failure domain know each other.
pub fn spawn_fleet(size: Size) -> Fleet {
    let options = Options {
        tick_us: SECOND_US / 20,
        counts_bytes: true,
        holder: holder_options::Options::default(),
        ..Options::default()
    };
    let mut fleet = Fleet::new(options, &vec![1_000_000_000; size.budgets]);
    for holder in 0..size.holders {
        fleet.spawn(holder % size.failure_domains);
    }
    fleet.update_peers();
    fleet
}

/// Runs a fleet under steady load and returns its traffic after the warm-up.
pub fn run(size: Size) -> Traffic {
    let mut fleet = spawn_fleet(size);
    let mut rng = fastrand::Rng::with_seed(7);
    run_load(&mut fleet, size, &mut rng, size.warm_up_s * SECOND_US);
    let (reads, writes) = (fleet.store.reads, fleet.store.writes);
    let counts = fleet.counts.clone();
    run_load(
        &mut fleet,
        size,
        &mut rng,
        (size.warm_up_s + size.measured_s) * SECOND_US,
    );
    Traffic {
        requests: fleet.counts.requests - counts.requests,
        reads: fleet.store.reads - reads,
        writes: fleet.store.writes - writes,
        peer_bytes: fleet.counts.message_bytes - counts.message_bytes,
        seconds: size.measured_s as f64,
        overspend_tokens: fleet.overspend_tokens(),
        strict_false_refusals: fleet.counts.strict_false_refusals,
        all_requests: fleet.counts.requests,
    }
}

/// Sends requests at a steady rate until `until_us`; most of them draw on a few budgets.
pub fn run_load(fleet: &mut Fleet, size: Size, rng: &mut fastrand::Rng, until_us: u64) {
    let interval_us = SECOND_US / size.requests_per_s;
    while fleet.now_us < until_us {
        let node = rng.usize(..size.holders);
        let bound_tokens = rng.u64(200..800);
        let spent_tokens = bound_tokens * rng.u64(30..=100) / 100;
        let budget = zipf_budget(rng, size.active_budgets);
        let service_us = rng.u64(SECOND_US..4 * SECOND_US);
        fleet.request(
            node,
            Request::new(budget, bound_tokens, spent_tokens, service_us),
        );
        fleet.run_until(fleet.now_us + interval_us);
    }
}

/// Picks the index of a budget; its probability is inversely proportional to its rank.
fn zipf_budget(rng: &mut fastrand::Rng, budgets: usize) -> usize {
    let rank = (budgets as f64).powf(rng.f64()) as usize;
    rank.min(budgets) - 1
}
