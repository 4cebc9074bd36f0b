//! The exchange of one client request: reservation, attempts at backend servers and the final
//! response.
//!
//! The client listener calls [`serve`] for each request. The exchange records the request's
//! progress and result as events and metrics.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use peridotrack_http::server;
use peridotrack_kernel::{clock, event};
use peridotrack_platform::{directory as directory_wire, site as site_wire};
use peridotrack_quarantine::event::Refusal;
use peridotrack_route::{event::Outcome, stop};
use peridotrack_types::{name, problem};

use super::{
    Shared,
    attempt::{self, AttemptResult},
    crash, liveness,
    request::{self, RoutedRequest},
    reservation::{self, ReservationGuard},
    response, resumption,
    server::Arrival,
    stream,
};
use crate::{route, stopping};

/// Reason why a connection must be closed after an exchange.
#[derive(Debug)]
pub(super) enum Error {
    /// The response ended early, or the client disconnected.
    Aborted,
    /// The client's connection failed.
    Connection,
}

impl From<server::Error> for Error {
    fn from(_: server::Error) -> Self {
        Self::Connection
    }
}

/// Serves one request. The connection can carry another one if this succeeds.
///
/// # Errors
///
/// Returns an error if the connection must be closed.
pub(super) async fn serve(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    received: server::Request,
    arrival: Arrival,
) -> Result<(), Error> {
    let mut request = match request::accept(shared, received) {
        Ok(request) => request,
        Err(rejected) => return reject(shared, connection, &rejected).await,
    };
    if let Some(verdict) = judge_at_stop(shared, &request) {
        note_arrival_at_stop(shared, &request, arrival, &verdict);
        if !verdict.is_admitted {
            return refuse_at_stop(shared, connection, &request, None, &verdict).await;
        }
    }
    if let Err(refusal) = shared.quarantine.admit(&request.signatures).await {
        return refuse_blocked(shared, connection, &request, &refusal).await;
    }
    let known = monoio::select! {
        known = resumption::look_up(shared, &mut request) => Some(known),
        () = connection.closed() => None,
    };
    let Some(known) = known else {
        return cancelled(shared, &request, None);
    };
    if let Err(problem) = known {
        return refuse(shared, connection, Some(&request), None, &problem).await;
    }
    let reserved = monoio::select! {
        reserved = reservation::reserve(shared, &request) => reserved,
        () = connection.closed() => return cancelled(shared, &request, None),
        verdict = refused_at_stop(shared, &request) => {
            return refuse_at_stop(shared, connection, &request, None, &verdict).await;
        }
    };
    match reserved {
        Ok(reservation) => forward(shared, connection, &request, &reservation).await,
        Err(problem) => refuse(shared, connection, Some(&request), None, &problem).await,
    }
}

/// Decides whether a request is begun at a gateway that is stopping.
fn judge_at_stop(shared: &Shared, request: &RoutedRequest) -> Option<stop::Verdict> {
    let route = &request.route().name;
    shared.stopping.judge(route, request.deadline_us)
}

/// Waits until the gateway is stopping and the request is not to be begun any more.
async fn refused_at_stop(shared: &Shared, request: &RoutedRequest) -> stop::Verdict {
    let route = &request.route().name;
    shared.stopping.refused(route, request.deadline_us).await
}

/// Records how a request arrived at a gateway that is stopping, and whether it is begun.
fn note_arrival_at_stop(
    shared: &Shared,
    request: &RoutedRequest,
    arrival: Arrival,
    verdict: &stop::Verdict,
) {
    let event = event::Event::new(event::Kind::RequestAtStop)
        .with("client_request", request.client_request())
        .with("route", &*request.route().name)
        .with("receive_us", request.arrived_us - arrival.began_us)
        .with("is_kept_connection", arrival.is_kept)
        .with("is_admitted", verdict.is_admitted);
    request.note(shared, stopping::describe(event, verdict));
}

