//! Progress and end of attempts.
//!
//! Updates the estimates of pool and backend server from each attempt, and decides whether a
//! failed one is followed by a resume, a retry or a refusal.

use peridotrack_types::{id, problem};

use crate::{
    breaker,
    dispatch::refuse,
    event::{self, Action, Note, Outcome},
    request::{Attempt, Phase, Request},
    router::Router,
};

impl Router {
    /// Records that a byte of the request may have been sent.
    pub(crate) fn on_sent(&mut self, request_id: id::Request) {
        if let Some(attempt) = self.attempt(request_id) {
            attempt.sent = true;
        }
    }

    /// Records the first part of a response and samples its first-token time.
    pub(crate) fn on_first_token(&mut self, now_us: u64, request_id: id::Request) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let pool = request.pool;
        let Some(attempt) = request.attempt() else {
            return;
        };
        attempt.sent = true;
        if attempt.response_started {
            return;
        }
        attempt.response_started = true;
        let prefilled_tokens = std::mem::take(&mut attempt.prefill_tokens);
        let attempt = Attempt {
            prefill_tokens: prefilled_tokens,
            ..*attempt
        };
        self.backends[attempt.backend]
            .prefill
            .on_prefilled(prefilled_tokens);
        self.sample_first_token(now_us, pool, &attempt);
    }

    /// Ends an attempt, decides what follows, and dispatches queued work to the server.
    pub(crate) fn on_finished(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        let Phase::InFlight(mut attempt) = request.phase else {
            self.requests.insert(request_id, request);
            return;
        };
        record_outcome(&mut request, &mut attempt, outcome);
        self.release(now_us, &request, &attempt);
        self.sample_outcome(now_us, &request, &attempt, outcome, actions);
        match outcome {
            Outcome::Done | Outcome::Cancelled => {}
            _ => self.handle_failure(now_us, request_id, request, &attempt, outcome, actions),
        }
        self.free_if_drained(now_us, attempt.backend, actions);
        self.dispatch_queued_to(now_us, attempt.backend, actions);
    }

    /// Resumes, retries or refuses a request whose attempt failed.
    fn handle_failure(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        mut request: Request,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let resumes = self.can_resume(&request, attempt);
        let is_unsent = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::NoPath | Outcome::Withdrawn
        );
        request.unsent_dispatches += u32::from(is_unsent);
        let is_proven = outcome == Outcome::RefusedNotRun && self.options.retry_proven_not_run;
        let retries = can_retry(&request, attempt, is_proven, self.options.max_dispatches);
        if request.deadline_us <= now_us || !(resumes || retries) {
            return self.refuse_failed(now_us, request_id, &request, outcome, actions);
        }
        // A withdrawn request is no retry: it was not sent. A refusal puts the server into backoff at once, so that retries of refusals cannot grow
        // into a retry storm; each request is still bounded in its dispatches.
        let is_exempt = match outcome {
            Outcome::Withdrawn => true,
            Outcome::RefusedNotRun => !self.options.charge_refusal_retries,
            _ => false,
        };
        if !is_exempt && !self.pools[request.pool].retries.try_take(now_us) {
            actions.push(Action::Note(Note::RetryDenied { request_id }));
            return self.refuse_failed(now_us, request_id, &request, outcome, actions);
        }
        if resumes {
            self.resume(now_us, request_id, request, attempt, actions);
        } else {
            request.add_failed_backend(attempt.backend);
            self.place_or_queue(now_us, request_id, request, actions);
        }
    }

    /// Returns whether the stream can be continued at the server of the attempt that failed.
    fn can_resume(&self, request: &Request, attempt: &Attempt) -> bool {
        let backend = &self.backends[attempt.backend];
        request.idempotent
            && request.continuation == event::Continuation::SameServer
            && request.events_seen > 0
            && request.resumes < self.options.max_resumes
            && backend.breaker.is_closed()
            && !backend.is_evacuated
    }

    fn resume(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        mut request: Request,
        attempt: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        let backend = &mut self.backends[attempt.backend];
        backend.on_dispatch(now_us);
        self.pools[request.pool].in_flight += 1;
        request.resumes += 1;
        request.phase = Phase::InFlight(Attempt {
            dispatched_us: now_us,
            probe: false,
            response_started: true,
            ..*attempt
        });
        actions.push(Action::Resume {
            request_id,
            backend: backend.name.clone(),
            offset: request.events_seen,
        });
        self.requests.insert(request_id, request);
    }

    /// Removes an ended attempt from the counts of its server and pool.
    fn release(&mut self, now_us: u64, request: &Request, attempt: &Attempt) {
        let backend = &mut self.backends[attempt.backend];
        backend.on_release(now_us);
        backend.prefill.on_prefilled(attempt.prefill_tokens);
        let pool = &mut self.pools[request.pool];
        pool.in_flight = pool.in_flight.saturating_sub(1);
    }

    /// Updates the breaker, the limit and the backoff of the server from the outcome of an attempt.
    fn sample_outcome(
        &mut self,
        now_us: u64,
        request: &Request,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let sample = match outcome {
            Outcome::Done => breaker::Sample::Success,
            Outcome::ConnectFailed => breaker::Sample::ConnectFailure,
            Outcome::Broken { .. } | Outcome::Timeout { .. } => breaker::Sample::Failure,
            Outcome::NoPath | Outcome::RefusedNotRun | Outcome::Withdrawn | Outcome::Cancelled => {
                breaker::Sample::Neutral
            }
        };
        if outcome == Outcome::Done {
            self.pools[request.pool].on_duration(now_us.saturating_sub(attempt.dispatched_us));
            if !attempt.response_started {
                self.sample_first_token(now_us, request.pool, attempt);
            }
        }
        let jitter = self.rng.f64();
        let backend = &mut self.backends[attempt.backend];
        if outcome == Outcome::RefusedNotRun {
            backend.limit.on_refusal();
            let backoff_us = self.options.refusal_backoff_us as f64 * (0.5 + jitter);
            backend.backoff_until_us = now_us + backoff_us as u64;
        }
        let options = &self.options;
        let change = backend
            .breaker
            .on_sample(now_us, sample, attempt.probe, jitter, options);
        let name = backend.name.clone();
        match change {
            breaker::Change::None => {}
            breaker::Change::Closed => {
                self.begin_slow_start(now_us, attempt.backend);
                actions.push(Action::Note(Note::BreakerClosed { backend: name }));
            }
            breaker::Change::Opened { open_us } => {
                let note = Note::BreakerOpened {
                    backend: name,
                    open_us,
                };
                actions.push(Action::Note(note));
                self.refuse_unserved_pools(now_us, attempt.backend, actions);
            }
        }
    }

    fn sample_first_token(&mut self, now_us: u64, pool: usize, attempt: &Attempt) {
        let first_token_us = now_us.saturating_sub(attempt.dispatched_us);
        let pool = &mut self.pools[pool];
        let backend = &mut self.backends[attempt.backend];
        if attempt.predicted_us > 0.0 {
            let (first_us, predicted_us) = (first_token_us as f64, attempt.predicted_us);
            backend
                .prefill
                .on_first_token(now_us, first_us, predicted_us);
            if attempt.wait_us == 0.0 {
                pool.speed
                    .on_unqueued_first_token(first_us, attempt.prefill_tokens);
            }
        }
        let expected_us = match attempt.predicted_us > 0.0 {
            true => attempt.predicted_us,
            false => backend.score_us(now_us, &pool.prior),
        };
        backend
            .limit
            .on_first_token(first_token_us as f64, expected_us, backend.in_flight);
        backend
            .load_estimate
            .on_first_token(now_us, first_token_us, attempt.load, &pool.prior);
        pool.on_idle_first_token(
            backend
                .load_estimate
                .idle_first_token_us(now_us, &pool.prior),
        );
    }

    /// Refuses a request whose attempt failed. The caller returns after the wait in the queue, or
    /// when a server may become usable or reachable if none is.
    fn refuse_failed(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        request: &Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let (not_run, retry_after_us) = match self.has_usable_backend(now_us, request.pool) {
            true if outcome == Outcome::NoPath => (
                problem::Kind::NoBackendServer,
                self.options.default_retry_after_us,
            ),
            true => {
                let pool = &self.pools[request.pool];
                let retry_after_us = pool.dequeue_us(pool.queue.len() + 1);
                (problem::Kind::Overloaded, retry_after_us)
            }
            false => {
                let retry_after_us = self.time_to_usable_us(now_us, request.pool);
                (problem::Kind::NoBackendServer, retry_after_us)
            }
        };
        refuse(actions, request_id, request, not_run, retry_after_us);
    }

    fn attempt(&mut self, request_id: id::Request) -> Option<&mut Attempt> {
        self.requests.get_mut(&request_id)?.attempt()
    }
}

