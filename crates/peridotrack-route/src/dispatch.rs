//! Dispatch, queueing and refusal of requests.
//!
//! A request that no server can take at once is queued in its pool, unless its expected wait is
//! too long for its deadline. Queued requests are dispatched as servers become available.

use peridotrack_types::{id, problem};

use crate::{
    event::Action,
    place, queue,
    request::{Attempt, Beginning, Phase, Request},
    router::Router,
};

/// When a server that is not usable may become so.
#[derive(Debug, Clone, Copy)]
struct Usable {
    at_us: u64,
    /// Whether the end of a pause decides it.
    is_pause: bool,
}

/// Minimum expected service time of a request, as a share of the mean duration in its pool.
const MIN_SERVICE_SHARE: f64 = 0.5;

impl Router {
    /// Dispatches, queues or refuses a request.
    ///
    /// A request is dispatched at once only if no other is queued in its pool.
    pub(crate) fn place_or_queue(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        if request.deadline_us <= now_us {
            let kind = problem::Kind::Overloaded;
            let retry_after_us = self.pools[request.pool].dequeue_us(1);
            return refuse(actions, request_id, &request, kind, retry_after_us);
        }
        if request.beginning != Beginning::Ahead {
            return self.place_continuation(now_us, request_id, request, actions);
        }
        if self.pools[request.pool].queue.is_empty()
            && let Some(index) = self.choose(now_us, &request)
        {
            return self.dispatch(now_us, request_id, request, index, actions);
        }
        if !self.has_usable_backend(now_us, request.pool) {
            let kind = problem::Kind::NoBackendServer;
            let retry_after_us = self.time_to_usable_us(now_us, request.pool);
            return refuse(actions, request_id, &request, kind, retry_after_us);
        }
        self.enqueue(now_us, request_id, request, actions);
    }

    /// Dispatches queued requests of a pool while a server is available for the next one.
    pub(crate) fn dispatch_queued(&mut self, now_us: u64, pool: usize, actions: &mut Vec<Action>) {
        self.dispatch_continuations(now_us, pool, actions);
        while let Some((request_id, request)) = self.next_queued(now_us, pool, None, actions) {
            match self.choose(now_us, &request) {
                Some(index) => self.dispatch(now_us, request_id, request, index, actions),
                None => {
                    self.requests.insert(request_id, request);
                    return;
                }
            }
            self.pools[pool].queue.remove(request_id);
        }
    }

    /// Dispatches queued requests of its pools to a server while it is available.
    pub(crate) fn dispatch_queued_to(
        &mut self,
        now_us: u64,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        for position in 0..self.backends[index].pools.len() {
            let pool = self.backends[index].pools[position];
            self.dispatch_continuations(now_us, pool, actions);
            while self.backends[index].is_available(now_us, &self.options) {
                let next = self.next_queued(now_us, pool, Some(index), actions);
                let Some((request_id, request)) = next else {
                    break;
                };
                self.pools[pool].queue.remove(request_id);
                self.dispatch(now_us, request_id, request, index, actions);
            }
        }
    }

    /// Refuses queued requests that can no longer finish before their deadline.
    pub(crate) fn refuse_late(&mut self, now_us: u64, pool: usize, actions: &mut Vec<Action>) {
        let late: Vec<_> = self.pools[pool]
            .queue
            .iter()
            .map(|entry| entry.request_id)
            .filter(|id| {
                let request = self.requests.get(id);
                request.is_none_or(|request| self.is_late(now_us, request))
            })
            .collect();
        for request_id in late {
            self.refuse_queued(now_us, request_id, problem::Kind::Overloaded, actions);
        }
    }

    /// Refuses the queued requests of those pools of server `index` that have no usable server.
    pub(crate) fn refuse_unserved_pools(
        &mut self,
        now_us: u64,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        for position in 0..self.backends[index].pools.len() {
            let pool = self.backends[index].pools[position];
            self.refuse_if_unserved(now_us, pool, actions);
        }
    }

    /// Refuses the queued requests of a pool if it has no usable server, except for those that can
    /// wait until the first pause of a server ends.
    pub(crate) fn refuse_if_unserved(
        &mut self,
        now_us: u64,
        pool: usize,
        actions: &mut Vec<Action>,
    ) {
        if self.pools[pool].queue.is_empty() || self.has_usable_backend(now_us, pool) {
            return;
        }
        let first = self.first_usable(now_us, pool);
        let resumes_us = first
            .filter(|first| first.is_pause)
            .map(|first| first.at_us);
        let queued = self.pools[pool].queue.iter();
        let unservable: Vec<_> = queued
            .map(|entry| entry.request_id)
            .filter(|id| {
                let request = self.requests.get(id);
                request.is_none_or(|request| {
                    resumes_us.is_none_or(|resumes_us| self.is_late(resumes_us, request))
                })
            })
            .collect();
        for request_id in unservable {
            self.refuse_queued(now_us, request_id, problem::Kind::NoBackendServer, actions);
        }
    }

