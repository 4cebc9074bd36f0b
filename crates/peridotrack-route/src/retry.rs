//! Retry budget: bounds the ratio of retries to recent first dispatches.
//!
//! It keeps retries from multiplying the load when many backend servers fail at once.

/// Number of buckets in the sliding window.
const BUCKETS: usize = 10;
/// Duration of one bucket, in microseconds.
const BUCKET_US: u64 = 1_000_000;

/// Counts of one second; reused for a later second after the window has passed.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    second: u64,
    first_dispatches: u64,
    retries: u64,
}

/// Retry budget over a sliding window of ten seconds.
///
/// A retry is allowed while the ratio of retries to first dispatches in the window is within
/// [`Options::retry_ratio`](crate::options::Options::retry_ratio), or the number of retries is
/// within [`Options::min_retries`](crate::options::Options::min_retries), so that retries are
/// possible with little traffic.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    min_retries: f64,
    buckets: [Bucket; BUCKETS],
}

impl Budget {
    /// Returns an empty budget that allows `ratio` retries per first dispatch, and always
    /// `min_retries` retries in the window.
    pub fn new(ratio: f64, min_retries: f64) -> Self {
        Self {
            ratio,
            min_retries,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// Counts the first dispatch of a request.
    pub fn on_first_dispatch(&mut self, now_us: u64) {
        self.bucket(now_us).first_dispatches += 1;
    }

    /// Returns whether the budget allows one more retry, without taking it.
    pub fn allows(&self, now_us: u64) -> bool {
        let second = now_us / BUCKET_US;
        let (mut first_dispatches, mut retries) = (0, 0);
        for bucket in &self.buckets {
            if second.saturating_sub(bucket.second) < BUCKETS as u64 {
                first_dispatches += bucket.first_dispatches;
                retries += bucket.retries;
            }
        }
        let allowed = (first_dispatches as f64 * self.ratio).max(self.min_retries);
        (retries + 1) as f64 <= allowed
    }

    /// Takes one retry from the budget; returns `false` and takes none if it is exhausted.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        let taken = self.allows(now_us);
        if taken {
            self.bucket(now_us).retries += 1;
        }
        taken
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
