//! What the router is told and what it orders.

use peridotrack_types::{id, name, problem, rules};
use serde::{Deserialize, Serialize};

use crate::prefill;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A model or adapter, served by engines.
    Model(name::Model),
    /// A plain service.
    Service(name::Service),
}

/// A request that asks for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The request.
    pub request_id: id::Request,
    /// What it is for.
    pub target: Target,
    /// Client account that sent it.
    pub account: name::ClientAccount,
    /// Its priority by the operators' rules.
    pub priority: rules::Priority,
    /// Hash of the prompt's prefix, if it has one worth caching.
    pub prefix_hash: Option<u64>,
    /// The prompt's parts, if they are known.
    pub prompt: Option<prefill::Prompt>,
    /// Estimated size in tokens: prompt and output. A plain call counts as 1.
    pub size_tokens: u64,
    /// When the whole answer is due.
    pub deadline_us: u64,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Where a stream that broke off can go on.
    pub continuation: Continuation,
    /// Most dispatches of this request, if it has a bound of its own.
    pub max_dispatches: Option<u32>,
}

/// Where a stream that broke off can go on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Continuation {
    /// At the backend server that holds it, without another dispatch.
    #[default]
    SameServer,
    /// At any backend server, by a dispatch that names the events received.
    AnyServer,
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Done,
    /// The server proved that it did not run the request.
    RefusedNotRun,
    /// The connection could not be made; no byte was sent.
    ConnectFailed,
    /// The connection broke.
    Broken {
        /// Whether a byte of the request was sent.
        sent: bool,
        /// Stream events received so far, over all attempts.
        events_seen: u64,
    },
    /// The deadline passed or the server went silent.
    Timeout {
        /// Whether a byte of the request was sent.
        sent: bool,
    },
    /// The caller went away.
    Cancelled,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed. Expected several times a second.
    Tick,
    /// The first byte of the request is about to be written to the backend server.
    Sent {
        /// The request.
        request_id: id::Request,
    },
    /// The first part of the answer arrived.
    FirstToken {
        /// The request.
        request_id: id::Request,
    },
    /// An attempt ended.
    Finished {
        /// The request.
        request_id: id::Request,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// A backend server's load, as of `age_us` ago.
    LoadReport {
        /// The backend server.
        backend: name::BackendServer,
        /// Requests in the batch, from all routers.
        running: u32,
        /// Requests waiting at the backend server, from all routers.
        queued: u32,
        /// Requests that it runs at once.
        slots: u32,
        /// Time since the load was measured.
        age_us: u64,
        /// Whether the backend server is leaving.
        leaving: bool,
    },
    /// A first sign that a backend server is leaving: list, refusal or close.
    Leaving {
        /// The backend server.
        backend: name::BackendServer,
    },
    /// A connection to the backend server was made.
    Connected {
        /// The backend server.
        backend: name::BackendServer,
    },
}

/// What the process edge must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request from its beginning.
    Dispatch {
        /// The request.
        request_id: id::Request,
        /// Where to send it.
        backend: name::BackendServer,
        /// Count of dispatches of this request, from 1.
        attempt: u32,
    },
    /// Continue the request's stream on the engine that holds it.
    Resume {
        /// The request.
        request_id: id::Request,
        /// The engine.
        backend: name::BackendServer,
        /// Stream events already received.
        offset: u64,
    },
    /// Refuse the request. Final.
    Refuse {
        /// The request.
        request_id: id::Request,
        /// Why, and whether the request ran.
        kind: problem::Kind,
        /// When a new try is expected to be served, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Nothing to do; recorded in the time line.
    Note(Note),
}

/// A decision worth recording in the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The breaker of a backend server opened.
    BreakerOpened {
        /// The backend server.
        backend: name::BackendServer,
        /// For how long it stays open.
        open_us: u64,
    },
    /// The breaker of a backend server closed after successful probes.
    BreakerClosed {
        /// The backend server.
        backend: name::BackendServer,
    },
    /// A backend server gets no new work from now on.
    Leaving {
        /// The backend server.
        backend: name::BackendServer,
    },
    /// A backend server that was leaving gets work again.
    Returned {
        /// The backend server.
        backend: name::BackendServer,
    },
    /// A removed backend server has no request in flight any more.
    Drained {
        /// The backend server.
        backend: name::BackendServer,
    },
    /// The retry budget has nothing left for a request that could be retried.
    RetryDenied {
        /// The request.
        request_id: id::Request,
    },
}
