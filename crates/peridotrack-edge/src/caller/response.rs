//! Responses that the router generates itself: problems, JSON bodies and heads of streams.
//!
//! The functions return [`http::Response`] values; the server writes them to the connection.

use bytes::Bytes;
use peridotrack_http::server;
use peridotrack_types::{id, problem};

use crate::{engine, stopping};

/// Milliseconds in a second, for `Retry-After`, which counts whole seconds.
const MS_PER_S: u64 = 1_000;

/// Retry delay stated to a client whose request was dropped for lack of memory, in milliseconds:
/// unfinished requests are dropped in less.
const DROPPED_RETRY_MS: u64 = 1_000;

/// Returns the `application/problem+json` response for a problem.
///
/// Sets `Retry-After` (rounded up, at least 1 s) and the request identifier if the problem has
/// them, and `WWW-Authenticate` if the status is 401.
pub fn problem(problem: &problem::Problem) -> http::Response<Bytes> {
    let body = serde_json::to_vec(problem).expect("a problem has only text keys");
    let mut builder = http::Response::builder()
        .status(problem.status)
        .header("content-type", "application/problem+json");
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
        builder = builder.header("retry-after", seconds.to_string());
    }
    if let Some(request_id) = problem.request_id {
        builder = builder.header(engine::REQUEST_ID_HEADER, request_id.to_string());
    }
    if problem.status == problem::Kind::Unauthorized.status() {
        builder = builder.header("www-authenticate", "Bearer");
    }
    builder
        .body(body.into())
        .expect("the parts of a problem are valid")
}

/// Returns an `application/json` response; `body` must be JSON already.
pub fn json(status: u16, body: impl Into<Bytes>) -> http::Response<Bytes> {
    http::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body.into())
        .expect("the parts of a JSON response are valid")
}

/// Returns the head of a response that streams server-sent events.
pub fn stream_head(request_id: id::Request) -> http::Response<()> {
    http::Response::builder()
        .status(200)
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .header(engine::REQUEST_ID_HEADER, request_id.to_string())
        .body(())
        .expect("the parts of a stream's head are valid")
}

/// Checks that a request for a stream has an HTTP version that supports chunked responses.
///
/// # Errors
///
/// Returns the problem to respond with.
pub fn check_stream_version(version: http::Version) -> Result<(), problem::Problem> {
    if version == http::Version::HTTP_11 {
        return Ok(());
    }
    let detail = format!("{version:?} does not support streams");
    let mut refused = problem::Problem::new(problem::Kind::Malformed, detail);
    refused.status = 505;
    Err(refused)
}

/// Returns the response to a request that could not be read.
///
/// Returns `None` after an error of the connection or of writing, when no response can be sent.
pub fn for_read_error(error: &server::Error) -> Option<http::Response<Bytes>> {
    if matches!(error, server::Error::Ended { .. }) {
        return Some(problem(&stopping::refusal(false)));
    }
    if matches!(error, server::Error::Dropped { .. }) {
        let kind = problem::Kind::Overloaded;
        let mut refused = problem::Problem::new(kind, error.to_string());
        refused.status = 503;
        return Some(problem(&refused.retry_after_ms(DROPPED_RETRY_MS)));
    }
    let kind = match error {
        server::Error::Malformed { .. } => problem::Kind::Malformed,
        server::Error::HeadTooLarge { .. } | server::Error::BodyTooLarge { .. } => {
            problem::Kind::TooLarge
        }
        server::Error::TimedOut {
            step: server::Step::Write,
            ..
        } => return None,
        server::Error::TimedOut { .. } => problem::Kind::Malformed,
        server::Error::Io { .. }
        | server::Error::Ended { .. }
        | server::Error::Dropped { .. }
        | server::Error::StreamUnsupported { .. }
        | server::Error::OutOfOrder { .. } => return None,
    };
    let mut refused = problem::Problem::new(kind, error.to_string());
    refused.status = match error {
        server::Error::HeadTooLarge { .. } => 431,
        server::Error::TimedOut { .. } => 408,
        _ => refused.status,
    };
    Some(problem(&refused))
}
