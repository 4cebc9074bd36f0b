//! Protocol of model engines: requests to them and checks of their responses.
//!
//! The functions build [`http::Request`]s and check heads and bodies; they do no I/O. A response is
//! accepted only if it names the request that it responds to, so that no caller receives the
//! response to another's request. No other module implements this protocol.

use std::net::SocketAddr;

use bytes::Bytes;
use memchr::memmem;
use peridotrack_http::client;
use peridotrack_types::{id, rules};
use serde::Deserialize;

use crate::sse;

/// Header that carries the request's identifier in requests and responses.
pub const REQUEST_ID_HEADER: &str = "peridotrack-request-id";
/// Header with which a backend server proves that it did not run a request.
pub const NOT_RUN_HEADER: &str = "peridotrack-not-run";

/// Data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";
/// Upper bound of the tokens that the chat template adds to each message.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// Token counts of one request as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the generated output, in tokens.
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the tokens of prompt and completion together, which are charged to the budget.
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// An engine's load report, the response to [`load_request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Requests in the batch that the engine is running.
    pub running: u32,
    /// Requests that wait to enter the batch.
    pub queued: u32,
    /// Requests that the engine batches at once at full speed.
    pub slots: u32,
    /// Whether the engine accepts new requests.
    pub state: State,
    /// Time since the load was measured, in milliseconds.
    pub age_ms: u64,
}

/// Whether an engine accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The engine accepts new requests.
    Serving,
    /// The engine is about to stop and refuses new requests.
    Leaving,
}

/// Reason why a response is rejected: it belongs to another request or violates the protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The response names another request or none.
    #[error("the response names {found:?} instead of this request")]
    WrongRequest {
        /// Identifier in the response; empty if it has none.
        found: String,
    },
    /// An event of a stream is missing, repeated or out of order.
    #[error("received event {found}, expected event {expected}")]
    OutOfOrder {
        /// Number of the event that arrived.
        found: u64,
        /// Number that the next event must have; numbers start at 0.
        expected: u64,
    },
    /// The response is not well formed.
    #[error("malformed response: {detail}")]
    Malformed {
        /// Message of the parser, or which part is missing.
        detail: String,
    },
    /// An event follows the `[DONE]` event.
    #[error("the stream continues after its [DONE] event")]
    TrailingData,
    /// The stream ends without a `[DONE]` event, or within an event.
    #[error("the stream ends before its [DONE] event")]
    Truncated,
}

/// Returns the request for a chat completion; `body` is the JSON to send.
pub fn completion_request(
    address: SocketAddr,
    request_id: id::Request,
    body: Bytes,
) -> http::Request<Bytes> {
    http::Request::builder()
        .method("POST")
        .uri("/v1/chat/completions")
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, request_id.to_string())
        .body(body)
        .expect("the parts of an engine request are valid")
}

/// Returns the request that resumes a stream after its first `offset_events` events.
pub fn resume_request(
    address: SocketAddr,
    request_id: id::Request,
    offset_events: u64,
) -> http::Request<Bytes> {
    bodiless_request(
        "GET",
        address,
        &format!("/v1/streams/{request_id}?offset={offset_events}"),
    )
}

/// Returns the request that cancels a chat completion; its response reports the usage so far.
pub fn cancel_request(address: SocketAddr, request_id: id::Request) -> http::Request<Bytes> {
    bodiless_request("DELETE", address, &format!("/v1/streams/{request_id}"))
}

/// Returns the request for an engine's load; the response body is a [`Load`].
pub fn load_request(address: SocketAddr) -> http::Request<Bytes> {
    bodiless_request("GET", address, "/v1/load")
}

/// Returns a request without a body.
fn bodiless_request(method: &str, address: SocketAddr, path: &str) -> http::Request<Bytes> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Bytes::new())
        .expect("the parts of an engine request are valid")
}

/// Checks that a response's head names the request.
///
/// # Errors
///
/// Returns [`Error::WrongRequest`] if it does not.
pub fn check_head(head: &http::response::Parts, request_id: id::Request) -> Result<(), Error> {
    let found = head
        .headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if found == request_id.to_string() {
        Ok(())
    } else {
        Err(Error::WrongRequest {
            found: found.to_owned(),
        })
    }
}

/// Returns whether a response's head proves that the request did not run.
pub fn is_not_run(head: &http::response::Parts) -> bool {
    head.status == http::StatusCode::SERVICE_UNAVAILABLE
        && head
            .headers
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value == "true")
}

/// Returns whether a response's head is a refusal by a backend server that is about to stop.
pub fn is_leaving(head: &http::response::Parts) -> bool {
    is_not_run(head)
        && head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value == "close")
}

/// Returns an upper bound of the prompt's tokens: one per byte of `text_bytes`, plus the overhead
/// of each message.
pub fn bound_tokens(text_bytes: usize, messages: usize) -> u64 {
    text_bytes as u64 + messages as u64 * MESSAGE_OVERHEAD_TOKENS
}

