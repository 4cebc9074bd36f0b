//! What the calls of a follower to the store got since its view was last confirmed, for the log.

/// Calls of one follower.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// When the view was last confirmed, in monotonic microseconds.
    confirmed_us: u64,
    /// Calls that ended since then.
    count: u64,
    latest_result: String,
    /// Since when a call has been pending, in monotonic microseconds.
    pending_since_us: Option<u64>,
    /// Whether the age of the view has been reported since it was last confirmed.
    is_reported: bool,
}

impl Calls {
    /// Records that a call is sent.
    pub(super) fn begin(&mut self, now_us: u64) {
        self.pending_since_us = Some(now_us);
    }

    /// Records the result of the pending call.
    pub(super) fn end(&mut self, result: String) {
        self.pending_since_us = None;
        self.count += 1;
        self.latest_result = result;
    }

    /// Returns the number of calls that ended since the view was last confirmed.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Returns the result of the call that ended last.
    pub(super) fn latest_result(&self) -> &str {
        &self.latest_result
    }

    /// Returns for how long a call has been pending, in microseconds.
    pub(super) fn pending_us(&self, now_us: u64) -> Option<u64> {
        Some(now_us.saturating_sub(self.pending_since_us?))
    }

    /// Returns whether the view, last confirmed at `confirmed_us`, is to be reported as outdated: it is,
    /// and has not been reported since then.
    pub(super) fn report(&mut self, confirmed_us: u64, is_outdated: bool) -> bool {
        if self.confirmed_us != confirmed_us {
            self.confirmed_us = confirmed_us;
            self.count = 0;
            self.is_reported = false;
        }
        let is_due = is_outdated && !self.is_reported;
        self.is_reported |= is_outdated;
        is_due
    }
}
