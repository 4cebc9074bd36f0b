//! Events that the membership handles and actions that it returns.
//!
//! The driver passes each [`Event`] to [`crate::member::Members::on_event`] and carries
//! out the [`Action`]s in the order returned.

use std::net::SocketAddr;

use peridotrack_types::{id, name};

use crate::{
    message::Message,
    peer::{Peer, Reason},
};

/// An input of [`crate::member::Members`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Expected at least every [`crate::member::MAX_TICK_US`]; a longer gap counts
    /// as a pause of the process.
    Tick,
    /// A message of another router arrived.
    Message {
        /// Source address of the message.
        from_address: SocketAddr,
        /// The message as received.
        message: Message,
    },
    /// A message could not be sent. The peer counts as unreachable until a message from it arrives.
    SendFailed {
        /// Peer address of the receiver.
        address: SocketAddr,
    },
    /// A poll or watch returned the platform's configuration version.
    PlatformConfig {
        /// Version returned; it may come from a stale read.
        version: u64,
    },
    /// A poll or watch of the platform failed.
    PlatformUnreachable,
    /// The platform listed its VMs. The list may lag behind the VMs that run.
    VmList(Vec<ListedVm>),
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM, unique on the platform.
    pub vm: name::Vm,
    /// Address at which its router accepts other routers, `None` if the list has none.
    pub peer_address: Option<SocketAddr>,
    /// Whether the platform lists the VM as about to be removed.
    pub is_leaving: bool,
}

/// An operation that the driver carries out for [`crate::member::Members`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message; report a failure as [`Event::SendFailed`].
    Send {
        /// Peer address of the receiver.
        address: SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// A peer has become live.
    Joined {
        /// State of the peer after the change.
        peer: Peer,
    },
    /// A peer is no longer live.
    Left {
        /// Last known state of the peer.
        peer: Peer,
        /// Reason why the peer is not live any more.
        reason: Reason,
    },
    /// Fetch the configuration from a peer that holds a higher version.
    FetchConfigFrom {
        /// Peer address of the peer.
        address: SocketAddr,
        /// Version that the peer advertised.
        version: u64,
    },
    /// Fetch the configuration from the platform, which holds a higher version.
    FetchConfigFromPlatform {
        /// Version that the platform reported.
        version: u64,
    },
    /// Read the version of the platform's configuration; report it as [`Event::PlatformConfig`] or
    /// [`Event::PlatformUnreachable`].
    PollPlatform,
    /// Report an occurrence on the timeline.
    Note(Note),
}

/// An occurrence reported on the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// This process was paused.
    Resumed {
        /// Time between two events, in microseconds.
        gap_us: u64,
    },
    /// A newer process runs under the name of this router's VM.
    Superseded {
        /// Incarnation of the newer process.
        by: id::Incarnation,
    },
    /// The platform reported a lower version than this router holds.
    StalePlatformConfig {
        /// Version that the platform reported.
        version: u64,
        /// Version that this router holds.
        held_version: u64,
    },
}
