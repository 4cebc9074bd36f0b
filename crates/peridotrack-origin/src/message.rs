//! Messages between routers about where streams began. Any may be lost, repeated or late.

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

use crate::{key::Key, record::Record};

/// A message to one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To a home: a stream began.
    Began {
        /// The stream.
        key: Key,
        /// Where it began.
        record: Record,
    },
    /// To a home: where did the stream begin?
    Ask {
        /// Number of the query at the sender.
        query: u64,
        /// The stream.
        key: Key,
    },
    /// In response to [`Message::Ask`].
    Answer {
        /// Number of the query at the recipient.
        query: u64,
        /// VM of the router that answers.
        from: name::Vm,
        /// Where the stream began, if the router knows it.
        known: Option<Known>,
    },
}

/// What a router knows about a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Where the stream began.
    pub record: Record,
    /// Time since it began, as the router that answers knows it, in microseconds.
    pub age_us: u64,
}
