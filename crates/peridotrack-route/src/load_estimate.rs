//! Load of one backend server, joined from own exact counts and late reports with gaps.

/// Width of a step of the history of own requests in flight.
const STEP_US: u64 = 100_000;
/// Steps kept, which bounds the age of a report that can be used.
const STEPS: usize = 128;
/// Weight of a new sample of the first-token cost.
const FIRST_TOKEN_WEIGHT: f64 = 0.15;
/// Time over which an unused cost returns to the mean of the pool.
const FIRST_TOKEN_MEMORY_US: f64 = 20_000_000.0;

/// A late report, with the own requests at the time it was measured.
#[derive(Debug, Clone, Copy)]
struct Report {
    measured_us: u64,
    local: f64,
    total: f64,
}

/// Load and speed of one backend server.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    local: History,
    report: Option<Report>,
    idle_first_token_us: Option<f64>,
    idle_sampled_us: u64,
}

/// What is known about all backend servers together; stands in where a report is missing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prior {
    /// Routers that share the servers, seen from how many requests are not this router's.
    pub routers: f64,
    /// First-token time of an idle server.
    pub idle_first_token_us: f64,
    /// Mean duration of a request: the time over which a report loses its meaning.
    pub duration_us: f64,
}

impl LoadEstimate {
    /// Returns a signal without any sample.
    pub fn new() -> Self {
        Self {
            local: History::new(),
            report: None,
            idle_first_token_us: None,
            idle_sampled_us: 0,
        }
    }

    /// Takes in the own count after a change.
    pub fn on_local_change(&mut self, now_us: u64, in_flight: u32) {
        self.local.set(now_us, in_flight);
    }

    /// Takes in a report; an older one than the last is ignored. Returns own requests back then.
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

    /// Takes in a first-token time, seen at `load` requests per slot.
    pub fn on_first_token(&mut self, now_us: u64, first_token_us: u64, load: f64, prior: &Prior) {
        let sample = first_token_us as f64 / load_factor(load);
        let estimate = self.idle_first_token_us(now_us, prior);
        self.idle_first_token_us = Some(estimate + FIRST_TOKEN_WEIGHT * (sample - estimate));
        self.idle_sampled_us = now_us;
    }

    /// Returns the estimated requests of all routers, `own` of them this router's.
    ///
    /// Other routers act on the same reports, so each own request since the report stands for one
    /// of every router. As the report ages, the estimate returns to own requests times routers.
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

    /// Returns the first-token time of this server when idle.
    #[inline]
    pub fn idle_first_token_us(&self, now_us: u64, prior: &Prior) -> f64 {
        let Some(idle_first_token_us) = self.idle_first_token_us else {
            return prior.idle_first_token_us;
        };
        let age_us = now_us.saturating_sub(self.idle_sampled_us) as f64;
        let weight = 1.0 / (1.0 + age_us / FIRST_TOKEN_MEMORY_US);
        idle_first_token_us * weight + prior.idle_first_token_us * (1.0 - weight)
    }

    /// Returns the age of the last report.
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

/// Returns how much longer a first token takes at `load` requests per slot.
#[inline]
pub fn load_factor(load: f64) -> f64 {
    let excess = (load - 1.0).max(0.0);
    1.0 + load.min(1.0) + excess * 8.0
}

/// Own requests in flight over the last seconds.
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
