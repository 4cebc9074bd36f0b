//! Serves one chat completion: reserves tokens, dispatches, forwards, settles and bills.
//!
//! An attempt's tokens are reserved before a byte is sent to an engine. Once a byte may have
//! reached it, they are settled at what the engine reports, or at the reserved bound.

mod attempt;
mod tokens;

use attempt::{Attempt, Withheld};
use bytes::Bytes;
use peridotrack_http::server;
use peridotrack_kernel::event;
use peridotrack_once::usage;
use peridotrack_route::event::{Continuation, Offer, Outcome, Target};
use peridotrack_types::{name, problem};
use tokens::HeldReservation;

use super::{
    chat::Chat,
    response,
    server::{Call, Services},
};
use crate::{engine, route, stopping};

/// One chat completion that is being served.
struct Completion<'a> {
    services: &'a Services,
    call: &'a Call,
    /// Budgets that may pay for the model, in the order of the rules.
    budgets: Vec<name::Budget>,
    chat: Chat,
    /// Key of the usage record: the digest of the idempotency key, or the request identifier.
    billing_key: String,
    /// Body to forward to the engine.
    body: Bytes,
    /// Reservation of the current attempt; reused by the next one unless a byte may have reached an
    /// engine.
    reservation: Option<HeldReservation>,
    forwarded: Forwarded,
    /// Whether an earlier attempt, already settled, may have run.
    may_have_run: bool,
}

/// What has been sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Forwarded {
    /// Nothing was sent; any response is still possible.
    Nothing,
    /// The head and some events were sent; only a resumed stream can complete the response.
    Part,
}

/// Serves a chat completion request and sends its response.
pub(super) async fn serve(
    services: &Services,
    call: &Call,
    connection: &mut server::Connection,
    request: server::Request,
) -> Result<(), server::Error> {
    let completion = match Completion::new(services, call, &request) {
        Ok(completion) => completion,
        Err(problem) => {
            let response = call.refuse(services, problem);
            return services.respond(connection, response).await;
        }
    };
    completion.run(connection).await
}

impl<'a> Completion<'a> {
    /// Validates a request and finds the budgets that may pay for it.
    fn new(
        services: &'a Services,
        call: &'a Call,
        request: &server::Request,
    ) -> Result<Self, problem::Problem> {
        let config = services.config.current();
        let chat = Chat::parse(&request.body, &config.rules.limits)
            .map_err(|error| problem::Problem::new(problem::Kind::Malformed, error.to_string()))?;
        if chat.is_stream {
            response::check_stream_version(request.head.version)?;
        }
        let is_served = config
            .register
            .engines
            .iter()
            .any(|engine| engine.models.contains(&chat.model));
        if !is_served {
            let detail = format!("no engine serves model {:?}", chat.model.as_str());
            return Err(problem::Problem::new(problem::Kind::NotFound, detail));
        }
        let budgets: Vec<name::Budget> = services
            .config
            .budgets()
            .budgets_for(&config.rules, &call.account, &chat.model)
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
        let billing_key = usage::request_key(&call.account, key, call.request_id);
        let priority = config
            .rules
            .priority(&call.account, Some(&chat.model), None);
        let body = chat.clone().into_forwarded_body(priority);
        Ok(Self {
            services,
            call,
            budgets,
            chat,
            billing_key,
            body,
            reservation: None,
            forwarded: Forwarded::Nothing,
            may_have_run: false,
        })
    }

