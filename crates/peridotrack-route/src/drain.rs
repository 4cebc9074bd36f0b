//! Drain state of backend servers.
//!
//! [`Drain`] records why a backend server must receive no new work: it is no longer in the asset
//! register, a list, a load report or a refusal indicated that it is leaving, or it stated so itself.

use serde::{Deserialize, Serialize};

use crate::{
    eligibility::{Ineligibility, Reason},
    options::Options,
};

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
    /// Since when the register lacks the server.
    removed_us: Option<u64>,
    leaving: Option<Leaving>,
}

/// Times of the indications that a server is leaving.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    first_indicated_us: u64,
    latest_indicated_us: u64,
    /// Whether the server stated it, which holds for the rest of its lifetime.
    is_stated: bool,
    /// When the process that stated it started, in milliseconds since the Unix epoch, if known.
    started_ms: Option<u64>,
}

impl Drain {
    /// Returns the state that operators see; removal takes precedence over leaving.
    pub fn state(self) -> State {
        match (self.removed_us, self.leaving) {
            (Some(_), _) => State::Removed,
            (None, Some(leaving)) => State::Leaving {
                since_us: leaving.first_indicated_us,
            },
            (None, None) => State::Serving,
        }
    }

    /// Returns whether the server may receive new work.
    #[inline]
    pub fn is_serving(self) -> bool {
        self.removed_us.is_none() && self.leaving.is_none()
    }

    /// Returns why the server may receive no new work, if so.
    #[inline]
    pub fn ineligibility(self) -> Option<Ineligibility> {
        match (self.removed_us, self.leaving) {
            (Some(_), _) => Some(Reason::Removed.into()),
            (None, Some(_)) => Some(Reason::Leaving.into()),
            (None, None) => None,
        }
    }

    /// Returns whether the register lacks the server.
    pub fn is_removed(self) -> bool {
        self.removed_us.is_some()
    }

    /// Sets whether the register lacks the server; returns whether that changed.
    pub fn set_removed(&mut self, now_us: u64, removed: bool) -> bool {
        let changed = self.is_removed() != removed;
        if changed {
            self.removed_us = removed.then_some(now_us);
        }
        changed
    }

    /// Records an indication of leaving; returns whether it is the first.
    pub fn on_leaving(&mut self, now_us: u64) -> bool {
        let first = self.leaving.is_none();
        let leaving = self.leaving.get_or_insert(Leaving {
            first_indicated_us: now_us,
            latest_indicated_us: now_us,
            is_stated: false,
            started_ms: None,
        });
        leaving.latest_indicated_us = now_us;
        first
    }

    /// Records the statement of a server, whose process started at `started_ms` if that is known,
    /// that it leaves; returns whether it is the first one.
    pub fn on_leaving_stated(&mut self, now_us: u64, started_ms: Option<u64>) -> bool {
        self.on_leaving(now_us);
        self.leaving.as_mut().is_some_and(|leaving| {
            leaving.started_ms = leaving.started_ms.max(started_ms);
            !std::mem::replace(&mut leaving.is_stated, true)
        })
    }

    /// Ends the leaving state, because the server's process started again at `started_ms`, unless
    /// it was that process which stated it.
    pub fn on_restarted(&mut self, started_ms: Option<u64>) {
        if self
            .leaving
            .is_none_or(|leaving| leaving.started_ms < started_ms)
        {
            self.leaving = None;
        }
    }

    /// Returns whether the state of a removed server may be dropped. A statement that it leaves is
    /// kept for [`Options::statement_memory_us`], since its entry may return before it ends.
    pub fn may_forget(self, now_us: u64, options: &Options) -> bool {
        let is_stated = self.leaving.is_some_and(|leaving| leaving.is_stated);
        self.removed_us.is_some_and(|removed_us| {
            !is_stated || now_us >= removed_us + options.statement_memory_us
        })
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
            .is_some_and(|leaving| !leaving.is_stated && is_outdated(leaving.latest_indicated_us));
        if returned {
            self.leaving = None;
        }
        returned
    }
}
