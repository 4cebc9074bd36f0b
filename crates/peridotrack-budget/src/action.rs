//! What a holder wants done.

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

use crate::{ledger, message};

/// An output of a [`crate::holder::Holder`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read a shard object.
    Read {
        /// Shard number.
        shard: u32,
    },
    /// Write a shard object by conditional update.
    Write {
        /// Shard number.
        shard: u32,
        /// Version that the update replaces; `None` creates the object if absent.
        expected: Option<u64>,
        /// Contents.
        body: ledger::Shard,
    },
    /// Send a message to another holder; it may be lost, repeated or late.
    Send {
        /// Receiver.
        to: id::Incarnation,
        /// Message.
        message: message::Message,
    },
    /// Queued reservations may now succeed or be refused for good.
    Wake,
    /// Something for the time line.
    Note(Note),
}

/// An occurrence for the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// A draw took effect.
    Drawn {
        /// Budget.
        budget: name::Budget,
        /// Tokens added to the grant.
        tokens: u64,
    },
    /// Idle tokens go back to the ledger.
    Returned {
        /// Budget.
        budget: name::Budget,
        /// Tokens returned.
        tokens: u64,
    },
    /// Tokens were sent to another holder.
    Sent {
        /// Budget.
        budget: name::Budget,
        /// Receiver.
        to: id::Incarnation,
        /// Tokens sent.
        tokens: u64,
    },
    /// Tokens arrived from another holder.
    Received {
        /// Budget.
        budget: name::Budget,
        /// Sender.
        from: id::Incarnation,
        /// Tokens received.
        tokens: u64,
    },
    /// The own row was closed by an operator; the budget is not spent from any more.
    Stopped {
        /// Budget.
        budget: name::Budget,
    },
    /// A search of ledger and peers found too little.
    Dry {
        /// Budget.
        budget: name::Budget,
        /// Whether the store could not be reached.
        store_unreachable: bool,
    },
    /// The drawer of a budget did not answer in time.
    DrawerPassedOver {
        /// Budget.
        budget: name::Budget,
        /// The drawer.
        drawer: id::Incarnation,
    },
    /// A planned update broke the ledger's invariant and was not written.
    InvariantViolation {
        /// Shard number.
        shard: u32,
        /// What was broken.
        violation: ledger::Violation,
    },
}
