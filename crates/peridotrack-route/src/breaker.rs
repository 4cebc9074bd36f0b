//! Circuit breaker with half-open probes and flap damping.
//!
//! [`Breaker`] counts consecutive failed attempts at one backend server. When it is open, no
//! request passes; after the open time, one probe at a time passes until enough of them succeed.

use serde::{Deserialize, Serialize};

use crate::{
    eligibility::{Ineligibility, Reason},
    options::Options,
};

/// Limit on the penalty, in doublings of the open time.
const MAX_PENALTY: f64 = 10.0;

/// State of a breaker, as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Requests pass.
    Closed,
    /// No request passes until the given time.
    Open {
        /// Time from which probes pass.
        until_us: u64,
    },
    /// One probe at a time passes.
    HalfOpen,
}

/// What an attempt indicates about the health of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The server sent a complete response.
    Success,
    /// No connection could be established.
    ConnectFailure,
    /// The connection broke or the attempt timed out.
    Failure,
    /// Nothing: the caller cancelled, the server refused the request, or no network path led to it.
    Neutral,
}

/// State transition caused by a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The state is unchanged.
    None,
    /// The breaker opened.
    Opened {
        /// Duration of the open state, with penalty and jitter.
        open_us: u64,
    },
    /// The breaker closed after enough successful probes.
    Closed,
}

/// Circuit breaker of one backend server.
///
/// Each opening adds 1 to a penalty that decays exponentially, and the open time doubles for each
/// unit of penalty, so that a server that keeps failing is probed less and less often.
#[derive(Debug, Clone)]
pub struct Breaker {
    state: State,
    connect_failures: u32,
    failures: u32,
    probes_in_flight: u32,
    probes_succeeded: u32,
    penalty: f64,
    penalty_updated_us: u64,
    /// When failed connections last opened the breaker, with the penalty before; `None` if anything
    /// else opened it since.
    opened_by_connects: Option<(u64, f64)>,
}

impl Breaker {
    /// Returns a closed breaker without penalty.
    pub fn new() -> Self {
        Self {
            state: State::Closed,
            connect_failures: 0,
            failures: 0,
            probes_in_flight: 0,
            probes_succeeded: 0,
            penalty: 0.0,
            penalty_updated_us: 0,
            opened_by_connects: None,
        }
    }

    /// Returns the state; an open breaker whose open time has passed is half-open.
    pub fn state(&self, now_us: u64) -> State {
        match self.state {
            State::Open { until_us } if now_us >= until_us => State::HalfOpen,
            state => state,
        }
    }

    /// Returns whether the breaker lets one more request pass.
    pub fn allows(&self, now_us: u64) -> bool {
        match self.state(now_us) {
            State::Closed => true,
            State::Open { .. } => false,
            State::HalfOpen => self.probes_in_flight == 0,
        }
    }

    /// Returns why the breaker lets no request pass, if so.
    pub fn ineligibility(&self, now_us: u64) -> Option<Ineligibility> {
        match self.state(now_us) {
            State::Open { until_us } => Some(Ineligibility::until(Reason::BreakerOpen, until_us)),
            State::HalfOpen if self.probes_in_flight > 0 => Some(Reason::Probing.into()),
            State::HalfOpen | State::Closed => None,
        }
    }

    /// Returns whether the breaker is closed, so that requests pass without being probes.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Counts a dispatched request; returns whether it is a probe.
    pub fn on_dispatch(&mut self, now_us: u64) -> bool {
        if self.state(now_us) != State::HalfOpen {
            return false;
        }
        self.state = State::HalfOpen;
        self.probes_in_flight += 1;
        true
    }

    /// Resets the count of failed connections after a connection was established.
    pub fn on_connected(&mut self) {
        self.connect_failures = 0;
    }

