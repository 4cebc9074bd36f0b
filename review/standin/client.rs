//! Clients: each attempt has its own identifier and its own channel.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::http::Connection;

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Prompt tokens and the maximum of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Value of the header that lists the parts of the prompt.
    pub prompt: String,
    pub body: String,
}

/// What the client saw of one attempt.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    /// Status, or `None` if the channel ended before one.
    pub status: Option<u16>,
    /// Whether the answer has the seal of the request and arrived whole.
    pub is_complete: bool,
    /// Number of whole events.
    pub events: u64,
    pub body: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.is_complete && self.status.is_some_and(|status| status < 300)
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Sends one attempt and waits for its answer.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer {
        id: format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst)),
        status: None,
        is_complete: false,
        events: 0,
        body: String::new(),
    };
    let _ = exchange(address, request, &mut answer);
    answer
}

fn exchange(address: SocketAddr, request: &Request, answer: &mut Answer) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms)))?;
    let mut connection = Connection::new(stream);
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: a.example\r\nPeridotrack-Request-Id: {}\r\n\
         Peridotrack-Deadline-Ms: {}\r\nPeridotrack-Credential: {}\r\n",
        request.method, request.path, answer.id, request.deadline_ms, request.key
    );
    if let Some((prompt, output)) = request.tokens {
        text += &format!(
            "Peridotrack-Model-Id: m\r\nPeridotrack-Token-Usage: {prompt},{output}\r\n\
             Peridotrack-Prompt-Prefix: {}\r\n",
            request.prompt
        );
    }
    if !request.body.is_empty() {
        text += &format!("Content-Length: {}\r\n", request.body.len());
    }
    connection.write(&format!("{text}\r\n{}", request.body))?;
    let head = connection.response_head()?;
    answer.status = Some(head.status);
    let is_own = head.header("peridotrack-request-id") == Some(&answer.id);
    let is_sealed = head.header("peridotrack-response-seal").is_some();
    let body = &mut answer.body;
    let result = connection.body(&head, |piece| *body += &String::from_utf8_lossy(piece));
    answer.events = answer.body.matches("\n\n").count() as u64;
    answer.is_complete = result.is_ok() && (head.status >= 300 || is_own && is_sealed);
    result
}
