//! One request of a client, from its arrival to its final answer.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use peridotrack_budget::refusal;
use peridotrack_http::server;
use peridotrack_kernel::{clock, event};
use peridotrack_platform::request as wire;
use peridotrack_route::{
    event::{Continuation, Offer, Outcome, Target},
    prefill,
};
use peridotrack_types::{id, name, problem, rules, site};

use super::{
    Shared, answer,
    attempt::{self, Attempt},
    site::InForce,
    stream,
};
use crate::{budget, route};

/// Part of the objective that drawing tokens may take.
const DRAW_PART: u64 = 2;
/// When to come back after tokens could not be drawn in time, in milliseconds: the ledger is
/// contended for about as long after many routers started at once.
const DRAW_RETRY_MS: u64 = 1_000;
/// Shortest time that drawing tokens may take, in microseconds: one call of a slow store.
const DRAW_MIN_US: u64 = 100 * clock::US_PER_MS;
/// When a client may come back while the gateway has no configuration, in milliseconds.
const STARTING_RETRY_MS: u64 = 500;
/// Ranks from this one on are of low priority.
const LOW_RANK: u32 = 2;

/// Why an exchange left no connection to go on with.
#[derive(Debug)]
pub(super) enum Ended {
    /// The answer broke off, or the client left.
    Cut,
    /// The client's connection failed.
    Connection,
}

impl From<server::Error> for Ended {
    fn from(_: server::Error) -> Self {
        Self::Connection
    }
}

/// One request on its way.
pub(super) struct Call {
    pub(super) request_id: id::Request,
    pub(super) current: Rc<InForce>,
    pub(super) route: usize,
    pub(super) account: Option<name::ClientAccount>,
    pub(super) facts: wire::Facts,
    pub(super) request: server::Request,
    pub(super) arrived_us: u64,
    pub(super) deadline_us: u64,
    service: name::Service,
    has_budget: bool,
    priority: rules::Priority,
    cause: Cell<u64>,
}

impl Call {
    pub(super) fn route(&self) -> &site::Route {
        &self.current.site.routes[self.route]
    }

    /// Returns what the request's engines are like, `None` for a plain service.
    pub(super) fn engine(&self) -> Option<site::Engine> {
        let mut services = self.current.site.services.iter();
        services
            .find(|service| service.name == self.service)?
            .engine
    }

    pub(super) fn left_us(&self, shared: &Shared) -> u64 {
        self.deadline_us.saturating_sub(shared.kernel.now_us())
    }

    /// Records an event of this request, caused by the one before it.
    pub(super) fn note(&self, shared: &Shared, event: event::Event) {
        let event = event.request(self.request_id).cause(self.cause.get());
        self.cause.set(shared.kernel.note(event));
    }
}

/// Serves one request; the connection can go on if this succeeds.
pub(super) async fn serve(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: server::Request,
) -> Result<(), Ended> {
    let call = match accept(shared, request) {
        Ok(call) => call,
        Err(problem) => return refuse(shared, connection, None, &problem).await,
    };
    let drawn = monoio::select! {
        drawn = pay(shared, &call) => drawn,
        () = connection.closed() => return cancelled(shared, &call),
    };
    match drawn {
        Ok(payment) => forward(shared, connection, &call, &payment).await,
        Err(problem) => refuse(shared, connection, Some(&call), &problem).await,
    }
}

