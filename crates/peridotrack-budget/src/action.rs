//! Outputs of a [`crate::holder::Holder`]: store calls, peer messages and timeline notes.
//!
//! The driver carries out each [`Action`] and reports the outcome of every store call as a
//! [`crate::event::Event`].

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use crate::{ledger, message};

/// An output of a [`crate::holder::Holder`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read a shard object.
    Read {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
    },
    /// Write a shard object by conditional update.
    Write {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
        /// Version that the object must still have; `None` if the object must not exist yet.
        expected: Option<u64>,
        /// New contents of the object.
        body: ledger::Shard,
    },
    /// Send a message to another holder. It may be lost, duplicated, delayed or reordered.
    Send {
        /// Holder that the message is addressed to.
        to: id::Incarnation,
        /// Contents of the message.
        message: message::Message,
    },
    /// Retry the queued reservations: they may now succeed or be refused for good.
    Wake,
    /// Report an occurrence on the timeline.
    Note(Note),
}

/// An occurrence reported on the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// A draw took effect: the ledger shows a higher grant for this holder.
    Drawn {
        /// Budget drawn on.
        budget: name::Budget,
        /// Tokens added to the grant since it was last known.
        tokens: u64,
    },
    /// A return took effect: the ledger shows tokens of this holder as returned.
    Returned {
        /// Budget that the tokens are returned to.
        budget: name::Budget,
        /// Tokens returned since this was last known.
        tokens: u64,
    },
    /// Tokens were sent to another holder.
    Sent {
        /// Budget that the tokens belong to.
        budget: name::Budget,
        /// Holder that receives the tokens.
        to: id::Incarnation,
        /// Tokens sent by this transfer, not the total.
        tokens: u64,
    },
    /// Tokens arrived from another holder.
    Received {
        /// Budget that the tokens belong to.
        budget: name::Budget,
        /// Holder that sent the tokens.
        from: id::Incarnation,
        /// Tokens newly credited, not the total.
        tokens: u64,
    },
    /// The local row is no longer open in the ledger, as after a release by an operator; nothing
    /// more is spent from the budget.
    Stopped {
        /// Budget that this holder stopped spending from.
        budget: name::Budget,
    },
    /// A search of the ledger and the peers found too few tokens.
    Dry {
        /// Budget that lacks tokens.
        budget: name::Budget,
        /// Whether the store was unreachable during the search.
        store_unreachable: bool,
        /// Totals of the budget when this holder last read the ledger; zero if it never did. What is
        /// exposed beyond the settled and reserved tokens is idle or spent since the last report,
        /// by a live holder or by one that was lost.
        ledger: ledger::Totals,
    },
    /// The coordinator of a budget is skipped: it did not reply in time, is leaving or was lost.
    DrawerPassedOver {
        /// Budget whose search continues without the coordinator.
        budget: name::Budget,
        /// Coordinator that is skipped.
        drawer: id::Incarnation,
    },
    /// A planned update would break the ledger's invariant and is not written.
    InvariantViolation {
        /// Number of the shard object, see [`ledger::shard_of`].
        shard: u32,
        /// Budget at fault, with its exposure after the update.
        violation: ledger::Violation,
    },
}
