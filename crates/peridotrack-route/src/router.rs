//! The router state machine and its entry points.
//!
//! [`Router`] owns all backend servers, pools and requests without a final outcome. Placement,
//! dispatch, the end of attempts and configuration are implemented in sibling modules.

use std::collections::BTreeMap;

use peridotrack_types::{
    collections::{HashMap, HashSet},
    id, name, problem, stream,
};

use crate::{
    backend::Backend,
    eligibility::{Ineligibility, Reason},
    event::{Action, Event, Note, Offer, Outcome, Target},
    options::Options,
    pace,
    pool::Pool,
    request::{Phase, Request},
    status,
};

/// Decides which requests are dispatched where, queued, resumed, retried or refused.
///
/// Each offered request gets exactly one final outcome: [`Outcome::Done`] or
/// [`Outcome::Cancelled`] from the driver, [`Router::cancel`], or [`Action::Refuse`].
#[derive(Debug)]
pub struct Router {
    pub(crate) options: Options,
    /// Failure domain of this router.
    pub(crate) local_domain: name::FailureDomain,
    pub(crate) rng: fastrand::Rng,
    pub(crate) backends: Vec<Backend>,
    /// Indices in `backends` of drained servers, reused for new ones.
    pub(crate) free_indices: Vec<usize>,
    /// Index in `backends` of each server that is not drained.
    pub(crate) by_name: HashMap<name::BackendServer, usize>,
    /// Rates of this router's requests to servers that state a limit, also to those that the register
    /// does not name yet.
    pub(crate) rates: HashMap<name::BackendServer, f64>,
    /// Failure domains that are evacuated, also those without a server in the register.
    pub(crate) evacuated: HashSet<name::FailureDomain>,
    pub(crate) pools: Vec<Pool>,
    /// Index in `pools` of the pool of each target.
    pub(crate) by_target: HashMap<Target, usize>,
    /// Requests without a final outcome.
    pub(crate) requests: HashMap<id::Request, Request>,
    /// Limit on the queued requests of each pool, from the operators' rules.
    pub(crate) queue_requests: usize,
    /// Whether a configuration was applied; servers added later begin with a slow start.
    pub(crate) configured: bool,
}

/// Constructors.
impl Router {
    /// Returns a router in the failure domain `local_domain`, without backend servers.
    ///
    /// Routers with the same `seed` and the same events make the same decisions.
    pub fn new(
        options: Options,
        local_domain: name::FailureDomain,
        seed: u64,
        _now_us: u64,
    ) -> Self {
        Self {
            options,
            local_domain,
            rng: fastrand::Rng::with_seed(seed),
            backends: Vec::new(),
            free_indices: Vec::new(),
            by_name: HashMap::default(),
            rates: HashMap::default(),
            evacuated: HashSet::default(),
            pools: Vec::new(),
            by_target: HashMap::default(),
            requests: HashMap::default(),
            queue_requests: 0,
            configured: false,
        }
    }
}

/// Queries of the load and the status.
impl Router {
    /// Returns the number of requests without a final outcome, queued or in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of usable backend servers of `targets` and this router's requests in
    /// flight there; a server of several targets counts for each.
    pub fn load_of(&self, now_us: u64, targets: &[Target]) -> (u64, u64) {
        let pools = targets
            .iter()
            .filter_map(|target| self.by_target.get(target));
        let members = pools.flat_map(|pool| self.pools[*pool].members());
        let backends = members.map(|member| &self.backends[member.index]);
        backends.fold((0, 0), |(usable, in_flight), backend| {
            let is_usable = u64::from(backend.is_usable(now_us, &self.options));
            (usable + is_usable, in_flight + u64::from(backend.in_flight))
        })
    }