/// Returns the number by which engines order requests; higher numbers run first.
pub fn priority_number(priority: rules::Priority) -> i64 {
    match priority {
        rules::Priority::Low => -1,
        rules::Priority::Normal => 0,
        rules::Priority::High => 1,
    }
}

/// The checked fields of a response body or of a stream event.
#[derive(Deserialize)]
struct Completion {
    id: String,
    #[serde(default)]
    usage: Option<Usage>,
}

/// Checks the body of a response that is not streamed and returns its usage.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the body is not JSON with an `id`, or
/// [`Error::WrongRequest`] if it belongs to another request.
pub fn check_body(body: &[u8], request_id: id::Request) -> Result<Option<Usage>, Error> {
    let body: Completion = serde_json::from_slice(body).map_err(|error| Error::Malformed {
        detail: error.to_string(),
    })?;
    if body.id == completion_id(request_id) {
        Ok(body.usage)
    } else {
        Err(Error::WrongRequest { found: body.id })
    }
}

fn completion_id(request_id: id::Request) -> String {
    format!("chatcmpl-{request_id}")
}

/// Checks the events of one stream across all connections that carry it.
#[derive(Debug)]
pub struct Stream {
    parser: sse::Parser,
    /// The `id` field as it must appear in the data of every event.
    id_field: Vec<u8>,
    /// Number of the next event.
    next_event: u64,
    usage: Option<Usage>,
    is_done: bool,
}

impl Stream {
    /// Returns a stream that has received no event.
    pub fn new(request_id: id::Request) -> Self {
        Self {
            parser: sse::Parser::default(),
            id_field: format!("\"id\":\"{}\"", completion_id(request_id)).into_bytes(),
            next_event: 0,
            usage: None,
            is_done: false,
        }
    }

    /// Returns the number of accepted events, without the `[DONE]` event.
    pub fn events_seen(&self) -> u64 {
        self.next_event
    }

    /// Returns the usage that the engine reported, `None` until it has.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Returns whether the `[DONE]` event has arrived.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Discards the bytes of an incomplete event, which the next connection sends again.
    pub fn resume(&mut self) {
        self.parser = sse::Parser::default();
    }

    /// Adds bytes of the stream and appends each complete, checked event to `out`.
    ///
    /// The events that carry usage or end the stream are appended to `tail` instead, so
    /// that they can be withheld until the usage record is safe.
    ///
    /// # Errors
    ///
    /// Returns the error of the first event that fails its check; `out` and `tail` contain the
    /// events before it.
    pub fn push(
        &mut self,
        chunk: &[u8],
        out: &mut Vec<u8>,
        tail: &mut Vec<u8>,
    ) -> Result<(), Error> {
        self.parser.push(chunk);
        let malformed = |error: sse::Error| Error::Malformed {
            detail: error.to_string(),
        };
        while let Some(event) = self.parser.next_event().map_err(malformed)? {
            if self.is_done {
                return Err(Error::TrailingData);
            }
            let is_tail = self.check(&event)?;
            let target = if is_tail { &mut *tail } else { &mut *out };
            target.extend_from_slice(event.bytes());
        }
        Ok(())
    }

    /// Checks that the stream ended with its `[DONE]` event.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] if it did not.
    pub fn finish(&self) -> Result<(), Error> {
        if self.is_done && self.parser.finish().is_ok() {
            Ok(())
        } else {
            Err(Error::Truncated)
        }
    }

    /// Checks one event and returns whether it belongs to the withheld tail.
    fn check(&mut self, event: &sse::Event) -> Result<bool, Error> {
        let data = event.data();
        if data == DONE {
            self.is_done = true;
            return Ok(true);
        }
        self.check_order(event)?;
        if !contains(data, &self.id_field) {
            return Err(wrong_request(data));
        }
        if !contains(data, b"\"usage\":{") {
            return Ok(false);
        }
        let body: Completion = serde_json::from_slice(data).map_err(|error| Error::Malformed {
            detail: error.to_string(),
        })?;
        self.usage = body.usage;
        Ok(true)
    }

    /// Checks that the event's number follows that of the previous event.
    fn check_order(&mut self, event: &sse::Event) -> Result<(), Error> {
        let expected = self.next_event;
        let found = event.id().ok_or_else(|| Error::Malformed {
            detail: format!("event {expected} has no number"),
        })?;
        if found != expected {
            return Err(Error::OutOfOrder { found, expected });
        }
        self.next_event += 1;
        Ok(())
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    memmem::find(text, part).is_some()
}

/// Returns the error for an event of another request, without any generated text in it.
fn wrong_request(data: &[u8]) -> Error {
    match serde_json::from_slice::<Completion>(data) {
        Ok(body) => Error::WrongRequest { found: body.id },
        Err(error) => Error::Malformed {
            detail: error.to_string(),
        },
    }
}

/// Returns the options for connections to backend servers, with the same timeout for the head of a
/// response and for each chunk.
pub fn client_options(response_timeout_ms: u64) -> client::Options {
    client::Options {
        response_timeout_ms,
        chunk_timeout_ms: response_timeout_ms,
        ..client::Options::default()
    }
}
