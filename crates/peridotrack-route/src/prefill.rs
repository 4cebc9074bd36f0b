//! Prompts that an engine reads before the first token, and the parts of them that it keeps.
//!
//! Large prompts delay every other request of an engine, so requests are weighed by the tokens
//! that are still to be read, and not by their number.

use std::rc::Rc;

use peridotrack_types::collections::HashMap;

/// Time for which an engine is expected to keep a part after its last use, in microseconds.
const CACHE_TTL_US: u64 = 20_000_000;
/// Parts remembered for one engine.
const MAX_CACHED_PARTS: usize = 512;
/// Weight of a sample of an engine's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;
/// Time over which a slowdown is forgotten, in microseconds.
const SLOWDOWN_MEMORY_US: f64 = 10_000_000.0;
/// Bounds of one sample of slowdown.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.25..=16.0;
/// Prediction below which a sample of slowdown says little, in microseconds.
const MIN_PREDICTED_US: f64 = 20_000.0;
/// Weight of a sample of the reading speed.
const SPEED_WEIGHT: f64 = 0.05;
/// Fewest tokens of a prompt that gives a sample of the reading speed.
const MIN_SPEED_SAMPLE_TOKENS: f64 = 1_000.0;
/// Weight of a prompt in the mean of tokens to read.
const SIZE_WEIGHT: f64 = 0.05;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifier of the part's text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// A prompt as a sequence of parts; other requests share all but the last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts, in order.
    pub parts: Rc<[Part]>,
    /// Tokens of the whole prompt.
    pub tokens: u64,
}

impl Prompt {
    /// Returns the parts that other requests share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identifier of the longest run of shared parts.
    pub fn shared_id(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}

/// Reading of prompts by the engines of one pool.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Time to read one token.
    pub us_per_token: f64,
    /// Mean tokens that are read for one request.
    mean_tokens: f64,
}

impl Speed {
    /// Returns a first guess.
    pub fn new(us_per_token: f64) -> Self {
        Self {
            us_per_token,
            mean_tokens: 0.0,
        }
    }

    /// Takes in the tokens that one more request needs read.
    pub fn on_dispatch(&mut self, tokens: f64) {
        self.mean_tokens += SIZE_WEIGHT * (tokens - self.mean_tokens);
    }

    /// Takes in the time to the first token of a request that waited for no other.
    pub fn on_unqueued_first_token(&mut self, first_token_us: f64, tokens: f64) {
        if tokens >= MIN_SPEED_SAMPLE_TOKENS {
            let sample = first_token_us / tokens;
            self.us_per_token += SPEED_WEIGHT * (sample - self.us_per_token);
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Report {
    measured_us: u64,
    queued: f64,
    /// Own tokens to read when the report came.
    local_tokens: f64,
}

/// What one router knows of the reading at one engine.
#[derive(Debug, Clone)]
pub struct Prefill {
    local_tokens: f64,
    report: Option<Report>,
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

/// Estimates
impl Prefill {
    /// Returns the tokens that the engine would have to read.
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

    /// Returns the time until everything that waits is read, at the pool's speed.
    ///
    /// Own requests are known exactly; those of other routers by the last report, which the
    /// engine works off as it ages.
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

    /// Returns by what factor the engine is slower than predicted.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.slowdown_sampled_us) as f64;
        let weight = 1.0 / (1.0 + age_us / SLOWDOWN_MEMORY_US);
        1.0 + (self.slowdown - 1.0) * weight
    }
}

/// Events
impl Prefill {
    /// Counts a request that is sent to the engine.
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

    /// Takes off a request whose prompt is read, or that ended.
    pub fn on_prefilled(&mut self, tokens: f64) {
        self.local_tokens = (self.local_tokens - tokens).max(0.0);
    }

    /// Takes in how long the first token took.
    pub fn on_first_token(&mut self, now_us: u64, first_token_us: f64, predicted_us: f64) {
        let sample = first_token_us / predicted_us.max(MIN_PREDICTED_US);
        let sample = sample.clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
        let slowdown = self.slowdown(now_us);
        self.slowdown = slowdown + SLOWDOWN_WEIGHT * (sample - slowdown);
        self.slowdown_sampled_us = now_us;
    }

    /// Takes in the requests that wait at the engine.
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