    /// Returns the lasting reasons against the backend servers of `targets`, each with the number of
    /// servers and the first of its known ends, for a request that continues the stream which began
    /// at `origin` if there is one.
    pub fn ineligible(
        &self,
        now_us: u64,
        targets: &[Target],
        origin: Option<&stream::Origin>,
    ) -> BTreeMap<Reason, (u64, Option<u64>)> {
        let pools = targets
            .iter()
            .filter_map(|target| self.by_target.get(target));
        let members = pools.flat_map(|pool| self.pools[*pool].members());
        let reasons = members.flat_map(|member| {
            self.backends[member.index].ineligibilities_for(now_us, &self.options, origin)
        });
        let mut summary = BTreeMap::new();
        for Ineligibility { reason, until_us } in reasons.filter(|it| !it.reason.is_brief()) {
            let (count, first_us) = summary.entry(reason).or_insert((0, None));
            *count += 1;
            *first_us = (*first_us).into_iter().chain(until_us).min();
        }
        summary
    }

    /// Returns the state that operators see, as of `now_us`.
    pub fn status(&self, now_us: u64) -> status::Report {
        let mut indices: Vec<_> = self.by_name.values().copied().collect();
        indices.sort_by(|&a, &b| self.backends[a].name.cmp(&self.backends[b].name));
        status::Report {
            backend_servers: indices
                .into_iter()
                .map(|index| self.backend_status(now_us, index))
                .collect(),
            pools: self.pools.iter().map(pool_status).collect(),
        }
    }

    fn backend_status(&self, now_us: u64, index: usize) -> status::BackendServer {
        let backend = &self.backends[index];
        let local = f64::from(backend.in_flight);
        let others = |&pool: &usize| {
            let prior = &self.pools[pool].prior;
            backend.load_estimate.total_requests(now_us, local, prior) - local
        };
        status::BackendServer {
            name: backend.name.clone(),
            failure_domain: backend.failure_domain.clone(),
            in_flight_requests: backend.in_flight,
            limit_requests: backend.limit_requests(now_us, &self.options),
            others_requests: backend.pools.first().map_or(0.0, others),
            breaker: backend.breaker.state(now_us),
            drain: backend.drain.state(),
            ineligibilities: backend.ineligibilities(now_us, &self.options).collect(),
            slow_start: backend.slow_start_us.is_some(),
            report_age_us: backend.load_estimate.report_age_us(now_us),
        }
    }
}

/// Requests, events and the state of backend servers.
impl Router {
    /// Accepts a request, and dispatches, queues or refuses it.
    ///
    /// The offer is ignored if the same request was offered before and has no final outcome yet.
    pub fn offer(&mut self, now_us: u64, offer: Offer) -> Vec<Action> {
        let mut actions = Vec::new();
        let request_id = offer.request_id;
        if self.requests.contains_key(&request_id) {
            return actions;
        }
        let Some(&pool) = self.by_target.get(&offer.target) else {
            actions.push(Action::Refuse {
                request_id,
                kind: problem::Kind::NoBackendServer,
                retry_after_ms: self.options.default_retry_after_us.div_ceil(1_000),
            });
            return actions;
        };
        self.pools[pool].popularity.on_request(offer.prefix_hash);
        let request = Request::new(pool, offer);
        self.place_or_queue(now_us, request_id, request, &mut actions);
        actions
    }

    /// Returns whether a request may still be sent to the server that it was dispatched to. The
    /// server may have stated that it leaves, asked for a pause, become limited or started again, while
    /// a connection was opened.
    pub fn may_send(&self, now_us: u64, request_id: id::Request) -> bool {
        let Some(Phase::InFlight(attempt)) =
            self.requests.get(&request_id).map(|request| request.phase)
        else {
            return false;
        };
        let backend = &self.backends[attempt.backend];
        let mut ineligibilities = backend.ineligibilities(now_us, &self.options);
        let is_uncounted = |pace: pace::Pace| pace.began_after(attempt.dispatched_us);
        backend.lifetimes == attempt.lifetimes
            && !backend.pace.is_some_and(is_uncounted)
            && ineligibilities.all(|ineligibility| !ineligibility.reason.withdraws())
    }

