//! One request of a client, from its arrival to its final answer.

use std::rc::Rc;

use bytes::Bytes;
use peridotrack_http::server;
use peridotrack_kernel::{clock, event};
use peridotrack_platform::directory as directory_wire;
use peridotrack_route::event::Outcome;
use peridotrack_types::{name, problem};

use super::{
    Shared, answer,
    attempt::{self, Attempt},
    call::{self, Call},
    payment::{self, Payment},
    stream,
};
use crate::route;

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

/// Serves one request; the connection can go on if this succeeds.
pub(super) async fn serve(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: server::Request,
) -> Result<(), Ended> {
    let call = match call::accept(shared, request) {
        Ok(call) => call,
        Err(problem) => return refuse(shared, connection, None, &problem).await,
    };
    let drawn = monoio::select! {
        drawn = payment::pay(shared, &call) => drawn,
        () = connection.closed() => return cancelled(shared, &call),
    };
    match drawn {
        Ok(payment) => forward(shared, connection, &call, &payment).await,
        Err(problem) => refuse(shared, connection, Some(&call), &problem).await,
    }
}

/// Sends the request to backend servers until one answers or none is left to try.
async fn forward(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    call: &Call,
    payment: &Payment,
) -> Result<(), Ended> {
    let mut ticket = shared.route.offer(call::offer(call));
    let mut progress = stream::Progress::new(call);
    let mut last_answer = None;
    loop {
        let step = monoio::select! {
            step = ticket.next() => step,
            () = connection.closed() => return cancelled(shared, call),
        };
        let target = match step.into_destination() {
            Ok(target) => target,
            Err(route::Refusal {
                kind,
                retry_after_ms,
            }) => {
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
            .with("backend_server", target.backend_server.as_str());
        call.note(shared, event);
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

/// Records that the request was answered whole, with what tells whether that was in time.
fn note_completed(
    shared: &Shared,
    call: &Call,
    target: &route::Destination,
    progress: &stream::Progress,
) {
    let elapsed_us = shared.kernel.now_us() - call.arrived_us;
    let mut event = event::Event::new(event::Kind::RequestCompleted)
        .with("client_request", call.client_request())
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
        .with("client_request", call.client_request())
        .with("client_account", account)
        .with("route", &*call.route().name)
        .with("config_version", call.current.site.version)
        .with("elapsed_us", now_us - call.arrived_us)
        .with("is_store_reachable", shared.platform.is_reachable());
    let budget = name::Budget::from(account);
    match shared.budget.report(&budget) {
        Some(report) if problem.is_budget_problem() => event
            .with("available_tokens", report.available_tokens)
            .with("reserved_tokens", report.reserved_tokens)
            .with("left_tokens", report.left_tokens)
            .with("purchased_tokens", report.purchased_tokens),
        _ => {
            let (usable, in_flight) = shared.route.load_of(&call.service);
            let age_us = shared.follow.age_us(directory_wire::KIND);
            event
                .with("usable_backend_servers", usable)
                .with("in_flight_requests", in_flight)
                .with("directory_age_us", age_us.unwrap_or(u64::MAX))
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
        .with("client_request", call.client_request());
    call.note(shared, event);
    Err(Ended::Cut)
}

/// Ends an answer whose beginning reached the client; without its last chunk it looks cut.
fn cut(shared: &Shared, call: &Call, detail: &str) -> Result<(), Ended> {
    let event = event::Event::new(event::Kind::RequestCut)
        .with("client_request", call.client_request())
        .with("detail", detail);
    call.note(shared, event);
    Err(Ended::Cut)
}
