//! Decision on hedges: second attempts of requests whose first one is slower than expected.
//!
//! [`Hedges`] keeps, for one model or service, the recent times to the first event or answer by
//! class of size, and the operators' ratio over a sliding window. All times are passed in.

use serde::{Deserialize, Serialize};

/// Upper bound of the operators' ratio: at one half, every second request would run twice.
pub const MAX_RATIO: f64 = 0.5;
/// Classes of size; each spans a factor of four in tokens.
const CLASSES: usize = 12;
/// Times kept for each class: enough that the number of slow ones among them varies little when 2%
/// are slow.
const TIMES: usize = 1_024;
/// Times of a class below which its quantile is not used.
const MIN_TIMES: usize = 32;
/// Age from which on a time is no longer used, in microseconds.
const RECENT_US: u64 = 60_000_000;
/// Quantile above which the estimate would rest on few of the [`TIMES`] samples.
const MAX_QUANTILE: f64 = 0.99;
/// Lower bound of the delay as a ratio to the median. Without it, servers that are all equally slow
/// would get hedges for no gain.
const MIN_DELAY_MEDIANS: f64 = 2.0;
/// Divisor of the time for which a request has waited; gives the time in which a later one must have
/// been answered. Without it, noise between servers that are all slow counted as overtaking.
const OVERTAKING_DIVISOR: u64 = 2;
/// Number of buckets in the sliding window.
const BUCKETS: usize = 10;
/// Duration of one bucket, in microseconds. The window is that of the retry budget.
const BUCKET_US: u64 = 1_000_000;

/// Reason why a request gets no second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// It is not known, may run only once, was sent before, has a second attempt already, or its
    /// response began.
    Ineligible,
    /// Its first attempt is not slower than expected yet, or too few times are known.
    NotDue,
    /// No request of its size or larger that was dispatched later has been answered in half the time:
    /// the other servers may be as slow.
    NotOvertaken,
    /// Requests wait for a server, or the servers are nearly full.
    Overload,
    /// No other server is available.
    NoServer,
    /// The route's limit on attempts is reached.
    Attempts,
    /// The operators' ratio of requests or of tokens is used up.
    Ratio,
    /// The retry budget is used up.
    RetryBudget,
}

/// Time to the first event or answer of one attempt.
#[derive(Debug, Clone, Copy)]
struct Time {
    ended_us: u64,
    duration_us: u64,
    is_answered: bool,
}

/// Recent times of one class of size.
#[derive(Debug, Clone, Default)]
struct Class {
    times: Vec<Time>,
    /// Position of the next time in `times` once it is full.
    next: usize,
}

impl Class {
    fn push(&mut self, time: Time) {
        if self.times.len() < TIMES {
            return self.times.push(time);
        }
        self.times[self.next] = time;
        self.next = (self.next + 1) % TIMES;
    }

    /// Returns the durations of the recent times.
    fn durations_us(&self, now_us: u64) -> Vec<u64> {
        let recent = self.times.iter();
        let recent = recent.filter(|time| now_us.saturating_sub(time.ended_us) < RECENT_US);
        recent.map(|time| time.duration_us).collect()
    }
}

/// Counts of one second; reused for a later second after the window has passed.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    second: u64,
    requests: u64,
    request_tokens: u64,
    hedges: u64,
    hedge_tokens: u64,
}

/// Limit on hedges as a ratio of requests and of their tokens, over a sliding window of ten seconds.
///
/// Each router applies it to its own requests, so that the sum over any set of routers is within the
/// ratio whether or not they hear of each other.
#[derive(Debug, Clone)]
pub struct Allowance {
    ratio: f64,
    buckets: [Bucket; BUCKETS],
}

impl Allowance {
    /// Returns an allowance of `ratio` hedges per request, and of as many tokens per token.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// Counts a request at its first dispatch.
    pub fn on_request(&mut self, now_us: u64, tokens: u64) {
        let bucket = self.bucket(now_us);
        bucket.requests += 1;
        bucket.request_tokens += tokens;
    }

