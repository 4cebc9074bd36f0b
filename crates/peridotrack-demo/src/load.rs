//! Callers that make one request after another.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use peridotrack_types::problem;

use crate::{
    caller::{End, Kind, Request, Try},
    fleet,
};

/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 60;

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Every request with how it ended.
    pub ended: Vec<(Request, Try)>,
    /// Tries that were cut within the answer.
    pub cut_visibly: u64,
    /// Refusals for lack of tokens that have not been looked at.
    pub short_of_tokens: Vec<Shortage>,
}

/// A refusal for lack of tokens.
#[derive(Debug, Clone, Copy)]
pub struct Shortage {
    /// Index of the router that refused.
    pub router: usize,
    /// Index of the client account.
    pub account: usize,
    /// Tokens that the request could have spent.
    pub bound_tokens: u64,
}

impl Seen {
    fn add(&mut self, request: Request, end: End) {
        self.cut_visibly += end.cut_visibly;
        if let Try::Refused(problem) = &end.last
            && is_shortage(problem)
        {
            self.short_of_tokens.push(Shortage {
                router: end.router,
                account: request.account,
                bound_tokens: bound_tokens(&request),
            });
        }
        self.ended.push((request, end.last));
    }
}

/// Makes requests until `until` says so.
pub async fn run(
    caller: usize,
    routers: Rc<Vec<SocketAddr>>,
    seen: Rc<RefCell<Seen>>,
    until: Rc<dyn Fn() -> bool>,
) {
    let mut rng = fastrand::Rng::with_seed(caller as u64);
    let mut number = 0;
    while !until() {
        number += 1;
        let request = Request {
            kind: kind(&mut rng),
            account: caller % fleet::ACCOUNTS.len(),
            key: format!("caller-{caller}-{number}"),
        };
        let end = request.perform(&routers, rng.usize(..routers.len())).await;
        seen.borrow_mut().add(request, end);
        monoio::time::sleep(Duration::from_millis(rng.u64(..PAUSE_MS))).await;
    }
}

fn kind(rng: &mut fastrand::Rng) -> Kind {
    match rng.u32(..100) {
        0..50 => Kind::Stream,
        50..70 => Kind::Whole,
        70..85 => Kind::Lookup,
        _ => Kind::Assign,
    }
}

fn bound_tokens(request: &Request) -> u64 {
    let prompt_tokens = peridotrack_edge::engine::bound_tokens(request.body().len(), 1);
    prompt_tokens + crate::caller::OUTPUT_TOKENS
}

fn is_shortage(problem: &problem::Problem) -> bool {
    [
        problem::Kind::BudgetExhausted,
        problem::Kind::BudgetUnavailable,
    ]
    .iter()
    .any(|kind| problem.type_urn == problem::Problem::new(*kind, "").type_urn)
}
