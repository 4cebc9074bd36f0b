//! Second attempts of requests: placement at another server, and which of two attempts goes on.
//!
//! While both run, the request keeps the second one beside the first. It replaces the first one if it wins or if
//! the first one fails; it is then like any attempt after a retry.

use peridotrack_types::{id, name};

use crate::{
    event::{Action, Outcome},
    hedge::Denial,
    place,
    request::{Attempt, Beginning, Phase, Request},
    router::Router,
};

/// Mean estimated requests per slot of the usable servers from which on nothing is hedged: the second
/// attempts would take the room of requests that are about to arrive.
const MAX_MEAN_LOAD: f64 = 0.8;
/// Requests per slot from which on a server is full.
const FULL_LOAD: f64 = 1.0;

/// A second attempt that is to be sent, with the inputs of the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hedge {
    /// Backend server to send the request to.
    pub backend: name::BackendServer,
    /// Number of dispatches of this request including this one.
    pub attempt: u32,
    /// Time without an answer after which it was due, in microseconds.
    pub delay_us: u64,
    /// Time for which the first attempt has had no answer, in microseconds.
    pub waited_us: u64,
}

impl Router {
    /// Returns when a second attempt of a request is due; `None` if the request gets none. The time is
    /// fixed at the dispatch: if it followed the recent times, slow answers would defer the hedges of
    /// the requests behind them.
    pub fn hedge_due_us(&self, request_id: id::Request) -> Option<u64> {
        let request = self.requests.get(&request_id)?;
        let attempt = first_attempt(request)?;
        Some(attempt.dispatched_us + request.hedge_delay_us?)
    }

    /// Begins a second attempt of a request at another server.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is to be none; nothing is counted then.
    pub fn hedge(&mut self, now_us: u64, request_id: id::Request) -> Result<Hedge, Denial> {
        let request = self.requests.get(&request_id).ok_or(Denial::Ineligible)?;
        let first = *first_attempt(request).ok_or(Denial::Ineligible)?;
        let pool = &self.pools[request.pool];
        let hedges = pool.hedges.as_ref().ok_or(Denial::Ineligible)?;
        let tokens = request.hedge_tokens();
        if !first.sent {
            return Err(Denial::Ineligible);
        }
        let delay_us = request.hedge_delay_us.ok_or(Denial::NotDue)?;
        let waited_us = now_us.saturating_sub(first.dispatched_us);
        if waited_us < delay_us || request.deadline_us <= now_us {
            return Err(Denial::NotDue);
        }
        if !hedges.is_overtaken(now_us, tokens, first.dispatched_us) {
            return Err(Denial::NotOvertaken);
        }
        let max_dispatches = request.max_dispatches.unwrap_or(u32::MAX);
        if request.dispatches >= max_dispatches.min(self.options.max_dispatches) {
            return Err(Denial::Attempts);
        }
        if !pool.queue.is_empty()
            || !pool.continuations.is_empty()
            || self.is_loaded(now_us, request)
        {
            return Err(Denial::Overload);
        }
        if !hedges.allowance.allows(now_us, tokens) {
            return Err(Denial::Ratio);
        }
        let query = place::Query {
            now_us,
            prefix_hash: request.prefix_hash,
            prompt: request.prompt.as_ref(),
            may_probe: false,
            origin: None,
            excluded: &[first.backend],
        };
        let index = place::choose(&self.backends, pool, &query, &self.options, &mut self.rng);
        let index = index.ok_or(Denial::NoServer)?;
        let backend = &self.backends[index];
        if !backend.breaker.is_closed() || backend.load(now_us, &pool.prior) >= FULL_LOAD {
            return Err(Denial::NoServer);
        }
        if !self.pools[request.pool].retries.try_take(now_us) {
            return Err(Denial::RetryBudget);
        }
        Ok(self.begin_second(now_us, request_id, index, tokens, (delay_us, waited_us)))
    }

    /// Returns whether the second attempt of a request may still be sent; see [`Self::may_send`].
    pub fn may_send_second(&self, now_us: u64, request_id: id::Request) -> bool {
        let request = self.requests.get(&request_id);
        let second = request.and_then(|request| request.second.as_ref());
        second.is_some_and(|second| self.may_send_attempt(now_us, second))
    }

