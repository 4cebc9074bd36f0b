//! The monotonic and wall clocks of a process.
//!
//! Deadlines and intervals use the monotonic clock, which never steps; the wall clock only stamps
//! events and reports. All times are in microseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in one millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in one second.
pub const US_PER_S: u64 = 1_000_000;

/// The monotonic and wall clocks of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a monotonic clock whose first reading is one second.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the monotonic time in microseconds.
    ///
    /// Zero is one second before the clock was started, so no reading is zero.
    pub fn now_us(&self) -> u64 {
        US_PER_S + u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX - US_PER_S)
    }

    /// Returns the wall-clock time in microseconds since the Unix epoch.
    ///
    /// It can step in either direction: use it for display and reports only.
    pub fn wall_us(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| {
                u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
            })
    }
}
