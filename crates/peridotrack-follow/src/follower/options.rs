//! Periods, timeouts and bounds, which the follower and its parts share.

/// Periods, timeouts and bounds of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum wait of a watch by a router that is not a relay, in microseconds. An outage that
    /// leaves a watch without a response is detected only after this wait plus the driver's timeout
    /// for the response.
    pub wait_us: u64,
    /// Maximum wait of a relay's watch, in microseconds. The update sent at its end shows the
    /// subscribers that the relay is alive.
    pub relay_wait_us: u64,
    /// Maximum wait of a watch after a failed call or a silent relay, in microseconds. It is short
    /// because the same fault may leave this watch without a response too.
    pub retry_wait_us: u64,
    /// Time without an update from the relay after which the router watches the store itself, in
    /// microseconds. It must be longer than [`Options::relay_wait_us`], and shorter than the time
    /// within which a change must be known.
    pub silence_us: u64,
    /// Time after a subscription was sent for which an update that its receiver sent afterwards keeps
    /// the view current, in microseconds. It must be longer than [`Options::relay_wait_us`] and
    /// [`Options::subscribe_us`] together, and shorter than the time within which a change must be
    /// known.
    pub max_age_us: u64,
    /// Time for which watches go on from a revision after which the store has reported no changes,
    /// before they go on from a later one, in microseconds. The store may report a change late,
    /// although it states a later revision: this time must be longer than the delay. Twice the time and
    /// three waits must be shorter than the store keeps its history, or else the objects are listed
    /// now and then.
    pub settle_us: u64,
    /// Time since the last confirmation of the view after which the objects are listed again
    /// instead of watched, in microseconds. After a long time, listing them may be faster than
    /// reading all changes.
    pub relist_after_us: u64,
    /// Delay of the next watch after one that returned changes, in microseconds, so that one call
    /// reads several changes of a burst. A relay does not delay its watches.
    pub batch_delay_us: u64,
    /// Backoff after the first failed call, in microseconds; doubled by each further failure and
    /// jittered.
    pub backoff_min_us: u64,
    /// Longest backoff after failed calls, in microseconds.
    pub backoff_max_us: u64,
    /// Period at which the subscription to a relay is renewed, in microseconds.
    pub subscribe_us: u64,
    /// Time after which a subscription that is not renewed expires, in microseconds.
    pub subscription_us: u64,
    /// Time for which a silent relay is not chosen again, in microseconds.
    pub suspect_us: u64,
    /// Whether a router that neither the store nor a relay keeps current asks peers for the objects. It
    /// must not for a kind that is large and comes from peers in another way.
    pub is_fetched: bool,
    /// Period at which such a router asks a peer, in microseconds.
    pub fetch_us: u64,
    /// Maximum content of one update, in bytes. Of larger changes only the revision is sent, so
    /// that the subscribers read them from the store.
    pub max_update_bytes: usize,
    /// Whether another follower of this router, the leading one, chooses the relay and detects its
    /// silence. Long waits then suffice for this one, which saves calls for a kind that changes
    /// rarely.
    pub is_led: bool,
    /// Seed of the jitter; the incarnation is mixed in.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            wait_us: 1_500_000,
            relay_wait_us: 600_000,
            retry_wait_us: 500_000,
            silence_us: 1_200_000,
            max_age_us: 1_600_000,
            settle_us: 5_000_000,
            relist_after_us: u64::MAX,
            batch_delay_us: 0,
            backoff_min_us: 100_000,
            backoff_max_us: 400_000,
            subscribe_us: 500_000,
            subscription_us: 2_000_000,
            suspect_us: 4_000_000,
            is_fetched: true,
            fetch_us: 500_000,
            max_update_bytes: 16 * 1024,
            is_led: false,
            seed: 0,
        }
    }
}
