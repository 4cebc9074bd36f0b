//! The entries of the platform's list of VMs.

use std::net::SocketAddr;

use peridotrack_types::name;
use serde::Deserialize;
use serde_json::value::RawValue;

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

/// The platform's list of VMs.
pub(super) struct List {
    /// Entries that can be decoded.
    pub(super) entries: Vec<VmEntry>,
    /// Number of the others.
    pub(super) unreadable: usize,
}

impl List {
    /// Decodes a list, each entry by itself: one that cannot be decoded must not hide the others.
    pub(super) fn decode(text: &[u8]) -> Result<Self, serde_json::Error> {
        #[derive(Deserialize)]
        struct Items<'a> {
            #[serde(borrow)]
            items: Vec<&'a RawValue>,
        }
        let Items { items } = serde_json::from_slice(text)?;
        let decode = |item: &&RawValue| serde_json::from_str(item.get()).ok();
        let entries: Vec<VmEntry> = items.iter().filter_map(decode).collect();
        Ok(Self {
            unreadable: items.len() - entries.len(),
            entries,
        })
    }
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
