//! Reports to the quarantine whether backend servers end under the prompts of requests, and the
//! refusal of requests that it blocks.

use std::rc::Rc;

use peridotrack_http::client;
use peridotrack_kernel::event;
use peridotrack_quarantine::{
    event::{Event, Trial},
    statement::Part,
    verdict::Block,
};
use peridotrack_types::problem;

use super::{Shared, options, request::RoutedRequest};
use crate::{quarantine, route};

/// Reports an attempt whose connection broke when the response had just begun, and whether the
/// server refuses connections since.
pub(super) async fn report_break(shared: &Rc<Shared>, target: &route::Destination, trial: Trial) {
    shared.quarantine.handle(Event::Broken {
        trial,
        backend_server: target.backend_server.clone(),
    });
    if has_ended(shared, target).await {
        return;
    }
    // The listener of a server that ends may accept one more connection. If the server is cut off,
    // the directory shows later whether it has ended.
    let (shared, target) = (Rc::clone(shared), target.clone());
    monoio::spawn(async move {
        let timer = shared.kernel.timer();
        timer.sleep_us(options::LIVENESS_RECHECK_US).await;
        has_ended(&shared, &target).await;
    });
}

/// Reports that a backend server has ended.
pub(super) fn report_end(shared: &Shared, target: &route::Destination) {
    shared.quarantine.handle(Event::ServerEnded {
        backend_server: target.backend_server.clone(),
    });
}

/// Reports that a request was answered whole, so that its parts end no server.
pub(super) fn report_completion(shared: &Shared, request: &RoutedRequest) {
    shared.quarantine.handle(Event::Completed {
        parts: request.shared_parts.clone(),
    });
}

/// Returns whether an error of the connection shows that nothing listens at the address any more.
pub(super) fn is_refused(error: &client::Error) -> bool {
    matches!(&error.kind, client::Kind::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Returns the problem of a request that was not sent because of a block, and the event that
/// records its refusal.
pub(super) fn refusal(request: &RoutedRequest, block: &Block) -> (problem::Problem, event::Event) {
    let parts: Vec<_> = block.parts.iter().map(Part::to_string).collect();
    let detail = format!(
        "{} backend servers ended when they began to answer requests with the prompt parts {}",
        block.crashes.len(),
        parts.join(",")
    );
    let problem = problem::Problem::new(problem::Kind::PromptPartBlocked, detail)
        .retry_after_ms(options::BLOCKED_RETRY_MS);
    let event = event::Event::new(event::Kind::RequestRefused)
        .with("client_request", request.client_request())
        .with("route", &*request.route().name)
        .with("problem", problem.type_urn.as_str())
        .with("detail", problem.detail.as_str());
    (problem, quarantine::describe_block(event, block))
}

/// Connects to a server, and reports its end if it refuses the connection; returns whether it does.
async fn has_ended(shared: &Shared, target: &route::Destination) -> bool {
    match client::Connection::connect(target.address, options::liveness()).await {
        Ok(connection) => {
            shared.pool.put(connection);
            false
        }
        Err(error) if is_refused(&error) => {
            report_end(shared, target);
            true
        }
        Err(_) => false,
    }
}
