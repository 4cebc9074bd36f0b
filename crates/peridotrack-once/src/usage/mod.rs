//! Durable usage records: replication to peers and flushes to the platform.
//!
//! [`Log`] copies each record to peers of the failure domain before the last byte of the response
//! is sent, and flushes records to the platform in batches that are created only if absent. For
//! every [`Action::Write`], exactly one event is reported; messages may be lost, repeated or
//! reordered.
//!
//! The content of a batch is fixed before it is first written, and only its writer uses its name
//! (see [`Batch::object`]), so a write is idempotent and can be retried after a lost response. A
//! peer flushes the copies of a lost origin under `usage/<origin>/<peer>/<sequence>`, so its names
//! never collide with those of an origin that was only partitioned. A record flushed by both makes
//! one bill line, because [`crate::bill`] keys lines by client account and request key.
//!
//! # Which failures lose a record
//!
//! After [`Action::ReleaseResponse`], a record is lost only if, before it is flushed,
//!
//! - its origin and every peer that holds a copy die, or
//! - its origin dies after [`Note::Unprotected`], which is reported if neither a peer nor the
//!   platform responded within [`Options::safe_timeout_us`]; both together are two failures.
//!
//! If a router dies before it releases the last byte, the record may be lost as well; the caller
//! then receives a truncated response. An unavailable platform delays records and loses none.

mod flush;
mod held;
mod local;
mod log;

use std::cmp;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

pub use self::log::Log;
use crate::digest;

/// Limits and time constants of the usage log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of peers to which each record is copied.
    pub copies: usize,
    /// Time after which a record is flushed if its response was released, in microseconds.
    pub flush_us: u64,
    /// Number of records at which a batch is flushed immediately. A batch is larger only if it
    /// consists of a single copy.
    pub batch_records: usize,
    /// Time after which an unacknowledged copy is sent again, also to one more peer, in
    /// microseconds; it applies until the responses are released.
    pub copy_retry_us: u64,
    /// Time after which a copy is sent again if no live peer holds it although its responses were
    /// released, in microseconds.
    pub recopy_us: u64,
    /// Time after which a record that no peer has acknowledged is flushed, in microseconds.
    pub copy_timeout_us: u64,
    /// Maximum time for which a response waits until a peer or the platform holds its record, in
    /// microseconds.
    pub safe_timeout_us: u64,
    /// Initial backoff after a failed flush, in microseconds; doubles up to `retry_max_us`.
    pub retry_min_us: u64,
    /// Maximum backoff after a failed flush, in microseconds.
    pub retry_max_us: u64,
    /// Interval at which a live origin is notified of copies still held for it, in microseconds.
    pub held_report_us: u64,
    /// Time after which the copies of an absent origin are flushed, in microseconds.
    pub recover_after_us: u64,
}

/// Usage of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Client account that is billed.
    pub account: name::ClientAccount,
    /// Request key, which selects the bill line within the account; see [`request_key`].
    pub key: String,
    /// Budget that the tokens were charged to.
    pub budget: name::Budget,
    /// Model that served the request.
    pub model: name::Model,
    /// Identifies this execution; retries with the same key have other ids.
    pub request_id: id::Request,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens in the response.
    pub completion_tokens: u64,
    /// Number of tokens charged to the budget and billed.
    pub settled_tokens: u64,
    /// Time from the request's arrival to its end, in milliseconds.
    pub wall_time_ms: u64,
    /// Whether the response was completed; false in the record of a truncated response and in an
    /// interim record.
    pub is_final: bool,
}

/// Records that are flushed together: the content of one platform object, which never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Router that served the requests.
    pub origin: id::Incarnation,
    /// Router that flushed the batch; differs from the origin if copies were recovered.
    pub writer: id::Incarnation,
    /// Sequence of the batch, from 1. A writer numbers the batches of its local records and those
    /// of recovered copies separately.
    pub sequence: u64,
    /// Records in the order in which they were added at the origin.
    pub records: Vec<Record>,
}

/// Records that are copied to a peer together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Copy {
    /// Sequence of the copy at its origin, from 1.
    pub sequence: u64,
    /// Records in the order in which they were added.
    pub records: Vec<Record>,
}

