//! State shared by the backend servers of one model or service.
//!
//! [`Pool`] holds the members, the queue, fair sharing, the retry budget, and the mean estimates
//! that stand in for members without samples.

use peridotrack_types::id;

use crate::{
    event, fairness, load_estimate, options::Options, prefill, prefix, queue, retry, returns,
};

/// Weight of a new sample in the mean duration.
const DURATION_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the mean first-token time of an idle server.
const FIRST_TOKEN_WEIGHT: f64 = 0.05;
/// Weight of a new report in the means of this router's and all requests.
const REPORT_WEIGHT: f64 = 0.01;
/// Upper bound of the estimated number of routers that share the members.
const MAX_ROUTERS: f64 = 8.0;

/// Reference to a backend server that is a member of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Seed of its rendezvous hash, by which members are sorted.
    pub seed: u64,
    /// Index in the router's list of backend servers.
    pub index: usize,
}

/// The backend servers of one model or service, with their queue and estimates.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Model or service that the members serve.
    pub target: event::Target,
    /// Members in this router's region, sorted by seed.
    pub near: Vec<Member>,
    /// Members in other regions, sorted by seed.
    pub far: Vec<Member>,
    /// Requests that wait for an available member.
    pub queue: queue::Queue,
    /// Requests that wait for a server of the version that began their stream, in order of arrival.
    /// They go before the queue.
    pub continuations: Vec<id::Request>,
    /// Virtual times of the client accounts for fair sharing.
    pub shares: fairness::Shares,
    /// Share of each prompt prefix in the pool's requests.
    pub popularity: prefix::Popularity,
    /// Retry budget, relative to the traffic of this pool alone.
    pub retries: retry::Budget,
    /// Times at which callers return that are refused while all members pause.
    pub returns: returns::Returns,
    /// This router's requests in flight at all members.
    pub in_flight: usize,
    /// Means over all members, used where a member has no sample of its own.
    pub prior: load_estimate::Prior,
    /// Mean prefill speed of the members.
    pub speed: prefill::Speed,
    /// Mean of this router's requests at a member when a load report was measured.
    local_mean: f64,
    /// Mean of all routers' requests at a member, from load reports.
    total_mean: f64,
}

impl Pool {
    /// Returns a pool without members, with the initial estimates of `options`.
    pub fn new(target: event::Target, options: &Options) -> Self {
        let duration_us = expected_duration_us(&target, options);
        Self {
            target,
            near: Vec::new(),
            far: Vec::new(),
            queue: queue::Queue::default(),
            continuations: Vec::new(),
            shares: fairness::Shares::default(),
            popularity: prefix::Popularity::default(),
            retries: retry::Budget::new(options.retry_ratio, options.min_retries),
            returns: returns::Returns::default(),
            in_flight: 0,
            prior: load_estimate::Prior {
                routers: 1.0,
                idle_first_token_us: options.initial_first_token_us as f64,
                duration_us: duration_us as f64,
            },
            speed: prefill::Speed::new(options.initial_prefill_us_per_token),
            local_mean: 0.0,
            total_mean: 0.0,
        }
    }

    /// Returns all members, those of this router's region first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.near.iter().chain(&self.far)
    }

    /// Returns the members among which prefixes have their homes: those in this router's region, or
    /// those in other regions if it has none.
    pub fn affinity_members(&self) -> &[Member] {
        match self.near.is_empty() {
            true => &self.far,
            false => &self.near,
        }
    }

    /// Returns the number of members in all regions.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns whether the pool has no members.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the expected time until `requests` queued requests have been dispatched, by Little's
    /// law, in microseconds.
    pub fn dequeue_us(&self, requests: usize) -> u64 {
        (self.prior.duration_us * requests as f64 / self.in_flight.max(1) as f64) as u64
    }

    /// Adds the duration of a completed request to the mean.
    pub fn on_duration(&mut self, duration_us: u64) {
        let prior = &mut self.prior;
        prior.duration_us += DURATION_WEIGHT * (duration_us as f64 - prior.duration_us);
    }

    /// Adds the estimated idle first-token time of a member to the mean.
    pub fn on_idle_first_token(&mut self, idle_first_token_us: f64) {
        self.prior.idle_first_token_us +=
            FIRST_TOKEN_WEIGHT * (idle_first_token_us - self.prior.idle_first_token_us);
    }

    /// Updates the estimated number of routers from a load report of a member: the requests of this
    /// router (`local`) and of all routers (`total`) when it was measured.
    pub fn on_report(&mut self, local: u32, total: u32) {
        let prior = &mut self.prior;
        self.local_mean += REPORT_WEIGHT * (f64::from(local) - self.local_mean);
        self.total_mean += REPORT_WEIGHT * (f64::from(total) - self.total_mean);
        if self.local_mean > 0.0 {
            prior.routers = (self.total_mean / self.local_mean).clamp(1.0, MAX_ROUTERS);
        }
    }
}

/// Returns the expected duration of a request before the first sample.
fn expected_duration_us(target: &event::Target, options: &Options) -> u64 {
    match target {
        event::Target::Model(_) => options.initial_duration_us,
        event::Target::Service(_) => options.initial_call_duration_us,
    }
}
