//! Events that a follower handles and actions that it returns.
//!
//! The driver carries out each [`Action`] and reports the result of a call to the store as an
//! [`Event`].

use peridotrack_types::id;

use crate::message::{Change, Message, Snapshot};

/// An input of a [`crate::follower::Follower`].
///
/// For each [`Action::List`] and [`Action::Watch`] the driver reports exactly one of `Listed`,
/// `Watched`, `CallFailed`, `CallRejected`, `WatchCut` and `HistoryLost`. At most one of these calls
/// is outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Expected about every 100 ms.
    Tick,
    /// The objects were listed, and the driver has applied the list if the follower
    /// [accepts](crate::follower::Follower::accepts_list) it.
    Listed {
        /// Revision of the store that the list shows.
        revision: u64,
    },
    /// A watch returned, with changes or at the end of its wait.
    Watched {
        /// Changes after the requested revision that can be decoded, oldest first.
        changes: Vec<Change>,
        /// Highest revision of the changes, including those that cannot be decoded; 0 if none of them
        /// has a revision, and `None` if there were no changes.
        last_change: Option<u64>,
        /// Revision of the store that the response states.
        revision: u64,
        /// Time since the store was last unavailable to this router, in microseconds; `None` if it
        /// never was.
        since_loss_us: Option<u64>,
    },
    /// A list or watch failed or timed out, or the store does not serve this router at present.
    CallFailed,
    /// The store responded to a list or watch with something that is no result of it.
    CallRejected,
    /// The store closed the connection of a watch that waited. An available store may do so.
    WatchCut,
    /// The store no longer keeps the changes after the requested revision, so that the objects
    /// have to be listed again.
    HistoryLost,
    /// The store has lost the latest changes and gives out their revisions again, so that the view may lack
    /// changes up to its revision.
    Rewound,
    /// The live routers of the local failure domain have changed. The list replaces the previous
    /// one, has no order and may include this router.
    Peers(Vec<id::Incarnation>),
    /// The live routers of all failure domains have changed. The list replaces the previous one, has
    /// no order and may include this router.
    AllPeers(Vec<id::Incarnation>),
    /// The relay that the leading follower of this router relies on; `None` if it watches the store
    /// itself. Only for followers with [`is_led`](crate::follower::Options::is_led), for which it
    /// takes the place of `Tick`.
    Relay(Option<id::Incarnation>),
    /// A message of a peer arrived.
    Peer {
        /// Incarnation of the sender.
        from: id::Incarnation,
        /// The message as received.
        message: Message,
    },
}

/// An operation that the driver carries out for [`crate::follower::Follower`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// List all objects of the kind.
    List,
    /// Wait for changes of the kind.
    Watch {
        /// Revision after which changes are requested.
        revision: u64,
        /// Maximum time that the store waits for a change, in milliseconds; 0 for a response at
        /// once.
        wait_ms: u64,
    },
    /// Apply changes to the driver's copy of the objects.
    Apply {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// Time since the store was last unavailable to the router that read the changes, in
        /// microseconds; `None` if it never was.
        since_loss_us: Option<u64>,
    },
    /// Replace the driver's copy of the objects by those of a peer.
    Replace(Snapshot),
    /// Send a peer the driver's copy of the objects as a [`Snapshot`]. It may be lost.
    SendSnapshot {
        /// Incarnation of the receiver.
        to: id::Incarnation,
        /// Revision of the store that the copy shows.
        revision: u64,
    },
    /// Send a message to a peer. It may be lost.
    Send {
        /// Incarnation of the receiver.
        to: id::Incarnation,
        /// The message to send.
        message: Message,
    },
}
