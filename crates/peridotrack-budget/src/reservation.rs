//! Reservations of a holder.

use serde::{Deserialize, Serialize};

/// Names one reservation within its holder; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

/// What became of a settled reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The reported spend was settled and the rest of the bound set free.
    Settled,
    /// The backend server claims more than the bound; the bound was settled.
    Clamped {
        /// Tokens claimed beyond the bound.
        excess_tokens: u64,
    },
    /// The reservation does not exist or was settled or cancelled before.
    Unknown,
}
