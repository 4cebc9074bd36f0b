//! Control settings and counters of the platform, as `/control` reads and writes them in JSON.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Settings to change; absent fields keep their value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether the platform is unavailable: every connection is closed without a response.
    pub down: Option<bool>,
    /// Latency before each call takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of upcoming writes that take effect and whose response is lost.
    pub lose_replies: Option<u64>,
    /// Number of upcoming reads that return the previous version of the object.
    pub stale_reads: Option<u64>,
    /// Rate limit of writes and deletions, per second; the excess gets 429.
    pub write_rate_per_s: Option<u64>,
    /// Rate limit of reads, lists and watches, per second; the excess gets 429.
    pub read_rate_per_s: Option<u64>,
    /// New list of VMs, which becomes visible after [`Control::vms_lag_ms`].
    pub vms: Option<Vec<Vm>>,
    /// Delay until a new list of VMs becomes visible, in milliseconds.
    pub vms_lag_ms: Option<u64>,
    /// Indexes of partitioned listeners, whose connections are closed without a response.
    pub cut_listeners: Option<Vec<usize>>,
}

/// One entry of the delayed list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM, unique in the list.
    pub name: String,
    /// Address at which its backend server or router listens.
    pub address: SocketAddr,
    /// Whether the VM is in use or about to be removed.
    pub state: VmState,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed; accepts no new work.
    Leaving,
}

/// Counts of calls since the start, and of current objects and watches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// Latest version assigned to a write or deletion.
    pub version: u64,
    /// Objects currently stored.
    pub objects: u64,
    /// Watches currently waiting.
    pub waiting_watches: u64,
    /// Object reads within the rate limit.
    pub reads: u64,
    /// Writes and deletions within the rate limit, including those whose precondition failed.
    pub writes: u64,
    /// The same writes and deletions by the part of the key before its first slash.
    pub writes_by_prefix: BTreeMap<String, u64>,
    /// Lists of objects within the rate limit.
    pub lists: u64,
    /// Watches within the rate limit.
    pub watches: u64,
    /// Lists of VMs within the rate limit.
    pub vms: u64,
    /// Writes that took effect and whose response was dropped.
    pub lost_replies: u64,
    /// Reads that returned the previous version.
    pub stale_reads: u64,
    /// Calls without effect, by cause.
    pub refused: Refused,
}

/// Counts of calls without effect, by cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refused {
    /// Calls above the write or read rate limit.
    pub rate: u64,
    /// Writes and deletions whose precondition failed.
    pub precondition: u64,
    /// Writes of a value above [`MAX_VALUE_BYTES`](crate::platform::MAX_VALUE_BYTES).
    pub too_large: u64,
    /// Requests that could not be parsed as a call.
    pub malformed: u64,
    /// Calls dropped because the platform was unavailable or the listener partitioned.
    pub cut: u64,
}
