//! Options of the router.
//!
//! Names ending in `_us` are in microseconds. The `initial_` values seed estimates that are then
//! updated from samples.

/// Tunable parameters of the router.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Retries allowed in the window of the retry budget, as a ratio to first dispatches.
    pub retry_ratio: f64,
    /// Retries allowed in the window even with little or no traffic.
    pub min_retries: f64,
    /// Whether a non-idempotent request of which a byte was sent is retried on another server after
    /// the first proved that it did not run it.
    pub retry_proven_not_run: bool,
    /// Whether a retry after a refusal counts against the retry budget.
    pub charge_refusal_retries: bool,
    /// Limit on the dispatches of one request.
    pub max_dispatches: u32,
    /// Limit on the resumes of one stream.
    pub max_resumes: u32,
    /// Consecutive connection failures that open a breaker.
    pub breaker_connect_failures: u32,
    /// Consecutive failures of any kind that open a breaker.
    pub breaker_failures: u32,
    /// Open time of a breaker without penalty, before jitter.
    pub breaker_open_us: u64,
    /// Limit on the open time of a breaker, before jitter.
    pub breaker_open_max_us: u64,
    /// Half-life of the penalty that lengthens the open time.
    pub flap_half_life_us: u64,
    /// Successful probes that close a half-open breaker.
    pub breaker_probes: u32,
    /// Mean time for which a backend server receives no work after a refusal; jittered by half.
    pub refusal_backoff_us: u64,
    /// Duration of slow start, over which the limit of a new or recovered server grows.
    pub slow_start_us: u64,
    /// Time after the latest indication of leaving within which reports of serving are ignored.
    pub leaving_hold_us: u64,
    /// Time without an indication of leaving after which the server receives work again.
    pub leaving_expiry_us: u64,
    /// Time after its removal from the register for which a server's statement that it leaves is
    /// kept.
    pub statement_memory_us: u64,
    /// Time over which the returns of callers are spread that are refused because all servers pause.
    pub return_span_us: u64,
    /// Limit on the expected wait in a queue, as a share of the time to the deadline less the
    /// minimum expected service time.
    pub queue_wait_share: f64,
    /// Tokens by which an account may exceed its fair share to use a cached prefix.
    pub overtake_tokens: u64,
    /// Wait that counts as much as one level of priority in the queue.
    pub ageing_us: u64,
    /// Limit on the estimated first-token time at the preferred server, as a ratio to that at the
    /// best candidate; above it, the best candidate is chosen in spite of the cached prefix.
    pub max_affinity_ratio: f64,
    /// Latency penalty of a server in another failure domain of the same region.
    pub cross_domain_cost_us: u64,
    /// Latency penalty of a server in another region.
    pub cross_region_cost_us: u64,
    /// Servers sampled and scored for one placement.
    pub sample_size: usize,
    /// Prefill time per prompt token before the first sample, in microseconds.
    pub initial_prefill_us_per_token: f64,
    /// Weight of the time to recompute shared prompt parts, in addition to that time itself, since
    /// the work is redundant.
    pub recompute_weight: f64,
    /// Penalty of a fully loaded server over an idle one, for a request with a known prompt.
    pub full_load_cost_us: f64,
    /// Duration of a model request before the first sample.
    pub initial_duration_us: u64,
    /// Duration of a service call before the first sample.
    pub initial_call_duration_us: u64,
    /// First-token time of an idle server before the first sample.
    pub initial_first_token_us: u64,
    /// Retry-After if no estimate is available.
    pub default_retry_after_us: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            min_retries: 1.0,
            retry_proven_not_run: false,
            charge_refusal_retries: false,
            max_dispatches: 3,
            max_resumes: 3,
            breaker_connect_failures: 1,
            breaker_failures: 5,
            breaker_open_us: 1_000_000,
            breaker_open_max_us: 60_000_000,
            flap_half_life_us: 60_000_000,
            breaker_probes: 2,
            refusal_backoff_us: 200_000,
            slow_start_us: 10_000_000,
            leaving_hold_us: 10_000_000,
            leaving_expiry_us: 60_000_000,
            statement_memory_us: 600_000_000,
            return_span_us: 1_000_000,
            queue_wait_share: 0.25,
            overtake_tokens: 16_000,
            ageing_us: 2_000_000,
            max_affinity_ratio: 3.0,
            cross_domain_cost_us: 3_000,
            cross_region_cost_us: 60_000,
            sample_size: 16,
            initial_prefill_us_per_token: 12.0,
            recompute_weight: 2.0,
            full_load_cost_us: 100_000.0,
            initial_duration_us: 5_000_000,
            initial_call_duration_us: 100_000,
            initial_first_token_us: 200_000,
            default_retry_after_us: 1_000_000,
        }
    }
}