    /// Cancels a request whose caller disconnected; its final outcome is
    /// [`Outcome::Cancelled`].
    pub fn cancel(&mut self, now_us: u64, request_id: id::Request) -> Vec<Action> {
        let mut actions = Vec::new();
        match self
            .requests
            .get(&request_id)
            .map(|request| (request.phase, request.pool))
        {
            None => {}
            Some((Phase::Queued, pool)) => {
                let pool = &mut self.pools[pool];
                pool.queue.remove(request_id);
                pool.continuations.retain(|waiting| *waiting != request_id);
                self.requests.remove(&request_id);
            }
            Some((Phase::InFlight(_), _)) => {
                self.on_finished(now_us, request_id, Outcome::Cancelled, &mut actions);
            }
        }
        actions
    }

    /// Applies an event.
    ///
    /// Events for requests without an attempt in flight and for unknown servers are ignored.
    pub fn on_event(&mut self, now_us: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.on_tick(now_us, &mut actions),
            Event::Sent { request_id } => self.on_sent(request_id),
            Event::FirstToken { request_id } => {
                self.begin_stream(request_id);
                self.on_first_token(now_us, request_id);
            }
            Event::Finished {
                request_id,
                outcome,
            } => self.on_finished(now_us, request_id, outcome, &mut actions),
            Event::LoadReport { .. } => self.on_report(now_us, &event, &mut actions),
            Event::Leaving { backend } => self.on_leaving(now_us, &backend, &mut actions),
            Event::LeavingStated {
                backend,
                started_ms,
            } => self.on_leaving_stated(now_us, &backend, started_ms, &mut actions),
            Event::Ended {
                backend,
                started_ms,
            } => self.on_ended(&backend, started_ms, &mut actions),
            Event::Pause {
                backend,
                duration_us,
            } => self.on_pause(now_us, &backend, duration_us, &mut actions),
            Event::Rate { backend, per_s } => self.on_rate(now_us, &backend, per_s, &mut actions),
            Event::Evacuated {
                failure_domain,
                is_evacuated,
            } => self.on_evacuated(now_us, &failure_domain, is_evacuated, &mut actions),
            Event::Connected { backend } => {
                if let Some(&index) = self.by_name.get(&backend) {
                    self.backends[index].breaker.on_connected();
                }
            }
            Event::ConnectFailuresExplained { since_us } => {
                self.on_connect_failures_explained(now_us, since_us, &mut actions);
            }
        }
        actions
    }

    fn on_tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        for index in 0..self.backends.len() {
            let backend = &mut self.backends[index];
            backend.on_tick(now_us, &self.options);
            if backend.drain.on_tick(now_us, &self.options) {
                self.on_returned(now_us, index, actions);
            }
        }
        self.free_drained(now_us, actions);
        for pool in 0..self.pools.len() {
            self.refuse_late(now_us, pool, actions);
            self.clear_failures_of_continuations(pool);
            self.dispatch_queued(now_us, pool, actions);
        }
    }

    /// Takes back what failed connections since `since_us` changed, and dispatches queued work.
    fn on_connect_failures_explained(
        &mut self,
        now_us: u64,
        since_us: u64,
        actions: &mut Vec<Action>,
    ) {
        for backend in &mut self.backends {
            if backend.breaker.forgive_connect_failures(since_us) {
                actions.push(Action::Note(Note::BreakerClosed {
                    backend: backend.name.clone(),
                }));
            }
        }
        for pool in 0..self.pools.len() {
            self.dispatch_queued(now_us, pool, actions);
        }
    }

    fn on_report(&mut self, now_us: u64, event: &Event, actions: &mut Vec<Action>) {
        let Event::LoadReport {
            backend: name,
            running,
            queued,
            slots,
            duration_percent,
            age_us,
            leaving,
        } = event
        else {
            return;
        };
        let Some(&index) = self.by_name.get(name) else {
            return;
        };
        let measured_us = now_us.saturating_sub(*age_us);
        if *leaving {
            self.on_leaving(now_us, name, actions);
        } else {
            self.on_not_leaving(now_us, measured_us, index, actions);
        }
        let backend = &mut self.backends[index];
        backend.prefill.on_report(measured_us, *queued);
        if let Some(percent) = duration_percent {
            backend.stated_duration.on_report(measured_us, *percent);
        }
        if *slots > 0 && *slots != backend.slots {
            backend.slots = *slots;
            backend.limit.set_slots(*slots);
        }
        let total = running.saturating_add(*queued);
        let Some(local) = backend.load_estimate.on_report(measured_us, total) else {
            return;
        };
        backend.limit.on_report(local, total);
        for &pool in &backend.pools {
            self.pools[pool].on_report(local, total);
        }
        self.dispatch_queued_to(now_us, index, actions);
    }

    /// Sets the rate of this router's requests to a server. After the end of a limit they increase
    /// slowly, because the server may still be in need.
    fn on_rate(
        &mut self,
        now_us: u64,
        name: &name::BackendServer,
        per_s: Option<f64>,
        actions: &mut Vec<Action>,
    ) {
        match per_s {
            Some(per_s) => drop(self.rates.insert(name.clone(), per_s)),
            None => drop(self.rates.remove(name)),
        }
        let Some(&index) = self.by_name.get(name) else {
            return;
        };
        let pace = &mut self.backends[index].pace;
        match (per_s, pace.as_mut()) {
            (Some(per_s), Some(pace)) => pace.set(now_us, per_s),
            (Some(per_s), None) => *pace = Some(pace::Pace::new(now_us, per_s)),
            (None, Some(_)) => {
                *pace = None;
                self.begin_slow_start(now_us, index);
            }
            (None, None) => {}
        }
        self.refuse_unserved_pools(now_us, index, actions);
    }

    fn on_leaving(&mut self, now_us: u64, name: &name::BackendServer, actions: &mut Vec<Action>) {
        let Some(&index) = self.by_name.get(name) else {
            return;
        };
        if self.backends[index].drain.on_leaving(now_us) {
            let backend = name.clone();
            actions.push(Action::Note(Note::Leaving { backend }));
            self.refuse_unserved_pools(now_us, index, actions);
        }
    }

    /// Records a server's statement that it leaves. One of an earlier lifetime is ignored.
    fn on_leaving_stated(
        &mut self,
        now_us: u64,
        name: &name::BackendServer,
        started_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.by_name.get(name) else {
            return;
        };
        let backend = &mut self.backends[index];
        let is_current = backend.is_current(started_ms);
        let started_ms = started_ms.or(backend.lifetime.started_ms);
        if is_current && backend.drain.on_leaving_stated(now_us, started_ms) {
            actions.push(Action::Note(Note::LeavingStated {
                backend: name.clone(),
                started_ms,
            }));
            self.refuse_unserved_pools(now_us, index, actions);
        }
    }

    fn on_ended(
        &mut self,
        name: &name::BackendServer,
        started_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.by_name.get(name) else {
            return;
        };
        if self.backends[index].end(started_ms) {
            actions.push(Action::Note(Note::Ended {
                backend: name.clone(),
                started_ms,
            }));
        }
    }

    /// Records a server's request for a pause. Queued requests that cannot wait for its end are
    /// refused.
    fn on_pause(
        &mut self,
        now_us: u64,
        name: &name::BackendServer,
        duration_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.by_name.get(name) else {
            return;
        };
        if self.backends[index].pause(now_us + duration_us) {
            actions.push(Action::Note(Note::Paused {
                backend: name.clone(),
                duration_us,
            }));
            self.refuse_unserved_pools(now_us, index, actions);
        }
    }

    fn on_not_leaving(
        &mut self,
        now_us: u64,
        measured_us: u64,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        if self.backends[index]
            .drain
            .on_not_leaving(measured_us, &self.options)
        {
            self.on_returned(now_us, index, actions);
        }
    }

    fn on_returned(&mut self, now_us: u64, index: usize, actions: &mut Vec<Action>) {
        let backend = &mut self.backends[index];
        backend.breaker.on_flap(now_us, &self.options);
        let backend = backend.name.clone();
        self.begin_slow_start(now_us, index);
        actions.push(Action::Note(Note::Returned { backend }));
    }
}

fn pool_status(pool: &Pool) -> status::Pool {
    status::Pool {
        target: pool.target.clone(),
        backend_servers: pool.len(),
        in_flight_requests: pool.in_flight,
        queued_requests: pool.queue.len() + pool.continuations.len(),
    }
}
