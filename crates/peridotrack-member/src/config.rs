//! Which configuration version a router holds, and when it fetches another.
//!
//! The platform's conditional update gives each accepted configuration its own
//! version, so the highest version is the latest, whoever tells of it. A version
//! once held is never replaced by a lower one.

/// The configuration version that a router holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldVersion {
    version: u64,
    fetch: Option<Fetch>,
}

/// A fetch under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fetch {
    version: u64,
    deadline_us: u64,
}

/// What to do about a version that the platform or a peer tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchDecision {
    /// Fetch the configuration from who told.
    Fetch,
    /// A fetch of this or a higher version is under way.
    Fetching,
    /// The version is held.
    Current,
    /// The version is lower than the one held.
    Stale {
        /// Version held.
        held_version: u64,
    },
}

/// What became of a configuration that was fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is higher than the one held and replaces it.
    Accepted {
        /// Version held before; 0 means none.
        previous_version: u64,
    },
    /// It is held already.
    Unchanged,
    /// It is lower than the one held and must not be put in force.
    Refused {
        /// Version held.
        held_version: u64,
    },
}

impl HeldVersion {
    /// Returns the version held; 0 means none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes note that the platform or a peer tells of `version`.
    ///
    /// A fetch counts as failed after `timeout_us`; the next offer starts another.
    pub fn on_advertised(&mut self, now_us: u64, version: u64, timeout_us: u64) -> FetchDecision {
        if version < self.version {
            return FetchDecision::Stale {
                held_version: self.version,
            };
        }
        if version == self.version {
            return FetchDecision::Current;
        }
        let is_fetching = self
            .fetch
            .is_some_and(|fetch| fetch.version >= version && now_us < fetch.deadline_us);
        if is_fetching {
            return FetchDecision::Fetching;
        }
        self.fetch = Some(Fetch {
            version,
            deadline_us: now_us.saturating_add(timeout_us),
        });
        FetchDecision::Fetch
    }

    /// Takes note that the configuration of `version` has been read as a whole.
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
