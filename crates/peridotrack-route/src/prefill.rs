//! Estimates of pending prefill work and cached prompt parts of engines.
//!
//! An engine processes a prompt (prefill) before the first token. Large prompts delay all other
//! requests of the engine, so load is measured in prompt tokens that still need prefill and not in
//! requests.

use std::rc::Rc;

use peridotrack_types::collections::HashMap;

/// Time for which an engine is assumed to cache a part after its last use, in microseconds.
const CACHE_TTL_US: u64 = 20_000_000;
/// Limit on the cached parts tracked for one engine.
const MAX_CACHED_PARTS: usize = 512;
/// Weight of a new sample of an engine's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Age at which the weight of the last estimate of a slowdown has halved, in microseconds.
const SLOWDOWN_HALF_WEIGHT_US: f64 = 10_000_000.0;
/// Bounds of one sample of an engine's slowdown.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.25..=16.0;
/// Lower bound of the prediction with which a first-token time is compared, in microseconds; the
/// ratio to a smaller prediction does not indicate a slowdown.
const MIN_PREDICTED_US: f64 = 20_000.0;
/// Weight of a new sample of the prefill speed.
const SPEED_WEIGHT: f64 = 0.05;
/// Minimum number of prefilled tokens of a request from which the prefill speed is sampled.
const MIN_SPEED_SAMPLE_TOKENS: f64 = 1_000.0;
/// Weight of a new request in the mean of tokens to prefill.
const SIZE_WEIGHT: f64 = 0.05;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifier of the part's text.
    pub id: u64,
    /// Number of its tokens.
    pub tokens: u64,
}

/// A prompt as a sequence of parts, all but the last of which other requests may share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in the order of the prompt.
    pub parts: Rc<[Part]>,
    /// Number of tokens of the whole prompt.
    pub tokens: u64,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identifier of the last shared part, which identifies the longest shared prefix.
    pub fn shared_id(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}

/// Mean prefill speed and prompt size in one pool of engines.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Prefill time per prompt token, in microseconds.
    pub us_per_token: f64,
    /// Mean tokens to prefill for one request, without cached parts.
    mean_tokens: f64,
}

impl Speed {
    /// Returns an estimate without samples.
    pub fn new(us_per_token: f64) -> Self {
        Self {
            us_per_token,
            mean_tokens: 0.0,
        }
    }

    /// Adds the tokens to prefill for one more request to the mean.
    pub fn on_dispatch(&mut self, tokens: f64) {
        self.mean_tokens += SIZE_WEIGHT * (tokens - self.mean_tokens);
    }

    /// Samples the speed from the first-token time of a request that did not wait for others.
    pub fn on_unqueued_first_token(&mut self, first_token_us: f64, tokens: f64) {
        if tokens >= MIN_SPEED_SAMPLE_TOKENS {
            let sample = first_token_us / tokens;
            self.us_per_token += SPEED_WEIGHT * (sample - self.us_per_token);
        }
    }
}

/// The latest load report of an engine.
#[derive(Debug, Clone, Copy)]
struct Report {
    measured_us: u64,
    queued: f64,
    /// Tokens of this router's requests to prefill when the report was received.
    local_tokens: f64,
}

/// Prefill state of one engine, as this router estimates it.
#[derive(Debug, Clone)]
pub struct Prefill {
    /// Tokens of this router's requests that still need prefill.
    local_tokens: f64,
    report: Option<Report>,
    /// Time of the last use of each cached part, by identifier.
    cached_parts: HashMap<u64, u64>,
    slowdown: f64,
    slowdown_sampled_us: u64,
}

impl Default for Prefill {
    fn default() -> Self {
        Self {
            local_tokens: 0.0,
            report: None,
            cached_parts: HashMap::default(),
            slowdown: 1.0,
            slowdown_sampled_us: 0,
        }
    }
}

/// Estimates of prefill work, waiting time and slowdown.
impl Prefill {
    /// Returns the tokens of a prompt that the engine has to process, without cached leading parts.
    pub fn tokens_to_prefill(&self, now_us: u64, prompt: &Prompt) -> f64 {
        let is_cached = |part: &&Part| {
            let used_us = self.cached_parts.get(&part.id);
            used_us.is_some_and(|used_us| now_us < used_us + CACHE_TTL_US)
        };
        let cached_tokens: u64 = prompt
            .shared()
            .iter()
            .take_while(is_cached)
            .map(|part| part.tokens)
            .sum();
        prompt.tokens.saturating_sub(cached_tokens) as f64
    }

    /// Returns the time until all waiting prompts are prefilled at the pool's speed, in
    /// microseconds.
    ///
    /// This router's requests are known exactly; those of other routers are estimated from the
    /// last report, less the work done since it was measured.
    pub fn wait_us(&self, now_us: u64, speed: &Speed) -> f64 {
        let local_us = self.local_tokens * speed.us_per_token;
        let Some(report) = self.report else {
            return local_us;
        };
        let age_us = now_us.saturating_sub(report.measured_us) as f64;
        let reported_us = report.queued * speed.mean_tokens * speed.us_per_token;
        let added_tokens = (self.local_tokens - report.local_tokens).max(0.0);
        let remaining_us = (reported_us - age_us).max(0.0);
        local_us.max(remaining_us + added_tokens * speed.us_per_token)
    }

    /// Returns the ratio of measured to predicted first-token times; it decays towards 1.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.slowdown_sampled_us) as f64;
        let weight = 1.0 / (1.0 + age_us / SLOWDOWN_HALF_WEIGHT_US);
        1.0 + (self.slowdown - 1.0) * weight
    }
}

/// Updates from dispatches, first tokens and load reports.
impl Prefill {
    /// Adds a dispatched request and marks its shared parts as cached.
    ///
    /// `tokens` is what [`Self::tokens_to_prefill`] returned for it.
    pub fn on_dispatch(&mut self, now_us: u64, prompt: &Prompt, tokens: f64) {
        self.local_tokens += tokens;
        if self.cached_parts.len() + prompt.parts.len() > MAX_CACHED_PARTS {
            self.cached_parts
                .retain(|_, used_us| now_us < *used_us + CACHE_TTL_US);
        }
        if self.cached_parts.len() + prompt.parts.len() <= MAX_CACHED_PARTS {
            let shared = prompt.shared().iter();
            self.cached_parts
                .extend(shared.map(|part| (part.id, now_us)));
        }
    }

    /// Removes the tokens of a request whose prefill is done or that ended.
    pub fn on_prefilled(&mut self, tokens: f64) {
        self.local_tokens = (self.local_tokens - tokens).max(0.0);
    }

    /// Samples the slowdown from a first-token time.
    pub fn on_first_token(&mut self, now_us: u64, first_token_us: f64, predicted_us: f64) {
        let sample = first_token_us / predicted_us.max(MIN_PREDICTED_US);
        let sample = sample.clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
        let slowdown = self.slowdown(now_us);
        self.slowdown = slowdown + SLOWDOWN_WEIGHT * (sample - slowdown);
        self.slowdown_sampled_us = now_us;
    }

    /// Applies a report of the requests that wait at the engine, unless a newer one was applied.
    pub fn on_report(&mut self, measured_us: u64, queued: u32) {
        if self
            .report
            .is_some_and(|report| report.measured_us > measured_us)
        {
            return;
        }
        self.report = Some(Report {
            measured_us,
            queued: f64::from(queued),
            local_tokens: self.local_tokens,
        });
    }
}
