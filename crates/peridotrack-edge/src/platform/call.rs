//! One call to the store, and what its result shows about the store.

use std::io;

use bytes::Bytes;
use peridotrack_follow::outage::Failure;
use peridotrack_http::client;

use super::{Dialect, idle};

/// Result of a call before its status is looked at.
pub(super) type Result = std::result::Result<http::Response<Bytes>, client::Error>;

/// A call that was sent.
pub(super) struct Call<'a> {
    /// Name of the call, such as `write`.
    pub(super) step: &'static str,
    /// Key of the object, or the kind of the objects.
    pub(super) key: &'a str,
    pub(super) sent_us: u64,
    /// Whether the store keeps the call waiting for a change.
    pub(super) is_waiting: bool,
}

impl Call<'_> {
    /// Returns the calls that may use the same connections as this one.
    pub(super) fn lane(&self, dialect: Dialect) -> idle::Lane {
        let (step, kind) = match dialect {
            Dialect::Native => ("call", ""),
            Dialect::Hosted => (self.step, self.key.split('/').next().unwrap_or_default()),
        };
        idle::Lane {
            step,
            kind: kind.to_owned(),
        }
    }

    /// Returns whether the connection of a complete response serves further calls.
    ///
    /// Refusals say nothing of the call that they belong to, and neither do the responses of the
    /// metadata store to a removal, or to a list of which another one may have been read meanwhile. A
    /// conflict is frequent, and shows the object.
    pub(super) fn keeps_connection(&self, dialect: Dialect, status: http::StatusCode) -> bool {
        match dialect {
            Dialect::Native => !is_refusal(status),
            Dialect::Hosted => match self.step {
                "read" => status.is_success(),
                "write" => status.is_success() || status == http::StatusCode::CONFLICT,
                _ => false,
            },
        }
    }

    /// Returns what a result shows about the store, `None` if the store is available.
    pub(super) fn failure(&self, result: &Result) -> Option<Failure> {
        let inconclusive = Failure::Inconclusive {
            sent_us: self.sent_us,
        };
        match result {
            Ok(response) if response.status().is_server_error() => Some(Failure::Unavailable),
            Ok(response) => is_refusal(response.status()).then_some(inconclusive),
            Err(error) if self.is_cut(error) => Some(inconclusive),
            Err(error) => match error.kind {
                client::Kind::BodyTooLarge | client::Kind::HeadTooLarge | client::Kind::Dropped => {
                    None
                }
                _ => Some(Failure::Unavailable),
            },
        }
    }

    /// Returns whether an error means that the store closed the connection of a waiting watch.
    pub(super) fn is_cut(&self, error: &client::Error) -> bool {
        let is_closed = match &error.kind {
            client::Kind::Closed => true,
            client::Kind::Io(error) => matches!(
                error.kind(),
                io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
            ),
            _ => false,
        };
        self.is_waiting && error.bytes_written && is_closed
    }
}

/// Returns whether a status means that the store does not serve this VM at present.
pub(super) fn is_refusal(status: http::StatusCode) -> bool {
    let refusals = [
        http::StatusCode::UNAUTHORIZED,
        http::StatusCode::FORBIDDEN,
        http::StatusCode::TOO_MANY_REQUESTS,
    ];
    refusals.contains(&status) || status.is_server_error()
}