/// Sends the request to backend servers until one responds or the routing service refuses it.
async fn forward(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: &RoutedRequest,
    reservation: &ReservationGuard,
) -> Result<(), Error> {
    let mut ticket = shared.route.offer(request::offer(request));
    let mut progress = stream::Progress::new(request);
    let mut last_response = None;
    let mut may_retry = true;
    let tracked = shared
        .stopping
        .track(&request.route().name, request.arrived_us);
    loop {
        let step = monoio::select! {
            biased;
            verdict = refused_at_stop(shared, request), if !progress.has_started() => {
                if let Some(response) = last_response {
                    return respond(shared, connection, response).await;
                }
                let reservation = Some(reservation);
                return refuse_at_stop(shared, connection, request, reservation, &verdict).await;
            }
            step = ticket.next() => step,
            () = connection.closed() => return cancelled(shared, request, Some(reservation)),
        };
        let target = match step.into_destination() {
            Ok(target) => target,
            Err(_) if progress.has_started() => {
                let detail = "no backend server continues the stream";
                return abort(shared, request, reservation, detail);
            }
            Err(refusal) => match last_response {
                Some(response) => return respond(shared, connection, response).await,
                None => {
                    return refuse_unplaced(shared, connection, request, reservation, refusal)
                        .await;
                }
            },
        };
        let begun = match may_retry {
            true => shared.quarantine.begin(&request.signatures).map_err(Some),
            false => Err(None),
        };
        let trial = match begun {
            Ok(trial) => trial,
            Err(Some(refusal)) if !reservation.may_have_run() => {
                return refuse_blocked(shared, connection, request, &refusal).await;
            }
            Err(_) if progress.has_started() => {
                let detail = "backend servers end under the request";
                return abort(shared, request, reservation, detail);
            }
            Err(_) => return refuse_retry(shared, connection, request, reservation).await,
        };
        let server = shared.directory.run(&target.backend_server);
        let event = event::Event::new(event::Kind::RequestDispatched)
            .with("backend_server", target.backend_server.as_str())
            .with("attempt", u64::from(target.attempt));
        request.note(shared, event);
        tracked.sent();
        progress.begin_attempt();
        let attempt = attempt::Attempt {
            shared,
            request,
            reservation,
            target: &target,
            ticket: &ticket,
            server: &server,
            trial: &trial,
        };
        match attempt.run(connection, &mut progress).await {
            AttemptResult::Responded(response) => {
                ticket.finished(Outcome::Done);
                crash::report_completion(shared, request);
                note_completed(shared, request, reservation, &target, &progress);
                return respond(shared, connection, response).await;
            }
            AttemptResult::Streamed => {
                ticket.finished(Outcome::Done);
                if progress.events_seen() > 0 {
                    crash::report_completion(shared, request);
                }
                note_completed(shared, request, reservation, &target, &progress);
                return Ok(());
            }
            AttemptResult::ClientDisconnected => {
                ticket.finished(Outcome::Cancelled);
                return cancelled(shared, request, Some(reservation));
            }
            AttemptResult::Stopped => {
                ticket.finished(Outcome::Cancelled);
                let problem = stopping::unanswered(reservation.may_have_run());
                let (request, reservation) = (Some(request), Some(reservation));
                return refuse(shared, connection, request, reservation, &problem).await;
            }
            AttemptResult::Failed {
                outcome,
                is_disconnected,
                detail,
                response,
            } => {
                let event = event::Event::new(event::Kind::AttemptFailed)
                    .with("backend_server", target.backend_server.as_str())
                    .with("software_version", software_version(shared, &target))
                    .with("outcome", format!("{outcome:?}"))
                    .with("response", progress.stage().name())
                    .with("signatures", request.signatures_text())
                    .with("detail", detail);
                request.note(shared, progress.describe_statements(event));
                shared.metrics.failed_attempts.increment(1);
                last_response = response;
                let is_unsent = matches!(
                    outcome,
                    Outcome::ConnectFailed
                        | Outcome::NoPath
                        | Outcome::Withdrawn
                        | Outcome::Timeout { sent: false }
                );
                if is_unsent {
                    shared.quarantine.withdraw(&trial);
                } else if is_disconnected && progress.stage() != stream::Stage::Streaming {
                    let check = crash::report_break(shared, &server, target.address, trial);
                    // Peers may be asked, which need not answer before the deadline.
                    let limit = Duration::from_micros(request.remaining_us(shared));
                    let _ = monoio::time::timeout(limit, check).await;
                    may_retry = shared.quarantine.may_retry(&request.signatures);
                } else if is_disconnected {
                    // The server may start again as another version before its entry says so.
                    liveness::check_in_background(shared, &server, target.address);
                }
                ticket.finished(outcome);
            }
        }
    }
}

