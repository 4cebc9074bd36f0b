//! What the callers of a conditional write tell the decision crates.

use super::{error::Error, object::Object};

/// Retry delay after a write of which no byte was sent, in milliseconds.
const NOT_SENT_RETRY_MS: u64 = 50;

/// Outcome of a conditional write, in the cases that the decision crates distinguish.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// Version of the object after the write.
        version: u64,
    },
    /// The stored version was not the expected one; the write had no effect.
    Conflict {
        /// The stored object, if the response contained it.
        current: Option<Object>,
    },
    /// The write had no effect: it was refused, or no byte of it was sent.
    Refused {
        /// Time to wait before another attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The write may have taken effect, or may yet take effect.
    Unknown,
}

impl From<Result<u64, Error>> for WriteOutcome {
    fn from(result: Result<u64, Error>) -> Self {
        match result {
            Ok(version) => Self::Done { version },
            Err(Error::Conflict { current, .. }) => Self::Conflict { current },
            Err(Error::Refused { retry_after_ms, .. }) => Self::Refused { retry_after_ms },
            Err(Error::NotSent { .. }) => Self::Refused {
                retry_after_ms: NOT_SENT_RETRY_MS,
            },
            Err(
                Error::HistoryLost { .. }
                | Error::WatchCut { .. }
                | Error::Unknown { .. }
                | Error::Unreadable { .. },
            ) => Self::Unknown,
        }
    }
}
