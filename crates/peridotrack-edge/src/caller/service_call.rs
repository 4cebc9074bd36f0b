//! Serves one call of a plain service, at most once where the rules say so.

use std::net::SocketAddr;

use bytes::Bytes;
use peridotrack_http::{client, server};
use peridotrack_kernel::{clock, event};
use peridotrack_once::{
    claim::{self, Decision},
    digest,
};
use peridotrack_route::event::{Continuation, Offer, Outcome, Target};
use peridotrack_types::{name, problem};

use super::{
    response,
    server::{Call, Services},
};
use crate::{engine, route};

/// Headers of a call that are not passed on to the service.
const PRIVATE_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// Most bytes of an idempotency key.
const KEY_BYTES: usize = 256;
/// Time after which an unknown outcome may have become known, in milliseconds.
const UNKNOWN_RETRY_MS: u64 = 5_000;

/// One call on its way.
struct ServiceCall<'a> {
    services: &'a Services,
    call: &'a Call,
    service: name::Service,
    path: String,
    request: server::Request,
    mode: Mode,
}

/// How often a call may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// As often as needed.
    Idempotent,
    /// At most once for all arrivals with its key.
    Claimed,
    /// At most once for this arrival.
    Unkeyed,
}

/// How an attempt on a backend server ended.
enum Attempt {
    /// The answer is whole.
    Whole(http::Response<Bytes>),
    /// The attempt failed.
    Failed { outcome: Outcome, detail: String },
    /// The permission to send has lapsed; no byte was sent.
    Lapsed,
}

/// Serves a call to `rest`, which is the service's name and the path below it.
pub(super) async fn serve(
    services: &Services,
    call: &Call,
    connection: &mut server::Connection,
    rest: &str,
    request: server::Request,
) -> Result<(), server::Error> {
    let result = match ServiceCall::new(services, call, rest, request) {
        Ok(service_call) => service_call.run().await,
        Err(problem) => Err(problem),
    };
    let response = match result {
        Ok(response) => {
            call.complete(services);
            response
        }
        Err(problem) => call.refuse(services, problem),
    };
    connection.respond(response).await
}

impl<'a> ServiceCall<'a> {
    fn new(
        services: &'a Services,
        call: &'a Call,
        rest: &str,
        request: server::Request,
    ) -> Result<Self, problem::Problem> {
        let (service, below) = rest.split_once('/').unwrap_or((rest, ""));
        let service = name::Service::from(service);
        let config = services.config.current();
        if !config
            .register
            .services
            .iter()
            .any(|server| server.service == service)
        {
            let detail = format!("no backend server provides service {:?}", service.as_str());
            return Err(problem::Problem::new(problem::Kind::NotFound, detail));
        }
        let path = format!("/{below}");
        let mode = if config.rules.is_idempotent(&service, &path) {
            Mode::Idempotent
        } else if idempotency_key(&request)?.is_some() {
            Mode::Claimed
        } else {
            Mode::Unkeyed
        };
        Ok(Self {
            services,
            call,
            service,
            path,
            request,
            mode,
        })
    }

    async fn run(self) -> Result<http::Response<Bytes>, problem::Problem> {
        if let Some(response) = self.claim().await? {
            return Ok(response);
        }
        let result = self.dispatch().await;
        if self.mode != Mode::Idempotent {
            self.services
                .claims
                .finish(self.call.request_id, claim_outcome(&result));
        }
        result
    }

