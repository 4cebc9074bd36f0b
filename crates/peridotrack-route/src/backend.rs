//! State of one backend server in the router.
//!
//! [`Backend`] joins the load estimate, concurrency limit, circuit breaker and drain state of a
//! server and derives from them whether it may receive a request and at what expected latency.

use peridotrack_types::name;

use crate::{breaker, drain, limit, load_estimate, options::Options, pace, prefill, prefix};

/// State of one backend server, as this router sees it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Name in the asset register.
    pub name: name::BackendServer,
    /// Failure domain in the asset register.
    pub failure_domain: name::FailureDomain,
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
    /// Estimate of the load by all routers and of the first-token time.
    pub load_estimate: load_estimate::LoadEstimate,
    /// Pending prefill work and cached prompt parts.
    pub prefill: prefill::Prefill,
    /// When its slow start began; `None` if it has none.
    pub slow_start_us: Option<u64>,
    /// Time before which it receives no work, set after each refusal.
    pub backoff_until_us: u64,
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
        slots: u32,
        distance_us: u64,
    ) -> Self {
        Self {
            seed: prefix::seed(name.as_str()),
            name,
            failure_domain,
            slots,
            distance_us,
            in_flight: 0,
            limit: limit::Limit::new(slots),
            breaker: breaker::Breaker::new(),
            drain: drain::Drain::default(),
            load_estimate: load_estimate::LoadEstimate::new(),
            prefill: prefill::Prefill::default(),
            slow_start_us: None,
            backoff_until_us: 0,
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
        self.drain.is_serving()
            && now_us >= self.backoff_until_us
            && self.is_within_rate(now_us)
            && f64::from(self.in_flight) < self.limit_requests(now_us, options).max(1.0)
            && self.breaker.allows(now_us)
    }

    /// Returns whether the rate that the server states, if any, allows this router a request now.
    #[inline]
    pub fn is_within_rate(&self, now_us: u64) -> bool {
        self.pace.is_none_or(|pace| pace.allows(now_us))
    }

    /// Returns whether the server is not drained, its breaker is not open and its stated rate allows
    /// a request.
    ///
    /// In contrast to [`Self::is_available`], it may be at its limit or in backoff.
    pub fn is_usable(&self, now_us: u64) -> bool {
        self.drain.is_serving()
            && self.is_within_rate(now_us)
            && !matches!(self.breaker.state(now_us), breaker::State::Open { .. })
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
        self.load_estimate.idle_first_token_us(now_us, prior) * load_estimate::load_factor(load)
            + self.distance_us as f64
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
