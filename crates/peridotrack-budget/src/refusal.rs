//! Why a reservation was not made.

use serde::{Deserialize, Serialize};

/// Kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The last known ledger and every holder that answered have too little left.
    Exhausted,
    /// A draw or a transfer that may serve the request is under way.
    Waiting,
    /// The store cannot be reached and the peers have too little.
    Unavailable,
}

/// A reservation that was not made; nothing was reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("reservation refused ({kind:?}), retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// Kind of refusal.
    pub kind: Kind,
    /// Time after which another attempt may succeed, in milliseconds.
    pub retry_after_ms: u64,
}
