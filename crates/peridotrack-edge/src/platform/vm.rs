//! The entries of the platform's list of VMs.

use std::net::SocketAddr;

use peridotrack_types::name;
use serde::Deserialize;

/// An entry in the platform's list of VMs, which lags behind their actual state.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VmEntry {
    /// Name of the VM; that of the backend server if the VM runs one.
    pub name: name::Vm,
    /// Address of the process on the VM; for a router, where it listens for peers.
    pub address: SocketAddr,
    /// Whether the VM serves or is about to stop.
    pub state: VmState,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to stop.
    Leaving,
}
