//! Reserves tokens of prepaid client accounts before a request is sent, and settles them
//! afterwards.
//!
//! The reserved bound follows from the headers of the request. A request that may have run is
//! charged for its prompt and the delivered output, where a complete response that is not streamed
//! counts as the maximum output that the request allows. One that did not run is not charged.

use std::{cell::Cell, rc::Rc};

use peridotrack_budget::refusal;
use peridotrack_kernel::{clock, event};
use peridotrack_types::{name, problem};

use super::{Shared, request::RoutedRequest};
use crate::budget;

/// Divisor of a route's latency objective that gives the time allowed for drawing tokens.
const OBJECTIVE_DRAW_DIVISOR: u64 = 2;
/// Minimum retry delay in a refusal because tokens could not be drawn in time, in milliseconds:
/// contention on the ledger lasts about as long after many routers start at once.
const DRAW_RETRY_MS: u64 = 1_000;
/// Lower bound of the time allowed for drawing tokens, in microseconds: one call to a slow store.
const MIN_DRAW_US: u64 = 100 * clock::US_PER_MS;

/// Holds the reservation of a request, which is settled or cancelled on drop.
pub(super) struct ReservationGuard {
    shared: Rc<Shared>,
    reservation: Option<budget::Reservation>,
    prompt_tokens: u64,
    /// Output tokens delivered to the client.
    pub(super) delivered_tokens: Cell<u64>,
    /// Whether an attempt before the latest one may have run.
    earlier_attempt_may_have_run: Cell<bool>,
    /// Whether the latest attempt may have run.
    latest_attempt_may_have_run: Cell<bool>,
}

impl ReservationGuard {
    /// Records that an attempt is about to be sent, and from then on may have run.
    pub(super) fn begin_attempt(&self) {
        if self.latest_attempt_may_have_run.replace(true) {
            self.earlier_attempt_may_have_run.set(true);
        }
    }

    /// Records a proof that the latest attempt did not run; earlier attempts are not affected.
    pub(super) fn mark_not_run(&self) {
        self.latest_attempt_may_have_run.set(false);
    }

    /// Returns whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.earlier_attempt_may_have_run.get() || self.latest_attempt_may_have_run.get()
    }

    /// Returns the tokens that the reservation is charged if the request ends now: the prompt and
    /// the delivered output of a request that may have run.
    pub(super) fn charged_tokens(&self) -> u64 {
        match &self.reservation {
            Some(reservation) if self.may_have_run() => {
                let spent_tokens = self.prompt_tokens + self.delivered_tokens.get();
                spent_tokens.min(reservation.bound_tokens)
            }
            Some(_) | None => 0,
        }
    }

    /// Adds the account, the reserved bound and the charge to the final event of the request.
    pub(super) fn describe(&self, event: event::Event) -> event::Event {
        match &self.reservation {
            Some(reservation) => event
                .with("client_account", reservation.budget.as_str())
                .with("bound_tokens", reservation.bound_tokens)
                .with("charged_tokens", self.charged_tokens()),
            None => event,
        }
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        if !self.may_have_run() {
            return self.shared.budget.cancel(reservation);
        }
        let spent_tokens = self.charged_tokens();
        self.shared.budget.settle(reservation, spent_tokens);
        self.shared.metrics.settled_tokens.increment(spent_tokens);
    }
}

/// Reserves the maximum number of tokens that the request can consume, or none if the account is
/// not prepaid.
///
/// # Errors
///
/// Returns the problem to report if the budget is exhausted or tokens cannot be drawn in time.
pub(super) async fn reserve(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
) -> Result<ReservationGuard, problem::Problem> {
    let bound_tokens = request.metadata.prompt_tokens + request.metadata.max_output_tokens;
    let mut guard = ReservationGuard {
        shared: Rc::clone(shared),
        reservation: None,
        prompt_tokens: request.metadata.prompt_tokens,
        delivered_tokens: Cell::new(0),
        earlier_attempt_may_have_run: Cell::new(false),
        latest_attempt_may_have_run: Cell::new(false),
    };
    let account = match &request.account {
        Some(account) if request.has_budget && bound_tokens > 0 => account,
        _ => return Ok(guard),
    };
    let budgets = [name::Budget::from(account.as_str())];
    let draw_us = request.route().objective_ms * clock::US_PER_MS / OBJECTIVE_DRAW_DIVISOR;
    let deadline_us = request.arrived_us + draw_us.max(MIN_DRAW_US);
    let reserved = shared
        .budget
        .reserve(&budgets, bound_tokens, deadline_us.min(request.deadline_us))
        .await;
    match reserved {
        Ok(reservation) => {
            guard.reservation = Some(reservation);
            Ok(guard)
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
