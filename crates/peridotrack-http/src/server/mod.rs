//! Connections accepted from callers.

mod answer;
mod connection;

pub use connection::Connection;

use std::{io, net::SocketAddr};

use bytes::Bytes;

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Largest request head in bytes, at most 65,535.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's first byte.
    pub idle_timeout_ms: u64,
    /// Longest wait for the rest of a request's head after its first byte.
    pub head_timeout_ms: u64,
    /// Longest wait for a whole body after its head.
    pub body_timeout_ms: u64,
    /// Longest wait for the caller to take 64 KiB of an answer.
    pub write_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            idle_timeout_ms: 15_000,
            head_timeout_ms: 15_000,
            body_timeout_ms: 30_000,
            write_timeout_ms: 10_000,
        }
    }
}

/// What a connection was doing when an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading a request's head.
    Head,
    /// Reading a request's body.
    Body,
    /// Writing an answer.
    Write,
}

/// Why a request could not be read or an answer not be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request is not HTTP/1.x, or ambiguous about where it ends: answer 400.
    #[error("malformed request from {peer}: {detail}")]
    Malformed {
        /// The caller.
        peer: SocketAddr,
        /// What is wrong, without any part of the request's body.
        detail: String,
    },
    /// The head is longer than the limit or has more than 96 fields: answer 431.
    #[error("request head from {peer} exceeds {limit_bytes} bytes or 96 fields")]
    HeadTooLarge {
        /// The caller.
        peer: SocketAddr,
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The body is longer than the limit: answer 413.
    #[error("request body from {peer} exceeds {limit_bytes} bytes")]
    BodyTooLarge {
        /// The caller.
        peer: SocketAddr,
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The caller was too slow: answer 408, unless the step is [`Step::Write`].
    #[error("timeout at step {step:?} with {peer}")]
    TimedOut {
        /// Where the time ran out.
        step: Step,
        /// The caller.
        peer: SocketAddr,
    },
    /// The connection failed, or ended within a request.
    #[error("connection failed at step {step:?} with {peer}: {source}")]
    Io {
        /// Where it failed.
        step: Step,
        /// The caller.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// An HTTP/1.0 caller cannot take a streamed answer; a whole one may still be sent.
    #[error("{peer} speaks HTTP/1.0 and cannot take a streamed answer")]
    StreamUnsupported {
        /// The caller.
        peer: SocketAddr,
    },
    /// The call does not fit the state of the exchange.
    #[error("call out of order on the connection with {peer}")]
    OutOfOrder {
        /// The caller.
        peer: SocketAddr,
    },
}

/// One request, its body read whole.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: http::request::Parts,
    /// The body; empty if there is none.
    pub body: Bytes,
}
