//! Client of model engines. The only module that knows their protocol.

use std::net::SocketAddr;

use bytes::Bytes;
use memchr::memmem;
use peridotrack_http::client;
use peridotrack_types::{id, rules};
use serde::Deserialize;

use crate::sse;

/// Header that carries the request's identifier both ways.
pub const REQUEST_ID_HEADER: &str = "peridotrack-request-id";
/// Header by which a backend server proves that it did not run a request.
pub const NOT_RUN_HEADER: &str = "peridotrack-not-run";

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";
/// Tokens of a chat message beyond its text, at most.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// Tokens that an engine counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the tokens that the provider counts.
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// An engine's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that the engine batches at once at full speed.
    pub slots: u32,
    /// Whether the engine serves or leaves.
    pub state: State,
    /// Time since the load was measured, in milliseconds.
    pub age_ms: u64,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Serving,
    /// It is about to stop.
    Leaving,
}

/// An answer that does not belong to the request or breaks the protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The answer names another request.
    #[error("the answer names {found:?} and not the request")]
    WrongRequest {
        /// Identifier in the answer.
        found: String,
    },
    /// An event is out of its order.
    #[error("event {found} came where event {expected} was due")]
    OutOfOrder {
        /// Number of the event that came.
        found: u64,
        /// Number of the event that was due.
        expected: u64,
    },
    /// The answer is not in the form that the protocol gives.
    #[error("malformed answer: {detail}")]
    Malformed {
        /// What is wrong.
        detail: String,
    },
    /// The answer goes on after its end.
    #[error("the answer goes on after its end")]
    TrailingData,
    /// The answer ends before its end was said.
    #[error("the answer ends early")]
    Truncated,
}

/// Returns the request to an engine.
pub fn completion_request(
    peer: SocketAddr,
    request_id: id::Request,
    body: Bytes,
) -> http::Request<Bytes> {
    http::Request::builder()
        .method("POST")
        .uri("/v1/chat/completions")
        .header("host", peer.to_string())
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, request_id.to_string())
        .body(body)
        .expect("the parts of an engine call are valid")
}

/// Returns the request that continues a stream after `offset_events`.
pub fn resume_request(
    peer: SocketAddr,
    request_id: id::Request,
    offset_events: u64,
) -> http::Request<Bytes> {
    stream_request(
        "GET",
        peer,
        &format!("/v1/streams/{request_id}?offset={offset_events}"),
    )
}

/// Returns the request that cancels a stream.
pub fn cancel_request(peer: SocketAddr, request_id: id::Request) -> http::Request<Bytes> {
    stream_request("DELETE", peer, &format!("/v1/streams/{request_id}"))
}

/// Returns the request for an engine's load.
pub fn load_request(peer: SocketAddr) -> http::Request<Bytes> {
    stream_request("GET", peer, "/v1/load")
}

fn stream_request(method: &str, peer: SocketAddr, path: &str) -> http::Request<Bytes> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", peer.to_string())
        .body(Bytes::new())
        .expect("the parts of an engine call are valid")
}

/// Returns whether an answer's head names the request.
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

/// Returns whether an answer's head proves that the request did not run.
pub fn is_not_run(head: &http::response::Parts) -> bool {
    head.status == http::StatusCode::SERVICE_UNAVAILABLE
        && head
            .headers
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value == "true")
}

/// Returns whether a refusal says that the backend server is about to stop.
pub fn is_leaving(head: &http::response::Parts) -> bool {
    is_not_run(head)
        && head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value == "close")
}

/// Returns the most tokens that an engine can count for text: one a byte.
pub fn bound_tokens(text_bytes: usize, messages: usize) -> u64 {
    text_bytes as u64 + messages as u64 * MESSAGE_OVERHEAD_TOKENS
}

/// Returns a priority as engines take it: the higher number goes first.
pub fn priority_number(priority: rules::Priority) -> i64 {
    match priority {
        rules::Priority::Low => -1,
        rules::Priority::Normal => 0,
        rules::Priority::High => 1,
    }
}

#[derive(Deserialize)]
struct Body {
    id: String,
    #[serde(default)]
    usage: Option<Usage>,
}

/// Checks a whole answer and returns its usage.
pub fn check_body(body: &[u8], request_id: id::Request) -> Result<Option<Usage>, Error> {
    let body: Body = serde_json::from_slice(body).map_err(|error| Error::Malformed {
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

/// Checks the events of one stream, over all connections that carry it.
#[derive(Debug)]
pub struct Stream {
    parser: sse::Parser,
    id_field: Vec<u8>,
    next_event: u64,
    usage: Option<Usage>,
    is_done: bool,
}

impl Stream {
    /// Returns a stream of which nothing has come.
    pub fn new(request_id: id::Request) -> Self {
        Self {
            parser: sse::Parser::default(),
            id_field: format!("\"id\":\"{}\"", completion_id(request_id)).into_bytes(),
            next_event: 0,
            usage: None,
            is_done: false,
        }
    }

    /// Returns the events that have come.
    pub fn events_seen(&self) -> u64 {
        self.next_event
    }

    /// Returns the usage that the engine reported.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Returns whether the engine said that the answer is whole.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Forgets bytes of an unfinished event, because another connection repeats them.
    pub fn resume(&mut self) {
        self.parser = sse::Parser::default();
    }

    /// Takes bytes and appends each whole, checked event to `out`.
    ///
    /// The events that carry usage or end the stream are appended to `tail` instead, so
    /// that they can be held back until the usage record is safe.
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

    /// Checks that the stream ended where the engine said.
    pub fn finish(&self) -> Result<(), Error> {
        if self.is_done && self.parser.finish().is_ok() {
            Ok(())
        } else {
            Err(Error::Truncated)
        }
    }

    /// Checks one event and returns whether it belongs to the stream's tail.
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
        let body: Body = serde_json::from_slice(data).map_err(|error| Error::Malformed {
            detail: error.to_string(),
        })?;
        self.usage = body.usage;
        Ok(true)
    }

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

/// Names what an event of another request says, without any text of its answer.
fn wrong_request(data: &[u8]) -> Error {
    match serde_json::from_slice::<Body>(data) {
        Ok(body) => Error::WrongRequest { found: body.id },
        Err(error) => Error::Malformed {
            detail: error.to_string(),
        },
    }
}

/// Options for connections to backend servers.
pub fn client_options(response_timeout_ms: u64) -> client::Options {
    client::Options {
        response_timeout_ms,
        chunk_timeout_ms: response_timeout_ms,
        ..client::Options::default()
    }
}
