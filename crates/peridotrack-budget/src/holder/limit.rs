//! What the holders of a failure domain keep together ahead of need.
//!
//! The tokens left in a budget are divided into portions, see [`Options::share_divisor`]. With
//! [`Options::hold_portions`], a holder with a row keeps at most so many portions, together with the
//! peers that it provides with tokens; only what waiting requests lack goes beyond that. A holder
//! without a row knows neither what is left nor the limit, which its coordinator applies to both.

use peridotrack_types::id;

use super::{Status, account::Active};
use crate::options::Options;

/// Divisor of the limit that gives an allowance for what other holders draw before this one reads
/// the ledger again, beyond what it expects.
const UNEXPECTED_DIVISOR: u64 = 16;

/// Returns one portion of the tokens left, see [`Options::share_divisor`].
pub(super) fn portion(left_tokens: u64, holders: u64, options: &Options) -> u64 {
    left_tokens / (options.share_divisor * holders).max(1)
}

/// Returns the most that a holder and its peers keep together.
fn most_tokens(portion_tokens: u64, options: &Options) -> u64 {
    let tokens = portion_tokens * options.hold_portions;
    tokens - tokens / UNEXPECTED_DIVISOR
}

impl Active {
    /// Returns one portion of the tokens left in the ledger when it was last read.
    pub(super) fn portion_tokens(&self, options: &Options) -> u64 {
        portion(self.left_tokens, self.rows.len() as u64 + 1, options)
    }

    /// Returns one portion of the tokens left in the ledger now, on the assumption that each holder
    /// has drawn what this one passes on since the ledger was read.
    fn expected_portion_tokens(&self, now_us: u64, options: &Options) -> u64 {
        let holders = self.rows.len() as u64 + 1;
        let age_us = now_us.saturating_sub(self.left_read_us);
        let passed_tokens = self.mean_tokens_over(now_us, options, age_us);
        let drawn_tokens = holders.saturating_mul(passed_tokens);
        let left_tokens = self.left_tokens.saturating_sub(drawn_tokens);
        portion(left_tokens, holders, options)
    }

    /// Returns the most that this holder keeps beside the tokens of its peers, or `None` if there is
    /// no limit.
    pub(super) fn limit_tokens(
        &self,
        now_us: u64,
        options: &Options,
        portion_tokens: u64,
    ) -> Option<u64> {
        let most_tokens = most_tokens(portion_tokens, options);
        let rest_tokens = most_tokens.saturating_sub(self.peer_tokens);
        (options.hold_portions > 0).then(|| rest_tokens.max(self.least_tokens(now_us, options)))
    }

    /// Returns what a peer that has `available_tokens` and would like to hold `desired_tokens` may
    /// receive ahead of need.
    pub(super) fn ahead_tokens(
        &self,
        now_us: u64,
        options: &Options,
        desired_tokens: u64,
        available_tokens: u64,
    ) -> u64 {
        if options.hold_portions == 0 || self.status != Status::Listed {
            return desired_tokens;
        }
        let most_tokens = most_tokens(self.expected_portion_tokens(now_us, options), options);
        let local_tokens = self.least_tokens(now_us, options);
        let taken_tokens = self.peer_tokens.saturating_add(local_tokens);
        let spare_tokens = most_tokens.saturating_sub(taken_tokens);
        desired_tokens
            .saturating_sub(available_tokens)
            .min(spare_tokens)
    }

    /// Returns the available tokens above the limit, which keeps tokens drawable for others near
    /// exhaustion; 0 unless they exceed the limit by more than half.
    pub(super) fn over_limit_tokens(&self, now_us: u64, options: &Options) -> u64 {
        let portion_tokens = self.expected_portion_tokens(now_us, options);
        let limit_tokens = match self.limit_tokens(now_us, options, portion_tokens) {
            Some(limit_tokens) if self.status == Status::Listed => limit_tokens,
            Some(_) | None => return 0,
        };
        let limit_tokens = limit_tokens.max(self.rate.typical_tokens());
        let available_tokens = self.available_tokens();
        match available_tokens > limit_tokens + limit_tokens / 2 {
            true => available_tokens - limit_tokens,
            false => 0,
        }
    }

    /// Returns the tokens that a coordinator keeps however few are left.
    fn least_tokens(&self, now_us: u64, options: &Options) -> u64 {
        self.tokens_over(now_us, options, options.scarce_span_us)
    }

    /// Counts the tokens available at the peers, which are sorted. The counterparties state them, so
    /// that the sum may be any number.
    pub(super) fn count_peer_tokens(&mut self, peers: &[id::Incarnation]) {
        let is_peer = |id: &id::Incarnation| peers.binary_search(id).is_ok();
        self.peer_tokens = self
            .transfers
            .iter()
            .filter(|(id, _)| is_peer(id))
            .map(|(_, transfer)| transfer.counterparty_tokens)
            .fold(0, u64::saturating_add);
    }
}
