//! Exponentially decaying rate of spend.

use std::f64::consts::LN_2;

/// Shortest time that a rate is averaged over, in microseconds.
const AGE_MIN_US: u64 = 300_000_000;

/// Spend that halves its weight with every half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    level_tokens: f64,
    since_us: u64,
    at_us: u64,
}

impl Rate {
    /// Starts to observe.
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            level_tokens: 0.0,
            since_us: now_us,
            at_us: now_us,
        }
    }

    /// Adds spend, or takes back spend that was added but did not happen.
    pub(super) fn add(&mut self, now_us: u64, half_life_us: u64, tokens: f64) {
        self.level_tokens = (self.level(now_us, half_life_us) + tokens).max(0.0);
        self.at_us = self.at_us.max(now_us);
    }

    /// Returns the spend expected over a period, in tokens.
    pub(super) fn over(&self, now_us: u64, half_life_us: u64, period_us: u64) -> u64 {
        let half_life = half_life_us.max(1) as f64;
        let age_us = now_us.saturating_sub(self.since_us).max(AGE_MIN_US) as f64;
        // A constant rate has reached this part of its level by now.
        let reached = 1.0 - (-age_us / half_life).exp2();
        let per_us = self.level(now_us, half_life_us) * LN_2 / half_life / reached;
        (per_us * period_us as f64) as u64
    }

    fn level(&self, now_us: u64, half_life_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.at_us) as f64;
        self.level_tokens * (-elapsed_us / half_life_us.max(1) as f64).exp2()
    }
}
