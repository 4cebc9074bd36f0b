//! Admission of requests by a router that is stopping.
//!
//! A stopping router ends at a fixed time. It begins a request only if the request can be expected
//! to end before: its deadline passes in time, or its route's recent requests were short enough.
//! [`Durations`] estimates the latter, and [`Stop::judge`] decides.
//!
//! ```
//! use peridotrack_route::stop::{Durations, Stop};
//!
//! let stop = Stop { begun_us: 0, leave_us: 2_600_000, finish_us: 7_200_000 };
//! let mut durations = Durations::default();
//! durations.begin(0);
//! durations.end(0, 900_000);
//! let expected_us = durations.expected_us(1_000_000);
//! assert!(stop.judge(1_000_000, 15_000_000, expected_us).is_admitted);
//! assert!(!stop.judge(5_000_000, 15_000_000, expected_us).is_admitted);
//! assert!(stop.judge(5_000_000, 6_000_000, expected_us).is_admitted, "it ends in time");
//! ```

/// Inverse weight of the newest duration in the moving average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Times of a stop, in monotonic microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the router began to stop.
    pub begun_us: u64,
    /// Until when the load balancer may still send new connections.
    pub leave_us: u64,
    /// When every request must have ended.
    pub finish_us: u64,
}

/// Decision about a request at a stopping router, with what it is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the request is to be begun.
    pub is_admitted: bool,
    /// Time since the stop began, in microseconds.
    pub since_stop_us: u64,
    /// Expected duration of the request in microseconds; `None` if nothing is known about its route.
    pub expected_us: Option<u64>,
    /// Time until every request must have ended, in microseconds.
    pub left_us: u64,
}

impl Stop {
    /// Decides whether a request is begun now: only if its deadline passes before the end of the
    /// stop or, while the load balancer may still send requests, if it is expected to end in time.
    ///
    /// The expectation fails when servers slow down at this moment, so that it does not suffice once
    /// other routers receive all new connections.
    pub fn judge(&self, now_us: u64, deadline_us: u64, expected_us: Option<u64>) -> Verdict {
        let left_us = self.finish_us.saturating_sub(now_us);
        let is_short = expected_us.is_some_and(|expected_us| expected_us <= left_us);
        Verdict {
            is_admitted: deadline_us <= self.finish_us || now_us < self.leave_us && is_short,
            since_stop_us: now_us.saturating_sub(self.begun_us),
            expected_us,
            left_us,
        }
    }
}

/// Durations of the recent requests of one route.
///
/// The expectation is their moving average, and at least what the age of the open requests shows,
/// which grows at once when servers slow down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Durations {
    /// Moving average, in microseconds; `None` before the first request ends.
    mean_us: Option<u64>,
    open_requests: u64,
    /// Sum of the times at which the open requests began, in monotonic microseconds.
    open_begun_us: u128,
}

impl Durations {
    /// Records the begin of a request.
    pub fn begin(&mut self, begun_us: u64) {
        self.open_requests += 1;
        self.open_begun_us += u128::from(begun_us);
    }

    /// Records the end of a request that began at `begun_us`, however it ended.
    pub fn end(&mut self, begun_us: u64, now_us: u64) {
        self.cancel(begun_us);
        let newest_us = now_us.saturating_sub(begun_us);
        let mean_us = self.mean_us.unwrap_or(newest_us);
        let sum_us = mean_us * (SMOOTHING_DIVISOR - 1) + newest_us;
        self.mean_us = Some(sum_us / SMOOTHING_DIVISOR);
    }

    /// Records that a request that began at `begun_us` ended without being sent to a backend server.
    pub fn cancel(&mut self, begun_us: u64) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.open_begun_us = self.open_begun_us.saturating_sub(u128::from(begun_us));
    }

    /// Returns whether a request has ended, so that more than the age of open ones is known.
    pub fn has_ended(&self) -> bool {
        self.mean_us.is_some()
    }

    /// Returns how long a request that begins now is expected to take, in microseconds; `None` if
    /// the route had no request.
    pub fn expected_us(&self, now_us: u64) -> Option<u64> {
        // Open requests have completed half of their duration on average.
        let open_us = self.mean_age_us(now_us).map(|age_us| 2 * age_us);
        self.mean_us.max(open_us)
    }

    fn mean_age_us(&self, now_us: u64) -> Option<u64> {
        let mean_begun_us = self
            .open_begun_us
            .checked_div(u128::from(self.open_requests))?;
        let mean_begun_us = u64::try_from(mean_begun_us).unwrap_or(now_us);
        Some(now_us.saturating_sub(mean_begun_us))
    }
}
