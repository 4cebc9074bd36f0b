//! Health of the platform's object store, as seen by the claims.

use super::Options;

/// Counts failures and limits calls while the store is down.
pub(super) struct Store {
    failures: u32,
    down: bool,
    next_probe_us: u64,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            failures: 0,
            down: false,
            next_probe_us: 0,
        }
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }

    /// Returns whether a call would be allowed now.
    pub(super) fn allows_call(&self, now_us: u64) -> bool {
        !self.down || now_us >= self.next_probe_us
    }

    /// Returns whether a call may be made now; while the store is down this uses up the probe.
    pub(super) fn take_call(&mut self, now_us: u64, options: &Options) -> bool {
        if !self.allows_call(now_us) {
            return false;
        }
        if self.down {
            self.next_probe_us = now_us + options.probe_us;
        }
        true
    }

    pub(super) fn next_call_us(&self, now_us: u64) -> u64 {
        if self.down {
            self.next_probe_us.max(now_us)
        } else {
            now_us
        }
    }

    /// Returns whether the store has just come up.
    pub(super) fn succeeded(&mut self) -> bool {
        self.failures = 0;
        std::mem::take(&mut self.down)
    }

    /// Returns whether the store has just gone down.
    pub(super) fn failed(&mut self, now_us: u64, options: &Options) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.down || self.failures < options.unavailable_after_failures {
            return false;
        }
        self.down = true;
        self.next_probe_us = now_us + options.probe_us;
        true
    }
}
