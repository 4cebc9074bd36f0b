//! Whether a backend server is given new work.

use serde::{Deserialize, Serialize};

use crate::options::Options;

/// Whether a backend server is given new work, as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The server is given work.
    Serving,
    /// The server is leaving; it finishes what it has.
    Leaving {
        /// First sign.
        since_us: u64,
    },
    /// The server is no longer in the register; it finishes what it has.
    Removed,
}

/// Signs that a backend server must be given no new work.
///
/// Removal from the register and a sign of leaving are independent: a server that is put back
/// into the register while it is leaving still gets nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    removed: bool,
    leaving: Option<Leaving>,
}

/// A server that is leaving.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    first_indicated_us: u64,
    latest_indicated_us: u64,
}

impl Drain {
    /// Returns the state.
    pub fn state(self) -> State {
        match (self.removed, self.leaving) {
            (true, _) => State::Removed,
            (false, Some(leaving)) => State::Leaving {
                since_us: leaving.first_indicated_us,
            },
            (false, None) => State::Serving,
        }
    }

    /// Returns whether the server may be given new work.
    #[inline]
    pub fn is_serving(self) -> bool {
        !self.removed && self.leaving.is_none()
    }

    /// Returns whether the server is no longer in the register.
    pub fn is_removed(self) -> bool {
        self.removed
    }

    /// Takes in whether the register lacks the server; returns whether that changed.
    pub fn set_removed(&mut self, removed: bool) -> bool {
        let changed = self.removed != removed;
        self.removed = removed;
        changed
    }

    /// Takes in a sign of leaving; returns whether it is the first.
    pub fn on_leaving(&mut self, now_us: u64) -> bool {
        let first = self.leaving.is_none();
        let leaving = self.leaving.get_or_insert(Leaving {
            first_indicated_us: now_us,
            latest_indicated_us: now_us,
        });
        leaving.latest_indicated_us = now_us;
        first
    }

    /// Takes in a report that the server is not leaving; returns whether that takes it back.
    ///
    /// Lists and reports lag, so only what was measured well after the latest sign does.
    pub fn on_not_leaving(&mut self, measured_us: u64, options: &Options) -> bool {
        self.clear_leaving_if(|latest_indicated_us| {
            measured_us >= latest_indicated_us + options.leaving_hold_us
        })
    }

    /// Takes in that time has passed; returns whether the signs have ceased for so long that
    /// the server is tried again. A server that reports no load returns in no other way.
    pub fn on_tick(&mut self, now_us: u64, options: &Options) -> bool {
        self.clear_leaving_if(|latest_indicated_us| {
            now_us > latest_indicated_us + options.leaving_expiry_us
        })
    }

    fn clear_leaving_if(&mut self, is_outdated: impl FnOnce(u64) -> bool) -> bool {
        let returned = self
            .leaving
            .is_some_and(|leaving| is_outdated(leaving.latest_indicated_us));
        if returned {
            self.leaving = None;
        }
        returned
    }
}
