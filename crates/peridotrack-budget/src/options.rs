//! Options of a [`crate::holder::Holder`].

use serde::{Deserialize, Serialize};

/// Spans, limits and delays of a [`crate::holder::Holder`]. The defaults fit a fleet of 6 to 9
/// routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Number of ledger shards. All holders of a fleet must use the same number, and it must
    /// never change.
    pub shard_count: u32,
    /// Time for which a grant should last at the observed rate, in microseconds.
    #[serde(rename = "ride_out_us")]
    pub grant_span_us: u64,
    /// Time for which the tokens that a coordinator holds for its peers should last, in
    /// microseconds. The peers hold buffers for the same spend, so that a long span would
    /// strand it twice when a coordinator is lost.
    pub give_span_us: u64,
    /// Half-life of the observed rate, in microseconds.
    pub rate_half_life_us: u64,
    /// Minimum time of use over which the rate of a budget is averaged, in microseconds.
    pub rate_age_min_us: u64,
    /// Standard deviations of the spend over `grant_span_us` that a grant covers on top of the
    /// mean.
    #[serde(rename = "ride_out_deviations")]
    pub grant_deviations: f64,
    /// The tokens left in a budget are divided into this many portions for each of its holders. A
    /// draw takes at most one portion, or what waiting requests lack, so that draws shrink near
    /// exhaustion.
    pub share_divisor: u64,
    /// Maximum number of portions that a holder with a row keeps ahead of need, together with the
    /// peers that it provides with tokens; 0 sets no limit.
    pub hold_portions: u64,
    /// Fraction of the purchased tokens: a budget with less than this left in the ledger is
    /// scarce. Then little is drawn ahead and idle tokens are returned, so that the loss of a
    /// holder strands little. The budget stays scarce until [`Options::plenty_part`] is left. 0
    /// disables scarcity.
    pub scarce_part: f64,
    /// Time for which the grant of a coordinator lasts while the budget is scarce, in
    /// microseconds, so that one draw serves several requests; 0 draws for each request.
    pub scarce_span_us: u64,
    /// Fraction of the purchased tokens that must be left for a scarce budget to be no longer
    /// scarce.
    pub plenty_part: f64,
    /// Fraction of a full grant: with fewer tokens available, the next draw is due.
    pub low_water_part: f64,
    /// Smallest draw while the budget is not scarce, in tokens.
    pub draw_floor_tokens: u64,
    /// Time without use after which surplus tokens are returned, in microseconds.
    pub return_after_us: u64,
    /// Time for which the buffer of a holder that is not the coordinator should last, in
    /// microseconds. The holder requests it from the coordinator.
    #[serde(rename = "float_us")]
    pub buffer_span_us: u64,
    /// Time over which draws ahead of need are collected into one write of a shard, in
    /// microseconds.
    pub merge_us: u64,
    /// Time over which draws that requests wait for are collected into one write of a shard, in
    /// microseconds.
    pub urgent_merge_us: u64,
    /// Time for which a holder that did not reply or was lost is skipped, in microseconds.
    pub suspect_us: u64,
    /// Time to wait for the store before peers are asked as well, in microseconds.
    #[serde(rename = "store_patience_us")]
    pub store_wait_us: u64,
    /// Timeout for the replies of holders that were asked together, in microseconds.
    pub ask_timeout_us: u64,
    /// Timeout for a holder that replied that it is searching, in microseconds.
    pub pending_timeout_us: u64,
    /// Time for which a request that was not satisfied in full is remembered, in microseconds.
    /// Tokens that become available meanwhile are sent to the requester, and are stranded if it
    /// was lost.
    pub unmet_request_us: u64,
    /// Time for which a failed search is remembered, in microseconds. It doubles with each
    /// further search that found no token at all.
    #[serde(rename = "dry_us")]
    pub exhausted_us: u64,
    /// First delay after a failed store call, in microseconds; it doubles with each further
    /// failure.
    pub backoff_min_us: u64,
    /// Maximum delay after a failed store call, in microseconds.
    pub backoff_max_us: u64,
    /// First delay before an unacknowledged transfer is retransmitted, in microseconds; it
    /// doubles with each retransmission.
    pub repeat_us: u64,
    /// Retry delay reported with a refusal while the store is unreachable, in milliseconds.
    pub unavailable_retry_ms: u64,
    /// Period in which every budget in use is inspected once, in microseconds.
    pub sweep_us: u64,
    /// Age of the known contents at which a shard is read again without other cause, in
    /// microseconds.
    pub refresh_us: u64,
    /// Time for which the contents of a shard are kept after a store call, in microseconds, so
    /// that the next update needs no read first; 0 reads before each update.
    pub keep_us: u64,
    /// Seed of the random jitter, combined with the incarnation.
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
            unmet_request_us: 60 * SECOND_US,
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
