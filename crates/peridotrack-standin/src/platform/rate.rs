//! Token bucket rate limiter whose burst is one second's worth of calls.

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Token bucket that counts in millionths of a call, so that refills need no rounding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenBucket {
    rate_per_s: u64,
    micro_calls: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket. `now_us` is in microseconds of any monotonic clock.
    pub fn new(rate_per_s: u64, now_us: u64) -> Self {
        Self {
            rate_per_s,
            micro_calls: rate_per_s.saturating_mul(SECOND_US),
            refilled_us: now_us,
        }
    }

    /// Takes one call from the bucket; returns `false` if the rate limit is exceeded.
    pub fn take(&mut self, now_us: u64) -> bool {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let capacity = self.rate_per_s.saturating_mul(SECOND_US);
        let refill = elapsed_us.saturating_mul(self.rate_per_s);
        self.micro_calls = self.micro_calls.saturating_add(refill).min(capacity);
        self.refilled_us = now_us;
        let taken = self.micro_calls >= SECOND_US;
        if taken {
            self.micro_calls -= SECOND_US;
        }
        taken
    }
}