    /// Returns whether a byte of the second attempt of a request may have been sent.
    pub fn is_second_sent(&self, request_id: id::Request) -> bool {
        let request = self.requests.get(&request_id);
        let second = request.and_then(|request| request.second.as_ref());
        second.is_some_and(|second| second.sent)
    }

    /// Returns whether the usable servers of a request's pool are nearly full on average.
    fn is_loaded(&self, now_us: u64, request: &Request) -> bool {
        let pool = &self.pools[request.pool];
        let backends = pool.members().map(|member| &self.backends[member.index]);
        let usable = backends.filter(|backend| backend.is_usable(now_us, &self.options));
        let loads = usable.map(|backend| backend.load(now_us, &pool.prior));
        let (sum, count) = loads.fold((0.0, 0), |(sum, count), load| (sum + load, count + 1));
        sum >= MAX_MEAN_LOAD * f64::from(count)
    }

    fn begin_second(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        index: usize,
        tokens: u64,
        (delay_us, waited_us): (u64, u64),
    ) -> Hedge {
        let prompt = self.requests[&request_id].prompt.clone();
        let pool = self.requests[&request_id].pool;
        if let Some(hedges) = &mut self.pools[pool].hedges {
            hedges.allowance.take(now_us, tokens);
        }
        let second = self.begin_attempt(now_us, pool, prompt.as_ref(), index);
        let mut attempt = 0;
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.dispatches += 1;
            attempt = request.dispatches;
            request.second = Some(second);
        }
        Hedge {
            backend: self.backends[index].name.clone(),
            attempt,
            delay_us,
            waited_us,
        }
    }

    /// Records that a byte of the second attempt may have been sent.
    pub(crate) fn on_second_sent(&mut self, request_id: id::Request) {
        let request = self.requests.get_mut(&request_id);
        if let Some(second) = request.and_then(|request| request.second.as_mut()) {
            second.sent = true;
        }
    }

    /// Ends a second attempt that did not win; the first one goes on.
    pub(crate) fn on_second_finished(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        if let Some(second) = request.second.take() {
            let is_unsent = matches!(outcome, Outcome::ConnectFailed | Outcome::Withdrawn);
            request.unsent_dispatches += u32::from(is_unsent);
            request.add_failed_backend(second.backend);
            self.end_second(now_us, &mut request, second, outcome, actions);
        }
        self.requests.insert(request_id, request);
    }

    /// Cancels the first attempt in favour of the second one, which takes its place.
    pub(crate) fn on_second_won(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        if let (Phase::InFlight(first), Some(second)) = (request.phase, request.second.take()) {
            request.phase = Phase::InFlight(second);
            if let Some(hedges) = &mut self.pools[request.pool].hedges {
                hedges.on_abandoned(now_us, request.hedge_tokens(), first.dispatched_us);
            }
            self.end_second(now_us, &mut request, first, Outcome::Cancelled, actions);
        }
        self.requests.insert(request_id, request);
    }

    /// Ends one of two attempts, or the second one together with the request.
    pub(crate) fn end_second(
        &mut self,
        now_us: u64,
        request: &mut Request,
        mut attempt: Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.end_attempt(now_us, request, &mut attempt, outcome, actions);
        self.free_if_drained(now_us, attempt.backend, actions);
        self.dispatch_queued_to(now_us, attempt.backend, actions);
    }
}

/// Returns the only attempt of a request that may get a second one: it may run more than once, was
/// dispatched once, and no part of a response arrived.
fn first_attempt(request: &Request) -> Option<&Attempt> {
    let Phase::InFlight(attempt) = &request.phase else {
        return None;
    };
    let is_first = request.dispatches == 1 && request.resumes == 0 && request.second.is_none();
    let has_begun = attempt.response_started
        || request.events_seen > 0
        || request.beginning != Beginning::Ahead;
    (request.idempotent && is_first && !has_begun).then_some(attempt)
}
