//! Failures of calls, which state whether the call may have taken effect.

use peridotrack_http::client;

use super::object::Object;

/// Retry delay after a refusal without a valid `Retry-After`, in milliseconds.
pub(super) const DEFAULT_RETRY_MS: u64 = 1_000;

/// Failure of a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stored version is not the expected one; the call had no effect.
    #[error("{step} {key}: the stored version is not the expected one")]
    Conflict {
        /// Name of the call, `write` or `remove`.
        step: &'static str,
        /// Key of the object.
        key: String,
        /// The stored object, if the response contained it.
        current: Option<Object>,
    },
    /// The platform refused the call without acting on it.
    #[error("{step} {key}: refused with status {status}")]
    Refused {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// HTTP status of the response.
        status: u16,
        /// Time to wait before another attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// No byte of the request was sent.
    #[error("{step} {key}: {source}")]
    NotSent {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// Failure of the connection.
        source: client::Error,
    },
    /// The store no longer keeps the changes after the revision that a watch asked for, or they exceed
    /// the limit of a response.
    #[error("{step} {key}: the changes after the requested revision cannot be read")]
    HistoryLost {
        /// Name of the call, always `watch`.
        step: &'static str,
        /// Kind of the objects.
        key: String,
    },
    /// The store closed the connection of a watch that waited.
    #[error("{step} {key}: cut off: {source}")]
    WatchCut {
        /// Name of the call, always `watch`.
        step: &'static str,
        /// Kind of the objects.
        key: String,
        /// Failure of the connection.
        source: client::Error,
    },
    /// The call may have taken effect, or its response cannot be read.
    #[error("{step} {key}: outcome unknown: {detail}")]
    Unknown {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// Failure of the connection, or what is wrong with the response.
        detail: String,
    },
}

/// Returns the failure of a call that may have taken effect, or whose response cannot be read.
pub(super) fn unknown(step: &'static str, key: &str, detail: String) -> Error {
    Error::Unknown {
        step,
        key: key.to_owned(),
        detail,
    }
}
