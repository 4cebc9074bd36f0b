//! Availability of the platform's object store, derived from the results of claim calls.
//!
//! After several consecutive failures the store counts as unavailable. From then on one call per
//! probe period is allowed until one succeeds.

use super::Options;

/// Counts consecutive failed calls, and limits calls to probes while the store is unavailable.
pub(super) struct StoreHealth {
    consecutive_failures: u32,
    is_unavailable: bool,
    next_probe_us: u64,
}

impl StoreHealth {
    pub(super) fn new() -> Self {
        Self {
            consecutive_failures: 0,
            is_unavailable: false,
            next_probe_us: 0,
        }
    }

    pub(super) fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns whether a call would be allowed now.
    pub(super) fn allows_call(&self, now_us: u64) -> bool {
        !self.is_unavailable || now_us >= self.next_probe_us
    }

    /// Returns whether a call may be made now; while the store is unavailable, this starts the
    /// next probe period.
    pub(super) fn acquire_call(&mut self, now_us: u64, options: &Options) -> bool {
        if !self.allows_call(now_us) {
            return false;
        }
        if self.is_unavailable {
            self.next_probe_us = now_us + options.probe_us;
        }
        true
    }

    /// Returns the earliest time at which a call is allowed.
    pub(super) fn next_call_us(&self, now_us: u64) -> u64 {
        if self.is_unavailable {
            self.next_probe_us.max(now_us)
        } else {
            now_us
        }
    }

    /// Records a successful call; returns whether the store was unavailable before.
    pub(super) fn on_success(&mut self) -> bool {
        self.consecutive_failures = 0;
        std::mem::take(&mut self.is_unavailable)
    }

    /// Records a failed call; returns whether the store became unavailable by it.
    pub(super) fn on_failure(&mut self, now_us: u64, options: &Options) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.is_unavailable || self.consecutive_failures < options.unavailable_after_failures {
            return false;
        }
        self.is_unavailable = true;
        self.next_probe_us = now_us + options.probe_us;
        true
    }
}
