//! Durable claims for non-idempotent requests.
//!
//! A request with an idempotency key is sent only after a row for (client account, key) is stored
//! in the platform. [`Claims`] decides on requests and returns [`Action`]s; the driver carries them
//! out and reports [`Event`]s. For every [`Action::Read`] and [`Action::Write`] the driver reports
//! exactly one event.
//!
//! # Why a key runs at most once
//!
//! 1. *Only an owner sends.* [`Claims::may_send`] returns true only for a request whose own row
//!    (same request id and nonce) is known to be stored, and only once. Incarnations are random,
//!    so a restarted router owns none of its earlier rows.
//! 2. *A key has one row.* A row is added by a conditional update of the shard's head, after the
//!    key was found in neither that head nor its listed pages. The update fails if the head
//!    changed since it was read, so a stale read cannot hide a row. A row leaves the head only
//!    when it is removed as in point 3, or in an update that lists an existing page which contains
//!    the row.
//! 3. *Only the owner frees a key*, by removing its row, and only after its request lost the
//!    permission to send without using it, or the backend server proved that it did not run. No
//!    other router and no timeout frees a key within the retention.
//!
//! A router may therefore pause at any point: before the permission, the deadline check refuses
//! the request; after it, no other router can send. Point 3 also holds for a claim that was
//! refused while the outcome of its write was unknown. No byte was sent, so "not run" is true. The
//! router retries until the row is removed, or until another write moves the head past the version
//! that the first one expects, after which the first can no longer take effect. If the router dies
//! before that, the row may remain: retries with the key are refused first as in progress and
//! later as of unknown outcome, which is weaker than the earlier "not run" but never false, and a
//! new key may be used at once.
//!
//! # Retention without synchronized clocks
//!
//! Settled rows are sealed into pages of an epoch; pages are dropped
//! [`Options::retained_epochs`] epochs later. A router ends an epoch only after it has observed
//! it for [`Options::epoch_us`] on its own monotonic clock, so a key is retained for at least
//! `(retained_epochs - 1) * epoch_us`, whatever the clocks of the VMs show. After the retention
//! a key counts as new. One case is not covered: a claimant that pauses for longer than the
//! retention between the permission and its first byte.

mod ages;
mod claims;
mod plan;
mod reply;
mod shard;
mod store_health;

use peridotrack_types::{id, name, problem};

pub use self::claims::Claims;
use crate::shard_object;

/// Limits and time constants of claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of shards over which keys are hashed; must be equal on all routers and never change.
    pub shards: u32,
    /// Time for which claims of one shard are batched into one write, in microseconds.
    pub claim_window_us: u64,
    /// Time for which outcomes of one shard are batched into one write, in microseconds.
    pub outcome_window_us: u64,
    /// Age up to which a cached head is updated without reading it again, in microseconds; at least
    /// `claim_window_us` is used.
    pub head_fresh_us: u64,
    /// Initial backoff after a failed call, in microseconds; doubles up to `retry_max_us`.
    pub retry_min_us: u64,
    /// Maximum backoff between calls, in microseconds.
    pub retry_max_us: u64,
    /// Number of consecutive failed calls after which the store counts as unavailable.
    pub unavailable_after_failures: u32,
    /// Time between probes of an unavailable store, in microseconds.
    pub probe_us: u64,
    /// Maximum number of claims that wait for one shard; further ones are refused.
    pub queue_claims: usize,
    /// Maximum size of a response body that is stored for replay, in bytes.
    pub kept_body_bytes: usize,
    /// Limit on the total size of response bodies that wait to be recorded, in bytes; bodies beyond
    /// it are not stored for replay.
    pub backlog_bytes: usize,
    /// Size of a head's rows at which its settled rows are sealed into a page, in bytes.
    pub page_bytes: usize,
    /// Size of a head at which further claims are refused, in bytes.
    pub head_bytes: usize,
    /// Minimum duration of a retention epoch, in microseconds.
    pub epoch_us: u64,
    /// Number of epochs for which sealed pages are retained.
    pub retained_epochs: u64,
    /// Time after a claimant's deadline until its unsettled claim is recorded as
    /// [`shard_object::State::Unknown`], in microseconds.
    pub unknown_after_us: u64,
    /// Maximum `Retry-After` of a retry that is refused while the first request is in progress, in
    /// milliseconds; also used for claims that are refused because the head is full.
    pub in_progress_retry_ms: u64,
}

