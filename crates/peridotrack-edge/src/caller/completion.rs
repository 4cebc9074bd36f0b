//! Serves one chat completion: reserve, dispatch, forward, settle, bill.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use peridotrack_budget::refusal;
use peridotrack_http::{client, server};
use peridotrack_kernel::{clock, event};
use peridotrack_once::usage;
use peridotrack_route::event::{Offer, Outcome, Target};
use peridotrack_types::{name, problem};

use super::{
    answer,
    chat::Chat,
    server::{Call, Services},
};
use crate::{budget, engine, route};

/// Longest wait of a request for tokens that are being drawn, in microseconds.
const RESERVE_US: u64 = 2 * clock::US_PER_S;
/// Longest wait for an engine to say what a cancelled stream spent, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 500;

/// One chat completion on its way.
struct Completion<'a> {
    services: &'a Services,
    call: &'a Call,
    budgets: Vec<name::Budget>,
    chat: Chat,
    billing_key: String,
    body: Bytes,
    reservation: Option<Held>,
    forwarded: Forwarded,
}

/// Tokens that are reserved for the current attempt.
struct Held {
    reservation: budget::Reservation,
    /// Whether a byte may have reached an engine, so that the tokens may be spent.
    is_exposed: bool,
}

/// Tokens that were settled for an attempt.
#[derive(Debug, Clone)]
struct Settled {
    budget: name::Budget,
    spent_tokens: u64,
}

/// What has reached the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forwarded {
    /// Nothing.
    Nothing,
    /// The head and some events.
    Part,
}

/// How an attempt on an engine ended.
enum Attempt {
    /// The answer is whole; this is what is left to send.
    Whole {
        usage: Option<engine::Usage>,
        rest: Rest,
    },
    /// The engine failed.
    Failed { outcome: Outcome, detail: String },
    /// The engine answered with an error of its own.
    Rejected { response: http::Response<Bytes> },
    /// The caller went away.
    CallerGone { usage: Option<engine::Usage> },
}

/// The part of an answer that waits for its usage record.
enum Rest {
    /// Whole body.
    Body(Bytes),
    /// Last events of a stream.
    Tail(Vec<u8>),
}

/// Serves a chat completion request.
pub(super) async fn serve(
    services: &Services,
    call: &Call,
    connection: &mut server::Connection,
    request: server::Request,
) -> Result<(), server::Error> {
    let completion = match Completion::new(services, call, &request) {
        Ok(completion) => completion,
        Err(problem) => {
            return connection.respond(call.refuse(services, problem)).await;
        }
    };
    completion.run(connection).await
}

