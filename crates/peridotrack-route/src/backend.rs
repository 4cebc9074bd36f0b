//! State of one backend server in the router.
//!
//! [`Backend`] joins the load estimate, concurrency limit, circuit breaker and drain state of a
//! server and derives from them whether it may receive a request and at what expected latency.

use peridotrack_types::{name, register, stream};

use crate::{
    breaker, drain,
    eligibility::{Ineligibility, Reason},
    limit, load_estimate,
    options::Options,
    pace, prefill, prefix,
};

/// State of one backend server, as this router sees it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Name in the asset register.
    pub name: name::BackendServer,
    /// Failure domain in the asset register.
    pub failure_domain: name::FailureDomain,
    /// Run of its process that the register names.
    pub lifetime: register::Lifetime,
    /// Number of changes of `lifetime`, counted from 0.
    pub lifetimes: u64,
    /// Whether the process of `lifetime` has ended, so that the version of one that has started
    /// since is not known.
    pub has_ended: bool,
    /// Number of requests that it can run concurrently, from the register or its latest load
    /// report.
    pub slots: u32,
    /// Latency penalty for its distance from this router, in microseconds.
    pub distance_us: u64,
    /// Seed of its rendezvous hash, derived from its name; equal in all routers.
    pub seed: u64,
    /// This router's requests in flight at the server.
    pub in_flight: u32,
    /// Adaptive limit on `in_flight`.
    pub limit: limit::Limit,
    /// Circuit breaker, fed by the outcomes of attempts.
    pub breaker: breaker::Breaker,
    /// Whether it may receive new work: not if it is removed from the register or leaving.
    pub drain: drain::Drain,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
    /// Estimate of the load by all routers and of the first-token time.
    pub load_estimate: load_estimate::LoadEstimate,
    /// Durations of work that the server states.
    pub stated_duration: load_estimate::StatedDuration,
    /// Pending prefill work and cached prompt parts.
    pub prefill: prefill::Prefill,
    /// When its slow start began; `None` if it has none.
    pub slow_start_us: Option<u64>,
    /// Time before which it receives no work, set after each refusal.
    pub backoff_until_us: u64,
    /// Time before which it receives no work, because it asked for a pause.
    pub paused_until_us: u64,
    /// Spacing of this router's requests while the server states a rate.
    pub pace: Option<pace::Pace>,
    /// Indices of the pools that it is a member of; empty after removal from the register.
    pub pools: Vec<usize>,
}

impl Backend {
    /// Returns a backend server without requests, with a closed breaker and a limit of all slots.
    pub fn new(
        name: name::BackendServer,
        failure_domain: name::FailureDomain,
        lifetime: register::Lifetime,
        slots: u32,
        distance_us: u64,
    ) -> Self {
        Self {
            seed: prefix::seed(name.as_str()),
            name,
            failure_domain,
            lifetime,
            lifetimes: 0,
            has_ended: false,
            slots,
            distance_us,
            in_flight: 0,
            limit: limit::Limit::new(slots),
            breaker: breaker::Breaker::new(),
            drain: drain::Drain::default(),
            is_evacuated: false,
            load_estimate: load_estimate::LoadEstimate::new(),
            stated_duration: load_estimate::StatedDuration::default(),
            prefill: prefill::Prefill::default(),
            slow_start_us: None,
            backoff_until_us: 0,
            paused_until_us: 0,
            pace: None,
            pools: Vec::new(),
        }
    }

    /// Returns the limit on `in_flight`, which grows linearly during slow start.
    #[inline]
    pub fn limit_requests(&self, now_us: u64, options: &Options) -> f64 {
        let limit = self.limit.requests();
        match self.slow_start_us {
            None => limit,
            Some(start_us) => {
                let passed = now_us.saturating_sub(start_us) as f64;
                let share = passed / options.slow_start_us.max(1) as f64;
                (limit * share).clamp(1.0, limit.max(1.0))
            }
        }
    }

    /// Returns whether the server may receive one more request now.
    #[inline]
    pub fn is_available(&self, now_us: u64, options: &Options) -> bool {
        self.ineligibilities(now_us, options).next().is_none()
    }

    /// Returns whether no reason against the server holds for longer than about a request.
    ///
    /// In contrast to [`Self::is_available`], it may be at its limit or in backoff.
    pub fn is_usable(&self, now_us: u64, options: &Options) -> bool {
        self.ineligibilities(now_us, options)
            .all(|ineligibility| ineligibility.reason.is_brief())
    }

    /// Returns when a server that is not usable now may become so; `None` if it is usable, or if the
    /// end of a reason is not known.
    pub fn usable_us(&self, now_us: u64, options: &Options) -> Option<u64> {
        let lasting = self
            .ineligibilities(now_us, options)
            .filter(|ineligibility| !ineligibility.reason.is_brief());
        lasting
            .map(|ineligibility| ineligibility.until_us)
            .reduce(|a, b| Some(a?.max(b?)))
            .flatten()
    }

