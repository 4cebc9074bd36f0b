//! Durable claims for non-idempotent requests.
//!
//! A request with an idempotency key is sent only after a row for (client account, key) stands in
//! the platform. [`Claims`] decides; the daemon carries out the [`Action`]s and reports
//! [`Event`]s. Every [`Action::Read`] and [`Action::Write`] is answered by exactly one event.
//!
//! # Why a key runs at most once
//!
//! 1. *Only an owner sends.* [`Claims::may_send`] is true only for a request whose own row (same
//!    request id and nonce) was seen in the store, and only once. Incarnations are random, so a
//!    restarted router owns none of its earlier rows.
//! 2. *A key has one row.* A row is added by a conditional update of the shard's head, in which
//!    the key was free and whose list of pages was searched. The update fails if anything
//!    changed since that head was read, so a stale read cannot hide a row. A row leaves the head
//!    only into a page that stands already and is listed by the same update, or by point 3.
//! 3. *Only the owner frees a key*, by removing its row, and only after its request has lost the
//!    permission to send without using it, or the backend server proved that it did not run. No
//!    other router and no passage of time frees a key within the retention.
//!
//! A pause at any point is therefore harmless: before the permission, the deadline check refuses
//! it; after it, nobody else can send. Point 3 also holds for a claim that was refused while the
//! outcome of its write was unknown: no byte was sent, so "not run" is true, and the router goes
//! on until the row is removed or ruled out by a write that moves the head past the version that
//! the doubtful write expects. If the router dies before that, the row may stay: retries with the
//! key are then told first that it is in progress and later that its outcome is unknown, which is
//! weaker than the earlier "not run" but never false, and a new key may be used at once.
//!
//! # Retention without clocks
//!
//! Settled rows are sealed into pages of an epoch; pages are dropped
//! [`Options::retained_epochs`] epochs later. A router ends an epoch only after it has itself
//! watched it for [`Options::epoch_us`] on its monotonic clock, so a key is kept for at least
//! `(retained_epochs - 1) * epoch_us`, whatever the clocks of the VMs show. Beyond that a key is
//! new. A claimant that is stopped for longer than the retention between the permission and its
//! first byte is the one case that this does not cover.

mod ages;
mod claims;
mod plan;
mod reply;
mod shard;
mod store_health;

use peridotrack_types::{id, name, problem};

pub use self::claims::Claims;
use crate::shard_object;

/// Sizes and times of claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Shards over which keys are spread; must be the same at all routers and never change.
    pub shards: u32,
    /// Time for which claims of one shard are gathered into one write, in microseconds.
    pub claim_window_us: u64,
    /// Time for which outcomes of one shard wait for a write to share, in microseconds.
    pub outcome_window_us: u64,
    /// Age up to which a head is written to without reading it again, in microseconds.
    pub head_fresh_us: u64,
    /// First wait after a failed attempt, in microseconds; doubles up to `retry_max_us`.
    pub retry_min_us: u64,
    /// Longest wait between attempts, in microseconds.
    pub retry_max_us: u64,
    /// Failed attempts in a row after which the store counts as down.
    pub unavailable_after_failures: u32,
    /// Time between probes of a store that is down, in microseconds.
    pub probe_us: u64,
    /// Claims waiting for one shard before further ones are refused.
    pub queue_claims: usize,
    /// Largest answer body kept for replay, in bytes.
    pub kept_body_bytes: usize,
    /// Bytes of bodies that wait to be recorded before further bodies are not kept.
    pub backlog_bytes: usize,
    /// Bytes of rows in a head at which they are sealed into a page.
    pub page_bytes: usize,
    /// Bytes of a head above which it takes no more claims.
    pub head_bytes: usize,
    /// Least duration of a retention epoch, in microseconds.
    pub epoch_us: u64,
    /// Epochs for which sealed pages are retained.
    pub retained_epochs: u64,
    /// Time after a claimant's deadline until its claim counts as unknown, in microseconds.
    pub unknown_after_us: u64,
    /// Longest Retry-After of a request in progress, in milliseconds.
    pub in_progress_retry_ms: u64,
}

