//! What the router holds about one backend server.

use peridotrack_types::name;

use crate::{breaker, drain, limit, load_estimate, options::Options, prefill, prefix};

/// One backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Its name.
    pub name: name::BackendServer,
    /// Its failure domain.
    pub failure_domain: name::FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Cost of reaching it from this router.
    pub distance_us: u64,
    /// Seed of its rendezvous hash.
    pub seed: u64,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Limit on own requests in flight.
    pub limit: limit::Limit,
    /// Circuit breaker.
    pub breaker: breaker::Breaker,
    /// Whether it gets new work.
    pub drain: drain::Drain,
    /// Load and speed.
    pub load_estimate: load_estimate::LoadEstimate,
    /// Prompts that it reads, and parts that it keeps.
    pub prefill: prefill::Prefill,
    /// Start of its slow start, if it has one.
    pub slow_start_us: Option<u64>,
    /// Time until which it gets no work after a refusal.
    pub backoff_until_us: u64,
    /// Pools that it belongs to.
    pub pools: Vec<usize>,
}

impl Backend {
    /// Returns a new backend server without requests.
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
            pools: Vec::new(),
        }
    }

    /// Returns the limit on own requests now, lowered during slow start.
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

    /// Returns whether one more request may be sent now.
    #[inline]
    pub fn is_available(&self, now_us: u64, options: &Options) -> bool {
        self.drain.is_serving()
            && now_us >= self.backoff_until_us
            && f64::from(self.in_flight) < self.limit_requests(now_us, options).max(1.0)
            && self.breaker.allows(now_us)
    }

    /// Returns whether the server may get work now or as soon as a request ends.
    pub fn is_usable(&self, now_us: u64) -> bool {
        self.drain.is_serving()
            && !matches!(self.breaker.state(now_us), breaker::State::Open { .. })
    }

    /// Returns the estimated requests per slot, from all routers.
    #[inline]
    pub fn load(&self, now_us: u64, prior: &load_estimate::Prior) -> f64 {
        let total = self
            .load_estimate
            .total_requests(now_us, f64::from(self.in_flight), prior);
        total / f64::from(self.slots.max(1))
    }

    /// Returns the estimated time to the first token of one more request.
    #[inline]
    pub fn score_us(&self, now_us: u64, prior: &load_estimate::Prior) -> f64 {
        let load = self.load(now_us, prior);
        self.load_estimate.idle_first_token_us(now_us, prior) * load_estimate::load_factor(load)
            + self.distance_us as f64
    }

    /// Adds one request in flight; returns whether it is a probe of the breaker.
    pub fn on_dispatch(&mut self, now_us: u64) -> bool {
        self.in_flight += 1;
        self.load_estimate.on_local_change(now_us, self.in_flight);
        self.breaker.on_dispatch(now_us)
    }

    /// Takes away one request in flight.
    pub fn on_release(&mut self, now_us: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.load_estimate.on_local_change(now_us, self.in_flight);
    }

    /// Ends the slow start once it is over.
    pub fn on_tick(&mut self, now_us: u64, options: &Options) {
        let over = |start_us| now_us >= start_us + options.slow_start_us;
        if self.slow_start_us.is_some_and(over) {
            self.slow_start_us = None;
        }
    }
}