/// Finds the route and the client account of a request.
fn accept(shared: &Rc<Shared>, request: server::Request) -> Result<Call, problem::Problem> {
    let arrived_us = shared.kernel.now_us();
    let Some(current) = shared.site.get() else {
        let kind = problem::Kind::NoBackendServer;
        return Err(problem::Problem::new(kind, "no configuration is known yet")
            .retry_after_ms(STARTING_RETRY_MS));
    };
    let headers = &request.head.headers;
    let host = headers
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let path = request.head.uri.path();
    let route = current.index.route(host, path).ok_or_else(|| {
        let detail = format!("no route for host {host:?} and path {path:?}");
        problem::Problem::new(problem::Kind::NotFound, detail)
    })?;
    let position = wire::key(headers).and_then(|key| current.index.account(key));
    let found = &current.site.routes[route];
    let needs_key = !current.site.client_accounts.is_empty() && !found.is_public;
    if needs_key && position.is_none() {
        let kind = problem::Kind::Unauthorized;
        return Err(problem::Problem::new(kind, "the key is missing or unknown"));
    }
    let account = position.map(|position| &current.site.client_accounts[position]);
    let facts = wire::Facts::decode(headers);
    let limit_ms = facts
        .patience_ms
        .map_or(found.timeout_ms, |ms| ms.min(found.timeout_ms));
    let rank = account
        .and_then(|account| account.rank)
        .unwrap_or(found.rank);
    let Some(service) = choose_service(found) else {
        let detail = format!("route {:?} leads to no service", found.name);
        return Err(problem::Problem::new(
            problem::Kind::NoBackendServer,
            detail,
        ));
    };
    shared.sequence.set(shared.sequence.get() + 1);
    let call = Call {
        request_id: id::Request {
            incarnation: shared.incarnation,
            sequence: shared.sequence.get(),
        },
        route,
        account: account.map(|account| account.name.clone()),
        facts,
        arrived_us,
        deadline_us: arrived_us + limit_ms * clock::US_PER_MS,
        service,
        has_budget: account.is_some_and(|account| account.prepaid_tokens.is_some()),
        priority: priority(rank),
        cause: Cell::new(0),
        current: Rc::clone(&current),
        request,
    };
    shared.metrics.accepted.increment(1);
    let event = event::Event::new(event::Kind::RequestAccepted)
        .with("client_request", client_request(&call))
        .with("route", &*call.route().name)
        .with("config_version", current.site.version);
    call.note(shared, event);
    Ok(call)
}

/// Draws one of a route's services by their weights.
fn choose_service(route: &site::Route) -> Option<name::Service> {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut point = match total {
        0 => 0,
        _ => fastrand::u32(..total),
    };
    for share in &route.shares {
        if point < share.weight {
            return Some(share.service.clone());
        }
        point -= share.weight;
    }
    route.shares.first().map(|share| share.service.clone())
}

fn priority(rank: u32) -> rules::Priority {
    match rank {
        0 => rules::Priority::High,
        1..LOW_RANK => rules::Priority::Normal,
        _ => rules::Priority::Low,
    }
}

fn client_request(call: &Call) -> &str {
    call.facts
        .request_id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
}

/// Tokens that are set aside for a request, settled when this is dropped.
pub(super) struct Payment {
    shared: Rc<Shared>,
    reservation: Option<budget::Reservation>,
    prompt_tokens: u64,
    /// Tokens of the answer that went to the client.
    pub(super) delivered_tokens: Cell<u64>,
    /// Whether an earlier attempt may have run.
    has_run: Cell<bool>,
    /// Whether the newest attempt may have run.
    is_in_doubt: Cell<bool>,
}

impl Payment {
    /// Takes note that an attempt is about to be sent.
    pub(super) fn begin_attempt(&self) {
        if self.is_in_doubt.replace(true) {
            self.has_run.set(true);
        }
    }

    /// Takes note of a proof that the newest attempt did not run; earlier ones may have.
    pub(super) fn did_not_run(&self) {
        self.is_in_doubt.set(false);
    }

    /// Returns whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.has_run.get() || self.is_in_doubt.get()
    }
}

impl Drop for Payment {
    fn drop(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        if !self.may_have_run() {
            return self.shared.budget.cancel(reservation);
        }
        let spent_tokens = self.prompt_tokens + self.delivered_tokens.get();
        let spent_tokens = spent_tokens.min(reservation.bound_tokens);
        self.shared.budget.settle(reservation, spent_tokens);
        self.shared.metrics.settled_tokens.increment(spent_tokens);
    }
}

/// Reserves what the request can consume at most.
async fn pay(shared: &Rc<Shared>, call: &Call) -> Result<Payment, problem::Problem> {
    let bound_tokens = call.facts.prompt_tokens + call.facts.max_output_tokens;
    let mut payment = Payment {
        shared: Rc::clone(shared),
        reservation: None,
        prompt_tokens: call.facts.prompt_tokens,
        delivered_tokens: Cell::new(0),
        has_run: Cell::new(false),
        is_in_doubt: Cell::new(false),
    };
    let account = match &call.account {
        Some(account) if call.has_budget && bound_tokens > 0 => account,
        _ => return Ok(payment),
    };
    let budgets = [name::Budget::from(account.as_str())];
    let part_us = call.route().objective_ms * clock::US_PER_MS / DRAW_PART;
    let deadline_us = call.arrived_us + part_us.max(DRAW_MIN_US);
    let reserved = shared
        .budget
        .reserve(&budgets, bound_tokens, deadline_us.min(call.deadline_us))
        .await;
    match reserved {
        Ok(reservation) => {
            payment.reservation = Some(reservation);
            Ok(payment)
        }
        Err(refusal) => {
            let (kind, retry_after_ms) = match refusal.kind {
                refusal::Kind::Exhausted => {
                    (problem::Kind::BudgetExhausted, refusal.retry_after_ms)
                }
                refusal::Kind::Waiting | refusal::Kind::Unavailable => (
                    problem::Kind::BudgetUnavailable,
                    refusal.retry_after_ms.max(DRAW_RETRY_MS),
                ),
            };
            let detail = format!(
                "{bound_tokens} tokens cannot be reserved: {:?}",
                refusal.kind
            );
            Err(problem::Problem::new(kind, detail).retry_after_ms(retry_after_ms))
        }
    }
}