/// A message between routers; each may be repeated, lost or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Requests that the receiver holds these records for `origin`; acknowledged by
    /// [`Message::Held`].
    Copy {
        /// Router that served the requests and made the copy.
        origin: id::Incarnation,
        /// Records to hold.
        copy: Copy,
        /// Every copy up to this sequence is flushed.
        flushed_through: u64,
    },
    /// The sender holds a copy, or knows that it is flushed. If it is flushed, the origin replies
    /// with [`Message::Flushed`].
    Held {
        /// Router that made the copy.
        origin: id::Incarnation,
        /// Sequence of the copy.
        sequence: u64,
    },
    /// Copies of the origin are flushed and may be dropped.
    Flushed {
        /// Router that made the copies.
        origin: id::Incarnation,
        /// Every copy up to this sequence is flushed.
        through: u64,
    },
}

/// A timer tick, a peer's message or the result of a flush.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; reported at the latest when [`Log::next_tick_us`] is due.
    Tick,
    /// A peer sent a message.
    Received {
        /// Incarnation that sent it.
        peer: id::Incarnation,
        /// Message that was received.
        message: Message,
    },
    /// A batch is stored in the platform: it was created, or existed already.
    Flushed {
        /// Name from [`Action::Write`].
        object: String,
    },
    /// A batch may or may not have been created.
    FlushUnknown {
        /// Name from [`Action::Write`].
        object: String,
    },
    /// A batch was not created.
    FlushRefused {
        /// Name from [`Action::Write`].
        object: String,
        /// Minimum time until the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An operation that the driver carries out for [`Log`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Incarnation that receives it.
        peer: id::Incarnation,
        /// Message to send.
        message: Message,
    },
    /// Create a batch if it is absent; a batch that exists already counts as created.
    Write {
        /// Object name; see [`Batch::object`].
        object: String,
        /// Content to write.
        body: Batch,
    },
    /// Allow the last byte of this request's response to be sent.
    ReleaseResponse {
        /// Request whose response may be completed.
        request_id: id::Request,
    },
    /// Report an occurrence on the timeline.
    Note(Note),
}

/// An occurrence reported on the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A response was released although neither a peer nor the platform is known to hold its
    /// record.
    Unprotected {
        /// Request whose response was released.
        request_id: id::Request,
    },
    /// Copies held for another router are being flushed, because that router is lost or this one is
    /// stopping.
    Rescue {
        /// Router whose copies are flushed.
        origin: id::Incarnation,
        /// Number of records that are flushed.
        records: usize,
    },
}

/// Returns the key of a request's bill line: the digest of client account and idempotency key, or
/// the request id if there is no idempotency key.
pub fn request_key(
    account: &name::ClientAccount,
    idempotency_key: Option<&str>,
    request_id: id::Request,
) -> String {
    match idempotency_key {
        Some(key) => digest::of_key(account, key).to_string(),
        None => request_id.to_string(),
    }
}

impl Record {
    /// Returns the rank of a record among those with the same key; the greatest is billed.
    ///
    /// A final record ranks above all others. Of several final records, the one with the fewest
    /// tokens is billed, so that a client account never pays more than one execution cost.
    /// Records that are not final are cumulative, so the one with the most tokens is billed.
    pub fn precedence(&self) -> impl Ord + use<> {
        let tokens = if self.is_final {
            (cmp::Reverse(self.settled_tokens), 0)
        } else {
            (cmp::Reverse(0), self.settled_tokens)
        };
        let rest = (
            self.prompt_tokens,
            self.completion_tokens,
            self.wall_time_ms,
        );
        let names = (self.budget.clone(), self.model.clone());
        (
            self.is_final,
            tokens,
            cmp::Reverse(self.request_id),
            rest,
            names,
        )
    }
}

impl Batch {
    /// Returns the name of the batch's platform object.
    ///
    /// The writer is part of the name, so two routers never write the same object.
    pub fn object(&self) -> String {
        if self.writer == self.origin {
            format!("usage/{}/{}", self.origin, self.sequence)
        } else {
            format!("usage/{}/{}/{}", self.origin, self.writer, self.sequence)
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            copies: 1,
            flush_us: 10_000_000,
            batch_records: 1_500,
            copy_retry_us: 20_000,
            recopy_us: 1_000_000,
            copy_timeout_us: 50_000,
            safe_timeout_us: 200_000,
            retry_min_us: 50_000,
            retry_max_us: 10_000_000,
            held_report_us: 30_000_000,
            recover_after_us: 5_000_000,
        }
    }
}