/// Ends a request that was not accepted, and records on which state of the configuration.
async fn reject(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    rejected: &request::Rejected,
) -> Result<(), Error> {
    let age_us = shared.follow.age_us(site_wire::KIND);
    let event = event::Event::new(event::Kind::RequestRefused)
        .with("client_request", rejected.client_request.as_str())
        .with("config_version", rejected.config_version)
        .with(
            "is_config_relayed",
            shared.follow.is_relayed(site_wire::KIND),
        )
        .with("is_store_reachable", shared.platform.is_reachable());
    let event = match age_us {
        Some(age_us) => event.with("config_age_us", age_us),
        None => event,
    };
    refuse_with(shared, connection, None, None, &rejected.problem, event).await
}

/// Ends a request that is not begun, or not sent again, because the gateway is stopping.
async fn refuse_at_stop(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: &RoutedRequest,
    reservation: Option<&ReservationGuard>,
    verdict: &stop::Verdict,
) -> Result<(), Error> {
    let may_have_run = reservation.is_some_and(ReservationGuard::may_have_run);
    let problem = stopping::refusal(may_have_run);
    let event = event::Event::new(event::Kind::RequestRefused);
    let event = stopping::describe(event, verdict);
    let request = Some(request);
    refuse_with(shared, connection, request, reservation, &problem, event).await
}

/// Ends a request that the routing service does not place, again or at all.
async fn refuse_unplaced(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: &RoutedRequest,
    reservation: &ReservationGuard,
    refusal: route::Refusal,
) -> Result<(), Error> {
    let route::Refusal {
        kind,
        retry_after_ms,
    } = refusal;
    let problem = match kind.ran() {
        problem::Ran::No => {
            let problem = problem::Problem::new(kind, "no backend server took it");
            match retry_after_ms {
                0 => problem,
                _ => problem.retry_after_ms(retry_after_ms),
            }
        }
        problem::Ran::Unknown if request.remaining_us(shared) == 0 => response::timed_out(),
        problem::Ran::Unknown => problem::Problem::new(kind, "the attempt failed"),
    };
    let (request, reservation) = (Some(request), Some(reservation));
    refuse(shared, connection, request, reservation, &problem).await
}

/// Ends a request that was sent and is not sent again, because backend servers end under it.
async fn refuse_retry(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: &RoutedRequest,
    reservation: &ReservationGuard,
) -> Result<(), Error> {
    let detail = "the backend server ended, and others did under the same request or prompt part";
    let problem = problem::Problem::new(problem::Kind::BackendFailed, detail);
    let (request, reservation) = (Some(request), Some(reservation));
    refuse(shared, connection, request, reservation, &problem).await
}

/// Refuses a request that was not sent, because backend servers end under it.
async fn refuse_blocked(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: &RoutedRequest,
    refusal: &Refusal,
) -> Result<(), Error> {
    let (problem, event) = crash::refusal(request, refusal);
    request.note(shared, event);
    shared.metrics.refused(problem.ran).increment(1);
    respond(shared, connection, response::problem(&problem)).await
}

/// Records the completion of a request, with its latencies and whether they met the objectives of
/// its route.
fn note_completed(
    shared: &Shared,
    request: &RoutedRequest,
    reservation: &ReservationGuard,
    target: &route::Destination,
    progress: &stream::Progress,
) {
    let elapsed_us = shared.kernel.now_us() - request.arrived_us;
    let mut event = event::Event::new(event::Kind::RequestCompleted)
        .with("client_request", request.client_request())
        .with("route", &*request.route().name)
        .with("config_version", request.config.site.version)
        .with("backend_server", target.backend_server.as_str())
        .with("software_version", software_version(shared, target))
        .with("elapsed_us", elapsed_us);
    event = request.describe_lookup(shared, event);
    let mut first_part_us = elapsed_us;
    if progress.has_started() {
        first_part_us = progress.first_part_us() - request.arrived_us;
        event = event
            .with("first_part_us", first_part_us)
            .with("longest_gap_us", progress.longest_gap_us());
    }
    let route = request.route();
    let is_late = first_part_us > route.objective_ms * clock::US_PER_MS
        || progress.longest_gap_us() > route.event_gap_ms * clock::US_PER_MS;
    let event = progress.describe_statements(reservation.describe(event.with("is_late", is_late)));
    request.note(shared, event);
    shared.metrics.completed.increment(1);
}