/// Sends the request to backend servers until one answers or none is left to try.
async fn forward(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    call: &Call,
    payment: &Payment,
) -> Result<(), Ended> {
    let mut ticket = shared.route.offer(offer(call));
    let mut progress = stream::Progress::new(call);
    let mut last_answer = None;
    loop {
        let step = monoio::select! {
            step = ticket.next() => step,
            () = connection.closed() => return cancelled(shared, call),
        };
        let (backend_server, address) = match step {
            route::Step::Dispatch {
                backend_server,
                address,
                ..
            }
            | route::Step::Resume {
                backend_server,
                address,
                ..
            } => (backend_server, address),
            route::Step::Refuse {
                kind,
                retry_after_ms,
            } => {
                if progress.has_begun() {
                    return cut(shared, call, "no backend server continues the stream");
                }
                if let Some(response) = last_answer {
                    return respond(shared, connection, response).await;
                }
                let problem = match kind.ran() {
                    problem::Ran::No => problem::Problem::new(kind, "no backend server took it")
                        .retry_after_ms(retry_after_ms),
                    problem::Ran::Unknown if call.left_us(shared) == 0 => answer::timed_out(),
                    problem::Ran::Unknown => problem::Problem::new(kind, "the attempt failed"),
                };
                return refuse(shared, connection, Some(call), &problem).await;
            }
        };
        let event = event::Event::new(event::Kind::RequestDispatched)
            .with("backend_server", backend_server.as_str());
        call.note(shared, event);
        let target = attempt::Target {
            backend_server,
            address,
        };
        let attempt = attempt::Run {
            shared,
            call,
            payment,
            target: &target,
            ticket: &ticket,
        };
        match attempt.run(connection, &mut progress).await {
            Attempt::Answered(response) => {
                ticket.finished(Outcome::Done);
                note_completed(shared, call, &target, &progress);
                return respond(shared, connection, response).await;
            }
            Attempt::Streamed => {
                ticket.finished(Outcome::Done);
                note_completed(shared, call, &target, &progress);
                return Ok(());
            }
            Attempt::ClientLeft => {
                ticket.finished(Outcome::Cancelled);
                return cancelled(shared, call);
            }
            Attempt::Failed {
                outcome,
                detail,
                answer,
            } => {
                let event = event::Event::new(event::Kind::AttemptFailed)
                    .with("backend_server", target.backend_server.as_str())
                    .with("outcome", format!("{outcome:?}"))
                    .with("detail", detail);
                call.note(shared, event);
                shared.metrics.failed_attempts.increment(1);
                last_answer = answer;
                ticket.finished(outcome);
            }
        }
    }
}

fn offer(call: &Call) -> Offer {
    let route = call.route();
    let target = match call.engine() {
        Some(_) => Target::Model(call.service.as_str().into()),
        None => Target::Service(call.service.clone()),
    };
    let is_resumable = route.repetition == site::Repetition::ResumableStream;
    let account = call.account.clone();
    let prompt = prompt(&call.facts);
    Offer {
        request_id: call.request_id,
        target,
        account: account.unwrap_or_else(|| "".into()),
        priority: call.priority,
        prefix_hash: prompt.as_ref().and_then(prefill::Prompt::shared_id),
        prompt,
        size_tokens: (call.facts.prompt_tokens + call.facts.max_output_tokens).max(1),
        deadline_us: call.deadline_us,
        idempotent: is_resumable || route.repetition == site::Repetition::Idempotent,
        continuation: match is_resumable {
            true => Continuation::AnyServer,
            false => Continuation::SameServer,
        },
        max_dispatches: Some(route.max_attempts),
    }
}

