//! Drain state of backend servers.
//!
//! [`Drain`] records why a backend server must receive no new work: it is no longer in the asset
//! register, or a list, a load report or a refusal indicated that it is leaving.

use serde::{Deserialize, Serialize};

use crate::options::Options;

/// Drain state of a backend server, as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The server receives new work.
    Serving,
    /// The server is leaving; it receives no new work and finishes its requests.
    Leaving {
        /// When this router first received an indication of leaving.
        since_us: u64,
    },
    /// The server is no longer in the register; it finishes its requests.
    Removed,
}

/// Reasons why a backend server must receive no new work.
///
/// Removal from the register and indications of leaving are independent: a server that is added
/// to the register again while it is leaving still receives nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    removed: bool,
    leaving: Option<Leaving>,
}

/// Times of the indications that a server is leaving.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    first_indicated_us: u64,
    latest_indicated_us: u64,
}

impl Drain {
    /// Returns the state that operators see; removal takes precedence over leaving.
    pub fn state(self) -> State {
        match (self.removed, self.leaving) {
            (true, _) => State::Removed,
            (false, Some(leaving)) => State::Leaving {
                since_us: leaving.first_indicated_us,
            },
            (false, None) => State::Serving,
        }
    }

    /// Returns whether the server may receive new work.
    #[inline]
    pub fn is_serving(self) -> bool {
        !self.removed && self.leaving.is_none()
    }

    /// Returns whether the register lacks the server.
    pub fn is_removed(self) -> bool {
        self.removed
    }

    /// Sets whether the register lacks the server; returns whether that changed.
    pub fn set_removed(&mut self, removed: bool) -> bool {
        let changed = self.removed != removed;
        self.removed = removed;
        changed
    }

    /// Records an indication of leaving; returns whether it is the first.
    pub fn on_leaving(&mut self, now_us: u64) -> bool {
        let first = self.leaving.is_none();
        let leaving = self.leaving.get_or_insert(Leaving {
            first_indicated_us: now_us,
            latest_indicated_us: now_us,
        });
        leaving.latest_indicated_us = now_us;
        first
    }

    /// Applies a report that the server is not leaving; returns whether the server serves again.
    ///
    /// Lists and reports lag, so a report counts only if it was measured at least
    /// [`Options::leaving_hold_us`] after the latest indication of leaving.
    pub fn on_not_leaving(&mut self, measured_us: u64, options: &Options) -> bool {
        self.clear_leaving_if(|latest_indicated_us| {
            measured_us >= latest_indicated_us + options.leaving_hold_us
        })
    }

    /// Lets the leaving state expire; returns whether the server serves again.
    ///
    /// It expires [`Options::leaving_expiry_us`] after the latest indication. Only this ends the
    /// leaving state of a server that reports no load.
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