fn software_version(shared: &Shared, target: &route::Destination) -> String {
    let version = shared.directory.software_version(&target.backend_server);
    version.as_str().to_owned()
}

/// Sends a problem to the client, and records the refusal or failure with the state on which it was
/// decided.
async fn refuse(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: Option<&RoutedRequest>,
    reservation: Option<&ReservationGuard>,
    problem: &problem::Problem,
) -> Result<(), Error> {
    let event = event::Event::new(event::Kind::RequestRefused);
    refuse_with(shared, connection, request, reservation, problem, event).await
}

/// Does the same as [`refuse`], with an event that has the inputs of the decision.
async fn refuse_with(
    shared: &Rc<Shared>,
    connection: &mut server::Connection,
    request: Option<&RoutedRequest>,
    reservation: Option<&ReservationGuard>,
    problem: &problem::Problem,
    event: event::Event,
) -> Result<(), Error> {
    let event = event
        .with("problem", problem.type_urn.as_str())
        .with("detail", problem.detail.as_str())
        .with("retry_after_ms", problem.retry_after_ms.unwrap_or_default());
    let event = match reservation {
        Some(reservation) => reservation.describe(event),
        None => event,
    };
    match request {
        Some(request) => request.note(
            shared,
            with_decision_inputs(shared, request, problem, event),
        ),
        None => drop(shared.kernel.note(event)),
    }
    shared.metrics.refused(problem.ran).increment(1);
    respond(shared, connection, response::problem(problem)).await
}

/// Adds the state on which a refusal was decided: budget figures for a budget problem, otherwise
/// the load and the age of the directory.
fn with_decision_inputs(
    shared: &Shared,
    request: &RoutedRequest,
    problem: &problem::Problem,
    event: event::Event,
) -> event::Event {
    let now_us = shared.kernel.now_us();
    let account = request.account.as_ref();
    let account = account.map_or("", name::ClientAccount::as_str);
    let event = event
        .with("client_request", request.client_request())
        .with("client_account", account)
        .with("route", &*request.route().name)
        .with("config_version", request.config.site.version)
        .with("elapsed_us", now_us - request.arrived_us)
        .with("is_store_reachable", shared.platform.is_reachable());
    let event = request.describe_lookup(shared, event);
    let budget = name::Budget::from(account);
    match shared.budget.report(&budget) {
        Some(report) if problem.is_budget_problem() => event
            .with("available_tokens", report.available_tokens)
            .with("reserved_tokens", report.reserved_tokens)
            .with("left_tokens", report.left_tokens)
            .with("purchased_tokens", report.purchased_tokens),
        _ => {
            let (usable, in_flight) = shared.route.load_of(&request.service);
            let age_us = shared.follow.age_us(directory_wire::KIND);
            event
                .with("usable_backend_servers", usable)
                .with("in_flight_requests", in_flight)
                .with(
                    "ineligible_servers",
                    shared
                        .route
                        .ineligible_text(&request.service, request.origin()),
                )
                .with("directory_age_us", age_us.unwrap_or(u64::MAX))
        }
    }
}

/// Sends a complete response, with `Connection: close` if the gateway is stopping.
async fn respond(
    shared: &Shared,
    connection: &mut server::Connection,
    response: http::Response<Bytes>,
) -> Result<(), Error> {
    let response = shared.stopping.announce(connection, response);
    connection.respond(response).await?;
    Ok(())
}

/// Records that the client disconnected before the response was complete.
fn cancelled(
    shared: &Shared,
    request: &RoutedRequest,
    reservation: Option<&ReservationGuard>,
) -> Result<(), Error> {
    let event = event::Event::new(event::Kind::RequestCancelled)
        .with("client_request", request.client_request());
    let event = match reservation {
        Some(reservation) => reservation.describe(event),
        None => event,
    };
    request.note(shared, event);
    Err(Error::Aborted)
}

/// Aborts a response of which the client has received the beginning. The connection is closed
/// without the last chunk, so the client sees a truncated response.
fn abort(
    shared: &Shared,
    request: &RoutedRequest,
    reservation: &ReservationGuard,
    detail: &str,
) -> Result<(), Error> {
    let event = event::Event::new(event::Kind::RequestCut)
        .with("client_request", request.client_request())
        .with("detail", detail);
    request.note(shared, reservation.describe(event));
    Err(Error::Aborted)
}
