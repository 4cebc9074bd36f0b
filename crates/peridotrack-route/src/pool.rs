//! The backend servers of one model or service, with their queue.

use crate::{event, fairness, load_estimate, options::Options, prefill, prefix, queue, retry};

/// Weight of a new sample of the duration.
const DURATION_WEIGHT: f64 = 0.05;
/// Weight of a new sample of the first-token cost.
const FIRST_TOKEN_WEIGHT: f64 = 0.05;
/// Weight of a new report.
const REPORT_WEIGHT: f64 = 0.01;
/// Most routers assumed to share the members.
const MAX_ROUTERS: f64 = 8.0;

/// A backend server as member of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Seed of its rendezvous hash.
    pub seed: u64,
    /// Index among all backend servers.
    pub index: usize,
}

/// The backend servers of one model or service, with their queue.
#[derive(Debug, Clone)]
pub struct Pool {
    /// What the pool serves.
    pub target: event::Target,
    /// Members in this router's region, in the order of their seeds.
    pub near: Vec<Member>,
    /// Members in other regions, in the order of their seeds.
    pub far: Vec<Member>,
    /// Requests that wait.
    pub queue: queue::Queue,
    /// Fair share of client accounts.
    pub shares: fairness::Shares,
    /// Shares of the prompt prefixes.
    pub popularity: prefix::Popularity,
    /// Retries as a share of the pool's own traffic.
    pub retries: retry::Budget,
    /// Own requests in flight.
    pub in_flight: usize,
    /// What is known about all members together.
    pub prior: load_estimate::Prior,
    /// Reading of prompts by its servers.
    pub speed: prefill::Speed,
    local_mean: f64,
    total_mean: f64,
}

impl Pool {
    /// Returns a pool without members.
    pub fn new(target: event::Target, options: &Options) -> Self {
        let duration_us = expected_duration_us(&target, options);
        Self {
            target,
            near: Vec::new(),
            far: Vec::new(),
            queue: queue::Queue::default(),
            shares: fairness::Shares::default(),
            popularity: prefix::Popularity::default(),
            retries: retry::Budget::new(options.retry_ratio, options.min_retries),
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

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.near.iter().chain(&self.far)
    }

    /// Returns the members among which prefixes have their homes.
    pub fn affinity_members(&self) -> &[Member] {
        match self.near.is_empty() {
            true => &self.far,
            false => &self.near,
        }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns whether the pool has no member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how long `requests` take to leave the queue, by Little's law.
    pub fn drain_us(&self, requests: usize) -> u64 {
        (self.prior.duration_us * requests as f64 / self.in_flight.max(1) as f64) as u64
    }

    /// Takes in the duration of a request that was served.
    pub fn on_duration(&mut self, duration_us: u64) {
        let prior = &mut self.prior;
        prior.duration_us += DURATION_WEIGHT * (duration_us as f64 - prior.duration_us);
    }

    /// Takes in the first-token time that a member would have when idle.
    pub fn on_idle_first_token(&mut self, idle_first_token_us: f64) {
        self.prior.idle_first_token_us +=
            FIRST_TOKEN_WEIGHT * (idle_first_token_us - self.prior.idle_first_token_us);
    }

    /// Takes in a report of a member: own requests and all requests when it was measured.
    pub fn on_report(&mut self, local: u32, total: u32) {
        let prior = &mut self.prior;
        self.local_mean += REPORT_WEIGHT * (f64::from(local) - self.local_mean);
        self.total_mean += REPORT_WEIGHT * (f64::from(total) - self.total_mean);
        if self.local_mean > 0.0 {
            prior.routers = (self.total_mean / self.local_mean).clamp(1.0, MAX_ROUTERS);
        }
    }
}

/// Returns how long a request is expected to take before any has ended.
fn expected_duration_us(target: &event::Target, options: &Options) -> u64 {
    match target {
        event::Target::Model(_) => options.initial_duration_us,
        event::Target::Service(_) => options.initial_call_duration_us,
    }
}
