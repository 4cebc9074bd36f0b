//! Connections opened to engines, services, peers and the platform.

mod connection;
mod pool;

pub use connection::Connection;
pub use pool::Pool;

use std::{io, net::SocketAddr};

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Longest wait for the connection to open.
    pub connect_timeout_ms: u64,
    /// Longest wait for a request to be written, and then again for the answer's head.
    pub response_timeout_ms: u64,
    /// Longest wait for the next bytes of an answer's body.
    pub chunk_timeout_ms: u64,
    /// Largest answer head in bytes, at most 65,535.
    pub head_bytes: usize,
    /// Largest single chunk, and largest body that [`Connection::read_body`] collects.
    pub body_bytes: usize,
    /// Whether an answer without a length is taken, whose end is the end of its connection.
    /// One that the server broke off with a clean close then looks whole.
    pub accept_close_delimited: bool,
    /// Period of TCP keep-alive probes on a silent connection, in milliseconds; three without
    /// an answer end it.
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

/// What a connection was doing when an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Writing the request.
    Write,
    /// Reading the answer's head.
    Head,
    /// Reading the answer's body.
    Body,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Kind {
    /// The time for the step ran out.
    #[error("timeout")]
    TimedOut,
    /// The server closed before the answer was whole.
    #[error("connection closed before the answer was whole")]
    Closed,
    /// The answer is not HTTP/1.x, or does not say where it ends.
    #[error("malformed answer: {detail}")]
    Malformed {
        /// What is wrong.
        detail: String,
    },
    /// The answer's head is longer than the limit.
    #[error("answer head exceeds the limit")]
    HeadTooLarge,
    /// The answer's body, or one chunk of it, is longer than the limit.
    #[error("answer body exceeds the limit")]
    BodyTooLarge,
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The call does not fit the state of the exchange.
    #[error("call out of order")]
    OutOfOrder,
}

/// A failed exchange: where it failed, with whom, and what the server may have seen.
#[derive(Debug, thiserror::Error)]
#[error("step {step:?} with {peer} failed: {kind}")]
pub struct Error {
    /// The step that failed.
    pub step: Step,
    /// The server.
    pub peer: SocketAddr,
    /// Whether any byte of the request was handed to the network. If `false`, the server
    /// cannot have seen the request.
    pub bytes_written: bool,
    /// The cause.
    pub kind: Kind,
}
