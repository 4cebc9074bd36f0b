//! Tunable values of the router, with their units.

/// Tunable values of the router.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Retries allowed as a share of first dispatches.
    pub retry_ratio: f64,
    /// Retries allowed in the window, however little traffic there is.
    pub min_retries: f64,
    /// Whether work that must not be repeated is tried elsewhere after a server proved that it
    /// did not run it.
    pub retry_proven_not_run: bool,
    /// Whether a retry after a refusal counts as one, too.
    pub charge_refusal_retries: bool,
    /// Most dispatches of one request.
    pub max_dispatches: u32,
    /// Most resumes of one stream.
    pub max_resumes: u32,
    /// Failed connections in a row that open a breaker.
    pub breaker_connect_failures: u32,
    /// Failed requests in a row that open a breaker.
    pub breaker_failures: u32,
    /// Shortest time for which a breaker stays open.
    pub breaker_open_us: u64,
    /// Longest time for which a breaker stays open.
    pub breaker_open_max_us: u64,
    /// Half-life of the penalty for opening again.
    pub flap_half_life_us: u64,
    /// Successful probes that close a breaker.
    pub breaker_probes: u32,
    /// Time for which a backend server that refused gets no work.
    pub refusal_backoff_us: u64,
    /// Time over which a new backend server is given its full share.
    pub slow_start_us: u64,
    /// Shortest time between a sign of leaving and a report that takes it back.
    pub leaving_hold_us: u64,
    /// Time without a sign of leaving after which the server is tried again.
    pub leaving_expiry_us: u64,
    /// Part of the time to a request's deadline that it may be expected to wait in a queue.
    pub queue_wait_share: f64,
    /// Tokens by which an account may get ahead of its fair share to use a cached prefix.
    pub overtake_tokens: u64,
    /// Wait that raises a queued request by one priority.
    pub ageing_us: u64,
    /// Estimated wait at the preferred server, as a multiple of the least, up to which it is kept.
    pub max_affinity_ratio: f64,
    /// Cost of a server in another failure domain of the same region.
    pub cross_domain_cost_us: u64,
    /// Cost of a server in another region.
    pub cross_region_cost_us: u64,
    /// Servers scored for one placement.
    pub sample_size: usize,
    /// Time to read one token of a prompt before any was seen, in microseconds.
    pub initial_prefill_us_per_token: f64,
    /// Weight of the time to read shared parts again, on top of that time itself: the engine's
    /// work for them is wasted.
    pub recompute_weight: f64,
    /// Cost of a full server beside one that does nothing, for a request with a known prompt.
    pub full_load_cost_us: f64,
    /// Duration of a model request before any was seen.
    pub initial_duration_us: u64,
    /// Duration of a plain call before any was seen.
    pub initial_call_duration_us: u64,
    /// First guess of the time to the first token.
    pub initial_first_token_us: u64,
    /// Retry-After where nothing better is known.
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
