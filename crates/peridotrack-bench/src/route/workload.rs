//! Random workloads. The same seed gives every policy the same requests.

use peridotrack_types::rules;

/// One request of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Simulated time at which it reaches its router, in microseconds.
    pub arrival_us: u64,
    /// Index of the router that receives it.
    pub router: usize,
    /// Number of its client account; 0 is the largest.
    pub account: usize,
    /// Priority of its offer; always normal in these workloads.
    pub priority: rules::Priority,
    /// Number of its prompt prefix, if it shares one with other requests.
    pub prefix: Option<u64>,
    /// Tokens of that prefix; 0 without one.
    pub prefix_tokens: u64,
    /// Tokens of the rest of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the response.
    pub output_tokens: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Rate and composition of a workload.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Mean arrivals per second; intervals are exponential.
    pub rate_per_s: f64,
    /// Time over which requests arrive, in microseconds.
    pub duration_us: u64,
    /// Number of routers, which receive requests at random.
    pub routers: usize,
    /// Share of requests from the largest client account; the others split the rest evenly.
    pub large_share: f64,
    /// Share of requests that must not run more than once.
    pub non_idempotent_share: f64,
}

/// Number of client accounts.
pub const ACCOUNTS: usize = 10;
/// Number of distinct prompt prefixes.
const PREFIXES: usize = 80;
/// Share of requests whose prompt begins with one of them.
const PREFIX_SHARE: f64 = 0.6;
const PREFIX_TOKENS: u64 = 1_200;
const PROMPT_MIN_TOKENS: u64 = 50;
const PROMPT_MAX_TOKENS: u64 = 650;
const OUTPUT_MEAN_TOKENS: f64 = 120.0;
const OUTPUT_MAX_TOKENS: u64 = 600;

/// Returns the arrivals of a mix, in order of time.
pub fn arrivals(mix: &Mix, rng: &mut fastrand::Rng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut now_us = 0.0;
    loop {
        now_us += sample_exponential(rng, 1e6 / mix.rate_per_s);
        if now_us as u64 >= mix.duration_us {
            return arrivals;
        }
        arrivals.push(arrival(now_us as u64, mix, rng));
    }
}

/// Returns a random request of a mix that arrives at `arrival_us`.
pub fn arrival(arrival_us: u64, mix: &Mix, rng: &mut fastrand::Rng) -> Arrival {
    let prefix = (rng.f64() < PREFIX_SHARE).then(|| sample_prefix(rng));
    let output = sample_exponential(rng, OUTPUT_MEAN_TOKENS) as u64;
    let account = match rng.f64() < mix.large_share {
        true => 0,
        false => rng.usize(1..ACCOUNTS),
    };
    Arrival {
        arrival_us,
        router: rng.usize(..mix.routers),
        account,
        priority: rules::Priority::Normal,
        prefix,
        prefix_tokens: prefix.map_or(0, |_| PREFIX_TOKENS),
        prompt_tokens: rng.u64(PROMPT_MIN_TOKENS..PROMPT_MAX_TOKENS),
        output_tokens: output.clamp(4, OUTPUT_MAX_TOKENS),
        idempotent: rng.f64() >= mix.non_idempotent_share,
    }
}

/// Returns a random prefix number; low numbers are more frequent.
fn sample_prefix(rng: &mut fastrand::Rng) -> u64 {
    let uniform = rng.f64();
    (uniform * uniform * PREFIXES as f64) as u64
}

fn sample_exponential(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}
