//! Clients: they send one request on a new connection, and read its answer to the end.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record};

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: &'static str,
    pub id: String,
    pub key: String,
    /// Prompt tokens and the most output tokens, if it is for a model engine.
    pub tokens: Option<(u64, u64)>,
    pub time_limit: Duration,
    /// Number of the last event that the client has, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// What a client got.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// Status; 0 if there was none.
    pub status: u16,
    /// Whether the answer is whole.
    pub is_whole: bool,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Events in this answer.
    pub events: u64,
    /// `Retry-After` in seconds.
    pub retry_after_s: Option<f64>,
}

impl Request {
    fn text(&self) -> String {
        let limit_ms = self.time_limit.as_millis();
        let Self {
            method,
            path,
            id,
            key,
            ..
        } = self;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nPeridotrack-Request-Id: {id}\r\n\
             Peridotrack-Deadline-Ms: {limit_ms}\r\nPeridotrack-Credential: {key}\r\n"
        );
        if let Some((prompt, output)) = self.tokens {
            text += &format!(
                "Peridotrack-Model-Id: m\r\nPeridotrack-Token-Usage: {prompt},{output}\r\n\
                 Peridotrack-Prompt-Prefix: 5c1e07a2:{prompt}\r\n"
            );
        }
        if let Some(last) = self.last_event {
            text += &format!("Last-Event-Id: {last}\r\n");
        }
        if *method == "POST" {
            text += "Content-Length: 4\r\n";
        }
        text += "\r\n";
        if *method == "POST" {
            text += "body";
        }
        text
    }

    /// Sends the request to a gateway and reads the answer.
    pub fn send(&self, gateway: SocketAddr, record: &Record) -> Answer {
        let mut answer = Answer {
            last_event: self.last_event,
            ..Answer::default()
        };
        let id = &self.id;
        let resumed = self
            .last_event
            .map(|last| format!(", Last-Event-Id {last}"));
        record.note(&format!(
            "{id} sent to {gateway}{}",
            resumed.unwrap_or_default()
        ));
        let result = self.exchange(gateway, &mut answer);
        let Answer {
            status,
            is_whole,
            last_event,
            ..
        } = &answer;
        let failure = result
            .err()
            .map(|error| format!(", {error}"))
            .unwrap_or_default();
        record.note(&format!(
            "{id} answered {status}, whole {is_whole}, last event {last_event:?}{failure}"
        ));
        answer
    }

    fn exchange(&self, gateway: SocketAddr, answer: &mut Answer) -> io::Result<()> {
        let begin = Instant::now();
        let mut connection = Connection::open(gateway, self.time_limit)?;
        connection.send(self.text().as_bytes())?;
        let Some(mut head) = connection.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        answer.status = head.status();
        answer.retry_after_s = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        if head.header("transfer-encoding").is_none() {
            connection.body(&mut head)?;
            answer.is_whole = true;
            return Ok(());
        }
        let mut text = String::new();
        while begin.elapsed() < self.time_limit {
            let chunk = connection.chunk()?;
            if chunk.is_empty() {
                answer.is_whole = text.is_empty();
                return Ok(());
            }
            text += &String::from_utf8_lossy(&chunk);
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                let number = event.lines().find_map(|line| line.strip_prefix("id: "));
                answer.last_event = number.and_then(|number| number.parse().ok());
                answer.events += 1;
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}
