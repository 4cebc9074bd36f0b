//! Options of a holder.

use serde::{Deserialize, Serialize};

/// Options of a [`crate::holder::Holder`]; the defaults fit a fleet of 6 to 9 routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Number of ledger shards; the same for the whole fleet and for good.
    pub shard_count: u32,
    /// Time that a grant should last at the observed rate, in microseconds.
    #[serde(rename = "ride_out_us")]
    pub grant_span_us: u64,
    /// Time that what a drawer holds for its peers should last, in microseconds: they have
    /// floats of their own, so that the loss of a drawer need not strand their spend twice.
    pub give_span_us: u64,
    /// Half-life of the observed rate, in microseconds.
    pub rate_half_life_us: u64,
    /// Age that a budget's use is taken to have at least when its rate is worked out, in
    /// microseconds.
    pub rate_age_min_us: u64,
    /// Standard deviations of the spend over the ride-out that a grant covers on top of its
    /// mean.
    #[serde(rename = "ride_out_deviations")]
    pub grant_deviations: f64,
    /// What is left of a budget is divided among its holders this many times over; a draw
    /// takes one portion at most, so that draws shrink near exhaustion.
    pub share_divisor: u64,
    /// Portions of what is left that a holder keeps at most; 0 if there is no such cap.
    pub hold_portions: u64,
    /// Part of what was purchased below which, left in the ledger, the budget is scarce: then
    /// little is drawn ahead and idle tokens go back, so that the loss of a holder strands
    /// little. It is scarce until [`Options::plenty_part`] is left. 0 means never.
    pub scarce_part: f64,
    /// Time that the grant of a drawer covers while the budget is scarce, in microseconds, so
    /// that one draw serves several requests; 0 if each is drawn for.
    pub scarce_span_us: u64,
    /// Part of what was purchased from which on a scarce budget is no longer scarce.
    pub plenty_part: f64,
    /// Part of a full grant below which the next draw is due.
    pub low_water_part: f64,
    /// Smallest draw while the budget is far from exhaustion, in tokens.
    pub draw_floor_tokens: u64,
    /// Time without use after which unneeded grants are returned, in microseconds.
    pub return_after_us: u64,
    /// Time that tokens taken from the drawer should last, in microseconds.
    #[serde(rename = "float_us")]
    pub buffer_span_us: u64,
    /// Time over which draws ahead for one shard are collected into one write, in
    /// microseconds.
    pub merge_us: u64,
    /// The same for draws that requests wait for, in microseconds.
    pub urgent_merge_us: u64,
    /// Time for which a holder that did not answer is passed over, in microseconds.
    pub suspect_us: u64,
    /// Wait for the store after which peers are asked as well, in microseconds.
    #[serde(rename = "store_patience_us")]
    pub store_wait_us: u64,
    /// Longest wait for the answers of the peers asked at once, in microseconds.
    pub ask_timeout_us: u64,
    /// Longest wait for a holder that said that it is searching, in microseconds.
    pub pending_timeout_us: u64,
    /// Time for which a fruitless search is remembered, in microseconds; doubled with every
    /// further one that met no tokens at all.
    #[serde(rename = "dry_us")]
    pub exhausted_us: u64,
    /// First delay after a failed store call, in microseconds.
    pub backoff_min_us: u64,
    /// Longest delay after a failed store call, in microseconds.
    pub backoff_max_us: u64,
    /// First delay before an unacknowledged transfer is repeated, in microseconds.
    pub repeat_us: u64,
    /// When to come back after a refusal because the store cannot be reached, in milliseconds.
    pub unavailable_retry_ms: u64,
    /// Period in which every active budget is inspected once, in microseconds.
    pub sweep_us: u64,
    /// Age at which a shard is read again without other cause, in microseconds.
    pub refresh_us: u64,
    /// Time for which the contents of a shard are kept after a call, so that the next update
    /// needs no read before it; 0 if each update begins with a read.
    pub keep_us: u64,
    /// Seed of the jitter.
    pub seed: u64,
}

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;

impl Default for Options {
    fn default() -> Self {
        Self {
            shard_count: 256,
            grant_span_us: 7_200 * SECOND_US,
            give_span_us: 7_200 * SECOND_US,
            rate_half_life_us: 1_800 * SECOND_US,
            rate_age_min_us: 300 * SECOND_US,
            grant_deviations: 0.0,
            share_divisor: 2,
            hold_portions: 0,
            scarce_part: 0.02,
            scarce_span_us: 0,
            plenty_part: 0.04,
            low_water_part: 0.5,
            draw_floor_tokens: 4_096,
            return_after_us: 600 * SECOND_US,
            buffer_span_us: 60 * SECOND_US,
            merge_us: SECOND_US,
            urgent_merge_us: 2 * MILLISECOND_US,
            suspect_us: 10 * SECOND_US,
            store_wait_us: 500 * MILLISECOND_US,
            ask_timeout_us: 100 * MILLISECOND_US,
            pending_timeout_us: 3 * SECOND_US,
            exhausted_us: 20 * MILLISECOND_US,
            backoff_min_us: 50 * MILLISECOND_US,
            backoff_max_us: 5 * SECOND_US,
            repeat_us: SECOND_US,
            unavailable_retry_ms: 2_000,
            sweep_us: 10 * SECOND_US,
            refresh_us: 3_600 * SECOND_US,
            keep_us: 0,
            seed: 0,
        }
    }
}
