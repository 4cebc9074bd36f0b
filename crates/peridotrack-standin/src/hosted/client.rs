//! Requests of clients and what became of them.

use std::net::SocketAddr;

use bytes::Bytes;
use peridotrack_http::client::{self, Connection, Step};

use super::{
    engine,
    site::{ACCOUNTS, Kind, probe_path},
};

/// Longest wait of a client for a part of its answer, in milliseconds.
const PATIENCE_MS: u64 = 2_500;
/// What clients say they wait at most, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// One request to be sent.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its identifier.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Index of its client account.
    pub account: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Version that a probe asks for.
    pub version: u64,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// No connection was made.
    NotSent,
    /// The connection ended without a whole answer.
    Nothing,
    /// A whole answer with this status.
    Status(u16),
    /// An answer that breaks the protocol or is another request's.
    Wrong(String),
}

/// What a client saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// What became of the request.
    pub answer: Answer,
    /// Events that arrived.
    pub events: u64,
}

fn options() -> client::Options {
    client::Options {
        connect_timeout_ms: 1_000,
        response_timeout_ms: PATIENCE_MS,
        chunk_timeout_ms: PATIENCE_MS,
        ..client::Options::default()
    }
}

/// Sends a request on `kept`, or on a new connection, and leaves a usable one there.
pub async fn send(address: SocketAddr, kept: &mut Option<Connection>, request: &Request) -> Seen {
    let usable = kept.take().filter(Connection::is_idle);
    let mut connection = match usable {
        Some(connection) => connection,
        None => match Connection::connect(address, options()).await {
            Ok(connection) => connection,
            Err(_) => return seen(Answer::NotSent, 0),
        },
    };
    let head = match connection.send(encode(request)).await {
        Ok(head) => head,
        Err(error) if error.step == Step::Write && !error.bytes_written => {
            return seen(Answer::NotSent, 0);
        }
        Err(_) => return seen(Answer::Nothing, 0),
    };
    let result = match request.kind.is_stream() && head.status.is_success() {
        true => read_events(&mut connection).await,
        false => read_whole(&mut connection, &head).await,
    };
    if connection.is_reusable() {
        *kept = Some(connection);
    }
    let (answer, events) = result;
    match wrong(request, &head) {
        Some(detail) => seen(Answer::Wrong(detail), events),
        None => seen(answer, events),
    }
}

fn seen(answer: Answer, events: u64) -> Seen {
    Seen { answer, events }
}

fn encode(request: &Request) -> http::Request<Bytes> {
    let path = match request.kind {
        Kind::Safe => "/safe/".to_owned(),
        Kind::Unsafe => "/unsafe/".to_owned(),
        Kind::Stream => "/stream/".to_owned(),
        Kind::Resumable => "/stream/resumable/".to_owned(),
        Kind::Probe => probe_path(request.version),
    };
    let (_, key) = ACCOUNTS[request.account];
    let output_tokens = match request.kind.is_stream() {
        true => engine::EVENTS,
        false => 0,
    };
    http::Request::post(path)
        .header("host", "a.example")
        .header("peridotrack-request-id", &request.id)
        .header("peridotrack-deadline-ms", DEADLINE_MS.to_string())
        .header("peridotrack-credential", key)
        .header(
            "peridotrack-token-usage",
            format!("{},{output_tokens}", request.prompt_tokens),
        )
        .body(Bytes::from(request.id.clone()))
        .expect("the parts of a request are valid")
}

/// Returns why an answer is not the backend server's to this request.
fn wrong(request: &Request, head: &http::response::Parts) -> Option<String> {
    if !head.status.is_success() {
        return None;
    }
    let echoed = head.headers.get("peridotrack-request-id");
    if echoed.is_none_or(|id| id.as_bytes() != request.id.as_bytes()) {
        return Some(format!("it names {echoed:?}"));
    }
    let is_signed = head.headers.contains_key("peridotrack-response-seal");
    (!is_signed).then(|| "it is not signed".to_owned())
}

async fn read_whole(connection: &mut Connection, head: &http::response::Parts) -> (Answer, u64) {
    let status = head.status.as_u16();
    match connection.read_body().await {
        Ok(body) if head.status.is_success() && body != "the answer" => {
            (Answer::Wrong(format!("its body is {body:?}")), 0)
        }
        Ok(_) => (Answer::Status(status), 0),
        Err(_) => (Answer::Nothing, 0),
    }
}

/// Reads a stream, of which each event must be the next one.
async fn read_events(connection: &mut Connection) -> (Answer, u64) {
    let mut text = Vec::new();
    let is_whole = loop {
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
            Answer::Wrong(format!("events out of order: {text:?}")),
            count,
        );
    }
    match is_whole {
        true if count < engine::EVENTS => {
            (Answer::Wrong(format!("{count} events look whole")), count)
        }
        true => (Answer::Status(200), count),
        false => (Answer::Nothing, count),
    }
}
