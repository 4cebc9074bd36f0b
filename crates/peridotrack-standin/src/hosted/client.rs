//! Client of a gateway: sends a request and checks that the response is the one that the stand-in
//! [`backend`] sends.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use peridotrack_http::client::{self, Connection, Step};

use super::{
    backend,
    deployment::{ACCOUNTS, Kind, probe_path},
};

/// Timeout for the response head and for each part of the body, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 2_500;
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
    /// Number of the request that this one repeats, `None` if it is sent once. Repetitions have the
    /// same content if they have the same kind and account.
    pub repeated: Option<u64>,
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
    /// The connection failed before a byte of the request was sent.
    NotSent,
    /// The request was sent, but no complete response arrived in time.
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
            Err(_) => return exchange(Outcome::NotSent, 0),
        },
    };
    let head = match connection.send(encode(request)).await {
        Ok(head) => head,
        Err(error) if error.step == Step::Write && !error.bytes_written => {
            return exchange(Outcome::NotSent, 0);
        }
        Err(_) => return exchange(Outcome::Incomplete, 0),
    };
    let result = match request.kind.is_stream() && head.status.is_success() {
        true => read_events(&mut connection).await,
        false => read_unstreamed(&mut connection, &head).await,
    };
    if connection.is_reusable() {
        *idle = Some(connection);
    }
    let (outcome, events) = result;
    match mismatch(request, &head) {
        Some(detail) => exchange(Outcome::Wrong(detail), events),
        None => exchange(outcome, events),
    }
}

fn exchange(outcome: Outcome, events: u64) -> Exchange {
    Exchange { outcome, events }
}

fn encode(request: &Request) -> http::Request<Bytes> {
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

async fn read_unstreamed(
    connection: &mut Connection,
    head: &http::response::Parts,
) -> (Outcome, u64) {
    let status = head.status.as_u16();
    match connection.read_body().await {
        Ok(body) if head.status.is_success() && body != "the answer" => {
            (Outcome::Wrong(format!("unexpected body {body:?}")), 0)
        }
        Ok(_) => (Outcome::Status(status), 0),
        Err(_) => (Outcome::Incomplete, 0),
    }
}

/// Reads a stream, whose events must be numbered in sequence, and counts its complete events.
async fn read_events(connection: &mut Connection) -> (Outcome, u64) {
    let mut text = Vec::new();
    let is_complete = loop {
        match connection.next_chunk().await {
            Ok(Some(chunk)) => text.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&text);
    let events: Vec<&str> = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"))
        .collect();
    let is_next = |(number, event): (usize, &&str)| {
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
        true if count < backend::STREAM_EVENTS => (
            Outcome::Wrong(format!("the stream ended normally after {count} events")),
            count,
        ),
        true => (Outcome::Status(200), count),
        false => (Outcome::Incomplete, count),
    }
}
