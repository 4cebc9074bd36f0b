//! Options of the quarantine.
//!
//! Names ending in `_us` are in microseconds, those ending in `_ms` in milliseconds.

/// Tunable parameters of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Depth of a crash that proves a prompt part, together with as many ended servers.
    pub part_proof_depth: u32,
    /// Number of ended servers that prove a prompt part with a crash of depth 2.
    pub part_proof_servers: usize,
    /// Depth of a crash from which on a failed request with the prompt part is not sent again.
    pub part_no_retry_depth: u32,
    /// Number of ended servers that prove a request with a crash of depth 2.
    pub request_proof_servers: usize,
    /// Number of ended servers from which on a failed request is not sent again.
    pub request_no_retry_servers: usize,
    /// Number of ended servers from which on few routers at a time send the request, until its
    /// outcome clears or proves it.
    pub request_probe_servers: usize,
    /// Number of groups of routers that take turns to send such a request.
    pub probe_groups: u64,
    /// Duration of a turn.
    pub probe_turn_ms: u64,
    /// Time between two such requests of one router.
    pub probe_interval_us: u64,
    /// Time from the last crash under a block to the first request that is sent to recheck it.
    pub recheck_delay_us: u64,
    /// Factor by which that time grows with each recheck.
    pub recheck_factor: u64,
    /// Time for which a broken attempt waits for the news that its server has ended.
    pub pending_us: u64,
    /// Delay that batches changes into one statement to the peers.
    pub send_delay_us: u64,
    /// Delay of a write to the store, in which signatures of sound requests are usually cleared.
    pub write_delay_us: u64,
    /// Least time from one statement to the peers to the next.
    pub send_interval_us: u64,
    /// Least time from one write to the store to the next.
    pub write_interval_us: u64,
    /// Delay of a statement to the peers and of a write from which only settled entries were removed.
    pub settled_delay_us: u64,
    /// Delay of the next write after one that failed.
    pub write_retry_us: u64,
    /// Age from which on a crash is ignored, by the clocks of the VMs.
    pub crash_age_ms: u64,
    /// Period at which aged crashes are removed.
    pub expiry_us: u64,
    /// Limit on the signatures considered of one request.
    pub max_signatures: usize,
    /// Limit on the broken attempts that wait for news.
    pub max_pending: usize,
    /// Limit on the crashes in one statement, and on the clearances.
    pub max_entries: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            part_proof_depth: 3,
            part_proof_servers: 5,
            part_no_retry_depth: 2,
            request_proof_servers: 3,
            request_no_retry_servers: 2,
            request_probe_servers: 3,
            probe_groups: 16,
            probe_turn_ms: 500,
            probe_interval_us: 2_000_000,
            recheck_delay_us: 4_000_000,
            recheck_factor: 8,
            pending_us: 5_000_000,
            send_delay_us: 20_000,
            write_delay_us: 200_000,
            send_interval_us: 100_000,
            write_interval_us: 1_000_000,
            settled_delay_us: 500_000,
            write_retry_us: 500_000,
            crash_age_ms: 24 * 3_600 * 1_000,
            expiry_us: 60_000_000,
            max_signatures: 64,
            max_pending: 256,
            max_entries: 256,
        }
    }
}

impl Options {
    /// Returns the number of ended servers below which a signature can be neither proven nor
    /// undecided.
    pub(crate) fn judged_servers(&self) -> usize {
        let part_servers = self.part_proof_servers.min(self.part_proof_depth as usize);
        let request_servers = self.request_proof_servers.min(self.request_probe_servers);
        part_servers.min(request_servers)
    }
}
