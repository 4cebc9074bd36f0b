//! Handles the plain service's calls: counts each run, injects faults, echoes the request.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response};
use peridotrack_http::server::Request;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    endpoint::{Application, Disconnect, Incoming},
    response,
    service::{Control, Counters},
    settings::take_one,
    tally,
};

/// Header with the key that identifies a non-idempotent call across attempts.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request id of a response that belongs to a different request.
const CROSSED_REQUEST_ID: &str = "crossed";

/// Body of every successful response; a function of the request alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// `Peridotrack-Request-Id` of the request, if it is valid text.
    pub request_id: Option<String>,
    /// `Idempotency-Key` of the request, if it is valid text.
    pub idempotency_key: Option<String>,
    /// SHA-256 of the request's body, in hexadecimal.
    pub body_sha256: String,
}

#[derive(Default)]
struct State {
    settings: Control,
    runs: u64,
    refused: u64,
    unanswered: u64,
    by_key: tally::Table,
    by_request_id: tally::Table,
}

/// Application of the service behind its listener.
#[derive(Default)]
pub(crate) struct Service {
    state: RefCell<State>,
}

impl Application for Service {
    type Control = Control;
    type Counters = Counters;

    fn control(&self, control: Control) {
        self.state.borrow_mut().settings.merge(control);
    }

    fn counters(&self) -> Counters {
        let state = self.state.borrow();
        Counters {
            runs: state.runs,
            refused: state.refused,
            unanswered: state.unanswered,
            by_key: state.by_key.snapshot(),
            by_request_id: state.by_request_id.snapshot(),
        }
    }

    async fn handle(self: Rc<Self>, incoming: Incoming<'_>) -> Result<(), Disconnect> {
        if let Some(refusal) = self.refusal() {
            return Ok(incoming.connection.respond(refusal).await?);
        }
        let mut echo = Echo::of(&incoming.request);
        let delay_ms = self.state.borrow_mut().run(&echo);
        if delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.state.borrow_mut().apply_faults(&mut echo)?;
        Ok(incoming.connection.respond(echo.to_response()).await?)
    }
}

impl Service {
    /// Counts and returns the refusal of a call while the service refuses or drains.
    fn refusal(&self) -> Option<Response<Bytes>> {
        let mut state = self.state.borrow_mut();
        let leaving = state.settings.leaving == Some(true);
        if !leaving && state.settings.refuse != Some(true) {
            return None;
        }
        state.refused += 1;
        Some(response::not_run("the service takes no new work", leaving))
    }
}

impl State {
    /// Counts a run and returns the latency of its response, in milliseconds.
    fn run(&mut self, echo: &Echo) -> u64 {
        self.runs += 1;
        if let Some(key) = &echo.idempotency_key {
            self.by_key.entry(key).runs += 1;
        }
        if let Some(request_id) = &echo.request_id {
            self.by_request_id.entry(request_id).runs += 1;
        }
        self.settings.delay_ms.unwrap_or(0)
    }

    /// Applies pending faults: drops the response, or replaces its identifiers.
    fn apply_faults(&mut self, echo: &mut Echo) -> Result<(), Disconnect> {
        if take_one(&mut self.settings.die_before_answer) {
            self.unanswered += 1;
            return Err(Disconnect);
        }
        if take_one(&mut self.settings.cross_answers) {
            echo.request_id = Some(CROSSED_REQUEST_ID.to_owned());
            echo.idempotency_key = None;
        }
        Ok(())
    }
}

impl Echo {
    /// Returns the echo of a request.
    pub fn of(request: &Request) -> Self {
        let head = &request.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Self {
            method: head.method.to_string(),
            path: path.to_owned(),
            request_id: header_text(&head.headers, response::REQUEST_ID),
            idempotency_key: header_text(&head.headers, IDEMPOTENCY_KEY),
            body_sha256: hex::encode(Sha256::digest(&request.body)),
        }
    }

    fn to_response(&self) -> Response<Bytes> {
        let mut builder = Response::builder();
        if let Some(request_id) = &self.request_id {
            builder = builder.header(response::REQUEST_ID, request_id);
        }
        if let Some(key) = &self.idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        response::json_with(builder, self)
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
