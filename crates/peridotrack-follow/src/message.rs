//! Messages between routers about the objects of one kind.
//!
//! A router sends [`Message::DatedSubscribe`] to the peer that relays the kind to it and receives a
//! [`DatedUpdate`] for each change and each confirmation. Each update returns the time of the last
//! subscription by the subscriber's own clock, so that the subscriber knows how old it may be however
//! long it was on its way. Peers of earlier releases know [`Message::Subscribe`] and [`Update`]
//! only, which have no age.
//!
//! A router that no relay and no store keeps current
//! sends [`Message::Fetch`] to one of all its peers and receives a [`Snapshot`]. The frame that carries a
//! message names the kind.

use serde::{Deserialize, Serialize};

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the object within its kind.
    pub name: String,
    /// Content as its writer stored it; not interpreted by this crate.
    pub content: Vec<u8>,
    /// Whether the object was deleted.
    pub is_removed: bool,
}

/// The changes between two revisions of the store.
///
/// An update without changes confirms that there are none between the two revisions. A receiver
/// whose view ends before `from_revision` has missed changes and reads them from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision after which the changes begin.
    pub from_revision: u64,
    /// Last revision that the changes cover.
    pub revision: u64,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Time since the store was last unavailable to the router that read the changes, in
    /// microseconds; `None` if it never was.
    pub since_loss_us: Option<u64>,
}

/// An update whose receiver can tell how old it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatedUpdate {
    /// The latest [`Message::DatedSubscribe::sent_us`] that the sender had received.
    pub subscribed_us: u64,
    /// Time since the sender's own view was confirmed, in microseconds.
    pub age_us: u64,
    /// The update.
    pub update: Update,
}

/// The objects of the kind that a router knows at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whether an object that is absent does not exist; otherwise the sender may only be unable to read
    /// it.
    pub is_complete: bool,
    /// Revision of the store that the objects show.
    pub revision: u64,
    /// The objects by name, with their content as their writers stored it.
    pub objects: Vec<(String, Vec<u8>)>,
}

/// A message between routers about one kind of objects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Requests updates for
    /// [`Options::subscription_us`](crate::follower::Options::subscription_us).
    Subscribe,
    /// Reports changes, or confirms that there are none.
    Update(Update),
    /// Requests the objects if they have changed after a revision; `None` if the sender has none.
    Fetch {
        /// Revision that the sender's view shows.
        after: Option<u64>,
    },
    /// The objects, in response to [`Message::Fetch`].
    Snapshot(Snapshot),
    /// Requests updates as [`Message::Subscribe`] does, dated ones.
    DatedSubscribe {
        /// Time at which the message was sent, by its sender's monotonic clock, in microseconds. It
        /// has no meaning to the receiver.
        sent_us: u64,
    },
    /// Does the same as [`Message::Update`].
    DatedUpdate(DatedUpdate),
}
