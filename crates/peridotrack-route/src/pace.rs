//! Spacing of requests to a backend server that has stated a rate.
//!
//! [`Pace`] is the virtual scheduling form of the generic cell rate algorithm (ITU-T I.371, annex A)
//! without tolerance: consecutive requests are at least one interval apart.

use crate::eligibility::{Ineligibility, Reason};

const US_PER_S: f64 = 1e6;

/// Earliest time of the next request to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// When the limit began.
    since_us: u64,
    /// Time between two requests; `None` if this router sends none.
    interval_us: Option<u64>,
    next_us: u64,
}

impl Pace {
    /// Returns a pace of `per_s` requests per second whose first request is due one interval after
    /// `now_us`. At rate 0 no request is allowed.
    pub fn new(now_us: u64, per_s: f64) -> Self {
        let interval_us = (per_s > 0.0).then(|| (US_PER_S / per_s) as u64);
        Self {
            since_us: now_us,
            interval_us,
            next_us: now_us.saturating_add(interval_us.unwrap_or(0)),
        }
    }

    /// Changes the rate; the next request is due no earlier than at the old one.
    pub fn set(&mut self, now_us: u64, per_s: f64) {
        let Self {
            since_us, next_us, ..
        } = *self;
        *self = Self::new(now_us, per_s);
        self.since_us = since_us;
        self.next_us = self.next_us.max(next_us);
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now_us: u64) -> bool {
        self.interval_us.is_some() && now_us >= self.next_us
    }

    /// Returns why no request may be sent now, if so.
    pub fn ineligibility(&self, now_us: u64) -> Option<Ineligibility> {
        (!self.allows(now_us)).then_some(Ineligibility {
            reason: Reason::Throttled,
            until_us: self.interval_us.map(|_| self.next_us),
        })
    }

    /// Returns whether a request that was placed at `placed_us` is not counted, because the limit began
    /// later.
    pub fn began_after(&self, placed_us: u64) -> bool {
        self.since_us > placed_us
    }

    /// Counts a request that is sent now, allowed or not.
    pub fn on_dispatch(&mut self, now_us: u64) {
        let interval_us = self.interval_us.unwrap_or(0);
        self.next_us = self.next_us.max(now_us).saturating_add(interval_us);
    }
}
