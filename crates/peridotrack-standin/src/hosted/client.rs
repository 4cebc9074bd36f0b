//! Client of a gateway: sends a request and checks that the response is the one that the stand-in
//! [`backend`] sends.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Method;
use peridotrack_http::client::{self, Connection, Step};

use super::{
    backend::{self, INTERVAL_FIELD},
    deployment::{ACCOUNTS, Kind, probe_path},
};

/// Timeout for the response head and for each part of the body, in milliseconds.
pub(super) const RESPONSE_TIMEOUT_MS: u64 = 2_500;
/// Time within which a router reads what a client has sent. A connection that closes later, and is
/// not reset, was read to the end of what had been sent.
const READ_TIME: Duration = Duration::from_millis(300);
/// Deadline that clients send with a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// One request for a client to send.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request id, also sent as the body of a request that is sent once.
    pub id: String,
    /// Kind of the request, which determines its route.
    pub kind: Kind,
    /// Index of its client account in [`ACCOUNTS`].
    pub account: usize,
    /// Prompt tokens that the client declares.
    pub prompt_tokens: u64,
    /// Identifiers of the prompt's parts in order; the last one belongs to the request alone.
    pub prompt_parts: Vec<u64>,
    /// Configuration version whose route a probe requests; unused by other kinds.
    pub version: u64,
    /// Interval between the events of a stream that the server is to keep, `None` for the usual one.
    pub event_interval_ms: Option<u64>,
    /// Number of the request that this one repeats, `None` if it is sent once. Repetitions have the
    /// same content if they have the same kind and account.
    pub repeated: Option<u64>,
    /// The stream that the request takes up, `None` if it begins one.
    pub resumed: Option<Resumed>,
}

/// A stream that broke off and that a client takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumed {
    /// Identifier of the request that received the first event.
    pub first_id: String,
    /// Number of the last event that the client received.
    pub last_event: u64,
}

impl Request {
    /// Returns what identifies the request as a whole.
    pub fn content(&self) -> backend::Content {
        let path = match self.kind {
            Kind::Safe => "/safe/".to_owned(),
            Kind::Unsafe => "/unsafe/".to_owned(),
            Kind::Stream => "/stream/".to_owned(),
            Kind::Resumable => "/stream/resumable/".to_owned(),
            Kind::Probe => probe_path(self.version),
        };
        let path = match self.event_interval_ms {
            Some(interval_ms) => format!("{path}?{INTERVAL_FIELD}{interval_ms}"),
            None => path,
        };
        let (method, target, body) = match (self.repeated, self.kind) {
            (Some(number), Kind::Safe) => {
                let target = format!("{path}?repeated={number}");
                (Method::GET, target, Bytes::new())
            }
            (Some(number), _) => (Method::POST, path, format!("repeated {number}").into()),
            (None, _) => (Method::POST, path, self.id.clone().into()),
        };
        let (account, _) = ACCOUNTS[self.account];
        backend::Content {
            method,
            target,
            body,
            account: account.to_owned(),
        }
    }
}

/// Outcome of a request as seen by the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The connection failed before a byte of the request was sent, or before all of a request that
    /// was sent in pieces.
    NotSent,
    /// The request was sent, but no byte of a response arrived in time.
    Unanswered,
    /// The router had read the whole request and closed the connection without a byte of a response.
    Dropped,
    /// A part of the response arrived.
    Incomplete,
    /// A complete response with this status arrived.
    Status(u16),
    /// The response violates the protocol or belongs to another request; the text says how.
    Wrong(String),
}

/// Result of one exchange as seen by the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Complete events received, if the response is a stream.
    pub events: u64,
}

fn options() -> client::Options {
    client::Options {
        connect_timeout_ms: 1_000,
        response_timeout_ms: RESPONSE_TIMEOUT_MS,
        chunk_timeout_ms: RESPONSE_TIMEOUT_MS,
        ..client::Options::default()
    }
}