    /// Claims a non-idempotent call; returns the kept answer if it ran before.
    async fn claim(&self) -> Result<Option<http::Response<Bytes>>, problem::Problem> {
        let (request_id, deadline_us) = (self.call.request_id, self.call.deadline_us);
        match self.mode {
            Mode::Idempotent => return Ok(None),
            Mode::Unkeyed => {
                self.services
                    .claims
                    .begin_without_key(request_id, deadline_us);
                return Ok(None);
            }
            Mode::Claimed => {}
        }
        let key = idempotency_key(&self.request)?.unwrap_or_default();
        let path = self.target();
        let request = claim::Request {
            request_id,
            account: self.call.account.clone(),
            key,
            request_digest: digest::of_request(
                self.request.head.method.as_str(),
                &path,
                &self.request.body,
            )
            .0,
            deadline_us,
        };
        match self.services.claims.begin(request).await {
            Decision::Granted => Ok(None),
            Decision::Replay {
                status,
                content_type,
                body,
            } => Ok(Some(replay(status, &content_type, body))),
            Decision::Refuse {
                kind,
                retry_after_ms,
            } => {
                let mut refused = problem::Problem::new(kind, claim_detail(kind));
                refused.retry_after_ms = retry_after_ms;
                Err(refused)
            }
        }
    }

    async fn dispatch(&self) -> Result<http::Response<Bytes>, problem::Problem> {
        let mut ticket = self.services.route.offer(self.offer());
        loop {
            let target = ticket.next().await.into_destination().map_err(|refusal| {
                problem::Problem::new(refusal.kind, "no backend server answered in time")
                    .retry_after_ms(refusal.retry_after_ms)
            })?;
            let event = event::Event::new(event::Kind::RequestDispatched)
                .with("backend_server", target.backend_server.as_str());
            self.call.note(&self.services.kernel, event);
            match self.attempt(&ticket, target.address).await {
                Attempt::Whole(response) => {
                    ticket.finished(Outcome::Done);
                    return Ok(response);
                }
                Attempt::Lapsed => {
                    ticket.finished(Outcome::Cancelled);
                    let detail = "the time to send the request has passed";
                    return Err(problem::Problem::new(problem::Kind::Overloaded, detail)
                        .retry_after_ms(UNKNOWN_RETRY_MS));
                }
                Attempt::Failed { outcome, detail } => {
                    let event = event::Event::new(event::Kind::AttemptFailed)
                        .with("backend_server", target.backend_server.as_str())
                        .with("detail", detail);
                    self.call.note(&self.services.kernel, event);
                    self.services.metrics.failed_attempts.increment(1);
                    ticket.finished(outcome);
                }
            }
        }
    }

    fn offer(&self) -> Offer {
        let config = self.services.config.current();
        Offer {
            request_id: self.call.request_id,
            account: self.call.account.clone(),
            priority: config
                .rules
                .priority(&self.call.account, None, Some(&self.service)),
            target: Target::Service(self.service.clone()),
            prefix_hash: None,
            size_tokens: 1,
            deadline_us: self.call.deadline_us,
            idempotent: self.mode == Mode::Idempotent,
            continuation: Continuation::default(),
            max_dispatches: None,
            prompt: None,
        }
    }
}

