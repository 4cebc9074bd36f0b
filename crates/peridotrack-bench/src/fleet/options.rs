//! Options and faults of a simulated fleet.

use peridotrack_budget::options;

/// Options of a fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// Options of every holder.
    pub holder: options::Options,
    /// Seed of latencies and faults.
    pub seed: u64,
    /// Time between ticks of a holder, in microseconds.
    pub tick_us: u64,
    /// One-way latency to the store, in microseconds.
    pub store_latency_us: u64,
    /// One-way latency between holders, in microseconds.
    pub peer_latency_us: u64,
    /// Time after which a holder gives up on a store call, in microseconds.
    pub store_timeout_us: u64,
    /// Longest time that a request waits for tokens, in microseconds.
    pub max_wait_us: u64,
    /// Whether peer messages are encoded to count their bytes.
    pub counts_bytes: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            holder: options::Options::default(),
            seed: 1,
            tick_us: 20_000,
            store_latency_us: 2_000,
            peer_latency_us: 750,
            store_timeout_us: 1_000_000,
            max_wait_us: 2_000_000,
            counts_bytes: false,
        }
    }
}

/// Faults in force. Fields that end in `_per_mille` are probabilities in 1,000.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether the store is unavailable to every failure domain.
    pub is_store_down: bool,
    /// Store responses lost after the call took effect; the holder sees a timeout.
    pub lost_replies_per_mille: u32,
    /// Writes that reach the store only after the holder saw them time out.
    pub late_calls_per_mille: u32,
    /// Reads that return an older version, if the store keeps its history.
    pub stale_reads_per_mille: u32,
    /// Writes refused by the store's rate limit.
    pub refused_writes_per_mille: u32,
    /// Peer messages lost without notice.
    pub lost_messages_per_mille: u32,
    /// Peer messages delivered twice.
    pub duplicated_messages_per_mille: u32,
    /// Longest extra delay of a peer message, in microseconds; different delays reorder messages.
    pub max_extra_delay_us: u64,
    /// Indices of failure domains that are cut off from the platform.
    pub platform_cuts: Vec<usize>,
    /// Indices of failure domains that are cut off from all others.
    pub domain_cuts: Vec<usize>,
}

impl Faults {
    /// Returns whether a failure domain reaches the store.
    pub fn reaches_store(&self, domain: usize) -> bool {
        !self.is_store_down && !self.platform_cuts.contains(&domain)
    }

    /// Returns whether holders of two failure domains reach each other.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = |domain| self.domain_cuts.contains(&domain);
        from == to || !(is_cut(from) || is_cut(to))
    }
}
