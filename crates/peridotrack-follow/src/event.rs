//! What a follower is told and what it asks to be done.

use peridotrack_types::id;

use crate::message::{Change, Message};

/// An input of a [`crate::follower::Follower`].
///
/// Every [`Action::List`] and [`Action::Watch`] is answered by exactly one of `Listed`,
/// `Watched`, `CallFailed` and `HistoryLost`; at most one of them is outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; due every 100 ms or so.
    Tick,
    /// The objects were listed, and taken over by the caller.
    Listed {
        /// Revision that the list shows.
        revision: u64,
    },
    /// A watch ended.
    Watched {
        /// Changes after the revision that was asked for, oldest first.
        changes: Vec<Change>,
        /// Revision that they reach.
        revision: u64,
        /// Time since a call to the store last failed, in microseconds.
        since_loss_us: Option<u64>,
    },
    /// A call failed.
    CallFailed,
    /// The changes since the revision that was asked for are no longer kept.
    HistoryLost,
    /// The live peers of the own failure domain.
    Peers(Vec<id::Incarnation>),
    /// A message of a peer.
    Peer {
        /// Sender.
        from: id::Incarnation,
        /// Message.
        message: Message,
    },
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// List all objects.
    List,
    /// Wait for changes.
    Watch {
        /// Revision after which they begin.
        revision: u64,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Take over changes.
    Apply {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// Time since a call to the store last failed, in microseconds, by who watched.
        since_loss_us: Option<u64>,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: id::Incarnation,
        /// Message.
        message: Message,
    },
}
