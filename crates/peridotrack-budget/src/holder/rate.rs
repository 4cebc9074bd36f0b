//! Exponentially decaying rate of spend.

/// Spend that halves its weight with every half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    level_tokens: f64,
    at_us: u64,
}

impl Rate {
    /// Adds spend, or takes back spend that was added but did not happen.
    pub(super) fn add(&mut self, now_us: u64, half_life_us: u64, tokens: f64) {
        self.level_tokens = (self.level(now_us, half_life_us) + tokens).max(0.0);
        self.at_us = self.at_us.max(now_us);
    }

    /// Returns the spend expected over a period, in tokens.
    pub(super) fn over(&self, now_us: u64, half_life_us: u64, period_us: u64) -> u64 {
        let per_us =
            self.level(now_us, half_life_us) * std::f64::consts::LN_2 / half_life_us.max(1) as f64;
        (per_us * period_us as f64) as u64
    }

    fn level(&self, now_us: u64, half_life_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.at_us) as f64;
        self.level_tokens * (-elapsed_us / half_life_us.max(1) as f64).exp2()
    }
}
