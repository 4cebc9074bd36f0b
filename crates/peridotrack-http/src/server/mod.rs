//! Server connections, accepted from callers.
//!
//! [`Connection`] reads one request at a time and writes its response, within the limits in
//! [`Options`]. The doc comments of [`Error`] give the status to respond with.

mod connection;
mod response;

pub use connection::Connection;

use std::{io, net::SocketAddr};

use bytes::Bytes;

/// Size limits and timeouts of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Maximum size of a request head in bytes; values above 65,535 count as 65,535.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for the first byte of a request, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Timeout for the rest of a request's head after its first byte, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout for a request's whole body after its head, in milliseconds.
    pub body_timeout_ms: u64,
    /// Timeout for writing each 64 KiB of a response, in milliseconds.
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

/// Operation during which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Waiting for a request or reading its head.
    Head,
    /// Reading a request's body after its head.
    Body,
    /// Writing a response, interim responses included.
    Write,
}

/// Reason why a request could not be read or a response could not be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request is not HTTP/1.x, or its end is ambiguous; respond with 400.
    #[error("malformed request from {peer}: {detail}")]
    Malformed {
        /// Address of the caller.
        peer: SocketAddr,
        /// What is wrong; contains no part of the request's body.
        detail: String,
    },
    /// The head exceeds the size limit or has more than 96 fields; respond with 431.
    #[error("request head from {peer} exceeds {limit_bytes} bytes or 96 fields")]
    HeadTooLarge {
        /// Address of the caller.
        peer: SocketAddr,
        /// The configured limit in bytes.
        limit_bytes: usize,
    },
    /// The body exceeds the size limit; respond with 413.
    #[error("request body from {peer} exceeds {limit_bytes} bytes")]
    BodyTooLarge {
        /// Address of the caller.
        peer: SocketAddr,
        /// The configured limit in bytes.
        limit_bytes: usize,
    },
    /// A timeout expired; respond with 408, unless the step is [`Step::Write`].
    #[error("timeout at step {step:?} with {peer}")]
    TimedOut {
        /// Operation that timed out.
        step: Step,
        /// Address of the caller.
        peer: SocketAddr,
    },
    /// The connection failed, or the caller closed it within a request.
    #[error("connection failed at step {step:?} with {peer}: {source}")]
    Io {
        /// Operation that failed.
        step: Step,
        /// Address of the caller.
        peer: SocketAddr,
        /// Error of the operating system; an unexpected end of file for a close.
        source: io::Error,
    },
    /// The server ended the read of a request; respond with 503.
    #[error("the read of a request from {peer} was ended")]
    Ended {
        /// Address of the caller.
        peer: SocketAddr,
    },
    /// The request was dropped while it was read, because the process lacks memory; respond with
    /// 503.
    #[error("the request from {peer} was dropped for lack of memory")]
    Dropped {
        /// Address of the caller.
        peer: SocketAddr,
    },
    /// HTTP/1.0 does not support chunked responses; [`Connection::respond`] is still possible.
    #[error("{peer} uses HTTP/1.0, which does not support chunked responses")]
    StreamUnsupported {
        /// Address of the caller.
        peer: SocketAddr,
    },
    /// The method is not valid in the current state of the exchange.
    #[error("call out of order on the connection with {peer}")]
    OutOfOrder {
        /// Address of the caller.
        peer: SocketAddr,
    },
}

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: http::request::Parts,
    /// The complete body, without chunk framing; empty if the request has none.
    pub body: Bytes,
}