/// Sends a request on the `idle` connection, or on a new one if it cannot be used, and stores the
/// connection in `idle` afterwards if it can be reused.
pub async fn send(
    address: SocketAddr,
    idle: &mut Option<Connection>,
    request: &Request,
) -> Exchange {
    let usable = idle.take().filter(Connection::is_idle);
    let mut connection = match usable {
        Some(connection) => connection,
        None => match Connection::connect(address, options()).await {
            Ok(connection) => connection,
            Err(_) => return Exchange::without_events(Outcome::NotSent),
        },
    };
    let sent = Instant::now();
    let head = match connection.send(encode(request)).await {
        Ok(head) => head,
        Err(error) if error.step == Step::Write && !error.bytes_written => {
            return Exchange::without_events(Outcome::NotSent);
        }
        Err(error) => {
            let is_closed = matches!(error.kind, client::Kind::Closed);
            return Exchange::without_events(unanswered(sent, is_closed));
        }
    };
    let mut body = Vec::new();
    let is_complete = loop {
        match connection.next_chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    if connection.is_reusable() {
        *idle = Some(connection);
    }
    classify(request, &head, &body, is_complete)
}

impl Exchange {
    pub(super) fn without_events(outcome: Outcome) -> Self {
        Self { outcome, events: 0 }
    }
}

/// Returns the outcome of a request that was sent in full and got no byte of a response;
/// `is_closed` is whether the router closed the connection, without a reset.
pub(super) fn unanswered(sent: Instant, is_closed: bool) -> Outcome {
    match is_closed && sent.elapsed() >= READ_TIME {
        true => Outcome::Dropped,
        false => Outcome::Unanswered,
    }
}

/// Returns the result of a request from the head and the body of the response, which ended early if
/// it is not complete.
pub(super) fn classify(
    request: &Request,
    head: &http::response::Parts,
    body: &[u8],
    is_complete: bool,
) -> Exchange {
    let (outcome, events) = match request.kind.is_stream() && head.status.is_success() {
        true => {
            let first = request.resumed.as_ref();
            let first = first.map_or(0, |resumed| resumed.last_event + 1);
            check_events(body, first, is_complete)
        }
        false => (check_body(head, body, is_complete), 0),
    };
    let outcome = mismatch(request, head).map_or(outcome, Outcome::Wrong);
    Exchange { outcome, events }
}

pub(super) fn encode(request: &Request) -> http::Request<Bytes> {
    let content = request.content();
    let (_, key) = ACCOUNTS[request.account];
    let output_tokens = match request.kind.is_stream() {
        true => backend::STREAM_EVENTS,
        false => 0,
    };
    let mut head = http::Request::builder()
        .method(content.method)
        .uri(content.target);
    if !request.prompt_parts.is_empty() {
        let tokens = request.prompt_tokens / request.prompt_parts.len() as u64;
        let parts = request.prompt_parts.iter();
        let parts: Vec<String> = parts.map(|part| format!("{part:x}:{tokens}")).collect();
        head = head.header("peridotrack-prompt-prefix", parts.join(","));
    }
    if let Some(resumed) = &request.resumed {
        head = head
            .header("resumes", &resumed.first_id)
            .header("last-event-id", resumed.last_event);
    }
    head.header("host", "a.example")
        .header("peridotrack-request-id", &request.id)
        .header("peridotrack-deadline-ms", DEADLINE_MS.to_string())
        .header("peridotrack-credential", key)
        .header(
            "peridotrack-token-usage",
            format!("{},{output_tokens}", request.prompt_tokens),
        )
        .body(content.body)
        .expect("the parts of a request are valid")
}

/// Returns the reason why a successful response is not that of a backend server to this request.
fn mismatch(request: &Request, head: &http::response::Parts) -> Option<String> {
    if !head.status.is_success() {
        return None;
    }
    let echoed = head.headers.get("peridotrack-request-id");
    if echoed.is_none_or(|id| id.as_bytes() != request.id.as_bytes()) {
        return Some(format!("it has the request id {echoed:?}"));
    }
    let is_signed = head.headers.contains_key("peridotrack-response-seal");
    (!is_signed).then(|| "it has no seal".to_owned())
}

fn check_body(head: &http::response::Parts, body: &[u8], is_complete: bool) -> Outcome {
    match is_complete {
        true if head.status.is_success() && body != b"the answer" => {
            let body = String::from_utf8_lossy(body);
            Outcome::Wrong(format!("unexpected body {body:?}"))
        }
        true => Outcome::Status(head.status.as_u16()),
        false => Outcome::Incomplete,
    }
}

/// Counts the complete events of a stream, which must be numbered in sequence from `first`.
fn check_events(body: &[u8], first: u64, is_complete: bool) -> (Outcome, u64) {
    let text = String::from_utf8_lossy(body);
    let events: Vec<&str> = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"))
        .collect();
    let is_next = |(number, event): (usize, &&str)| {
        let number = number as u64 + first;
        *event == format!("id: {number}\ndata: part {number}\n\n")
    };
    let count = events.len() as u64;
    if !events.iter().enumerate().all(is_next) {
        return (
            Outcome::Wrong(format!("events out of order: {text:?}")),
            count,
        );
    }
    match is_complete {
        true if first + count < backend::STREAM_EVENTS => (
            Outcome::Wrong(format!("the stream ended normally after {count} events")),
            count,
        ),
        true => (Outcome::Status(200), count),
        false => (Outcome::Incomplete, count),
    }
}