/// A request that asks for a claim.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Identifies the request at this router.
    pub request_id: id::Request,
    /// Client account that owns the key.
    pub account: name::ClientAccount,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// Digest of method, path and body; see [`crate::digest::of_request`].
    pub request_digest: [u8; 32],
    /// Monotonic time after which the request must not be sent, in microseconds.
    pub deadline_us: u64,
}

/// How a granted request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Responded {
        /// HTTP status.
        status: u16,
        /// Content type, empty if there is none.
        content_type: String,
        /// Whole body.
        body: Vec<u8>,
    },
    /// No byte reached a backend server, or the backend server proved that it did not run.
    NotRun,
    /// The request may have run and its answer is lost.
    Unknown,
}

/// What happened outside.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An object was read.
    Read {
        /// Object name.
        object: String,
        /// Its version.
        version: u64,
        /// Its content.
        body: shard_object::ShardObject,
    },
    /// An object was read and does not exist.
    Absent {
        /// Object name.
        object: String,
    },
    /// An object could not be read.
    ReadFailed {
        /// Object name.
        object: String,
    },
    /// A write took effect.
    Written {
        /// Object name.
        object: String,
        /// Version after the write.
        version: u64,
    },
    /// A write was refused because the expected version is not the current one.
    Conflict {
        /// Object name.
        object: String,
    },
    /// A write may or may not have taken effect, or may yet take effect.
    WriteUnknown {
        /// Object name.
        object: String,
    },
    /// The store refused a write; it had no effect.
    WriteRefused {
        /// Object name.
        object: String,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read an object.
    Read {
        /// Object name.
        object: String,
    },
    /// Write an object if it has the expected version.
    Write {
        /// Object name.
        object: String,
        /// Expected version; `None` creates the object if it is absent.
        expected: Option<u64>,
        /// New content.
        body: shard_object::ShardObject,
    },
    /// Remove an object that no head refers to any more; reports no event.
    Remove {
        /// Object name.
        object: String,
    },
    /// Answer a request that asked for a claim.
    Decide {
        /// Request to answer.
        request_id: id::Request,
        /// What to do with it.
        decision: Decision,
    },
    /// Something worth an entry in the time line.
    Note(Note),
}

/// What to do with a request that asked for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The claim is durable; ask [`Claims::may_send`] immediately before the first byte.
    Granted,
    /// Answer with the kept answer of the first request.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type, empty if there is none.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// Refuse.
    Refuse {
        /// Why, and whether the request ran.
        kind: problem::Kind,
        /// When to try again, in milliseconds; absent if a retry cannot help.
        retry_after_ms: Option<u64>,
    },
}

/// An observation for the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The outcome of a write is unknown and will be read back.
    WriteUnknown {
        /// Object name.
        object: String,
    },
    /// A conditional update lost a race.
    Conflict {
        /// Object name.
        object: String,
    },
    /// The store counts as down; claims are refused at once.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// A request was refused while its claim may exist; the claim will be removed.
    Abandoned {
        /// Refused request.
        request_id: id::Request,
    },
    /// A page was sealed.
    Sealed {
        /// Page name.
        object: String,
    },
    /// An outcome came after its row was sealed as unknown and is not kept.
    OutcomeTooLate {
        /// Request that ended.
        request_id: id::Request,
    },
}

impl Default for Options {
    fn default() -> Self {
        Self {
            shards: 32,
            claim_window_us: 2_000,
            outcome_window_us: 1_000_000,
            head_fresh_us: 20_000,
            retry_min_us: 5_000,
            retry_max_us: 1_000_000,
            unavailable_after_failures: 3,
            probe_us: 1_000_000,
            queue_claims: 256,
            kept_body_bytes: 8 * 1_024,
            backlog_bytes: 8 * 1_024 * 1_024,
            page_bytes: 192 * 1_024,
            head_bytes: 896 * 1_024,
            epoch_us: 3_600_000_000,
            retained_epochs: 25,
            unknown_after_us: 60_000_000,
            in_progress_retry_ms: 1_000,
        }
    }
}

impl Options {
    /// Returns the age up to which a head is used, in microseconds.
    fn head_lifetime_us(&self) -> u64 {
        self.head_fresh_us.max(self.claim_window_us)
    }
}
