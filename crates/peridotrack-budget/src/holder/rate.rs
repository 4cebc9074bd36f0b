//! Exponentially decaying rate of spend or transfers, with the typical size of an addition.

use std::f64::consts::LN_2;

use crate::options::Options;

/// Sum of tokens in which the weight of an addition halves with every half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    level_tokens: f64,
    /// Decayed sum of the squared sizes of additions.
    squares: f64,
    since_us: u64,
    at_us: u64,
}

impl Rate {
    /// Starts observation at `now_us`, with no tokens.
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            level_tokens: 0.0,
            squares: 0.0,
            since_us: now_us,
            at_us: now_us,
        }
    }

    /// Adds tokens; a negative number takes back tokens that were added but not spent.
    pub(super) fn add(&mut self, now_us: u64, half_life_us: u64, tokens: f64) {
        let decay = self.decay(now_us, half_life_us);
        self.level_tokens = (self.level_tokens * decay + tokens).max(0.0);
        self.squares *= decay;
        if tokens > 0.0 {
            self.squares += tokens * tokens;
        }
        self.at_us = self.at_us.max(now_us);
    }

    /// Returns the mean over a period plus `deviations` standard deviations, in tokens. Additions
    /// are assumed to be independent and of the sizes observed.
    pub(super) fn bound_over(
        &self,
        now_us: u64,
        options: &Options,
        period_us: u64,
        deviations: f64,
    ) -> u64 {
        let mean = self.mean_over(now_us, options, period_us);
        (mean + deviations * (mean * self.typical()).sqrt()) as u64
    }

    /// Returns the size of the addition that an average token belongs to.
    pub(super) fn typical_tokens(&self) -> u64 {
        self.typical() as u64
    }

    fn typical(&self) -> f64 {
        self.squares / self.level_tokens.max(1.0)
    }

    /// Returns the mean over a period, in tokens.
    pub(super) fn mean_over(&self, now_us: u64, options: &Options, period_us: u64) -> f64 {
        let half_life_us = options.rate_half_life_us;
        let half_life = half_life_us.max(1) as f64;
        let age_us = now_us.saturating_sub(self.since_us);
        let age_us = age_us.max(options.rate_age_min_us) as f64;
        // Fraction of its final level that a constant rate has reached at this age.
        let reached = 1.0 - (-age_us / half_life).exp2();
        let per_us = self.level(now_us, half_life_us) * LN_2 / half_life / reached;
        per_us * period_us as f64
    }

    fn level(&self, now_us: u64, half_life_us: u64) -> f64 {
        self.level_tokens * self.decay(now_us, half_life_us)
    }

    /// Returns the fraction of the level that has not decayed yet.
    fn decay(&self, now_us: u64, half_life_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.at_us) as f64;
        (-elapsed_us / half_life_us.max(1) as f64).exp2()
    }
}
