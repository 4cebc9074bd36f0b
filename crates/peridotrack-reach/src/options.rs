//! Bounds of the evidence and periods of the probes.

const US_PER_MS: u64 = 1_000;

/// Age up to which a failed connection is evidence, in microseconds: longer than two rounds of
/// probes.
const EVIDENCE_US: u64 = 2_000 * US_PER_MS;
/// Servers that must have failed: fewer may be down at the same time for reasons of their own.
const MIN_FAILED_SERVERS: usize = 3;
/// Servers probed after a failure, so that a partition is not concluded from those that are down
/// while others run.
const PROBED_SERVERS: usize = 6;
/// Silence after which servers are probed, in microseconds; healthy servers may be silent for longer,
/// so that it only causes probes.
const SILENCE_US: u64 = 400 * US_PER_MS;
/// Servers probed because of silence: a failure of one of them has more probed.
const PROBED_AT_SILENCE: usize = 1;
/// Period of the probes while silence lasts, in microseconds: routers with few requests are often
/// without a response for that long.
const SILENCE_INTERVAL_US: u64 = 2_000 * US_PER_MS;
/// Period of the probes during a partition, in microseconds: direct connections return within this
/// time and that of one connection.
const PROBE_INTERVAL_US: u64 = 250 * US_PER_MS;
/// Time after which probes without a result are given up, in microseconds: more than the time-out
/// of a connection.
const ROUND_TIMEOUT_US: u64 = 1_000 * US_PER_MS;

/// Parameters of [`crate::reach::Reach`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Age up to which a failed connection is evidence, in microseconds.
    pub evidence_us: u64,
    /// Distinct servers that must have failed; all, but at least two, if fewer are known.
    pub min_failed_servers: usize,
    /// Maximum number of servers probed after a failure.
    pub probed_servers: usize,
    /// Time without a byte of any server after which servers are probed if responses are awaited, in
    /// microseconds.
    pub silence_us: u64,
    /// Number of servers probed because of silence.
    pub probed_at_silence: usize,
    /// Period of the probes while silence lasts, in microseconds.
    pub silence_interval_us: u64,
    /// Period of the probes during a partition, in microseconds.
    pub probe_interval_us: u64,
    /// Time after which probes without a result are given up, in microseconds.
    pub round_timeout_us: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            evidence_us: EVIDENCE_US,
            min_failed_servers: MIN_FAILED_SERVERS,
            probed_servers: PROBED_SERVERS,
            silence_us: SILENCE_US,
            probed_at_silence: PROBED_AT_SILENCE,
            silence_interval_us: SILENCE_INTERVAL_US,
            probe_interval_us: PROBE_INTERVAL_US,
            round_timeout_us: ROUND_TIMEOUT_US,
        }
    }
}
