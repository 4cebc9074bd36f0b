//! Settings of one gateway process.
//!
//! They are independent of the format of the platform's settings file, from which
//! `peridotrack-platform` decodes them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{collections, name};

/// Settings of one gateway process: its VM, its addresses and its deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM that runs the process.
    pub vm: name::Vm,
    /// Failure domain of the VM.
    pub failure_domain: name::FailureDomain,
    /// Region of each failure domain of the deployment.
    pub regions: collections::HashMap<name::FailureDomain, String>,
    /// Address that the process listens on for client requests.
    pub client_address: SocketAddr,
    /// Address that the process listens on for readiness probes.
    pub readiness_address: SocketAddr,
    /// Address that the process listens on for connections from other routers.
    pub peer_address: SocketAddr,
    /// Addresses of peers to contact at startup; some may be stale.
    pub seed_addresses: Vec<SocketAddr>,
    /// Text shared by the routers of one deployment, to distinguish them from those of another.
    pub peer_key: String,
    /// Address that metrics are served on; absent if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's metadata store.
    pub store_address: SocketAddr,
    /// Rate of writes that the store accepts from the whole fleet, in writes per second.
    pub store_writes_per_s: u64,
    /// Maximum number of sockets that this process may have open.
    pub sockets: usize,
    /// Memory of the VM in mebibytes; a process that exceeds it is ended.
    pub memory_mb: usize,
    /// Bounds set by the operators.
    pub bounds: Bounds,
}

/// Bounds set by the operators on time spans and on repeated requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Grace period from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Time after the start of a drain by which a backend server receives no new requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time within which every router applies a new configuration, in milliseconds.
    pub config_apply_ms: u64,
    /// Time after the end of a store outage within which a VM must be connected to the store again,
    /// in milliseconds.
    pub contact_ms: u64,
    /// Retry budget of a service, as a ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries of a service's requests allowed in addition to the ratio, for the whole fleet.
    pub retry_slack: u64,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Interval at which backend servers renew their directory entries, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time after the evacuation of a failure domain by which its backend servers receive no new
    /// requests, in milliseconds; absent if failure domains are not evacuated.
    pub evacuation_ms: Option<u64>,
}
