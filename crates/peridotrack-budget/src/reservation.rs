//! Identifiers of reservations and the outcomes of settling them.

use serde::{Deserialize, Serialize};

/// Identifies a reservation within its holder; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

/// Outcome of settling or cancelling a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The reported spend was settled and the rest of the bound is available again.
    Settled,
    /// The reported spend exceeds the bound; only the bound was settled.
    Clamped {
        /// Tokens reported beyond the bound, which are not settled.
        excess_tokens: u64,
    },
    /// The reservation does not exist, or was settled or cancelled before.
    Unknown,
}
