//! Options of a holder.

use serde::{Deserialize, Serialize};

/// Options of a [`crate::holder::Holder`]; the defaults fit a fleet of 6 to 9 routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Number of ledger shards; the same for the whole fleet and for good.
    pub shard_count: u32,
    /// Time that a grant should last at the observed rate, in microseconds.
    pub ride_out_us: u64,
    /// Half-life of the observed rate, in microseconds.
    pub rate_half_life_us: u64,
    /// Smallest draw while the budget is far from exhaustion, in tokens.
    pub draw_floor_tokens: u64,
    /// Time without use after which unneeded grants are returned, in microseconds.
    pub return_after_us: u64,
    /// Time over which draws for one shard are collected into one write, in microseconds.
    pub merge_us: u64,
    /// Longest wait for the drawer before drawing directly, in microseconds.
    pub drawer_timeout_us: u64,
    /// Time for which a drawer that did not answer is passed over, in microseconds.
    pub drawer_retry_us: u64,
    /// Wait for the store after which peers are asked as well, in microseconds.
    pub store_patience_us: u64,
    /// Longest wait for the answers of the peers asked at once, in microseconds.
    pub ask_timeout_us: u64,
    /// Time for which a fruitless search is remembered, in microseconds.
    pub dry_us: u64,
    /// First delay after a failed store call, in microseconds.
    pub backoff_min_us: u64,
    /// Longest delay after a failed store call, in microseconds.
    pub backoff_max_us: u64,
    /// First delay before an unacknowledged transfer is repeated, in microseconds.
    pub repeat_us: u64,
    /// Period in which every active budget is inspected once, in microseconds.
    pub sweep_us: u64,
    /// Age at which the knowledge of a used shard is read again, in microseconds.
    pub refresh_us: u64,
    /// Seed of the jitter.
    pub seed: u64,
}

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;

impl Default for Options {
    fn default() -> Self {
        Self {
            shard_count: 256,
            ride_out_us: 3_600 * SECOND_US,
            rate_half_life_us: 300 * SECOND_US,
            draw_floor_tokens: 1_024,
            return_after_us: 60 * SECOND_US,
            merge_us: 100 * MILLISECOND_US,
            drawer_timeout_us: 250 * MILLISECOND_US,
            drawer_retry_us: 10 * SECOND_US,
            store_patience_us: 100 * MILLISECOND_US,
            ask_timeout_us: 100 * MILLISECOND_US,
            dry_us: SECOND_US,
            backoff_min_us: 50 * MILLISECOND_US,
            backoff_max_us: 5 * SECOND_US,
            repeat_us: SECOND_US,
            sweep_us: 10 * SECOND_US,
            refresh_us: 300 * SECOND_US,
            seed: 0,
        }
    }
}
