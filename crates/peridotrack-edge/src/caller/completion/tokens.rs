//! Reserves, settles and bills the tokens of a chat completion.

use peridotrack_budget::refusal;
use peridotrack_kernel::{clock, event};
use peridotrack_once::usage;
use peridotrack_types::{name, problem};

use super::Completion;
use crate::{budget, engine};

/// Longest wait of a request for tokens that are being drawn, in microseconds.
const RESERVE_US: u64 = 2 * clock::US_PER_S;

/// Tokens that are reserved for the current attempt.
pub(super) struct Held {
    reservation: budget::Reservation,
    /// Whether a byte may have reached an engine, so that the tokens may be spent.
    is_exposed: bool,
}

/// Tokens that were settled for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Settled {
    budget: name::Budget,
    spent_tokens: u64,
}

impl Completion<'_> {
    pub(super) async fn reserve(&mut self) -> Result<(), problem::Problem> {
        let tokens = self.chat.bound_tokens();
        let deadline_us = self
            .call
            .deadline_us
            .min(self.services.kernel.now_us() + RESERVE_US);
        let reserved = self
            .services
            .budget
            .reserve(&self.budgets, tokens, deadline_us)
            .await;
        let reservation = reserved.map_err(|refusal| refused(refusal, tokens))?;
        let event = event::Event::new(event::Kind::RequestReserved)
            .with("budget", reservation.budget.as_str())
            .with("bound_tokens", tokens);
        self.call.note(&self.services.kernel, event);
        self.reservation = Some(Held {
            reservation,
            is_exposed: false,
        });
        Ok(())
    }

    /// Says that a byte may have reached an engine.
    pub(super) fn reservation_exposed(&mut self) {
        if let Some(held) = &mut self.reservation {
            held.is_exposed = true;
        }
    }

    /// Says that the engine proved that it did not run the request.
    pub(super) fn reservation_unused(&mut self) {
        if let Some(held) = &mut self.reservation {
            held.is_exposed = false;
        }
    }

    /// Settles what an attempt spent; the bound if the engine did not say.
    pub(super) fn settle(&mut self, usage: Option<engine::Usage>) -> Option<Settled> {
        let reservation = self.reservation.take()?.reservation;
        let spent_tokens = usage.map_or(reservation.bound_tokens, engine::Usage::total_tokens);
        self.services.budget.settle(&reservation, spent_tokens);
        self.services.metrics.settled_tokens.increment(spent_tokens);
        let event = event::Event::new(event::Kind::RequestSettled)
            .with("budget", reservation.budget.as_str())
            .with("spent_tokens", spent_tokens)
            .with("is_bound", usage.is_none());
        self.call.note(&self.services.kernel, event);
        Some(Settled {
            budget: reservation.budget,
            spent_tokens,
        })
    }

    /// Settles the bound of a failed attempt; tokens that no engine saw stay reserved.
    pub(super) fn release_for_retry(&mut self) -> Option<Settled> {
        if self.reservation.as_ref()?.is_exposed {
            self.settle(None)
        } else {
            None
        }
    }

    /// Frees the reservation, or settles its bound if the tokens may be spent.
    pub(super) fn release(&mut self) -> Option<Settled> {
        if self.reservation.as_ref()?.is_exposed {
            return self.settle(None);
        }
        let held = self.reservation.take()?;
        self.services.budget.cancel(&held.reservation);
        None
    }

    /// Bills what was settled and waits until the record is safe.
    pub(super) async fn bill(
        &self,
        settled: Settled,
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
fn refused(refusal: refusal::Refusal, tokens: u64) -> problem::Problem {
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
