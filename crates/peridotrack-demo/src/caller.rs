//! One request of a caller, with its retries, checked to the last byte.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use peridotrack_edge::{engine::REQUEST_ID_HEADER, sse};
use peridotrack_http::client;
use peridotrack_standin::{engine::chat, service};
use peridotrack_types::problem;
use serde_json::json;

use crate::fleet;

/// Tries of one request.
const TRIES: usize = 6;
/// Wait between two tries.
const RETRY: Duration = Duration::from_millis(150);
/// Characters of each prompt, the same for all, so that every prompt costs the same.
pub const PROMPT_BYTES: usize = 48;
/// Most tokens of each answer.
pub const OUTPUT_TOKENS: u64 = 24;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A chat completion, streamed.
    Stream,
    /// A chat completion in one piece.
    Whole,
    /// An idempotent call.
    Lookup,
    /// A call that must run at most once.
    Assign,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// What is asked for.
    pub kind: Kind,
    /// Index of the client account.
    pub account: usize,
    /// Idempotency key.
    pub key: String,
}

/// How one try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Try {
    /// The whole, right answer came.
    Completed,
    /// The answer looked whole and was wrong.
    Wrong,
    /// No answer came, or it was cut and looked cut.
    Cut { is_partial: bool },
    /// A problem came.
    Refused(problem::Problem),
}

/// How a request ended.
#[derive(Debug, Clone)]
pub struct End {
    /// How the last try ended.
    pub last: Try,
    /// Index of the router that it went to.
    pub router: usize,
    /// Tries that were cut within the answer.
    pub cut_visibly: u64,
}

impl Request {
    /// Returns whether tokens are spent.
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Stream | Kind::Whole)
    }

    /// Makes the request, again while a try is cut, through the routers in turn.
    pub async fn perform(&self, routers: &[SocketAddr], first: usize) -> End {
        let mut end = End {
            last: Try::Cut { is_partial: false },
            router: first,
            cut_visibly: 0,
        };
        for index in 0..TRIES {
            end.router = (first + index) % routers.len();
            end.last = self.attempt(routers[end.router]).await;
            match &end.last {
                Try::Completed | Try::Wrong => break,
                Try::Cut { is_partial } => end.cut_visibly += u64::from(*is_partial),
                Try::Refused(problem) if !is_worth_a_retry(problem) => break,
                Try::Refused(_) => {}
            }
            monoio::time::sleep(RETRY).await;
        }
        end
    }

    /// Returns the body of the request.
    pub fn body(&self) -> Bytes {
        let body = match self.kind {
            Kind::Stream | Kind::Whole => json!({
                "model": fleet::MODEL,
                "messages": [{"role": "user", "content": self.prompt()}],
                "max_tokens": OUTPUT_TOKENS,
                "stream": self.kind == Kind::Stream,
            }),
            Kind::Lookup | Kind::Assign => json!({"title": self.key}),
        };
        Bytes::from(body.to_string())
    }

    fn prompt(&self) -> String {
        format!("{:.<PROMPT_BYTES$}", self.key)
    }

    fn path(&self) -> &'static str {
        match self.kind {
            Kind::Stream | Kind::Whole => "/v1/chat/completions",
            Kind::Lookup => "/v1/services/registry/lookup",
            Kind::Assign => "/v1/services/registry/assign",
        }
    }

    async fn attempt(&self, router: SocketAddr) -> Try {
        let cut = Try::Cut { is_partial: false };
        let options = client::Options::default();
        let Ok(mut connection) = client::Connection::connect(router, options).await else {
            return cut;
        };
        let key = fleet::ACCOUNTS[self.account].key;
        let request = http::Request::post(self.path())
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .header("idempotency-key", &self.key)
            .body(self.body())
            .expect("the parts of a caller's request are valid");
        let Ok(head) = connection.send(request).await else {
            return cut;
        };
        if !head.status.is_success() {
            let Ok(body) = connection.read_body().await else {
                return cut;
            };
            return serde_json::from_slice(&body).map_or(Try::Wrong, Try::Refused);
        }
        let request_id = head
            .headers
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        match self.kind {
            Kind::Stream => self.read_stream(&mut connection, &request_id).await,
            Kind::Whole => self.read_whole(&mut connection, &request_id).await,
            Kind::Lookup | Kind::Assign => self.read_service(&mut connection).await,
        }
    }

    async fn read_stream(&self, connection: &mut client::Connection, request_id: &str) -> Try {
        let mut parser = sse::Parser::default();
        let (mut text, mut is_done) = (String::new(), false);
        loop {
            match connection.next_chunk().await {
                Ok(Some(chunk)) => parser.push(&chunk),
                Ok(None) => break,
                Err(_) => return Try::Cut { is_partial: true },
            }
            while let Ok(Some(event)) = parser.next_event() {
                is_done |= event.data() == b"[DONE]";
                text.push_str(&delta(event.data()));
            }
        }
        self.check_text(request_id, &text, is_done)
    }

    async fn read_whole(&self, connection: &mut client::Connection, request_id: &str) -> Try {
        let Ok(body) = connection.read_body().await else {
            return Try::Cut { is_partial: true };
        };
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        self.check_text(request_id, text, true)
    }

    async fn read_service(&self, connection: &mut client::Connection) -> Try {
        let Ok(body) = connection.read_body().await else {
            return Try::Cut { is_partial: true };
        };
        let Ok(answer) = serde_json::from_slice::<service::Echo>(&body) else {
            return Try::Wrong;
        };
        let body_digest = hex::encode(peridotrack_edge::auth::digest(
            std::str::from_utf8(&self.body()).unwrap_or_default(),
        ));
        let is_own = answer.idempotency_key.as_deref() == Some(&self.key)
            && answer.body_sha256 == body_digest;
        if is_own { Try::Completed } else { Try::Wrong }
    }

    fn check_text(&self, request_id: &str, text: &str, is_done: bool) -> Try {
        let message = chat::Message {
            role: "user".to_owned(),
            content: self.prompt(),
        };
        let expected = chat::completion_text(request_id, &[message], OUTPUT_TOKENS);
        if is_done && text == expected {
            Try::Completed
        } else {
            Try::Wrong
        }
    }
}

/// Returns whether the same request may fare better soon at another router.
fn is_worth_a_retry(problem: &problem::Problem) -> bool {
    let in_progress = problem::Problem::new(problem::Kind::InProgress, "").type_urn;
    let backend_failed = problem::Problem::new(problem::Kind::BackendFailed, "").type_urn;
    problem.type_urn == in_progress || problem.type_urn == backend_failed
}

fn delta(data: &[u8]) -> String {
    let chunk: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
    chunk["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