impl<'a> Completion<'a> {
    fn new(
        services: &'a Services,
        call: &'a Call,
        request: &server::Request,
    ) -> Result<Self, problem::Problem> {
        let config = services.config.current();
        let chat = Chat::parse(&request.body, &config.rules.limits)
            .map_err(|error| problem::Problem::new(problem::Kind::Malformed, error.to_string()))?;
        let is_served = config
            .register
            .engines
            .iter()
            .any(|engine| engine.models.contains(&chat.model));
        if !is_served {
            let detail = format!("no engine serves model {:?}", chat.model.as_str());
            return Err(problem::Problem::new(problem::Kind::NotFound, detail));
        }
        let budgets: Vec<name::Budget> = config
            .rules
            .budgets_for(&call.account, &chat.model)
            .map(|budget| budget.name.clone())
            .collect();
        if budgets.is_empty() {
            let detail = "no budget of this client account pays for the model";
            return Err(problem::Problem::new(problem::Kind::Forbidden, detail));
        }
        let key = request
            .head
            .headers
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok());
        let billing_key = usage::key_of(&call.account, key, call.request_id);
        let priority = config
            .rules
            .priority(&call.account, Some(&chat.model), None);
        let body = chat.clone().forward(priority);
        Ok(Self {
            services,
            call,
            budgets,
            chat,
            billing_key,
            body,
            reservation: None,
            forwarded: Forwarded::Nothing,
        })
    }

    async fn run(mut self, connection: &mut server::Connection) -> Result<(), server::Error> {
        if let Err(problem) = self.reserve().await {
            return self.refuse(connection, problem).await;
        }
        let mut ticket = self.services.route.offer(self.offer());
        let mut stream = engine::Stream::new(self.call.request_id);
        loop {
            let step = monoio::select! {
                step = ticket.next() => step,
                () = connection.closed() => {
                    ticket.finished(Outcome::Cancelled);
                    return self.caller_gone(None).await;
                }
            };
            let (address, backend_server, resume) = match step {
                route::Step::Dispatch {
                    backend_server,
                    address,
                    ..
                } => {
                    stream = engine::Stream::new(self.call.request_id);
                    (address, backend_server, None)
                }
                route::Step::Resume {
                    backend_server,
                    address,
                    offset_events,
                } => {
                    stream.resume();
                    (address, backend_server, Some(offset_events))
                }
                route::Step::Refuse {
                    kind,
                    retry_after_ms,
                } => {
                    let problem = problem::Problem::new(kind, "no backend server answered in time")
                        .retry_after_ms(retry_after_ms);
                    return self.refuse(connection, problem).await;
                }
            };
            if self.reservation.is_none()
                && let Err(problem) = self.reserve().await
            {
                ticket.finished(Outcome::Cancelled);
                return self.refuse(connection, problem).await;
            }
            self.note_dispatch(&backend_server, resume);
            let attempt = self
                .attempt(connection, &mut ticket, &mut stream, address, resume)
                .await;
            match attempt {
                Attempt::Whole { usage, rest } => {
                    ticket.finished(Outcome::Done);
                    return self.complete(connection, usage, rest).await;
                }
                Attempt::Rejected { response } => {
                    ticket.finished(Outcome::Done);
                    self.reservation_unused();
                    self.release();
                    return connection.respond(response).await;
                }
                Attempt::CallerGone { usage } => {
                    ticket.finished(Outcome::Cancelled);
                    return self.caller_gone(usage).await;
                }
                Attempt::Failed { outcome, detail } => {
                    self.attempt_failed(&mut ticket, &backend_server, outcome, &detail);
                }
            }
        }
    }

    fn offer(&self) -> Offer {
        let config = self.services.config.current();
        let model = self.chat.model.clone();
        Offer {
            request_id: self.call.request_id,
            account: self.call.account.clone(),
            priority: config
                .rules
                .priority(&self.call.account, Some(&model), None),
            target: Target::Model(model),
            prefix_hash: Some(self.chat.prefix_hash),
            size_tokens: self.chat.bound_tokens(),
            deadline_us: self.call.deadline_us,
            idempotent: true,
        }
    }

    fn note_dispatch(&self, backend_server: &name::BackendServer, resume: Option<u64>) {
        let kind = match resume {
            Some(_) => event::Kind::StreamResumed,
            None => event::Kind::RequestDispatched,
        };
        let event = event::Event::new(kind)
            .with("backend_server", backend_server.as_str())
            .with("offset_events", resume.unwrap_or_default());
        self.call.note(&self.services.kernel, event);
    }
}