    /// Makes the attempts that the routing service requests until one ends the request.
    async fn run(mut self, connection: &mut server::Connection) -> Result<(), server::Error> {
        let (services, target) = (self.services, self.target());
        if !self.call.is_begun(services, &target) {
            return self.refuse(connection, stopping::refusal(false)).await;
        }
        if let Err(problem) = self.reserve_before_stop().await {
            return self.refuse(connection, problem).await;
        }
        let tracked = services.stopping.track(&target, self.call.arrived_us);
        let mut ticket = self.services.route.offer(self.offer());
        let mut stream = engine::Stream::new(self.call.request_id);
        loop {
            let step = monoio::select! {
                biased;
                () = self.call.refused_at_stop(services, &target),
                    if self.forwarded == Forwarded::Nothing =>
                {
                    ticket.finished(Outcome::Cancelled);
                    let problem = stopping::refusal(self.may_have_run());
                    return self.refuse(connection, problem).await;
                }
                step = ticket.next() => step,
                () = connection.closed() => {
                    ticket.finished(Outcome::Cancelled);
                    return self.caller_disconnected(None).await;
                }
            };
            let (address, backend_server, resume_offset) = match step {
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
                && let Err(problem) = self.reserve_before_stop().await
            {
                ticket.finished(Outcome::Cancelled);
                return self.refuse(connection, problem).await;
            }
            self.note_dispatch(&backend_server, resume_offset);
            tracked.sent();
            let attempt = self
                .attempt(connection, &mut ticket, &mut stream, address, resume_offset)
                .await;
            match attempt {
                Attempt::Complete { usage, withheld } => {
                    ticket.finished(Outcome::Done);
                    return self.complete(connection, usage, withheld).await;
                }
                Attempt::Rejected { response } => {
                    ticket.finished(Outcome::Done);
                    self.mark_reservation_unused();
                    self.cancel_or_settle();
                    return services.respond(connection, response).await;
                }
                Attempt::Stopped { usage } => {
                    ticket.finished(Outcome::Cancelled);
                    return self.unanswered(connection, usage).await;
                }
                Attempt::CallerDisconnected { usage } => {
                    ticket.finished(Outcome::Cancelled);
                    return self.caller_disconnected(usage).await;
                }
                Attempt::Failed { outcome, detail } => {
                    self.attempt_failed(&mut ticket, &backend_server, outcome, &detail);
                }
            }
        }
    }

    /// Returns what the request is addressed to.
    fn target(&self) -> Target {
        Target::Model(self.chat.model.clone())
    }

    /// Returns the offer from which the routing service chooses an engine.
    fn offer(&self) -> Offer {
        let config = self.services.config.current();
        let model = self.chat.model.clone();
        Offer {
            request_id: self.call.request_id,
            account: self.call.account.clone(),
            priority: config
                .rules
                .priority(&self.call.account, Some(&model), None),
            target: self.target(),
            prefix_hash: Some(self.chat.prefix_hash),
            size_tokens: self.chat.bound_tokens(),
            deadline_us: self.call.deadline_us,
            idempotent: true,
            continuation: Continuation::default(),
            max_dispatches: None,
            origin: None,
            prompt: None,
        }
    }

    fn note_dispatch(&self, backend_server: &name::BackendServer, resume_offset: Option<u64>) {
        let kind = match resume_offset {
            Some(_) => event::Kind::StreamResumed,
            None => event::Kind::RequestDispatched,
        };
        let event = event::Event::new(kind)
            .with("backend_server", backend_server.as_str())
            .with("offset_events", resume_offset.unwrap_or_default());
        self.call.note(&self.services.kernel, event);
    }
}

/// Ends a request or a failed attempt: settles its tokens and sends the rest of the response.
impl Completion<'_> {
    /// Refuses the request, or drops the connection if part of a stream was already sent.
    async fn refuse(
        mut self,
        connection: &mut server::Connection,
        mut problem: problem::Problem,
    ) -> Result<(), server::Error> {
        let settled = self.cancel_or_settle();
        if settled.is_some() || self.may_have_run {
            problem.ran = problem::Ran::Unknown;
        }
        if let Some(settled) = settled {
            self.bill(settled, None, false).await;
        }
        let response = self.call.refuse(self.services, problem);
        match self.forwarded {
            Forwarded::Nothing => self.services.respond(connection, response).await,
            // Without the last chunk the caller sees that the stream is truncated.
            Forwarded::Part => {
                let event = event::Event::new(event::Kind::RequestCut);
                self.call.note(&self.services.kernel, event);
                Err(server::Error::OutOfOrder {
                    peer: connection.peer(),
                })
            }
        }
    }

    /// Settles and bills, then sends the withheld part of the response.
    async fn complete(
        mut self,
        connection: &mut server::Connection,
        usage: Option<engine::Usage>,
        withheld: Withheld,
    ) -> Result<(), server::Error> {
        if let Some(settled) = self.settle(usage) {
            self.bill(settled, usage, true).await;
        }
        let result = match withheld {
            Withheld::Body(body) => {
                let mut response = response::json(200, body);
                let request_id = self.call.request_id.to_string();
                if let Ok(value) = request_id.parse() {
                    response
                        .headers_mut()
                        .insert(engine::REQUEST_ID_HEADER, value);
                }
                self.services.respond(connection, response).await
            }
            Withheld::Tail(tail) => {
                if self.forwarded == Forwarded::Nothing {
                    let head = self.stream_head(connection);
                    connection.start(head).await?;
                }
                connection.finish_with(tail.into()).await
            }
        };
        match result {
            Ok(()) => self.call.complete(self.services),
            Err(_) => {
                let event = event::Event::new(event::Kind::RequestCancelled);
                self.call.note(&self.services.kernel, event);
            }
        }
        result
    }

    /// Returns the head of a stream, with `Connection: close` if the router is stopping.
    fn stream_head(&self, connection: &server::Connection) -> http::Response<()> {
        let head = response::stream_head(self.call.request_id);
        self.services.stopping.announce(connection, head)
    }

    /// Ends a request of which nothing was forwarded when the stop ended.
    async fn unanswered(
        mut self,
        connection: &mut server::Connection,
        usage: Option<engine::Usage>,
    ) -> Result<(), server::Error> {
        let problem = stopping::unanswered(self.may_have_run());
        if usage.is_some()
            && let Some(settled) = self.settle(usage)
        {
            self.bill(settled, usage, false).await;
            self.may_have_run = true;
        }
        self.refuse(connection, problem).await
    }

    /// Settles and bills a request whose caller closed the connection.
    async fn caller_disconnected(
        mut self,
        usage: Option<engine::Usage>,
    ) -> Result<(), server::Error> {
        self.call.note(
            &self.services.kernel,
            event::Event::new(event::Kind::RequestCancelled),
        );
        let settled = match usage {
            Some(_) => self.settle(usage),
            None => self.cancel_or_settle(),
        };
        if let Some(settled) = settled {
            self.bill(settled, usage, false).await;
        }
        Ok(())
    }

    /// Settles a failed attempt, unless its stream may still be resumed, and reports its outcome to
    /// the routing service.
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
            // Once events were forwarded, the refusal is of a resumption: the engine ran the
            // request, so its tokens stay exposed.
            Outcome::RefusedNotRun if self.forwarded == Forwarded::Nothing => {
                self.mark_reservation_unused();
            }
            // The next attempt needs its own reservation, unless it resumes this stream.
            _ if self.forwarded == Forwarded::Nothing => {
                self.may_have_run |= self.settle_for_retry().is_some();
            }
            _ => {}
        }
        ticket.finished(outcome);
    }
}