/// Attempts.
impl ServiceCall<'_> {
    async fn attempt(&self, ticket: &route::Ticket, address: SocketAddr) -> Attempt {
        let mut backend = match self.connect(address).await {
            Ok(backend) => backend,
            Err(error) => return failed(Outcome::ConnectFailed, error.to_string()),
        };
        if self.mode != Mode::Idempotent && !self.services.claims.may_send(self.call.request_id) {
            return Attempt::Lapsed;
        }
        ticket.sent();
        let head = match backend.send(self.forward(address)).await {
            Ok(head) => head,
            Err(error) => return failed(broken(&error), error.to_string()),
        };
        let body = match backend.read_body().await {
            Ok(body) => body,
            Err(error) => return failed(broken(&error), error.to_string()),
        };
        if engine::is_leaving(&head) {
            ticket.backend_server_leaving();
        }
        if engine::is_not_run(&head) {
            return failed(
                Outcome::RefusedNotRun,
                "the backend server refused".to_owned(),
            );
        }
        if let Err(error) = engine::check_head(&head, self.call.request_id) {
            let outcome = Outcome::Broken {
                sent: true,
                events_seen: 0,
            };
            return failed(outcome, error.to_string());
        }
        if backend.is_reusable() {
            self.services.pool.put(backend);
        }
        Attempt::Whole(response(&head, body))
    }

    /// Connects to a backend server; a call that may run once gets a connection of its own,
    /// because an idle one may be closed by the server at the moment of sending.
    async fn connect(&self, address: SocketAddr) -> Result<client::Connection, client::Error> {
        match self.mode {
            Mode::Idempotent => self.services.pool.take(address).await,
            Mode::Claimed | Mode::Unkeyed => {
                let left_us = self
                    .call
                    .deadline_us
                    .saturating_sub(self.services.kernel.now_us());
                let options = engine::client_options(left_us / clock::US_PER_MS);
                client::Connection::connect(address, options).await
            }
        }
    }

    fn forward(&self, address: SocketAddr) -> http::Request<Bytes> {
        let mut builder = http::Request::builder()
            .method(self.request.head.method.clone())
            .uri(self.target())
            .header("host", address.to_string())
            .header(engine::REQUEST_ID_HEADER, self.call.request_id.to_string())
            .header("peridotrack-client-account", self.call.account.as_str());
        for (name, value) in &self.request.head.headers {
            let is_own = name.as_str().starts_with("peridotrack-");
            if !is_own && !PRIVATE_HEADERS.contains(&name.as_str()) {
                builder = builder.header(name, value);
            }
        }
        builder
            .body(self.request.body.clone())
            .expect("the parts of a service call are valid")
    }

    /// Returns the path below the service with its query.
    fn target(&self) -> String {
        match self.request.head.uri.query() {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

fn idempotency_key(request: &server::Request) -> Result<Option<&str>, problem::Problem> {
    let Some(value) = request.head.headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_BYTES {
        let detail = format!("Idempotency-Key must have 1 to {KEY_BYTES} visible ASCII characters");
        return Err(problem::Problem::new(problem::Kind::Malformed, detail));
    }
    Ok(Some(key))
}

/// Returns what a claim is to remember of how its request ended.
fn claim_outcome(result: &Result<http::Response<Bytes>, problem::Problem>) -> claim::Outcome {
    match result {
        Ok(response) => {
            let content_type = response.headers().get("content-type");
            claim::Outcome::Responded {
                status: response.status().as_u16(),
                content_type: content_type
                    .and_then(|value| value.to_str().ok())
                    .unwrap_or_default()
                    .to_owned(),
                body: response.body().to_vec(),
            }
        }
        Err(problem) if problem.ran == problem::Ran::No => claim::Outcome::NotRun,
        Err(_) => claim::Outcome::Unknown,
    }
}

fn claim_detail(kind: problem::Kind) -> &'static str {
    match kind {
        problem::Kind::KeyConflict => "this Idempotency-Key was used for another request",
        problem::Kind::InProgress => "an earlier request with this Idempotency-Key is running",
        problem::Kind::OutcomeUnknown => {
            "an earlier request with this Idempotency-Key may have run; its answer is not known"
        }
        _ => "the request cannot be claimed now",
    }
}

fn replay(status: u16, content_type: &str, body: Vec<u8>) -> http::Response<Bytes> {
    let mut builder = http::Response::builder()
        .status(status)
        .header("idempotent-replayed", "true");
    if !content_type.is_empty() {
        builder = builder.header("content-type", content_type);
    }
    builder
        .body(body.into())
        .unwrap_or_else(|_| response::json(status, Bytes::new()))
}

/// Returns the backend server's answer without the headers of its connection.
fn response(head: &http::response::Parts, body: Bytes) -> http::Response<Bytes> {
    let mut builder = http::Response::builder().status(head.status);
    for (name, value) in &head.headers {
        if !PRIVATE_HEADERS.contains(&name.as_str()) {
            builder = builder.header(name, value);
        }
    }
    builder
        .body(body)
        .expect("the parts of an answer are valid")
}

fn failed(outcome: Outcome, detail: String) -> Attempt {
    Attempt::Failed { outcome, detail }
}

fn broken(error: &client::Error) -> Outcome {
    match error.kind {
        client::Kind::TimedOut => Outcome::Timeout {
            sent: error.bytes_written,
        },
        _ => Outcome::Broken {
            sent: error.bytes_written,
            events_seen: 0,
        },
    }
}
