//! Estimate of the load and first-token time of one backend server.
//!
//! [`LoadEstimate`] combines the exact count of this router's requests with load reports, which
//! arrive late and with gaps, and falls back to the pool's [`Prior`].

/// Width of a step in the history of this router's requests in flight, in microseconds.
const STEP_US: u64 = 100_000;
/// Steps in the history; an older report is matched with the oldest step.
const STEPS: usize = 128;
/// Weight of a new sample in the idle first-token time.
const FIRST_TOKEN_WEIGHT: f64 = 0.15;
/// Age at which the weight of the last estimate of an idle first-token time has halved in favour of
/// the mean of the pool, in microseconds.
const FIRST_TOKEN_HALF_WEIGHT_US: f64 = 20_000_000.0;

/// Time constant with which a stated duration of work loses weight, in microseconds: slow spells of
/// servers that share a machine last about 100 ms.
const STATED_DURATION_AGEING_US: f64 = 150_000.0;
/// Weight of a new statement in a server's usual duration of work.
const USUAL_DURATION_WEIGHT: f64 = 0.05;

/// The latest load report, with this router's requests at the time it was measured.
#[derive(Debug, Clone, Copy)]
struct Report {
    measured_us: u64,
    local: f64,
    total: f64,
}

/// Estimate of the load and first-token time of one backend server.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    local: History,
    report: Option<Report>,
    idle_first_token_us: Option<f64>,
    idle_sampled_us: u64,
}

/// Durations of work that a backend server states, relative to what it usually states.
///
/// A server that states less than usual gains nothing, so that routers which hear of it at the same
/// time do not all choose it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StatedDuration {
    /// Time and value of the latest statement, in percent.
    latest: Option<(u64, f64)>,
    usual_percent: f64,
}

impl StatedDuration {
    /// Applies a statement in percent, unless a newer one was applied.
    pub fn on_report(&mut self, measured_us: u64, percent: u32) {
        let percent = f64::from(percent);
        match self.latest {
            Some((latest_us, _)) if latest_us > measured_us => return,
            Some(_) => self.usual_percent += USUAL_DURATION_WEIGHT * (percent - self.usual_percent),
            // The first statement may fall into a slow spell.
            None => self.usual_percent = percent.min(100.0),
        }
        self.latest = Some((measured_us, percent));
    }

    /// Returns the expected duration of work as a ratio to the usual one, at least 1; it returns to 1
    /// as the latest statement ages.
    #[inline]
    pub fn factor(&self, now_us: u64) -> f64 {
        let Some((measured_us, percent)) = self.latest else {
            return 1.0;
        };
        let age_us = now_us.saturating_sub(measured_us) as f64;
        let excess = (percent / self.usual_percent.max(1.0) - 1.0).max(0.0);
        1.0 + excess * (-age_us / STATED_DURATION_AGEING_US).exp()
    }
}

/// Means over the backend servers of a pool, used where a server has no recent report or sample.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prior {
    /// Number of routers that share the servers, estimated as the ratio of all requests to this
    /// router's.
    pub routers: f64,
    /// First-token time of an idle server, in microseconds.
    pub idle_first_token_us: f64,
    /// Mean duration of a request, in microseconds; the time constant with which a report loses
    /// weight.
    pub duration_us: f64,
}

impl LoadEstimate {
    /// Returns an estimate without reports and samples.
    pub fn new() -> Self {
        Self {
            local: History::new(),
            report: None,
            idle_first_token_us: None,
            idle_sampled_us: 0,
        }
    }

    /// Records this router's requests in flight after a change.
    pub fn on_local_change(&mut self, now_us: u64, in_flight: u32) {
        self.local.set(now_us, in_flight);
    }

    /// Applies a load report of `total` requests; returns this router's requests when it was
    /// measured, or `None` if a newer report was applied before.
    pub fn on_report(&mut self, measured_us: u64, total: u32) -> Option<u32> {
        if self
            .report
            .is_some_and(|report| report.measured_us > measured_us)
        {
            return None;
        }
        let local = self.local.at(measured_us);
        self.report = Some(Report {
            measured_us,
            local: f64::from(local),
            total: f64::from(total),
        });
        Some(local)
    }

    /// Samples a first-token time, measured at `load` requests per slot.
    pub fn on_first_token(&mut self, now_us: u64, first_token_us: u64, load: f64, prior: &Prior) {
        let sample = first_token_us as f64 / load_factor(load);
        let estimate = self.idle_first_token_us(now_us, prior);
        self.idle_first_token_us = Some(estimate + FIRST_TOKEN_WEIGHT * (sample - estimate));
        self.idle_sampled_us = now_us;
    }

    /// Returns the estimated requests of all routers, `local` of them this router's.
    ///
    /// Other routers act on the same reports, so each change of the local requests since the report
    /// is assumed in every router. As the report ages, the estimate returns to `local` times the
    /// number of routers.
    #[inline]
    pub fn total_requests(&self, now_us: u64, local: f64, prior: &Prior) -> f64 {
        let expected = local * prior.routers;
        let Some(report) = self.report else {
            return expected;
        };
        let age_us = now_us.saturating_sub(report.measured_us) as f64;
        let weight = (-age_us / prior.duration_us.max(1.0)).exp();
        let correction = report.total - report.local * prior.routers;
        (expected + weight * correction).max(local)
    }

    /// Returns the estimated first-token time of this server when idle, in microseconds.
    #[inline]
    pub fn idle_first_token_us(&self, now_us: u64, prior: &Prior) -> f64 {
        let Some(idle_first_token_us) = self.idle_first_token_us else {
            return prior.idle_first_token_us;
        };
        let age_us = now_us.saturating_sub(self.idle_sampled_us) as f64;
        let weight = 1.0 / (1.0 + age_us / FIRST_TOKEN_HALF_WEIGHT_US);
        idle_first_token_us * weight + prior.idle_first_token_us * (1.0 - weight)
    }

    /// Returns the age of the latest report, in microseconds, or `None` without one.
    pub fn report_age_us(&self, now_us: u64) -> Option<u64> {
        self.report
            .map(|report| now_us.saturating_sub(report.measured_us))
    }
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the ratio of the first-token time at `load` requests per slot to that of an idle server.
///
/// The ratio grows from 1 to 2 at a load of 1, and eight times as fast beyond, where requests wait.
#[inline]
pub fn load_factor(load: f64) -> f64 {
    let excess = (load - 1.0).max(0.0);
    1.0 + load.min(1.0) + excess * 8.0
}

/// This router's requests in flight at the end of each of the last [`STEPS`] steps, as a ring.
#[derive(Debug, Clone)]
struct History {
    counts: [u16; STEPS],
    step: u64,
}

impl History {
    fn new() -> Self {
        Self {
            counts: [0; STEPS],
            step: 0,
        }
    }

    fn set(&mut self, now_us: u64, count: u32) {
        let step = now_us / STEP_US;
        let last = self.counts[self.step as usize % STEPS];
        let skipped = step.saturating_sub(self.step).min(STEPS as u64);
        for offset in 0..skipped {
            self.counts[(step - offset) as usize % STEPS] = last;
        }
        self.step = self.step.max(step);
        self.counts[self.step as usize % STEPS] = u16::try_from(count).unwrap_or(u16::MAX);
    }

    fn at(&self, time_us: u64) -> u32 {
        let step = (time_us / STEP_US).min(self.step);
        let oldest = (self.step + 1).saturating_sub(STEPS as u64);
        u32::from(self.counts[step.max(oldest) as usize % STEPS])
    }
}
