//! Settings of one gateway process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{collections, name};

/// What a gateway process is told about its VM and its deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub vm: name::Vm,
    /// Failure domain of this VM.
    pub failure_domain: name::FailureDomain,
    /// Region of each failure domain.
    pub regions: collections::HashMap<name::FailureDomain, String>,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Peer addresses to contact first; they may be stale.
    pub seed_addresses: Vec<SocketAddr>,
    /// Text that routers of one deployment share, to tell them from those of another.
    pub peer_key: String,
    /// Where metrics are served, if they are.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Write calls that the store takes from the whole fleet, for each second.
    pub store_writes_per_s: u64,
    /// Sockets that this process may open.
    pub sockets: usize,
    /// Bounds that the operators set.
    pub bounds: Bounds,
}

/// Bounds that the operators set.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Time after which a draining backend server gets no new work, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a new configuration is in force everywhere, in milliseconds.
    pub config_apply_ms: u64,
    /// Time after an outage of the store after which a VM counts as connected, in milliseconds.
    pub contact_ms: u64,
    /// Repeated sends of a service's requests, as a share of the requests.
    pub retry_ratio: f64,
    /// Repeated sends of a service's requests on top of the share, for the whole fleet.
    pub retry_slack: u64,
    /// Span over which repeated sends are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Period in which backend servers renew their entries, in milliseconds.
    pub heartbeat_ms: u64,
}
