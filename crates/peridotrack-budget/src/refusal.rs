//! Refusals of reservations.

use serde::{Deserialize, Serialize};

/// Reason why a reservation was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The ledger as last seen and every holder that replied have too little left.
    Exhausted,
    /// A draw or a transfer that may satisfy the reservation is in progress.
    Waiting,
    /// The budget cannot be drawn on: the store is unreachable and the peers have too little, or
    /// this holder may no longer spend.
    Unavailable,
}

/// A reservation that was not made; nothing was reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("reservation refused ({kind:?}), retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// Reason why it was refused.
    pub kind: Kind,
    /// Time after which another attempt may succeed, in milliseconds.
    pub retry_after_ms: u64,
}
