//! Control settings and counters of the platform.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Settings to change; absent fields stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether every connection is closed without an answer.
    pub down: Option<bool>,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Next writes that take effect and then get no answer.
    pub lose_replies: Option<u64>,
    /// Next reads that answer the previous version.
    pub stale_reads: Option<u64>,
    /// Writes accepted a second.
    pub write_rate_per_s: Option<u64>,
    /// Reads, lists and watches accepted a second.
    pub read_rate_per_s: Option<u64>,
    /// VMs to list.
    pub vms: Option<Vec<Vm>>,
    /// Time until a new list of VMs shows, in milliseconds.
    pub vms_lag_ms: Option<u64>,
    /// Indexes of the listeners whose clients are cut off.
    pub cut_listeners: Option<Vec<usize>>,
}

/// One VM of the lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Unique name.
    pub name: String,
    /// Where its backend server or router listens.
    pub address: SocketAddr,
    /// Whether it is to stay.
    pub state: VmState,
}

/// Whether a VM is to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// To be removed: takes no new work.
    Leaving,
}

/// Calls since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counters {
    /// Latest version given out.
    pub version: u64,
    /// Objects stored now.
    pub objects: u64,
    /// Watches waiting now.
    pub waiting_watches: u64,
    /// Object reads within the rate.
    pub reads: u64,
    /// Writes and deletions within the rate, failed preconditions included.
    pub writes: u64,
    /// Of them, by the part of the key before its first slash.
    pub writes_by_prefix: BTreeMap<String, u64>,
    /// Lists of objects within the rate.
    pub lists: u64,
    /// Watches within the rate.
    pub watches: u64,
    /// Lists of VMs within the rate.
    pub vms: u64,
    /// Writes whose answer was withheld.
    pub lost_replies: u64,
    /// Reads that answered an earlier version.
    pub stale_reads: u64,
    /// Calls that had no effect.
    pub refused: Refused,
}

/// Calls that had no effect, by cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refused {
    /// The write or read rate was exceeded.
    pub rate: u64,
    /// The precondition did not hold.
    pub precondition: u64,
    /// The value was too large.
    pub too_large: u64,
    /// The call was malformed.
    pub malformed: u64,
    /// The platform was down or the listener cut off.
    pub cut: u64,
}