/// Tokens.
impl Completion<'_> {
    async fn reserve(&mut self) -> Result<(), problem::Problem> {
        let tokens = self.chat.bound_tokens();
        let deadline_us = self
            .call
            .deadline_us
            .min(self.services.kernel.now_us() + RESERVE_US);
        let reserved = self
            .services
            .budget
            .reserve(&self.budgets, tokens, deadline_us)
            .await;
        let reservation = reserved.map_err(|refusal| refused(refusal, tokens))?;
        let event = event::Event::new(event::Kind::RequestReserved)
            .with("budget", reservation.budget.as_str())
            .with("bound_tokens", tokens);
        self.call.note(&self.services.kernel, event);
        self.reservation = Some(Held {
            reservation,
            is_exposed: false,
        });
        Ok(())
    }

    /// Says that a byte may have reached an engine.
    fn reservation_exposed(&mut self) {
        if let Some(held) = &mut self.reservation {
            held.is_exposed = true;
        }
    }

    /// Says that the engine proved that it did not run the request.
    fn reservation_unused(&mut self) {
        if let Some(held) = &mut self.reservation {
            held.is_exposed = false;
        }
    }

    /// Settles what an attempt spent; the bound if the engine did not say.
    fn settle(&mut self, usage: Option<engine::Usage>) -> Option<Settled> {
        let reservation = self.reservation.take()?.reservation;
        let spent_tokens = usage.map_or(reservation.bound_tokens, engine::Usage::total_tokens);
        self.services.budget.settle(&reservation, spent_tokens);
        self.services.metrics.settled_tokens.increment(spent_tokens);
        let event = event::Event::new(event::Kind::RequestSettled)
            .with("budget", reservation.budget.as_str())
            .with("spent_tokens", spent_tokens)
            .with("is_bound", usage.is_none());
        self.call.note(&self.services.kernel, event);
        Some(Settled {
            budget: reservation.budget,
            spent_tokens,
        })
    }

    /// Settles the bound of a failed attempt; tokens that no engine saw stay reserved.
    fn release_for_retry(&mut self) -> Option<Settled> {
        if self.reservation.as_ref()?.is_exposed {
            self.settle(None)
        } else {
            None
        }
    }

    /// Frees the reservation, or settles its bound if the tokens may be spent.
    fn release(&mut self) -> Option<Settled> {
        if self.reservation.as_ref()?.is_exposed {
            return self.settle(None);
        }
        let held = self.reservation.take()?;
        self.services.budget.cancel(&held.reservation);
        None
    }

    /// Bills what was settled and waits until the record is safe.
    async fn bill(&self, settled: Settled, usage: Option<engine::Usage>, is_final: bool) {
        let wall_us = self.services.kernel.now_us() - self.call.arrived_us;
        let usage = usage.unwrap_or_default();
        let record = usage::Record {
            account: self.call.account.clone(),
            key: self.billing_key.clone(),
            budget: settled.budget,
            model: self.chat.model.clone(),
            request_id: self.call.request_id,
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            settled_tokens: settled.spent_tokens,
            wall_time_ms: wall_us / clock::US_PER_MS,
            is_final,
        };
        self.services.usage.record(record).await;
    }
}

/// Ends.
impl Completion<'_> {
    async fn refuse(
        mut self,
        connection: &mut server::Connection,
        mut problem: problem::Problem,
    ) -> Result<(), server::Error> {
        if let Some(settled) = self.release() {
            problem.ran = problem::Ran::Unknown;
            self.bill(settled, None, false).await;
        }
        let response = self.call.refuse(self.services, problem);
        match self.forwarded {
            Forwarded::Nothing => connection.respond(response).await,
            Forwarded::Part => {
                let event = event::Event::new(event::Kind::RequestCut);
                self.call.note(&self.services.kernel, event);
                Err(server::Error::OutOfOrder {
                    peer: connection.peer(),
                })
            }
        }
    }

    async fn complete(
        mut self,
        connection: &mut server::Connection,
        usage: Option<engine::Usage>,
        rest: Rest,
    ) -> Result<(), server::Error> {
        if let Some(settled) = self.settle(usage) {
            self.bill(settled, usage, true).await;
        }
        let result = match rest {
            Rest::Body(body) => {
                let mut response = answer::json(200, body);
                let request_id = self.call.request_id.to_string();
                if let Ok(value) = request_id.parse() {
                    response
                        .headers_mut()
                        .insert(engine::REQUEST_ID_HEADER, value);
                }
                connection.respond(response).await
            }
            Rest::Tail(tail) => {
                connection.write(tail.into()).await?;
                connection.finish().await
            }
        };
        let kind = match result {
            Ok(()) => event::Kind::RequestCompleted,
            Err(_) => event::Kind::RequestCancelled,
        };
        self.call
            .note(&self.services.kernel, event::Event::new(kind));
        self.services.metrics.completed.increment(1);
        result
    }

    async fn caller_gone(mut self, usage: Option<engine::Usage>) -> Result<(), server::Error> {
        self.call.note(
            &self.services.kernel,
            event::Event::new(event::Kind::RequestCancelled),
        );
        let settled = match usage {
            Some(_) => self.settle(usage),
            None => self.release(),
        };
        if let Some(settled) = settled {
            self.bill(settled, usage, false).await;
        }
        Ok(())
    }

    /// Settles a failed attempt, unless its stream may still be resumed, and tells the router.
    fn attempt_failed(
        &mut self,
        ticket: &mut route::Ticket,
        backend_server: &name::BackendServer,
        outcome: Outcome,
        detail: &str,
    ) {
        let event = event::Event::new(event::Kind::AttemptFailed)
            .with("backend_server", backend_server.as_str())
            .with("detail", detail);
        self.call.note(&self.services.kernel, event);
        self.services.metrics.failed_attempts.increment(1);
        match outcome {
            Outcome::RefusedNotRun => self.reservation_unused(),
            // The next attempt needs tokens of its own, unless it resumes this stream.
            _ if self.forwarded == Forwarded::Nothing => drop(self.release_for_retry()),
            _ => {}
        }
        ticket.finished(outcome);
    }
}

