//! The configuration version that a router holds, and the decision when to fetch another.
//!
//! The platform's conditional update gives each accepted configuration its own version, so the
//! highest version is the latest, whether the platform or a peer advertises it. A held version is
//! never replaced by a lower one.

use std::net::SocketAddr;

/// Tracks the configuration version that a router holds and the fetch of a higher one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldVersion {
    version: u64,
    fetch: Option<Fetch>,
}

/// An outstanding fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fetch {
    version: u64,
    from: Advertiser,
    began_us: u64,
}

/// Who advertises a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advertiser {
    /// The platform's store.
    Platform,
    /// The router at this peer address.
    Peer(SocketAddr),
}

/// Times after which a fetch without a result may be repeated, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// From the same advertiser.
    pub same_advertiser_us: u64,
    /// From another one: the first may have ended before it answered.
    pub other_advertiser_us: u64,
}

impl Fetch {
    /// Returns whether a fetch from an advertiser would be redundant, because this one may still
    /// have a result.
    fn is_outstanding(&self, now_us: u64, from: Advertiser, timeouts: &Timeouts) -> bool {
        let timeout_us = match from == self.from {
            true => timeouts.same_advertiser_us,
            false => timeouts.other_advertiser_us,
        };
        now_us.saturating_sub(self.began_us) < timeout_us
    }
}

/// What to do about a version that the platform or a peer advertises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Fetch the configuration from the advertiser.
    Fetch,
    /// A fetch of this or a higher version is outstanding.
    Fetching,
    /// The version is the one held; nothing to do.
    Current,
    /// The version is lower than the one held, as after a stale read or a loss of store data.
    Stale {
        /// Version that the router keeps.
        held_version: u64,
    },
}

/// Result of comparing a fetched configuration with the version held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its version is higher than the one held and replaces it.
    Accepted {
        /// Version held before; 0 if there was none.
        previous_version: u64,
    },
    /// Its version is the one held.
    Unchanged,
    /// Its version is lower than the one held, so the configuration must not be applied.
    Refused {
        /// Version that the router keeps.
        held_version: u64,
    },
}

impl HeldVersion {
    /// Returns the version held; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Decides what to do about a version that the platform or a peer advertises.
    ///
    /// [`Decision::Fetch`] records a fetch as outstanding. After the `timeouts` the next advertised
    /// version starts another.
    pub fn on_advertised(
        &mut self,
        now_us: u64,
        version: u64,
        from: Advertiser,
        timeouts: &Timeouts,
    ) -> Decision {
        if version < self.version {
            return Decision::Stale {
                held_version: self.version,
            };
        }
        if version == self.version {
            return Decision::Current;
        }
        let is_fetching = self.fetch.is_some_and(|fetch| {
            fetch.version >= version && fetch.is_outstanding(now_us, from, timeouts)
        });
        if is_fetching {
            return Decision::Fetching;
        }
        self.fetch = Some(Fetch {
            version,
            from,
            began_us: now_us,
        });
        Decision::Fetch
    }

    /// Records that the configuration of `version` has been read completely.
    pub fn on_fetched(&mut self, version: u64) -> Outcome {
        if version < self.version {
            return Outcome::Refused {
                held_version: self.version,
            };
        }
        if version == self.version {
            return Outcome::Unchanged;
        }
        let previous_version = std::mem::replace(&mut self.version, version);
        self.fetch = self.fetch.filter(|fetch| fetch.version > version);
        Outcome::Accepted { previous_version }
    }
}
