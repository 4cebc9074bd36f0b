//! Usage records on their way to the platform.
//!
//! [`Log`] copies each record to peers of the failure domain before the last byte of the answer
//! goes out and flushes records to the platform in batches that are created only if absent. Every
//! [`Action::Write`] is answered by exactly one event; messages may be lost, repeated or
//! reordered.
//!
//! The content of a batch is fixed before it is first written, and only its writer uses its name
//! (see [`Batch::object`]): a write, its lost reply and its retry are the same. A peer flushes the
//! copies of an origin that is gone under `usage/<origin>/<peer>/<sequence>`, so it cannot take a
//! name from an origin that was only cut off. A record flushed by both makes one line, because
//! [`crate::bill`] keys lines by client account and request key.
//!
//! # Which failures lose a record
//!
//! After [`Action::ReleaseResponse`], a record is lost only if, before it is flushed,
//!
//! - its origin and every peer that holds a copy die, or
//! - its origin dies after [`Note::Unprotected`]: neither a peer nor the platform had answered
//!   within [`Options::safe_timeout_us`], which takes a second failure.
//!
//! A router that dies before it releases the last byte may take the record along; its caller then
//! has a visibly cut answer. An absent platform delays records and loses none.

mod flush;
mod held;
mod local;
mod log;

use std::cmp;

use peridotrack_types::{id, name};
use serde::{Deserialize, Serialize};

pub use self::log::Log;
use crate::digest;

/// Sizes and times of the usage log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Peers that hold a copy of each record.
    pub copies: usize,
    /// Longest time between flushes, in microseconds.
    pub flush_us: u64,
    /// Most records of one batch.
    pub batch_records: usize,
    /// Time after which an unacknowledged copy is sent again, in microseconds.
    pub copy_retry_us: u64,
    /// Time after which a released copy that no live peer holds is sent again, in microseconds.
    pub recopy_us: u64,
    /// Time after which a record without acknowledged copy is flushed, in microseconds.
    pub copy_timeout_us: u64,
    /// Longest time that an answer waits for its record, in microseconds.
    pub safe_timeout_us: u64,
    /// Wait after a failed flush, in microseconds; doubles up to `retry_max_us`.
    pub retry_min_us: u64,
    /// Longest wait after a failed flush, in microseconds.
    pub retry_max_us: u64,
    /// Time after which a live origin is told again what is held for it, in microseconds.
    pub held_report_us: u64,
    /// Time after which the copies of an absent origin are flushed, in microseconds.
    pub recover_after_us: u64,
}

/// Usage of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Client account that owes the tokens.
    pub account: name::ClientAccount,
    /// Request key, unique within the account; see [`request_key`].
    pub key: String,
    /// Budget that paid.
    pub budget: name::Budget,
    /// Model that ran.
    pub model: name::Model,
    /// Request that ran.
    pub request_id: id::Request,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Tokens charged to the budget.
    pub settled_tokens: u64,
    /// Time from the request's arrival to its end, in milliseconds.
    pub wall_time_ms: u64,
    /// Whether the answer ended whole; a cut or interim record is not final.
    pub is_final: bool,
}

/// Records of one platform object; its content never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Router that served the requests.
    pub origin: id::Incarnation,
    /// Router that flushed the batch; not the origin if it flushed copies of a lost origin.
    pub writer: id::Incarnation,
    /// Count of batches by this writer, own and rescued ones apart, from 1.
    pub sequence: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Records copied to a peer together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Copy {
    /// Count of copies made by the origin, from 1.
    pub sequence: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// A message between routers; each may be repeated, lost or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Hold these records for `origin`.
    Copy {
        /// Router that served the requests.
        origin: id::Incarnation,
        /// The records.
        copy: Copy,
        /// Every copy up to this sequence is flushed.
        flushed_through: u64,
    },
    /// The sender holds a copy, or knows it to be flushed; answered by [`Message::Flushed`] if it
    /// is flushed.
    Held {
        /// Router that served the requests.
        origin: id::Incarnation,
        /// Sequence of the copy.
        sequence: u64,
    },
    /// Copies may be dropped.
    Flushed {
        /// Router that served the requests.
        origin: id::Incarnation,
        /// Every copy up to this sequence is flushed.
        through: u64,
    },
}

/// What happened outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A peer sent a message.
    Received {
        /// Sender.
        peer: id::Incarnation,
        /// Its message.
        message: Message,
    },
    /// A batch stands in the platform: it was created, or it was there already.
    Flushed {
        /// Object name.
        object: String,
    },
    /// A batch may or may not have been created.
    FlushUnknown {
        /// Object name.
        object: String,
    },
    /// A batch was not created.
    FlushRefused {
        /// Object name.
        object: String,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Receiver.
        peer: id::Incarnation,
        /// The message.
        message: Message,
    },
    /// Create a batch if it is absent; a batch that is there already counts as created.
    Write {
        /// Object name.
        object: String,
        /// Content.
        body: Batch,
    },
    /// The last byte of this request's answer may go out.
    ReleaseResponse {
        /// Request that ended.
        request_id: id::Request,
    },
    /// Something worth an entry in the time line.
    Note(Note),
}

/// An observation for the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// An answer was released while only this router holds its record.
    Unprotected {
        /// Request that ended.
        request_id: id::Request,
    },
    /// Copies of a lost origin are being flushed.
    Rescue {
        /// Origin that is gone.
        origin: id::Incarnation,
        /// Records that are flushed.
        records: usize,
    },
}

/// Returns the key of a request's bill line: the digest of the caller's idempotency key, or the
/// request id.
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
    /// Orders the records under one key; the greatest is billed.
    ///
    /// A final record goes before any other. Of several final records the one with the fewest
    /// tokens is billed, so that a caller never owes more than one execution cost. Records that
    /// are not final are cumulative, so of these the one with the most tokens is billed.
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
    /// Only `writer` writes under its name, so no two different batches share one.
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
