//! Exponentially decaying rate of spend.

use std::f64::consts::LN_2;

use crate::options::Options;

/// Spend that halves its weight with every half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    level_tokens: f64,
    /// Decayed sum of the squares of single reservations.
    squares: f64,
    since_us: u64,
    at_us: u64,
}

impl Rate {
    /// Starts to observe.
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            level_tokens: 0.0,
            squares: 0.0,
            since_us: now_us,
            at_us: now_us,
        }
    }

    /// Adds spend, or takes back spend that was added but did not happen.
    pub(super) fn add(&mut self, now_us: u64, half_life_us: u64, tokens: f64) {
        let decay = self.decay(now_us, half_life_us);
        self.level_tokens = (self.level_tokens * decay + tokens).max(0.0);
        self.squares *= decay;
        if tokens > 0.0 {
            self.squares += tokens * tokens;
        }
        self.at_us = self.at_us.max(now_us);
    }

    /// Returns the mean spend over a period and `deviations` standard deviations on top, in
    /// tokens: arrivals are taken as independent, of the sizes seen.
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

    /// Returns the size of the reservation that a token of the spend typically belongs to.
    pub(super) fn typical_tokens(&self) -> u64 {
        self.typical() as u64
    }

    fn typical(&self) -> f64 {
        self.squares / self.level_tokens.max(1.0)
    }

    /// Returns the mean spend over a period, in tokens.
    pub(super) fn mean_over(&self, now_us: u64, options: &Options, period_us: u64) -> f64 {
        let half_life_us = options.rate_half_life_us;
        let half_life = half_life_us.max(1) as f64;
        let age_us = now_us.saturating_sub(self.since_us);
        let age_us = age_us.max(options.rate_age_min_us) as f64;
        // A constant rate has reached this part of its level by now.
        let reached = 1.0 - (-age_us / half_life).exp2();
        let per_us = self.level(now_us, half_life_us) * LN_2 / half_life / reached;
        per_us * period_us as f64
    }

    fn level(&self, now_us: u64, half_life_us: u64) -> f64 {
        self.level_tokens * self.decay(now_us, half_life_us)
    }

    /// Returns the part of the level that has not decayed yet.
    fn decay(&self, now_us: u64, half_life_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.at_us) as f64;
        (-elapsed_us / half_life_us.max(1) as f64).exp2()
    }
}
