//! Reasons why a backend server receives no request from this router.
//!
//! [`crate::backend::Backend::ineligibilities`] returns all that hold. Placement uses a server only
//! if there is none; refusals, the status and the log name them, with their ends.

use serde::{Deserialize, Serialize};

/// Why a backend server receives no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The register lacks the server.
    Removed,
    /// The server is leaving.
    Leaving,
    /// The failure domain of the server is evacuated.
    Evacuated,
    /// The server runs another software version than the one that began the request's stream. It
    /// holds against a request, not for the server.
    OtherVersion,
    /// The server asked for a pause.
    Paused,
    /// The rate that the server states allows no request of this router now.
    Throttled,
    /// The circuit breaker is open.
    BreakerOpen,
    /// The circuit breaker is half-open, and a probe is in flight.
    Probing,
    /// The server refused a request a moment ago.
    BackOff,
    /// This router has as many requests in flight there as it may.
    AtLimit,
}

impl Reason {
    /// Returns whether requests wait for the end of the reason in the queue, because it ends within
    /// about the duration of a request.
    pub fn is_brief(self) -> bool {
        match self {
            Self::Probing | Self::BackOff | Self::AtLimit => true,
            Self::Removed
            | Self::Leaving
            | Self::Evacuated
            | Self::OtherVersion
            | Self::Paused
            | Self::Throttled
            | Self::BreakerOpen => false,
        }
    }

    /// Returns whether the reason also holds against a request that was placed before it arose, but
    /// of which no byte was sent yet.
    pub fn withdraws(self) -> bool {
        match self {
            Self::Removed | Self::Leaving | Self::Evacuated | Self::OtherVersion | Self::Paused => {
                true
            }
            Self::Throttled | Self::BreakerOpen | Self::Probing | Self::BackOff | Self::AtLimit => {
                false
            }
        }
    }

    /// Returns the name of the reason in events.
    pub fn name(self) -> &'static str {
        match self {
            Self::Removed => "removed",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::OtherVersion => "other_version",
            Self::Paused => "paused",
            Self::Throttled => "throttled",
            Self::BreakerOpen => "breaker_open",
            Self::Probing => "probing",
            Self::BackOff => "back_off",
            Self::AtLimit => "at_limit",
        }
    }
}

/// One reason why a backend server receives no request, with its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ineligibility {
    /// The reason.
    pub reason: Reason,
    /// When it ends, in microseconds on the clock of the events; `None` if that depends on other
    /// events.
    pub until_us: Option<u64>,
}

impl Ineligibility {
    /// Returns an ineligibility that ends at a known time.
    pub fn until(reason: Reason, until_us: u64) -> Self {
        Self {
            reason,
            until_us: Some(until_us),
        }
    }
}

impl From<Reason> for Ineligibility {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            until_us: None,
        }
    }
}