    /// Returns all reasons why the server may receive no request now.
    #[inline]
    pub fn ineligibilities(
        &self,
        now_us: u64,
        options: &Options,
    ) -> impl Iterator<Item = Ineligibility> {
        let is_at_limit =
            f64::from(self.in_flight) >= self.limit_requests(now_us, options).max(1.0);
        [
            self.drain.ineligibility(),
            self.is_evacuated.then(|| Reason::Evacuated.into()),
            self.is_paused(now_us)
                .then(|| Ineligibility::until(Reason::Paused, self.paused_until_us)),
            self.pace.and_then(|pace| pace.ineligibility(now_us)),
            self.breaker.ineligibility(now_us),
            (now_us < self.backoff_until_us)
                .then(|| Ineligibility::until(Reason::BackOff, self.backoff_until_us)),
            is_at_limit.then(|| Reason::AtLimit.into()),
        ]
        .into_iter()
        .flatten()
    }

    /// Returns the estimated requests of all routers per slot.
    #[inline]
    pub fn load(&self, now_us: u64, prior: &load_estimate::Prior) -> f64 {
        let total = self
            .load_estimate
            .total_requests(now_us, f64::from(self.in_flight), prior);
        total / f64::from(self.slots.max(1))
    }

    /// Returns the estimated first-token time of one more request plus the server's distance, in
    /// microseconds.
    #[inline]
    pub fn score_us(&self, now_us: u64, prior: &load_estimate::Prior) -> f64 {
        let load = self.load(now_us, prior);
        self.load_estimate.idle_first_token_us(now_us, prior)
            * load_estimate::load_factor(load)
            * self.stated_duration.factor(now_us)
            + self.distance_us as f64
    }

    /// Returns all reasons why the server may not receive a request now, which continues the stream
    /// that began at `origin` if there is one.
    #[inline]
    pub fn ineligibilities_for(
        &self,
        now_us: u64,
        options: &Options,
        origin: Option<&stream::Origin>,
    ) -> impl Iterator<Item = Ineligibility> {
        let is_other = origin.is_some_and(|origin| !self.continues(origin));
        let other_version = is_other.then(|| Reason::OtherVersion.into());
        other_version
            .into_iter()
            .chain(self.ineligibilities(now_us, options))
    }

    /// Returns whether the server may continue a stream that began there.
    #[inline]
    pub fn continues(&self, origin: &stream::Origin) -> bool {
        !self.has_ended && self.lifetime.software_version == origin.software_version
    }

    /// Returns whether the server is known to run another version than the one that began a stream.
    pub fn contradicts(&self, origin: &stream::Origin) -> bool {
        self.lifetime.software_version != origin.software_version
    }

    /// Records that a process has ended, if it is the one that the register names and another one can
    /// be told apart by its start. Returns whether that was not known.
    pub fn end(&mut self, started_ms: Option<u64>) -> bool {
        let is_known = started_ms.is_none() || started_ms != self.lifetime.started_ms;
        let is_news = !is_known && !self.has_ended;
        self.has_ended |= is_news;
        is_news
    }

    /// Returns whether a run of the server's process with this start time, if known, is the one
    /// that the register names or a later one.
    pub fn is_current(&self, started_ms: Option<u64>) -> bool {
        match (started_ms, self.lifetime.started_ms) {
            (Some(started_ms), Some(known_ms)) => started_ms >= known_ms,
            _ => true,
        }
    }

    /// Takes over the run that the register names; returns whether it is a later one, for which
    /// earlier statements of the server do not hold.
    pub fn set_lifetime(&mut self, lifetime: &register::Lifetime) -> bool {
        let is_later =
            lifetime.started_ms > self.lifetime.started_ms && self.lifetime.started_ms.is_some();
        if self.lifetime != *lifetime {
            self.lifetimes += 1;
            self.has_ended = false;
        }
        self.lifetime = lifetime.clone();
        is_later
    }

    /// Counts a dispatched request; returns whether it is a breaker probe.
    pub fn on_dispatch(&mut self, now_us: u64) -> bool {
        self.in_flight += 1;
        self.load_estimate.on_local_change(now_us, self.in_flight);
        if let Some(pace) = &mut self.pace {
            pace.on_dispatch(now_us);
        }
        self.breaker.on_dispatch(now_us)
    }

    /// Returns whether the server wants no request now.
    pub fn is_paused(&self, now_us: u64) -> bool {
        now_us < self.paused_until_us
    }

    /// Records that the server wants no request until a time; the longest of several pauses counts.
    /// After it, the server begins with a slow start, even if it is the only one: it asked for the
    /// pause because it could not take the requests that it received.
    ///
    /// Returns whether the pause is longer than was known.
    pub fn pause(&mut self, until_us: u64) -> bool {
        if until_us <= self.paused_until_us {
            return false;
        }
        self.paused_until_us = until_us;
        self.slow_start_us = Some(until_us);
        true
    }

    /// Returns whether the state of a removed server may be dropped.
    pub fn may_forget(&self, now_us: u64, options: &Options) -> bool {
        self.in_flight == 0 && !self.is_paused(now_us) && self.drain.may_forget(now_us, options)
    }

    /// Counts the end of an attempt.
    pub fn on_release(&mut self, now_us: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.load_estimate.on_local_change(now_us, self.in_flight);
    }

    /// Ends the slow start after its configured duration.
    pub fn on_tick(&mut self, now_us: u64, options: &Options) {
        let over = |start_us| now_us >= start_us + options.slow_start_us;
        if self.slow_start_us.is_some_and(over) {
            self.slow_start_us = None;
        }
    }
}
