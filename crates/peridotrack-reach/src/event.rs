//! Events that the state machine handles and actions that it returns.

use std::collections::BTreeSet;

use peridotrack_types::name;

/// How this router connects to backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// By connections of its own.
    Direct,
    /// Through other routers, because it is partitioned from all backend servers.
    ThroughPeers,
}

/// An input of [`crate::reach::Reach`]. Connections through peers are not reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The known backend servers have changed. The set replaces the previous one.
    Servers(BTreeSet<name::BackendServer>),
    /// A direct connection was established.
    Connected {
        /// Server that accepted it.
        backend_server: name::BackendServer,
    },
    /// A direct connection was refused, was reset or timed out.
    Failed {
        /// Server that could not be connected to.
        backend_server: name::BackendServer,
        /// When connecting began, in monotonic microseconds.
        began_us: u64,
    },
    /// Bytes of a server were received on a direct connection.
    Received,
    /// Time has passed. Expected several times per second.
    Tick {
        /// Number of requests that were sent directly and wait for the beginning of a response.
        awaited_responses: usize,
    },
}

/// An operation that the driver carries out for [`crate::reach::Reach`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Connect directly to a server and report whether that succeeded.
    Probe {
        /// Server to connect to.
        backend_server: name::BackendServer,
    },
    /// New connections take another path from now on.
    Changed(Change),
}

/// A change of the path, with its evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The path from now on.
    pub path: Path,
    /// When the first of the failures occurred that show the partition, in monotonic microseconds.
    pub since_us: u64,
    /// Servers whose connections show the change: those that failed, or the one that was connected
    /// to; empty if no server is known any more.
    pub evidence: Vec<name::BackendServer>,
}