/// A request that needs a claim before it may be sent.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Identifies the request; its incarnation is that of this router.
    pub request_id: id::Request,
    /// Client account that owns the key.
    pub account: name::ClientAccount,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// Digest of method, path and body; see [`crate::digest::of_request`].
    pub request_digest: [u8; 32],
    /// Monotonic time from which the request must not be sent, in microseconds.
    pub deadline_us: u64,
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server sent a complete response.
    Responded {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header, empty if there is none.
        content_type: String,
        /// Complete body.
        body: Vec<u8>,
    },
    /// No byte reached a backend server, or the backend server proved that it did not run.
    NotRun,
    /// The request may have run and its response is lost.
    Unknown,
}

/// A timer tick or the result of a store call.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; reported at the latest when [`Claims::next_tick_us`] is due.
    Tick,
    /// An object was read.
    Read {
        /// Name from [`Action::Read`].
        object: String,
        /// Version that was read, above 0.
        version: u64,
        /// Content that was read.
        body: shard_object::ShardObject,
    },
    /// An object was read and does not exist.
    Absent {
        /// Name from [`Action::Read`].
        object: String,
    },
    /// An object could not be read.
    ReadFailed {
        /// Name from [`Action::Read`].
        object: String,
    },
    /// A write took effect.
    Written {
        /// Name from [`Action::Write`].
        object: String,
        /// Version after the write.
        version: u64,
    },
    /// A write had no effect because the object does not have the expected version.
    Conflict {
        /// Name from [`Action::Write`].
        object: String,
    },
    /// A write may have taken effect, or may still do so.
    WriteUnknown {
        /// Name from [`Action::Write`].
        object: String,
    },
    /// The store refused a write, which had no effect.
    WriteRefused {
        /// Name from [`Action::Write`].
        object: String,
        /// Minimum time until the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
}

/// An operation that the driver carries out for [`Claims`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read an object.
    Read {
        /// Name of a head or a page.
        object: String,
    },
    /// Write an object on condition that it has the expected version.
    Write {
        /// Name of a head or a page.
        object: String,
        /// Expected version; `None` creates the object if it is absent.
        expected: Option<u64>,
        /// Content to write.
        body: shard_object::ShardObject,
    },
    /// Remove a page that no head lists any more; no event is reported.
    Remove {
        /// Name of the page.
        object: String,
    },
    /// Deliver the decision on a request that was passed to [`Claims::begin`].
    Decide {
        /// Request that was decided.
        request_id: id::Request,
        /// Decision on it.
        decision: Decision,
    },
    /// Report an occurrence on the timeline.
    Note(Note),
}

/// Decision on a request that needs a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The claim is durable; call [`Claims::may_send`] immediately before sending the first byte.
    Granted,
    /// Send the stored response of the first request.
    Replay {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header, empty if there is none.
        content_type: String,
        /// Complete body.
        body: Vec<u8>,
    },
    /// Refuse the request.
    Refuse {
        /// Reason, which also states whether the request ran.
        kind: problem::Kind,
        /// Minimum time until a retry, in milliseconds; `None` if a retry cannot succeed.
        retry_after_ms: Option<u64>,
    },
}

/// An occurrence reported on the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The outcome of a head write is unknown; the head will be read again.
    WriteUnknown {
        /// Name of the head.
        object: String,
    },
    /// A conditional update of a head failed because another router updated it first.
    Conflict {
        /// Name of the head.
        object: String,
    },
    /// The store became unavailable; claims are refused immediately.
    StoreDown,
    /// The store responds again after [`Note::StoreDown`].
    StoreUp,
    /// A request was refused or cancelled while its claim may be stored; the claim will be removed.
    Abandoned {
        /// Request whose claim is removed.
        request_id: id::Request,
    },
    /// A page was created, or was found to exist already.
    Sealed {
        /// Name of the page.
        object: String,
    },
    /// A response arrived after its row was sealed as unknown, and is dropped.
    OutcomeTooLate {
        /// Request whose response is dropped.
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
    /// Returns the age up to which a cached head is used, in microseconds.
    ///
    /// A head read when a claim arrives has to outlast the claim window.
    fn head_lifetime_us(&self) -> u64 {
        self.head_fresh_us.max(self.claim_window_us)
    }
}