/// Attempts.
impl Completion<'_> {
    async fn attempt(
        &mut self,
        connection: &mut server::Connection,
        ticket: &mut route::Ticket,
        stream: &mut engine::Stream,
        address: SocketAddr,
        resume: Option<u64>,
    ) -> Attempt {
        let mut backend = match self.services.pool.take(address).await {
            Ok(backend) => backend,
            Err(error) => return failed(Outcome::ConnectFailed, error.to_string()),
        };
        let request = match resume {
            Some(offset) => engine::resume_request(address, self.call.request_id, offset),
            None => engine::completion_request(address, self.call.request_id, self.body.clone()),
        };
        ticket.sent();
        self.reservation_exposed();
        let sent = monoio::select! {
            sent = backend.send(request) => sent,
            () = connection.closed() => return self.cancel(address).await,
        };
        let events_seen = stream.events_seen();
        let head = match sent {
            Ok(head) => head,
            Err(error) => return failed(broken(&error, events_seen), error.to_string()),
        };
        let attempt = if let Some(attempt) = self.unusual(&mut backend, &head, events_seen).await {
            attempt
        } else if self.chat.is_stream {
            self.forward(connection, ticket, &mut backend, stream, address)
                .await
        } else {
            self.collect(connection, ticket, &mut backend, address)
                .await
        };
        if backend.is_reusable() {
            self.services.pool.put(backend);
        }
        attempt
    }

    /// Handles every head but that of this request's answer.
    async fn unusual(
        &self,
        backend: &mut client::Connection,
        head: &http::response::Parts,
        events_seen: u64,
    ) -> Option<Attempt> {
        if engine::is_not_run(head) {
            let _ = backend.read_body().await;
            return Some(failed(
                Outcome::RefusedNotRun,
                "the engine refused".to_owned(),
            ));
        }
        let broken = Outcome::Broken {
            sent: true,
            events_seen,
        };
        if let Err(error) = engine::check_head(head, self.call.request_id) {
            return Some(failed(broken, error.to_string()));
        }
        if head.status.is_client_error() && self.forwarded == Forwarded::Nothing {
            let body = backend.read_body().await.ok()?;
            let status = head.status.as_u16();
            return Some(Attempt::Rejected {
                response: answer::json(status, body),
            });
        }
        if !head.status.is_success() {
            return Some(failed(broken, format!("status {}", head.status)));
        }
        None
    }

    /// Reads a whole answer.
    async fn collect(
        &self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        backend: &mut client::Connection,
        address: SocketAddr,
    ) -> Attempt {
        let read = monoio::select! {
            read = backend.read_body() => read,
            () = connection.closed() => return self.cancel(address).await,
        };
        ticket.first_token();
        let body = match read {
            Ok(body) => body,
            Err(error) => return failed(broken(&error, 0), error.to_string()),
        };
        match engine::check_whole(&body, self.call.request_id) {
            Ok(usage) => Attempt::Whole {
                usage,
                rest: Rest::Body(body),
            },
            Err(error) => failed(
                Outcome::Broken {
                    sent: true,
                    events_seen: 0,
                },
                error.to_string(),
            ),
        }
    }

    /// Forwards a stream, event by event, and holds its tail back.
    async fn forward(
        &mut self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        backend: &mut client::Connection,
        stream: &mut engine::Stream,
        address: SocketAddr,
    ) -> Attempt {
        let mut tail = Vec::new();
        loop {
            let chunk = monoio::select! {
                chunk = backend.next_chunk() => chunk,
                () = connection.closed() => return self.cancel(address).await,
            };
            let events_seen = stream.events_seen();
            let is_whole = match chunk {
                Err(error) => return failed(broken(&error, events_seen), error.to_string()),
                Ok(None) => true,
                Ok(Some(chunk)) => {
                    let mut out = Vec::new();
                    let checked = stream.push(&chunk, &mut out, &mut tail);
                    if !out.is_empty() && self.send(connection, ticket, out).await.is_err() {
                        return self.cancel(address).await;
                    }
                    if let Err(error) = checked {
                        let outcome = Outcome::Broken {
                            sent: true,
                            events_seen: stream.events_seen(),
                        };
                        return failed(outcome, error.to_string());
                    }
                    false
                }
            };
            if is_whole {
                return match stream.finish() {
                    Ok(()) => Attempt::Whole {
                        usage: stream.usage(),
                        rest: Rest::Tail(tail),
                    },
                    Err(error) => failed(
                        Outcome::Broken {
                            sent: true,
                            events_seen,
                        },
                        error.to_string(),
                    ),
                };
            }
        }
    }

    /// Sends events to the caller, before the first of them the head.
    async fn send(
        &mut self,
        connection: &mut server::Connection,
        ticket: &route::Ticket,
        events: Vec<u8>,
    ) -> Result<(), server::Error> {
        if self.forwarded == Forwarded::Nothing {
            let head = http::Response::builder()
                .status(200)
                .header("content-type", "text/event-stream")
                .header("cache-control", "no-store")
                .header(engine::REQUEST_ID_HEADER, self.call.request_id.to_string())
                .body(())
                .expect("the parts of a stream's head are valid");
            connection.start(head).await?;
            self.forwarded = Forwarded::Part;
            ticket.first_token();
            let elapsed_us = self.services.kernel.now_us() - self.call.arrived_us;
            let event = event::Event::new(event::Kind::RequestAnswering);
            self.call
                .note(&self.services.kernel, event.with("elapsed_us", elapsed_us));
            self.services
                .metrics
                .first_token
                .record(Duration::from_micros(elapsed_us).as_secs_f64());
        }
        connection.write(events.into()).await
    }

    /// Cancels the stream at the engine and learns what it spent.
    async fn cancel(&self, address: SocketAddr) -> Attempt {
        let request = engine::cancel_request(address, self.call.request_id);
        let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
        let fetch = self.services.pool.fetch(address, request);
        let usage = match monoio::time::timeout(timeout, fetch).await {
            Ok(Ok(response)) if response.status().is_success() => {
                engine::check_whole(response.body(), self.call.request_id)
                    .ok()
                    .flatten()
            }
            _ => None,
        };
        Attempt::CallerGone { usage }
    }
}

fn failed(outcome: Outcome, detail: String) -> Attempt {
    Attempt::Failed { outcome, detail }
}

fn broken(error: &client::Error, events_seen: u64) -> Outcome {
    match error.kind {
        client::Kind::TimedOut => Outcome::Timeout {
            sent: error.bytes_written,
        },
        _ => Outcome::Broken {
            sent: error.bytes_written,
            events_seen,
        },
    }
}

/// Returns the problem for a refused reservation.
fn refused(refusal: refusal::Refusal, tokens: u64) -> problem::Problem {
    let (kind, detail) = match refusal.kind {
        refusal::Kind::Exhausted => (
            problem::Kind::BudgetExhausted,
            format!("no budget has {tokens} tokens left"),
        ),
        refusal::Kind::Waiting | refusal::Kind::Unavailable => (
            problem::Kind::BudgetUnavailable,
            format!("{tokens} tokens cannot be drawn now"),
        ),
    };
    problem::Problem::new(kind, detail).retry_after_ms(refusal.retry_after_ms)
}
