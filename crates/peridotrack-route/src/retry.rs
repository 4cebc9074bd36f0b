//! Retry budget: retries as a share of the traffic of the last seconds.

const BUCKETS: usize = 10;
const BUCKET_US: u64 = 1_000_000;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    second: u64,
    first_dispatches: u64,
    retries: u64,
}

/// Counts first dispatches and retries over a sliding window of ten seconds.
///
/// A retry is allowed while all retries of the window stay within the share of its first
/// dispatches. A window with hardly any traffic still allows one retry.
#[derive(Debug, Clone)]
pub struct Budget {
    share: f64,
    floor: f64,
    buckets: [Bucket; BUCKETS],
}

impl Budget {
    /// Returns an empty budget that allows `share` retries for each first dispatch.
    pub fn new(share: f64, floor: f64) -> Self {
        Self {
            share,
            floor,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// Counts the first dispatch of a request.
    pub fn on_first_dispatch(&mut self, now_us: u64) {
        self.bucket(now_us).first_dispatches += 1;
    }

    /// Returns whether the budget allows one more retry.
    pub fn allows(&self, now_us: u64) -> bool {
        let second = now_us / BUCKET_US;
        let (mut first_dispatches, mut retries) = (0, 0);
        for bucket in &self.buckets {
            if second.saturating_sub(bucket.second) < BUCKETS as u64 {
                first_dispatches += bucket.first_dispatches;
                retries += bucket.retries;
            }
        }
        let allowed = (first_dispatches as f64 * self.share).max(self.floor);
        (retries + 1) as f64 <= allowed
    }

    /// Takes one retry; returns whether the budget allows it.
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
