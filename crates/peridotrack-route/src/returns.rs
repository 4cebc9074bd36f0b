//! Spread of the times at which refused callers are told to return.
//!
//! When all servers of a pool pause, every refused caller waits for the same end. [`Returns`] gives
//! consecutive callers consecutive times after it, at the rate at which the servers complete
//! requests, so that the end is not met by all of them at once.

/// Times at which callers return after the end of a pause.
#[derive(Debug, Clone, Default)]
pub struct Returns {
    /// The end after which the callers return, in microseconds.
    end_us: u64,
    /// Time after `end_us` at which the next caller returns.
    next_us: u64,
}

impl Returns {
    /// Returns when the next caller returns, at `end_us` or up to `span_us` later; callers return
    /// `interval_us` apart.
    pub fn assign(&mut self, end_us: u64, interval_us: u64, span_us: u64) -> u64 {
        if end_us != self.end_us {
            *self = Self { end_us, next_us: 0 };
        }
        let return_us = end_us + self.next_us;
        self.next_us = (self.next_us + interval_us) % span_us.max(1);
        return_us
    }
}
