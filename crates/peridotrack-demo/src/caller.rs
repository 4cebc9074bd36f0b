//! A request of a caller and its retries, with each response compared with the expected one byte for
//! byte.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use peridotrack_edge::{engine::REQUEST_ID_HEADER, sse};
use peridotrack_http::client;
use peridotrack_standin::{engine::chat, service};
use peridotrack_types::problem;
use serde_json::json;

use crate::fleet;

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 6;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Length of each prompt in bytes; the same for all, so that every prompt costs the same.
pub const PROMPT_BYTES: usize = 48;
/// Maximum number of output tokens that each chat request asks for.
pub const OUTPUT_TOKENS: u64 = 24;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A streamed chat completion.
    Stream,
    /// A chat completion in a single response body.
    NonStreaming,
    /// An idempotent request to the plain service.
    Lookup,
    /// A request to the plain service that must run at most once.
    Assign,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Kind, which selects path and body.
    pub kind: Kind,
    /// Index of the client account in [`fleet::ACCOUNTS`].
    pub account: usize,
    /// Idempotency key, unique per request and the same for its retries.
    pub key: String,
}

/// Outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete and correct response arrived.
    Completed,
    /// The response looked complete but differed from the expected one.
    Wrong,
    /// No response arrived, or a detectably truncated one if `is_partial`.
    Cut { is_partial: bool },
    /// The router refused the request with this problem.
    Refused(problem::Problem),
}

/// Outcome of a request after its last attempt.
#[derive(Debug, Clone)]
pub struct RequestOutcome {
    /// Outcome of the last attempt.
    pub last_attempt: AttemptOutcome,
    /// Index of the router of the last attempt.
    pub router: usize,
    /// Number of attempts that were cut within the response.
    pub cut_visibly: u64,
}

impl Request {
    /// Returns whether the request is a chat completion, which spends tokens.
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Stream | Kind::NonStreaming)
    }

    /// Sends the request to the routers in turn, starting at `first_router`, until an attempt is neither
    /// cut nor refused with a problem that is worth a retry, or [`MAX_ATTEMPTS`] are used up.
    pub async fn send_with_retries(
        &self,
        routers: &[SocketAddr],
        first_router: usize,
    ) -> RequestOutcome {
        let mut outcome = RequestOutcome {
            last_attempt: AttemptOutcome::Cut { is_partial: false },
            router: first_router,
            cut_visibly: 0,
        };
        for index in 0..MAX_ATTEMPTS {
            outcome.router = (first_router + index) % routers.len();
            outcome.last_attempt = self.attempt(routers[outcome.router]).await;
            match &outcome.last_attempt {
                AttemptOutcome::Completed | AttemptOutcome::Wrong => break,
                AttemptOutcome::Cut { is_partial } => outcome.cut_visibly += u64::from(*is_partial),
                AttemptOutcome::Refused(problem) if !is_retryable(problem) => break,
                AttemptOutcome::Refused(_) => {}
            }
            monoio::time::sleep(RETRY_DELAY).await;
        }
        outcome
    }

    /// Returns the body of the request.
    pub fn body(&self) -> Bytes {
        let body = match self.kind {
            Kind::Stream | Kind::NonStreaming => json!({
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
            Kind::Stream | Kind::NonStreaming => "/v1/chat/completions",
            Kind::Lookup => "/v1/services/registry/lookup",
            Kind::Assign => "/v1/services/registry/assign",
        }
    }

    /// Sends the request to a router on a new connection and checks the response.
    async fn attempt(&self, router: SocketAddr) -> AttemptOutcome {
        let cut = AttemptOutcome::Cut { is_partial: false };
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
            return serde_json::from_slice(&body)
                .map_or(AttemptOutcome::Wrong, AttemptOutcome::Refused);
        }
        let request_id = head
            .headers
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        match self.kind {
            Kind::Stream => self.read_stream(&mut connection, &request_id).await,
            Kind::NonStreaming => self.read_single_body(&mut connection, &request_id).await,
            Kind::Lookup | Kind::Assign => self.read_service(&mut connection).await,
        }
    }

    async fn read_stream(
        &self,
        connection: &mut client::Connection,
        request_id: &str,
    ) -> AttemptOutcome {
        let mut parser = sse::Parser::default();
        let (mut text, mut is_done) = (String::new(), false);
        loop {
            match connection.next_chunk().await {
                Ok(Some(chunk)) => parser.push(&chunk),
                Ok(None) => break,
                Err(_) => return AttemptOutcome::Cut { is_partial: true },
            }
            while let Ok(Some(event)) = parser.next_event() {
                is_done |= event.data() == b"[DONE]";
                text.push_str(&delta_content(event.data()));
            }
        }
        self.check_text(request_id, &text, is_done)
    }

    async fn read_single_body(
        &self,
        connection: &mut client::Connection,
        request_id: &str,
    ) -> AttemptOutcome {
        let Ok(body) = connection.read_body().await else {
            return AttemptOutcome::Cut { is_partial: true };
        };
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        self.check_text(request_id, text, true)
    }

    async fn read_service(&self, connection: &mut client::Connection) -> AttemptOutcome {
        let Ok(body) = connection.read_body().await else {
            return AttemptOutcome::Cut { is_partial: true };
        };
        let Ok(echo) = serde_json::from_slice::<service::Echo>(&body) else {
            return AttemptOutcome::Wrong;
        };
        let body_digest = hex::encode(peridotrack_edge::auth::digest(
            std::str::from_utf8(&self.body()).unwrap_or_default(),
        ));
        let is_expected =
            echo.idempotency_key.as_deref() == Some(&self.key) && echo.body_sha256 == body_digest;
        if is_expected {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Wrong
        }
    }

    /// Compares the text of a completion with the one that the stand-in generates for this request.
    fn check_text(&self, request_id: &str, text: &str, is_done: bool) -> AttemptOutcome {
        let message = chat::Message {
            role: "user".to_owned(),
            content: self.prompt(),
        };
        let expected = chat::completion_text(request_id, &[message], OUTPUT_TOKENS);
        if is_done && text == expected {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Wrong
        }
    }
}

/// Returns whether the same request may succeed soon at another router: a previous attempt is still
/// in progress, or its backend server failed.
fn is_retryable(problem: &problem::Problem) -> bool {
    let in_progress = problem::Problem::new(problem::Kind::InProgress, "").type_urn;
    let backend_failed = problem::Problem::new(problem::Kind::BackendFailed, "").type_urn;
    problem.type_urn == in_progress || problem.type_urn == backend_failed
}

/// Returns the text that one event of a stream adds to the completion.
fn delta_content(data: &[u8]) -> String {
    let chunk: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
    chunk["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