    /// Returns whether one more hedge with `tokens` is within the ratio.
    pub fn allows(&self, now_us: u64, tokens: u64) -> bool {
        let second = now_us / BUCKET_US;
        let mut sum = Bucket::default();
        for bucket in &self.buckets {
            if second.saturating_sub(bucket.second) < BUCKETS as u64 {
                sum.requests += bucket.requests;
                sum.request_tokens += bucket.request_tokens;
                sum.hedges += bucket.hedges;
                sum.hedge_tokens += bucket.hedge_tokens;
            }
        }
        (sum.hedges + 1) as f64 <= sum.requests as f64 * self.ratio
            && (sum.hedge_tokens + tokens) as f64 <= sum.request_tokens as f64 * self.ratio
    }

    /// Counts a hedge.
    pub fn take(&mut self, now_us: u64, tokens: u64) {
        let bucket = self.bucket(now_us);
        bucket.hedges += 1;
        bucket.hedge_tokens += tokens;
    }

    fn bucket(&mut self, now_us: u64) -> &mut Bucket {
        let second = now_us / BUCKET_US;
        let bucket = &mut self.buckets[(second % BUCKETS as u64) as usize];
        if bucket.second != second {
            *bucket = Bucket {
                second,
                ..Bucket::default()
            };
        }
        bucket
    }
}

/// Recent times and the allowance of one model or service.
#[derive(Debug, Clone)]
pub struct Hedges {
    /// Limit on the hedges.
    pub allowance: Allowance,
    quantile: f64,
    classes: [Class; CLASSES],
}

impl Hedges {
    /// Returns the state for the operators' ratio, `None` if it is 0: then nothing is sampled.
    ///
    /// The slowest requests up to the ratio are hedged, so the delay is the quantile `1 - ratio`: a
    /// lower one would spend the allowance on requests that are about to be answered.
    pub fn new(ratio: f64) -> Option<Self> {
        (ratio > 0.0).then(|| Self {
            allowance: Allowance::new(ratio.min(MAX_RATIO)),
            quantile: (1.0 - ratio.min(MAX_RATIO)).min(MAX_QUANTILE),
            classes: Default::default(),
        })
    }

    /// Records the first event or the answer of an attempt that was dispatched at `dispatched_us`.
    pub fn on_answer(&mut self, now_us: u64, tokens: u64, dispatched_us: u64) {
        self.push(now_us, tokens, dispatched_us, true);
    }

    /// Records the time for which an attempt got no answer before it was cancelled in favour of
    /// another. Without it, the quantile would fall with each hedge that succeeds.
    pub fn on_abandoned(&mut self, now_us: u64, tokens: u64, dispatched_us: u64) {
        self.push(now_us, tokens, dispatched_us, false);
    }

    /// Returns the time after its dispatch at which a request of this size is slower than expected,
    /// in microseconds; `None` if too few times are known.
    pub fn delay_us(&self, now_us: u64, tokens: u64) -> Option<u64> {
        let mut durations_us = self.classes[class(tokens)].durations_us(now_us);
        if durations_us.len() < MIN_TIMES {
            return None;
        }
        let mut at = |quantile: f64| {
            let rank = (durations_us.len() as f64 * quantile) as usize;
            let rank = rank.min(durations_us.len() - 1);
            *durations_us.select_nth_unstable(rank).1
        };
        let least_us = at(0.5) as f64 * MIN_DELAY_MEDIANS;
        Some(at(self.quantile).max(least_us as u64))
    }

    /// Returns whether a request of this size or larger, dispatched later than one at `dispatched_us`,
    /// was answered in half the time for which that one has waited. If none was, the cause may be
    /// common to all servers.
    pub fn is_overtaken(&self, now_us: u64, tokens: u64, dispatched_us: u64) -> bool {
        let waited_us = now_us.saturating_sub(dispatched_us);
        let mut times = self.classes[class(tokens)..]
            .iter()
            .flat_map(|class| &class.times);
        times.any(|time| {
            time.is_answered
                && time.ended_us - time.duration_us > dispatched_us
                && time.duration_us <= waited_us / OVERTAKING_DIVISOR
        })
    }

    fn push(&mut self, now_us: u64, tokens: u64, dispatched_us: u64, is_answered: bool) {
        let dispatched_us = dispatched_us.min(now_us);
        self.classes[class(tokens)].push(Time {
            ended_us: now_us,
            duration_us: now_us - dispatched_us,
            is_answered,
        });
    }
}

/// Returns the class of a request with this many tokens.
fn class(tokens: u64) -> usize {
    (tokens.max(1).ilog2() as usize / 2).min(CLASSES - 1)
}
