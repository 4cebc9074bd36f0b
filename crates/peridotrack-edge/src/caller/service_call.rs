//! Serves one call of a plain service.
//!
//! A call is idempotent only if the operators' rules say so for its path; any other is sent at
//! most once. An idempotency key extends this to all requests of the account with the same key,
//! through a claim that is stored before the call is sent.

use std::{cell::Cell, net::SocketAddr};

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
use crate::{engine, route, stopping};

/// Headers that are forwarded neither to the service nor back to the caller.
const UNFORWARDED_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// `Retry-After` of a call that may no longer be sent, in milliseconds; an outcome that is unknown
/// now may be known by then.
const NOT_PERMITTED_RETRY_MS: u64 = 5_000;

/// One call that is being served.
struct ServiceCall<'a> {
    services: &'a Services,
    call: &'a Call,
    service: name::Service,
    /// Path below the service, without its query.
    path: String,
    request: server::Request,
    mode: Mode,
    /// Whether an attempt may have run.
    may_have_run: Cell<bool>,
}

/// How often a call may run on backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Any number of times: the rules declare its path idempotent.
    Idempotent,
    /// At most once for all requests of the account with the same idempotency key.
    Claimed,
    /// At most once for this request, which has no key.
    Unkeyed,
}

/// How an attempt on a backend server ended.
enum Attempt {
    /// The complete response.
    Complete(http::Response<Bytes>),
    /// The attempt failed; the routing service decides whether another follows.
    Failed { outcome: Outcome, detail: String },
    /// The call may not be sent: its deadline has passed, or it was sent before. This attempt
    /// sent no byte.
    NotPermitted,
    /// The stop ended first.
    Stopped,
}

/// Serves a call and sends its response; `rest` is the service's name and the path below it.
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
    services.respond(connection, response).await
}

