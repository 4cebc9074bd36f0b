//! Reports to the quarantine whether backend servers end under requests, and the refusal of requests
//! that it does not let through.

use std::{net::SocketAddr, rc::Rc};

use peridotrack_kernel::{clock, event};
use peridotrack_quarantine::{
    event::{Event, Refusal, Trial},
    run::Run,
    signature::Signature,
};
use peridotrack_types::problem;

use super::{Shared, liveness, options, request::RoutedRequest};
use crate::quarantine;

/// Reports an attempt whose connection broke after the request was sent, and whether the server
/// refuses connections since.
pub(super) async fn report_break(
    shared: &Rc<Shared>,
    server: &Run,
    address: SocketAddr,
    trial: Trial,
) {
    shared.quarantine.handle(Event::Broken {
        trial,
        backend_server: server.clone(),
    });
    liveness::check(shared, server, address).await;
}

/// Reports that a request was answered whole by a server that ran it, so that it ends no server.
pub(super) fn report_completion(shared: &Shared, request: &RoutedRequest) {
    shared.quarantine.handle(Event::Completed {
        signatures: request.signatures.clone(),
    });
}

/// Returns the problem of a request that was not sent because of a refusal, and the event that
/// records it.
pub(super) fn refusal(
    request: &RoutedRequest,
    refusal: &Refusal,
) -> (problem::Problem, event::Event) {
    let block = &refusal.block;
    let is_part = |signature: &Signature| matches!(signature, Signature::Part(_));
    let kind = match block.signatures.iter().any(is_part) {
        true => problem::Kind::PromptPartBlocked,
        false => problem::Kind::RequestBlocked,
    };
    let recheck_ms = refusal
        .recheck_in_us
        .map(|us| us.div_ceil(clock::US_PER_MS));
    let retry_after_ms = recheck_ms.unwrap_or_default();
    let retry_after_ms = retry_after_ms.max(options::UNDECIDED_RETRY_MS);
    let signatures: Vec<_> = block.signatures.iter().map(Signature::to_string).collect();
    let detail = format!(
        "{} backend servers ended under requests with the signatures {}",
        block.crashes.len(),
        signatures.join(",")
    );
    let problem = problem::Problem::new(kind, detail).retry_after_ms(retry_after_ms);
    let event = event::Event::new(event::Kind::RequestRefused)
        .with("client_request", request.client_request())
        .with("route", &*request.route().name)
        .with("problem", problem.type_urn.as_str())
        .with("detail", problem.detail.as_str())
        .with("is_proven", refusal.is_proven);
    (problem, quarantine::describe_block(event, block))
}