    /// Returns whether a pool has a usable server; see [`crate::backend::Backend::is_usable`].
    pub(crate) fn has_usable_backend(&self, now_us: u64, pool: usize) -> bool {
        self.pools[pool]
            .members()
            .any(|member| self.backends[member.index].is_usable(now_us, &self.options))
    }

    /// Returns the first end that is known of all lasting reasons against a member of the pool.
    fn first_usable(&self, now_us: u64, pool: usize) -> Option<Usable> {
        let members = self.pools[pool].members();
        let ends = members.filter_map(|member| {
            let backend = &self.backends[member.index];
            let at_us = backend.usable_us(now_us, &self.options)?;
            let is_pause = backend.is_paused(now_us) && at_us == backend.paused_until_us;
            Some(Usable { at_us, is_pause })
        });
        ends.min_by_key(|end| end.at_us)
    }

    /// Returns the time after which a caller that is refused returns, because no member of the pool
    /// is usable: until the first one may become so, or the default Retry-After if that is not
    /// known. The returns after a pause are spread.
    pub(crate) fn time_to_usable_us(&mut self, now_us: u64, pool: usize) -> u64 {
        let Some(first) = self.first_usable(now_us, pool) else {
            return self.options.default_retry_after_us;
        };
        let return_us = match first.is_pause {
            true => {
                let interval_us = self.completion_interval_us(pool);
                let span_us = self.options.return_span_us;
                let returns = &mut self.pools[pool].returns;
                returns.assign(first.at_us, interval_us, span_us)
            }
            false => first.at_us,
        };
        return_us.saturating_sub(now_us)
    }

    /// Returns the mean time between two completions of this router's requests if all members of
    /// the pool are fully used.
    fn completion_interval_us(&self, pool: usize) -> u64 {
        let pool = &self.pools[pool];
        let members = pool.members().map(|member| &self.backends[member.index]);
        let slots: f64 = members.map(|backend| f64::from(backend.slots)).sum();
        (pool.prior.duration_us * pool.prior.routers / slots.max(1.0)) as u64
    }

    pub(crate) fn choose(&mut self, now_us: u64, request: &Request) -> Option<usize> {
        let query = place::Query {
            now_us,
            prefix_hash: request.prefix_hash,
            prompt: request.prompt.as_ref(),
            may_probe: request.idempotent && self.pools[request.pool].retries.allows(now_us),
            origin: request.origin(),
            excluded: request.failed_backends(),
        };
        let pool = &self.pools[request.pool];
        place::choose(&self.backends, pool, &query, &self.options, &mut self.rng)
    }

    pub(crate) fn dispatch(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        mut request: Request,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let pool = &mut self.pools[request.pool];
        let backend = &mut self.backends[index];
        let load = backend.load(now_us, &pool.prior);
        let (mut prefill_tokens, mut predicted_us, mut wait_us) = (0.0, 0.0, 0.0);
        if let Some(prompt) = &request.prompt {
            prefill_tokens = backend.prefill.tokens_to_prefill(now_us, prompt);
            wait_us = backend.prefill.wait_us(now_us, &pool.speed);
            predicted_us = wait_us + prefill_tokens * pool.speed.us_per_token;
            backend.prefill.on_dispatch(now_us, prompt, prefill_tokens);
            pool.speed.on_dispatch(prefill_tokens);
        }
        pool.in_flight += 1;
        request.dispatches += 1;
        if request.dispatches == 1 {
            let least_waiting_tokens = pool.queue.start_tokens(&pool.shares);
            pool.shares
                .charge(&request.account, request.size_tokens, least_waiting_tokens);
            pool.retries.on_first_dispatch(now_us);
        }
        request.phase = Phase::InFlight(Attempt {
            backend: index,
            lifetimes: backend.lifetimes,
            dispatched_us: now_us,
            sent: false,
            response_started: false,
            probe: backend.on_dispatch(now_us),
            load,
            prefill_tokens,
            predicted_us,
            wait_us,
        });
        actions.push(Action::Dispatch {
            request_id,
            backend: backend.name.clone(),
            attempt: request.dispatches,
        });
        self.requests.insert(request_id, request);
    }

