//! Client connections, opened to engines, services, peers and the platform.
//!
//! [`Connection`] carries one exchange at a time; [`Pool`] keeps idle connections for reuse. An
//! [`Error`] states whether the server may have received a part of the request.

mod connection;
mod pool;

pub use connection::Connection;
pub use pool::Pool;

use std::{io, net::SocketAddr};

/// Size limits and timeouts of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Timeout for opening the connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout for writing each 64 KiB of a request, and again for the response's head, in
    /// milliseconds.
    pub response_timeout_ms: u64,
    /// Timeout for the next bytes of a response's body, in milliseconds.
    pub chunk_timeout_ms: u64,
    /// Maximum size of a response head in bytes; values above 65,535 count as 65,535.
    pub head_bytes: usize,
    /// Maximum size in bytes of a single chunk, and of a body that [`Connection::read_body`]
    /// collects.
    pub body_bytes: usize,
    /// Whether a response without framing headers is accepted, whose body ends with its
    /// connection. If the server closes cleanly in the middle, the truncation is not detected.
    pub accept_close_delimited: bool,
    /// Period of TCP keep-alive probes on an inactive connection, in milliseconds; three
    /// unacknowledged probes end it. `None` leaves keep-alive off.
    pub keepalive_ms: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            response_timeout_ms: 30_000,
            chunk_timeout_ms: 30_000,
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            accept_close_delimited: false,
            keepalive_ms: None,
        }
    }
}

/// Operation during which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opening the TCP connection; no request was written.
    Connect,
    /// Writing the request's head and body.
    Write,
    /// Waiting for the response or reading its head.
    Head,
    /// Reading the response's body after its head.
    Body,
}

/// Reason why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Kind {
    /// The timeout for the step expired.
    #[error("timeout")]
    TimedOut,
    /// The server closed the connection before the end of the response.
    #[error("connection closed before the end of the response")]
    Closed,
    /// Bytes arrived before the request was written.
    #[error("bytes arrived that belong to no response")]
    Unsolicited,
    /// The response is not HTTP/1.x, or its end is ambiguous or not stated.
    #[error("malformed response: {detail}")]
    Malformed {
        /// What is wrong with the response.
        detail: String,
    },
    /// The response's head exceeds [`Options::head_bytes`] or has too many fields.
    #[error("response head exceeds the limit")]
    HeadTooLarge,
    /// The response's body, or one chunk of it, exceeds [`Options::body_bytes`].
    #[error("response body exceeds the limit")]
    BodyTooLarge,
    /// The response was dropped while it was read, because the process lacks memory.
    #[error("response dropped for lack of memory")]
    Dropped,
    /// The operating system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The method is not valid in the current state of the exchange.
    #[error("call out of order")]
    OutOfOrder,
}

/// A failed exchange.
#[derive(Debug, thiserror::Error)]
#[error("step {step:?} with {peer} failed: {kind}")]
pub struct Error {
    /// Operation that failed.
    pub step: Step,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Whether any byte of the request was passed to the operating system. If `false`, the
    /// server cannot have received any part of the request.
    pub bytes_written: bool,
    /// Reason for the failure.
    pub kind: Kind,
}
