//! Whether a backend server is given new work.

use serde::{Deserialize, Serialize};

use crate::options::Options;

/// Whether a backend server is given new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The server is given work.
    #[default]
    Serving,
    /// The server is leaving; it finishes what it has.
    Leaving {
        /// First sign.
        since_us: u64,
    },
    /// The server is no longer in the register; it finishes what it has.
    Removed,
}

impl State {
    /// Returns whether the server may be given new work.
    pub fn is_serving(self) -> bool {
        self == Self::Serving
    }

    /// Takes in a sign of leaving; returns whether it is the first.
    pub fn on_leaving(&mut self, now_us: u64) -> bool {
        let first = self.is_serving();
        if first {
            *self = Self::Leaving { since_us: now_us };
        }
        first
    }

    /// Takes in a report that the server is not leaving; returns whether it serves again.
    ///
    /// Lists and reports lag, so only what was measured well after the first sign takes it back.
    pub fn on_not_leaving(&mut self, measured_us: u64, options: &Options) -> bool {
        let returned = matches!(
            *self,
            Self::Leaving { since_us } if measured_us >= since_us + options.leaving_hold_us
        );
        if returned {
            *self = Self::Serving;
        }
        returned
    }
}
