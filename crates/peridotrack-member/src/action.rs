//! What happens to a router's membership, and what it asks to be done.

use std::net::SocketAddr;

use peridotrack_types::{id, name};

use crate::{
    message::Message,
    peer::{Peer, Reason},
};

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Expected at least every [`crate::member::MAX_TICK_US`].
    Tick,
    /// A message arrived.
    Message {
        /// Address from which it came.
        from_address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A message could not be sent.
    SendFailed {
        /// Address to which it was sent.
        address: SocketAddr,
    },
    /// The platform told its configuration version, by watch or poll. It may be stale.
    PlatformConfig {
        /// Version of the platform's configuration.
        version: u64,
    },
    /// A poll or a watch of the platform failed.
    PlatformUnreachable,
    /// The platform listed its VMs. The list may lag.
    VmList(Vec<ListedVm>),
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: name::Vm,
    /// Where other routers connect to it, if the list tells.
    pub peer_address: Option<SocketAddr>,
    /// Whether the VM is about to be taken away.
    pub is_leaving: bool,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message. A failure is told by [`Event::SendFailed`].
    Send {
        /// Address of the receiver.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A peer has become usable.
    Joined {
        /// The peer.
        peer: Peer,
    },
    /// A peer has ceased to be usable.
    Left {
        /// The peer.
        peer: Peer,
        /// Why it left.
        reason: Reason,
    },
    /// Fetch the configuration from a peer that holds a higher version.
    FetchConfigFrom {
        /// Address of the peer.
        address: SocketAddr,
        /// Version that the peer holds.
        version: u64,
    },
    /// Fetch the configuration from the platform, which holds a higher version.
    FetchConfigFromPlatform {
        /// Version that the platform told.
        version: u64,
    },
    /// Read the version of the platform's configuration.
    PollPlatform,
    /// Something that operators may want to see.
    Note(Note),
}

/// Something that operators may want to see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// This process did not run for a while.
    Resumed {
        /// Time without an event, in microseconds.
        gap_us: u64,
    },
    /// A newer process runs under the name of this VM.
    Superseded {
        /// Incarnation of the newer process.
        by: id::Incarnation,
    },
    /// The platform told a version lower than the one held.
    StalePlatformConfig {
        /// Version that the platform told.
        version: u64,
        /// Version that this router holds.
        held_version: u64,
    },
}
