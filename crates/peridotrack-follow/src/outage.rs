//! Outages of the store, concluded from the results of calls.
//!
//! A call without a response shows that the store is unavailable. The end of a waiting watch and a
//! refusal for exceeding a rate do not: a store that serves everyone else does that too. Those
//! count only if they span the time that an outage takes to matter.

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The store did not respond or refused service.
    Unavailable,
    /// An available store may let the call fail in this way as well.
    Inconclusive {
        /// When the call was sent, in monotonic microseconds.
        sent_us: u64,
    },
}

/// When the store was unavailable.
///
/// ```
/// use peridotrack_follow::outage::{Failure, Outages};
///
/// let mut outages = Outages::new(2_000_000);
/// outages.on_failure(900_000, Failure::Inconclusive { sent_us: 400_000 });
/// outages.on_response(1_000_000);
/// assert_eq!(outages.last_us(), None);
/// outages.on_failure(1_500_000, Failure::Unavailable);
/// assert_eq!(outages.last_us(), Some(1_500_000));
/// ```
#[derive(Debug)]
pub struct Outages {
    /// Minimum length of an outage that inconclusive failures show, in microseconds.
    min_length_us: u64,
    /// When the store last responded, in monotonic microseconds.
    responded_us: u64,
    /// Since when the store may have been unavailable; `None` if it responded since the last failure.
    doubtful_since_us: Option<u64>,
    last_us: Option<u64>,
}

impl Outages {
    /// Returns the state before the first call. Inconclusive failures count as an outage once the
    /// store may have been unavailable for `min_length_us` (microseconds).
    pub fn new(min_length_us: u64) -> Self {
        Self {
            min_length_us,
            responded_us: 0,
            doubtful_since_us: None,
            last_us: None,
        }
    }

    /// Returns when the store was last unavailable, in monotonic microseconds; `None` if it never
    /// was.
    pub fn last_us(&self) -> Option<u64> {
        self.last_us
    }

    /// Records that the store responded.
    pub fn on_response(&mut self, now_us: u64) {
        self.conclude(now_us);
        self.doubtful_since_us = None;
        self.responded_us = now_us;
    }

    /// Records that a call failed.
    pub fn on_failure(&mut self, now_us: u64, failure: Failure) {
        match failure {
            Failure::Unavailable => self.last_us = Some(now_us),
            Failure::Inconclusive { sent_us } => {
                let since_us = sent_us.max(self.responded_us);
                self.doubtful_since_us.get_or_insert(since_us);
                self.conclude(now_us);
            }
        }
    }

    /// Counts a doubtful time that is long enough as an outage, which has lasted until now.
    fn conclude(&mut self, now_us: u64) {
        let is_outage = |since_us: u64| now_us.saturating_sub(since_us) >= self.min_length_us;
        if self.doubtful_since_us.is_some_and(is_outage) {
            self.last_us = Some(now_us);
        }
    }
}