impl<'a> ServiceCall<'a> {
    /// Validates a call and determines how often it may run.
    fn new(
        services: &'a Services,
        call: &'a Call,
        rest: &str,
        request: server::Request,
    ) -> Result<Self, problem::Problem> {
        let (service, subpath) = rest.split_once('/').unwrap_or((rest, ""));
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
        let path = format!("/{subpath}");
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
            may_have_run: Cell::new(false),
        })
    }

    /// Claims the call if it needs a claim, dispatches it and records its outcome.
    async fn run(self) -> Result<http::Response<Bytes>, problem::Problem> {
        let target = self.target();
        if !self.call.is_begun(self.services, &target) {
            return Err(stopping::refusal(false));
        }
        let stopping = &self.services.stopping;
        if let Some(response) = self.claim().await? {
            return Ok(response);
        }
        let tracked = stopping.track(&target, self.call.arrived_us);
        let result = self.dispatch(&tracked).await;
        if self.mode != Mode::Idempotent {
            self.services
                .claims
                .finish(self.call.request_id, claim_outcome(&result));
        }
        result
    }

    /// Claims a non-idempotent call; returns the stored response if its key was used before.
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
        let path = self.path_and_query();
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
        let target = self.target();
        let decision = monoio::select! {
            biased;
            decision = self.services.claims.begin(request) => decision,
            () = self.call.refused_at_stop(self.services, &target) => {
                let claims = &self.services.claims;
                claims.finish(request_id, claim::Outcome::NotRun);
                return Err(stopping::refusal(false));
            }
        };
        match decision {
            Decision::Granted => Ok(None),
            Decision::Replay {
                status,
                content_type,
                body,
            } => Ok(Some(replayed_response(status, &content_type, body))),
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

    /// Makes the attempts that the routing service requests until one succeeds or the call is
    /// refused.
    async fn dispatch(
        &self,
        tracked: &stopping::Tracked<Target>,
    ) -> Result<http::Response<Bytes>, problem::Problem> {
        let mut ticket = self.services.route.offer(self.offer());
        loop {
            let step = monoio::select! {
                biased;
                problem = self.refused_at_stop() => return Err(problem),
                step = ticket.next() => step,
            };
            let target = step.into_destination().map_err(|refusal| {
                problem::Problem::new(refusal.kind, "no backend server answered in time")
                    .retry_after_ms(refusal.retry_after_ms)
            })?;
            let event = event::Event::new(event::Kind::RequestDispatched)
                .with("backend_server", target.backend_server.as_str());
            self.call.note(&self.services.kernel, event);
            tracked.sent();
            let attempt = monoio::select! {
                biased;
                attempt = self.attempt(&ticket, target.address) => attempt,
                () = self.services.stopping.answer_due() => Attempt::Stopped,
            };
            match attempt {
                Attempt::Complete(response) => {
                    ticket.finished(Outcome::Done);
                    return Ok(response);
                }
                Attempt::Stopped => {
                    ticket.finished(Outcome::Cancelled);
                    return Err(stopping::unanswered(self.may_have_run.get()));
                }
                Attempt::NotPermitted => {
                    ticket.finished(Outcome::Cancelled);
                    let detail = "the time to send the request has passed";
                    return Err(problem::Problem::new(problem::Kind::Overloaded, detail)
                        .retry_after_ms(NOT_PERMITTED_RETRY_MS));
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

    /// Waits until the call is not to be sent, or not again, because the router is stopping, and
    /// returns the problem to refuse it with. The key of a claimed call that has not run is free
    /// again.
    async fn refused_at_stop(&self) -> problem::Problem {
        let target = self.target();
        self.call.refused_at_stop(self.services, &target).await;
        stopping::refusal(self.may_have_run.get())
    }

    /// Returns what the call is addressed to.
    fn target(&self) -> Target {
        Target::Service(self.service.clone())
    }

    /// Returns the offer from which the routing service chooses a backend server.
    fn offer(&self) -> Offer {
        let config = self.services.config.current();
        Offer {
            request_id: self.call.request_id,
            account: self.call.account.clone(),
            priority: config
                .rules
                .priority(&self.call.account, None, Some(&self.service)),
            target: self.target(),
            prefix_hash: None,
            size_tokens: 1,
            deadline_us: self.call.deadline_us,
            idempotent: self.mode == Mode::Idempotent,
            continuation: Continuation::default(),
            max_dispatches: None,
            origin: None,
            prompt: None,
        }
    }
}

/// Makes one attempt on a backend server and builds the request that it sends.
impl ServiceCall<'_> {
    /// Sends the call to `address` and reads the complete response.
    async fn attempt(&self, ticket: &route::Ticket, address: SocketAddr) -> Attempt {
        let mut backend = match self.connect(address).await {
            Ok(backend) => backend,
            Err(error) => return failed(Outcome::ConnectFailed, error.to_string()),
        };
        if self.mode != Mode::Idempotent && !self.services.claims.may_send(self.call.request_id) {
            return Attempt::NotPermitted;
        }
        ticket.sent();
        let earlier_may_have_run = self.may_have_run.replace(true);
        let head = match backend.send(self.forwarded_request(address)).await {
            Ok(head) => head,
            Err(error) => {
                if !error.bytes_written {
                    self.may_have_run.set(earlier_may_have_run);
                }
                return failed(outcome_of(&error), error.to_string());
            }
        };
        let body = match backend.read_body().await {
            Ok(body) => body,
            Err(error) => return failed(outcome_of(&error), error.to_string()),
        };
        if engine::is_leaving(&head) {
            ticket.backend_server_leaving();
        }
        if engine::is_not_run(&head) {
            self.may_have_run.set(earlier_may_have_run);
            return failed(
                Outcome::RefusedNotRun,
                "the backend server refused the call without running it".to_owned(),
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
        Attempt::Complete(forwarded_response(&head, body))
    }

    /// Connects to a backend server.
    ///
    /// A call that may run only once gets a new connection, because the server may close an idle
    /// one at the moment of sending, which would leave the outcome unknown.
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

    /// Returns the request to the backend server: the caller's, with the router's own headers in
    /// place of any `peridotrack-` headers of the caller.
    fn forwarded_request(&self, address: SocketAddr) -> http::Request<Bytes> {
        let mut builder = http::Request::builder()
            .method(self.request.head.method.clone())
            .uri(self.path_and_query())
            .header("host", address.to_string())
            .header(engine::REQUEST_ID_HEADER, self.call.request_id.to_string())
            .header("peridotrack-client-account", self.call.account.as_str());
        for (name, value) in &self.request.head.headers {
            let is_internal = name.as_str().starts_with("peridotrack-");
            if !is_internal && !UNFORWARDED_HEADERS.contains(&name.as_str()) {
                builder = builder.header(name, value);
            }
        }
        builder
            .body(self.request.body.clone())
            .expect("the parts of a service call are valid")
    }

    /// Returns the path below the service, with its query.
    fn path_and_query(&self) -> String {
        match self.request.head.uri.query() {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}

/// Returns the call's idempotency key, or the problem of an invalid one.
fn idempotency_key(request: &server::Request) -> Result<Option<&str>, problem::Problem> {
    let Some(value) = request.head.headers.get("idempotency-key") else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail =
            format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(problem::Problem::new(problem::Kind::Malformed, detail));
    }
    Ok(Some(key))
}

/// Returns the outcome to record for the claim.
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

/// Returns the stored response of the first request with the key, marked as a replay.
fn replayed_response(status: u16, content_type: &str, body: Vec<u8>) -> http::Response<Bytes> {
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

/// Returns the backend server's response without [`UNFORWARDED_HEADERS`].
fn forwarded_response(head: &http::response::Parts, body: Bytes) -> http::Response<Bytes> {
    let mut builder = http::Response::builder().status(head.status);
    for (name, value) in &head.headers {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            builder = builder.header(name, value);
        }
    }
    builder
        .body(body)
        .expect("the parts of a response are valid")
}

fn failed(outcome: Outcome, detail: String) -> Attempt {
    Attempt::Failed { outcome, detail }
}

/// Returns the outcome of an exchange that failed.
fn outcome_of(error: &client::Error) -> Outcome {
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
