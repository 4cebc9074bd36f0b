//! Failures of calls, which state whether the call may have taken effect.

use bytes::Bytes;
use peridotrack_http::client;

use super::{call::is_refusal, object::Object};

/// Retry delay after a refusal without a valid `Retry-After`, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;
/// Maximum retry delay after a refusal, in milliseconds. One response must not keep the router from
/// writing for longer, since callers are refused for want of the write.
const MAX_RETRY_MS: u64 = 5_000;
const MS_PER_S: f64 = 1_000.0;

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
        /// Time to wait before another attempt, in milliseconds; bounded whatever the response states.
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
    /// The call may have taken effect.
    #[error("{step} {key}: outcome unknown: {detail}")]
    Unknown {
        /// Name of the call, such as `write`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// Failure of the connection, or what is wrong with the response.
        detail: String,
    },
    /// The response to a call that reads cannot be decoded.
    #[error("{step} {key}: cannot be decoded: {detail}")]
    Unreadable {
        /// Name of the call, such as `read`.
        step: &'static str,
        /// Key of the object, or the kind of the objects.
        key: String,
        /// What is wrong with the response.
        detail: String,
    },
}

impl Error {
    /// Returns whether the store responded, serves this router, and did not give the result of the call.
    pub fn is_rejection(&self) -> bool {
        match self {
            Self::Unreadable { .. } => true,
            Self::Refused { status, .. } => {
                !http::StatusCode::from_u16(*status).is_ok_and(is_refusal)
            }
            _ => false,
        }
    }
}

/// Returns the failure of a call that a response refuses.
pub(super) fn refused(step: &'static str, key: &str, response: &http::Response<Bytes>) -> Error {
    Error::Refused {
        step,
        key: key.to_owned(),
        status: response.status().as_u16(),
        retry_after_ms: retry_after_ms(response.headers()),
    }
}

/// Returns the retry delay that `Retry-After` states in seconds, which may be a fraction.
fn retry_after_ms(headers: &http::HeaderMap) -> u64 {
    let stated = || -> Option<f64> {
        let seconds = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
        seconds.trim().parse().ok()
    };
    let proper = stated().filter(|seconds| *seconds >= 0.0);
    let delay_ms = proper.map_or(DEFAULT_RETRY_MS, |seconds| (seconds * MS_PER_S) as u64);
    delay_ms.min(MAX_RETRY_MS)
}

/// Returns the failure of a call that reads, whose response cannot be decoded.
pub(super) fn unreadable(step: &'static str, key: &str, detail: String) -> Error {
    Error::Unreadable {
        step,
        key: key.to_owned(),
        detail,
    }
}

/// Returns the failure of a call that may have taken effect.
pub(super) fn unknown(step: &'static str, key: &str, detail: String) -> Error {
    Error::Unknown {
        step,
        key: key.to_owned(),
        detail,
    }
}