    /// Applies the outcome of an attempt.
    ///
    /// `probe` is what [`Self::on_dispatch`] returned for the attempt. `jitter` in 0..1 spreads the
    /// probes of many routers over time.
    pub fn on_sample(
        &mut self,
        now_us: u64,
        sample: Sample,
        probe: bool,
        jitter: f64,
        options: &Options,
    ) -> Change {
        if probe {
            self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        }
        match (sample, self.state(now_us)) {
            (Sample::Success, State::Closed) => {
                self.connect_failures = 0;
                self.failures = 0;
                Change::None
            }
            (Sample::Success, State::HalfOpen) if probe => self.on_probe_success(options),
            (Sample::ConnectFailure | Sample::Failure, State::Closed) => {
                self.on_failure(now_us, sample, jitter, options)
            }
            (Sample::ConnectFailure | Sample::Failure, State::HalfOpen) if probe => {
                self.open_after(now_us, sample, jitter, options)
            }
            _ => Change::None,
        }
    }

    /// Takes back failed connections, and the open state and its penalty if failed connections opened
    /// the breaker at `since_us` or later. Returns whether the breaker was open or half-open and
    /// closes.
    pub fn forgive_connect_failures(&mut self, since_us: u64) -> bool {
        self.failures -= self.connect_failures.min(self.failures);
        self.connect_failures = 0;
        let is_explained = |(opened_us, _): &(u64, f64)| *opened_us >= since_us;
        let Some((_, penalty)) = self.opened_by_connects.filter(is_explained) else {
            return false;
        };
        self.opened_by_connects = None;
        let was_closed = self.is_closed();
        self.state = State::Closed;
        self.failures = 0;
        self.probes_succeeded = 0;
        self.penalty = penalty;
        !was_closed
    }

    /// Adds a penalty without opening the breaker, as for a server that left and returned.
    pub fn on_flap(&mut self, now_us: u64, options: &Options) {
        self.penalty = (self.decayed_penalty(now_us, options) + 1.0).min(MAX_PENALTY);
        self.penalty_updated_us = now_us;
    }

    /// Opens the breaker and returns the open time.
    ///
    /// The open time is scaled by 0.75 to 1.25 for `jitter` in 0..1.
    pub fn open(&mut self, now_us: u64, jitter: f64, options: &Options) -> Change {
        let penalty = self.decayed_penalty(now_us, options);
        let open_us = options.breaker_open_us as f64 * penalty.exp2();
        let open_us = open_us.min(options.breaker_open_max_us as f64) * (0.75 + jitter / 2.0);
        let open_us = open_us as u64;
        self.on_flap(now_us, options);
        self.state = State::Open {
            until_us: now_us + open_us,
        };
        self.probes_succeeded = 0;
        self.probes_in_flight = 0;
        self.opened_by_connects = None;
        Change::Opened { open_us }
    }

    /// Opens the breaker after a failed attempt, and records whether it failed to connect.
    fn open_after(
        &mut self,
        now_us: u64,
        sample: Sample,
        jitter: f64,
        options: &Options,
    ) -> Change {
        let first = self.opened_by_connects.filter(|_| !self.is_closed());
        let penalty = self.decayed_penalty(now_us, options);
        let change = self.open(now_us, jitter, options);
        if sample == Sample::ConnectFailure {
            self.opened_by_connects = Some(first.unwrap_or((now_us, penalty)));
        }
        change
    }

    fn on_failure(
        &mut self,
        now_us: u64,
        sample: Sample,
        jitter: f64,
        options: &Options,
    ) -> Change {
        self.failures += 1;
        if sample == Sample::ConnectFailure {
            self.connect_failures += 1;
        }
        let opens = self.failures >= options.breaker_failures
            || self.connect_failures >= options.breaker_connect_failures;
        if opens {
            self.open_after(now_us, sample, jitter, options)
        } else {
            Change::None
        }
    }

    fn on_probe_success(&mut self, options: &Options) -> Change {
        self.probes_succeeded += 1;
        if self.probes_succeeded < options.breaker_probes {
            return Change::None;
        }
        self.state = State::Closed;
        self.connect_failures = 0;
        self.failures = 0;
        self.probes_succeeded = 0;
        Change::Closed
    }

    fn decayed_penalty(&self, now_us: u64, options: &Options) -> f64 {
        let age = now_us.saturating_sub(self.penalty_updated_us) as f64;
        self.penalty * (-age / options.flap_half_life_us as f64).exp2()
    }
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}