/// Returns the prompt of a request that states its parts.
fn prompt(facts: &wire::Facts) -> Option<prefill::Prompt> {
    let part = |part: &wire::PromptPart| prefill::Part {
        id: part.id,
        tokens: part.tokens,
    };
    (!facts.prompt_parts.is_empty()).then(|| prefill::Prompt {
        parts: facts.prompt_parts.iter().map(part).collect(),
        tokens: facts.prompt_tokens,
    })
}

/// Records that the request was answered whole, with what tells whether that was in time.
fn note_completed(
    shared: &Shared,
    call: &Call,
    target: &attempt::Target,
    progress: &stream::Progress,
) {
    let elapsed_us = shared.kernel.now_us() - call.arrived_us;
    let mut event = event::Event::new(event::Kind::RequestCompleted)
        .with("client_request", client_request(call))
        .with("route", &*call.route().name)
        .with("backend_server", target.backend_server.as_str())
        .with("elapsed_us", elapsed_us);
    let mut first_part_us = elapsed_us;
    if progress.has_begun() {
        first_part_us = progress.first_part_us() - call.arrived_us;
        event = event
            .with("first_part_us", first_part_us)
            .with("longest_gap_us", progress.longest_gap_us());
    }
    let route = call.route();
    let is_late = first_part_us > route.objective_ms * clock::US_PER_MS
        || progress.longest_gap_us() > route.event_gap_ms * clock::US_PER_MS;
    call.note(shared, event.with("is_late", is_late));
    shared.metrics.completed.increment(1);
}

/// Answers that the request was refused or failed.
async fn refuse(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    call: Option<&Call>,
    problem: &problem::Problem,
) -> Result<(), Ended> {
    let event = event::Event::new(event::Kind::RequestRefused)
        .with("problem", problem.type_urn.as_str())
        .with("detail", problem.detail.as_str())
        .with("retry_after_ms", problem.retry_after_ms.unwrap_or_default());
    match call {
        Some(call) => call.note(shared, with_inputs(shared, call, problem, event)),
        None => drop(shared.kernel.note(event)),
    }
    shared.metrics.refused(problem.ran).increment(1);
    respond(shared, connection, answer::problem(problem)).await
}

/// Adds what a refusal was decided from, with its age or version.
fn with_inputs(
    shared: &Shared,
    call: &Call,
    problem: &problem::Problem,
    event: event::Event,
) -> event::Event {
    let now_us = shared.kernel.now_us();
    let account = call.account.as_ref();
    let account = account.map_or("", name::ClientAccount::as_str);
    let event = event
        .with("client_request", client_request(call))
        .with("client_account", account)
        .with("route", &*call.route().name)
        .with("config_version", call.current.site.version)
        .with("elapsed_us", now_us - call.arrived_us)
        .with("is_store_reachable", shared.platform.is_reachable());
    let budget = name::Budget::from(account);
    match shared.budget.report(&budget) {
        Some(report) if problem.is_of_budget() => event
            .with("available_tokens", report.available_tokens)
            .with("reserved_tokens", report.reserved_tokens)
            .with("left_tokens", report.left_tokens)
            .with("purchased_tokens", report.purchased_tokens),
        _ => {
            let (usable, in_flight) = shared.route.load_of(&call.service);
            event
                .with("usable_backend_servers", usable)
                .with("in_flight_requests", in_flight)
                .with("directory_age_us", shared.directory.age_us(now_us))
        }
    }
}

async fn respond(
    shared: &Shared,
    connection: &mut server::Connection,
    mut response: http::Response<Bytes>,
) -> Result<(), Ended> {
    if shared.is_stopping.get() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    connection.respond(response).await?;
    Ok(())
}

fn cancelled(shared: &Shared, call: &Call) -> Result<(), Ended> {
    let event = event::Event::new(event::Kind::RequestCancelled)
        .with("client_request", client_request(call));
    call.note(shared, event);
    Err(Ended::Cut)
}

/// Ends an answer whose beginning reached the client; without its last chunk it looks cut.
fn cut(shared: &Shared, call: &Call, detail: &str) -> Result<(), Ended> {
    let event = event::Event::new(event::Kind::RequestCut)
        .with("client_request", client_request(call))
        .with("detail", detail);
    call.note(shared, event);
    Err(Ended::Cut)
}
