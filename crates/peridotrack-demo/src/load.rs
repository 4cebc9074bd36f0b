//! Load of the demonstration: callers that send one request after another and record the outcomes.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use peridotrack_types::problem;

use crate::{
    caller::{AttemptOutcome, Kind, Request, RequestOutcome},
    fleet,
};

/// Exclusive upper bound of a caller's pause between two requests, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Outcomes of the callers' requests.
#[derive(Debug, Default)]
pub struct Observations {
    /// Every request with the outcome of its last attempt.
    pub requests: Vec<(Request, AttemptOutcome)>,
    /// Number of attempts that were cut within the response.
    pub cut_visibly: u64,
    /// Refusals for lack of tokens that the script has not checked yet.
    pub unchecked_shortages: Vec<Shortage>,
}

/// A refusal for lack of tokens.
#[derive(Debug, Clone, Copy)]
pub struct Shortage {
    /// Index of the router that refused the request.
    pub router: usize,
    /// Index of the client account in [`fleet::ACCOUNTS`].
    pub account: usize,
    /// Upper bound of the tokens that the request could have spent.
    pub bound_tokens: u64,
}

impl Observations {
    fn record(&mut self, request: Request, outcome: RequestOutcome) {
        self.cut_visibly += outcome.cut_visibly;
        if let AttemptOutcome::Refused(problem) = &outcome.last_attempt
            && is_shortage(problem)
        {
            self.unchecked_shortages.push(Shortage {
                router: outcome.router,
                account: request.account,
                bound_tokens: bound_tokens(&request),
            });
        }
        self.requests.push((request, outcome.last_attempt));
    }
}

/// Sends requests, starting at random routers, until `should_stop` returns true. The index `caller`
/// selects the client account and seeds the caller's choices.
pub async fn run(
    caller: usize,
    routers: Rc<Vec<SocketAddr>>,
    observations: Rc<RefCell<Observations>>,
    should_stop: Rc<dyn Fn() -> bool>,
) {
    let mut rng = fastrand::Rng::with_seed(caller as u64);
    let mut number = 0;
    while !should_stop() {
        number += 1;
        let request = Request {
            kind: random_kind(&mut rng),
            account: caller % fleet::ACCOUNTS.len(),
            key: format!("caller-{caller}-{number}"),
        };
        let outcome = request
            .send_with_retries(&routers, rng.usize(..routers.len()))
            .await;
        observations.borrow_mut().record(request, outcome);
        monoio::time::sleep(Duration::from_millis(rng.u64(..PAUSE_MS))).await;
    }
}

/// Draws a kind: 70% chat requests, 30% service requests.
fn random_kind(rng: &mut fastrand::Rng) -> Kind {
    match rng.u32(..100) {
        0..50 => Kind::Stream,
        50..70 => Kind::NonStreaming,
        70..85 => Kind::Lookup,
        _ => Kind::Assign,
    }
}

/// Returns an upper bound of the tokens of a request, as a router estimates it.
fn bound_tokens(request: &Request) -> u64 {
    let prompt_tokens = peridotrack_edge::engine::bound_tokens(request.body().len(), 1);
    prompt_tokens + crate::caller::OUTPUT_TOKENS
}

/// Returns whether a refusal is for lack of tokens.
fn is_shortage(problem: &problem::Problem) -> bool {
    [
        problem::Kind::BudgetExhausted,
        problem::Kind::BudgetUnavailable,
    ]
    .iter()
    .any(|kind| problem.type_urn == problem::Problem::new(*kind, "").type_urn)
}