/// Merges the outcome reported by the driver with what was recorded during the attempt.
fn record_outcome(request: &mut Request, attempt: &mut Attempt, outcome: Outcome) {
    match outcome {
        Outcome::Broken { sent, events_seen } => {
            attempt.sent |= sent || events_seen > 0;
            request.events_seen = request.events_seen.max(events_seen);
        }
        Outcome::Timeout { sent } => attempt.sent |= sent,
        _ => {}
    }
    if attempt.response_started {
        request.events_seen = request.events_seen.max(1);
    }
    if attempt.sent && outcome != Outcome::RefusedNotRun {
        request.may_have_run = true;
    }
}

/// Returns whether a request may be dispatched again from its beginning.
///
/// A non-idempotent request is not dispatched again once a byte of it was sent, unless
/// `is_proven`: the server proved that it did not run, and such proofs are trusted. Once a part
/// of the response was received, another run could not continue it, unless any server can
/// continue the stream.
fn can_retry(request: &Request, attempt: &Attempt, is_proven: bool, max_dispatches: u32) -> bool {
    let can_continue = request.continuation == event::Continuation::AnyServer;
    // The bound in the offer covers only dispatches that established a connection; the total is
    // bounded by the larger of this bound and `max_dispatches`.
    let is_within_bound = match request.max_dispatches {
        Some(max_sends) => {
            request.dispatches - request.unsent_dispatches < max_sends
                && request.dispatches < max_sends.max(max_dispatches)
        }
        None => request.dispatches < max_dispatches,
    };
    is_within_bound
        && (request.events_seen == 0 || can_continue)
        && (request.idempotent || !attempt.sent || is_proven)
}
