//! Monotonic and wall clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in one millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in one second.
pub const US_PER_S: u64 = 1_000_000;

/// Gives the time of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a monotonic clock at a value above zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns monotonic microseconds since one second before the start of the clock.
    pub fn now_us(&self) -> u64 {
        US_PER_S + u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX - US_PER_S)
    }

    /// Returns microseconds since the Unix epoch, for people and reports alone.
    pub fn wall_us(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| {
                u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
            })
    }
}