    fn enqueue(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        mut request: Request,
        actions: &mut Vec<Action>,
    ) {
        let wait_us = self.wait_us(now_us, &request);
        let slack_us = (request.deadline_us - now_us).saturating_sub(self.min_service_us(&request));
        let max_wait_us = (slack_us as f64 * self.options.queue_wait_share) as u64;
        if wait_us > max_wait_us {
            let kind = problem::Kind::Overloaded;
            return refuse(actions, request_id, &request, kind, wait_us - max_wait_us);
        }
        let pool = &mut self.pools[request.pool];
        let entry = queue::Entry {
            request_id,
            account: request.account.clone(),
            priority: request.priority,
            queued_us: now_us,
            preferred: request
                .prefix_hash
                .and_then(|hash| place::home(&self.backends, pool, hash, &mut self.rng)),
            ahead_requests: 0,
        };
        let outcome = pool
            .queue
            .push(entry, self.queue_requests, self.options.ageing_us);
        if outcome == queue::Outcome::Full {
            let kind = problem::Kind::Overloaded;
            return refuse(actions, request_id, &request, kind, wait_us);
        }
        request.phase = Phase::Queued;
        self.requests.insert(request_id, request);
        if let queue::Outcome::Displaced(displaced) = outcome {
            self.refuse_queued(now_us, displaced, problem::Kind::Overloaded, actions);
        }
    }

    /// Removes the next queued request from `requests`, but leaves it in the queue.
    ///
    /// Requests that can no longer finish before their deadline are refused and skipped. Servers
    /// that failed the request before it was queued are considered again.
    fn next_queued(
        &mut self,
        now_us: u64,
        pool: usize,
        backend: Option<usize>,
        actions: &mut Vec<Action>,
    ) -> Option<(id::Request, Request)> {
        loop {
            let pool = &self.pools[pool];
            let query = queue::Query {
                now_us,
                ageing_us: self.options.ageing_us,
                overtake_tokens: self.options.overtake_tokens,
                shares: &pool.shares,
                backend,
            };
            let request_id = pool.queue.peek(&query)?.request_id;
            let late = self
                .requests
                .get(&request_id)
                .is_none_or(|request| self.is_late(now_us, request));
            if late {
                self.refuse_queued(now_us, request_id, problem::Kind::Overloaded, actions);
                continue;
            }
            let mut request = self.requests.remove(&request_id)?;
            request.clear_failed_backends();
            return Some((request_id, request));
        }
    }

    fn is_late(&self, now_us: u64, request: &Request) -> bool {
        now_us + self.min_service_us(request) > request.deadline_us
    }

    /// Returns the minimum expected service time of a request, in microseconds.
    fn min_service_us(&self, request: &Request) -> u64 {
        (self.pools[request.pool].prior.duration_us * MIN_SERVICE_SHARE) as u64
    }

    /// Returns the expected wait of a request if it is queued now, in microseconds.
    ///
    /// It is the larger of the estimate from the queue length and that from the observed pace of
    /// the account's oldest request.
    fn wait_us(&self, now_us: u64, request: &Request) -> u64 {
        let pool = &self.pools[request.pool];
        let (account, priority) = (&request.account, request.priority);
        let dequeue_us = pool.dequeue_us(pool.queue.requests_ahead(account, priority) + 1);
        dequeue_us.max(pool.queue.paced_wait_us(now_us, account, priority))
    }

    fn refuse_queued(
        &mut self,
        now_us: u64,
        request_id: id::Request,
        kind: problem::Kind,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(&request_id) else {
            return;
        };
        self.pools[request.pool].queue.remove(request_id);
        let retry_after_us = match kind {
            problem::Kind::NoBackendServer => self.time_to_usable_us(now_us, request.pool),
            _ => {
                let pool = &self.pools[request.pool];
                pool.dequeue_us(pool.queue.len() + 1)
            }
        };
        refuse(actions, request_id, &request, kind, retry_after_us);
    }
}

/// Refuses a request: with `not_run` if no attempt can have run, else with a kind that states that
/// the request may have run.
pub(crate) fn refuse(
    actions: &mut Vec<Action>,
    request_id: id::Request,
    request: &Request,
    not_run: problem::Kind,
    retry_after_us: u64,
) {
    actions.push(Action::Refuse {
        request_id,
        kind: request.refusal(not_run),
        retry_after_ms: retry_after_us.div_ceil(1_000).max(1),
    });
}

/// Refuses a request that no later attempt can expect to be served either.
pub(crate) fn refuse_for_good(
    actions: &mut Vec<Action>,
    request_id: id::Request,
    request: &Request,
    not_run: problem::Kind,
) {
    actions.push(Action::Refuse {
        request_id,
        kind: request.refusal(not_run),
        retry_after_ms: 0,
    });
}
