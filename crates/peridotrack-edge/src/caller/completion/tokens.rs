//! Reserves, settles and bills the tokens of a chat completion.
//!
//! A reservation is exposed from the moment a byte may have reached an engine. An exposed one is
//! settled, at its bound if the usage is unknown; any other is cancelled without a charge.

use peridotrack_budget::refusal;
use peridotrack_kernel::{clock, event};
use peridotrack_once::usage;
use peridotrack_types::{name, problem};

use super::Completion;
use crate::{budget, engine, stopping};

/// Maximum wait for tokens that are being drawn, in microseconds.
const RESERVE_TIMEOUT_US: u64 = 2 * clock::US_PER_S;

/// A reservation that is neither settled nor cancelled.
pub(super) struct HeldReservation {
    reservation: budget::Reservation,
    /// Whether a byte may have reached an engine, which may then have spent the tokens.
    is_exposed: bool,
}

/// Tokens charged to a budget for one attempt.
#[derive(Debug, Clone)]
pub(super) struct Settlement {
    budget: name::Budget,
    spent_tokens: u64,
}

impl Completion<'_> {
    /// Reserves the request's bound from the first budget that has enough tokens.
    ///
    /// Waits up to [`RESERVE_TIMEOUT_US`] for tokens to be drawn, but not past the deadline.
    pub(super) async fn reserve(&mut self) -> Result<(), problem::Problem> {
        let tokens = self.chat.bound_tokens();
        let deadline_us = self
            .call
            .deadline_us
            .min(self.services.kernel.now_us() + RESERVE_TIMEOUT_US);
        let reserved = self
            .services
            .budget
            .reserve(&self.budgets, tokens, deadline_us)
            .await;
        let reservation = reserved.map_err(|refusal| problem_of_refusal(refusal, tokens))?;
        let event = event::Event::new(event::Kind::RequestReserved)
            .with("budget", reservation.budget.as_str())
            .with("bound_tokens", tokens);
        self.call.note(&self.services.kernel, event);
        self.reservation = Some(HeldReservation {
            reservation,
            is_exposed: false,
        });
        Ok(())
    }

    /// Does the same as [`Completion::reserve`], unless the router stops before tokens are there.
    pub(super) async fn reserve_before_stop(&mut self) -> Result<(), problem::Problem> {
        let (services, call, target) = (self.services, self.call, self.target());
        let reserved = monoio::select! {
            biased;
            reserved = self.reserve() => Some(reserved),
            () = call.refused_at_stop(services, &target) => None,
        };
        reserved.unwrap_or_else(|| Err(stopping::refusal(self.may_have_run())))
    }

    /// Returns whether this attempt or an earlier one may have run.
    pub(super) fn may_have_run(&self) -> bool {
        let is_exposed = self
            .reservation
            .as_ref()
            .is_some_and(|held| held.is_exposed);
        self.may_have_run || is_exposed
    }

    /// Records that a byte may have reached an engine.
    pub(super) fn mark_reservation_exposed(&mut self) {
        if let Some(held) = &mut self.reservation {
            held.is_exposed = true;
        }
    }

    /// Records that the engine proved that it did not run the request.
    pub(super) fn mark_reservation_unused(&mut self) {
        if let Some(held) = &mut self.reservation {
            held.is_exposed = false;
        }
    }

    /// Settles what an attempt spent, or its bound if the engine did not report usage.
    pub(super) fn settle(&mut self, usage: Option<engine::Usage>) -> Option<Settlement> {
        let reservation = self.reservation.take()?.reservation;
        let spent_tokens = usage.map_or(reservation.bound_tokens, engine::Usage::total_tokens);
        self.services.budget.settle(&reservation, spent_tokens);
        self.services.metrics.settled_tokens.increment(spent_tokens);
        let event = event::Event::new(event::Kind::RequestSettled)
            .with("budget", reservation.budget.as_str())
            .with("spent_tokens", spent_tokens)
            .with("is_bound", usage.is_none());
        self.call.note(&self.services.kernel, event);
        Some(Settlement {
            budget: reservation.budget,
            spent_tokens,
        })
    }

    /// Settles the bound of a failed attempt if it was exposed; otherwise keeps the reservation
    /// for the next attempt.
    pub(super) fn settle_for_retry(&mut self) -> Option<Settlement> {
        if self.reservation.as_ref()?.is_exposed {
            self.settle(None)
        } else {
            None
        }
    }

    /// Cancels the reservation, or settles its bound if it was exposed.
    pub(super) fn cancel_or_settle(&mut self) -> Option<Settlement> {
        if self.reservation.as_ref()?.is_exposed {
            return self.settle(None);
        }
        let held = self.reservation.take()?;
        self.services.budget.cancel(&held.reservation);
        None
    }

    /// Adds the usage record to the usage log and waits until it is safe, that is copied to a peer
    /// or flushed to the platform, or until the log's time limit passes.
    pub(super) async fn bill(
        &self,
        settled: Settlement,
        usage: Option<engine::Usage>,
        is_final: bool,
    ) {
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

/// Returns the problem for a refused reservation.
fn problem_of_refusal(refusal: refusal::Refusal, tokens: u64) -> problem::Problem {
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
