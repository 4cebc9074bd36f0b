//! Input and output of the router.
//!
//! The driver passes [`Offer`]s and [`Event`]s to [`crate::router::Router`] and carries out the
//! [`Action`]s that it returns. [`Note`]s are recorded on the timeline.

use peridotrack_types::{id, name, problem, rules, stream};
use serde::{Deserialize, Serialize};

use crate::prefill;

/// Model or service that a request is addressed to; selects the pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A model or adapter served by engines.
    Model(name::Model),
    /// A service other than a model, with separate backend servers.
    Service(name::Service),
}

/// A request to be dispatched to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Identifier of the request; repeated in every action for it.
    pub request_id: id::Request,
    /// Model or service that must handle it.
    pub target: Target,
    /// Client account that it is charged to in fair sharing.
    pub account: name::ClientAccount,
    /// Queue priority according to the operators' rules.
    pub priority: rules::Priority,
    /// Hash of the prompt's prefix, if the prefix is worth caching; routes to servers that have it
    /// cached.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt, if known; placement then estimates prefill times instead of using
    /// `prefix_hash` alone.
    pub prompt: Option<prefill::Prompt>,
    /// Estimated tokens of prompt and output; 1 for a call of a service.
    pub size_tokens: u64,
    /// Time by which the whole response is due, on the clock of the events.
    pub deadline_us: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Which servers can continue its stream after a broken connection.
    pub continuation: Continuation,
    /// Where the stream began that the request continues; `None` if it begins a stream or is no
    /// stream.
    pub origin: Option<stream::Origin>,
    /// Bound on the dispatches, not counting those that failed to connect; `None` applies
    /// [`crate::options::Options::max_dispatches`] to all.
    pub max_dispatches: Option<u32>,
}

/// Servers that can continue a stream after a broken connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Continuation {
    /// The backend server that holds the stream, by [`Action::Resume`] without a new dispatch.
    #[default]
    SameServer,
    /// Any backend server, by a new dispatch that names the events received so far.
    AnyServer,
}

/// Outcome of one attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response arrived.
    Done,
    /// The server refused the request with a proof that it did not run it.
    RefusedNotRun,
    /// No connection could be established; no byte was sent.
    ConnectFailed,
    /// The network of this router leads to no server of the pool, which says nothing about the
    /// server; no byte was sent.
    NoPath,
    /// The server became ineligible before a byte was sent; see [`crate::router::Router::may_send`].
    Withdrawn,
    /// The connection broke before the response was complete.
    Broken {
        /// Whether a byte of the request was sent.
        sent: bool,
        /// Stream events received so far, by all attempts of the request together.
        events_seen: u64,
    },
    /// The deadline passed or the server stopped sending.
    Timeout {
        /// Whether a byte of the request was sent.
        sent: bool,
    },
    /// The caller disconnected or cancelled.
    Cancelled,
}

/// An occurrence that the driver reports to the router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed; expected several times per second. Drives expiry and queue dispatch.
    Tick,
    /// The first byte of the request is about to be written to the backend server.
    Sent {
        /// Request that is written; the event is ignored if it has no attempt in flight.
        request_id: id::Request,
    },
    /// The first part of the response arrived.
    FirstToken {
        /// Request that is responded to; the event is ignored if it has no attempt in flight.
        request_id: id::Request,
    },
    /// An attempt ended.
    Finished {
        /// Request of the attempt; the event is ignored if it has no attempt in flight.
        request_id: id::Request,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// A load report of a backend server, measured `age_us` ago.
    LoadReport {
        /// Name in the asset register of the server that the report describes.
        backend: name::BackendServer,
        /// Running requests of all routers.
        running: u32,
        /// Requests of all routers that wait at the backend server.
        queued: u32,
        /// Number of requests that it can run concurrently; 0 keeps the number known before.
        slots: u32,
        /// Current duration of work in percent of the usual one; `None` if the server does not state
        /// it.
        duration_percent: Option<u32>,
        /// Age of the measurement.
        age_us: u64,
        /// Whether the report states that the server is leaving.
        leaving: bool,
    },
    /// A list, a refusal or a closed connection indicates that a backend server is leaving.
    Leaving {
        /// Name in the asset register of the server that is leaving.
        backend: name::BackendServer,
    },
    /// A backend server states that it leaves, in a response to this router or to a peer. It holds
    /// for the rest of the server's lifetime.
    LeavingStated {
        /// Name in the asset register of the server that is leaving.
        backend: name::BackendServer,
        /// When the process that states it started, as [`Note::LeavingStated`] of the peer has it;
        /// `None` if it is the process that the register names.
        started_ms: Option<u64>,
    },
    /// The process of a backend server has ended, as this router or a peer has noticed. One that has
    /// started since under its name may have another version.
    Ended {
        /// Name in the asset register of the server.
        backend: name::BackendServer,
        /// When the process started.
        started_ms: Option<u64>,
    },
    /// A backend server turned a request of this router away and wants no other one for a time.
    Pause {
        /// Name in the asset register of the server.
        backend: name::BackendServer,
        /// Time for which it wants no request.
        duration_us: u64,
    },
    /// The rate of this router's requests to a backend server changed, because the server states a
    /// limit or ended it.
    Rate {
        /// Name in the asset register of the server.
        backend: name::BackendServer,
        /// Requests per second that this router may send, 0 for none; `None` without a limit.
        per_s: Option<f64>,
    },
    /// A failure domain is evacuated, or taken back into service.
    Evacuated {
        /// Name of the failure domain in the asset register.
        failure_domain: name::FailureDomain,
        /// Whether its backend servers are to receive no new requests.
        is_evacuated: bool,
    },
    /// A connection to the backend server was established.
    Connected {
        /// Name in the asset register of the server that accepted the connection.
        backend: name::BackendServer,
    },
    /// The reason of failed connections was the network of this router, not the servers.
    ConnectFailuresExplained {
        /// When the first of these connections may have failed, on the clock of the events.
        since_us: u64,
    },
}

/// An operation that the driver carries out for [`crate::router::Router`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request from its beginning.
    Dispatch {
        /// Request to send, as offered in [`Offer::request_id`].
        request_id: id::Request,
        /// Backend server to send it to.
        backend: name::BackendServer,
        /// Number of this dispatch of the request, from 1; resumes are not counted.
        attempt: u32,
    },
    /// Continue the request's stream at the engine that holds it.
    Resume {
        /// Request whose stream is continued, as offered in [`Offer::request_id`].
        request_id: id::Request,
        /// Engine that holds the stream.
        backend: name::BackendServer,
        /// Stream events already received; the stream continues after them.
        offset: u64,
    },
    /// Refuse the request. This is its final outcome.
    Refuse {
        /// Request that is refused, as offered in [`Offer::request_id`].
        request_id: id::Request,
        /// Reason, which also states whether the request may have run.
        kind: problem::Kind,
        /// Time until a new attempt is expected to be served, in milliseconds; 0 if none is.
        retry_after_ms: u64,
    },
    /// Record an occurrence on the timeline.
    Note(Note),
}

/// An occurrence reported on the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The breaker of a backend server opened.
    BreakerOpened {
        /// Name in the asset register of the server that receives no requests until the open time
        /// has passed.
        backend: name::BackendServer,
        /// Time until it becomes half-open.
        open_us: u64,
    },
    /// The breaker of a backend server closed after successful probes.
    BreakerClosed {
        /// Name in the asset register of the server that receives requests again.
        backend: name::BackendServer,
    },
    /// A backend server is leaving and receives no new work.
    Leaving {
        /// Name in the asset register of the server, which finishes its requests in flight.
        backend: name::BackendServer,
    },
    /// A backend server states that it leaves, and receives no new work in its lifetime.
    LeavingStated {
        /// Name in the asset register of the server, which finishes its requests in flight.
        backend: name::BackendServer,
        /// When its process started, in milliseconds since the Unix epoch, if known.
        started_ms: Option<u64>,
    },
    /// The process of a backend server has ended.
    Ended {
        /// Name in the asset register of the server.
        backend: name::BackendServer,
        /// When the process started, in milliseconds since the Unix epoch.
        started_ms: Option<u64>,
    },
    /// A backend server asked for a pause, or for a longer one.
    Paused {
        /// Name in the asset register of the server, which receives no requests of this router.
        backend: name::BackendServer,
        /// Time for which it receives none.
        duration_us: u64,
    },
    /// A backend server that was leaving receives work again.
    Returned {
        /// Name in the asset register of the server, whose breaker counts the return as a flap.
        backend: name::BackendServer,
    },
    /// A removed backend server has no requests in flight left, and the router drops its state.
    Drained {
        /// Name that the server had in the asset register.
        backend: name::BackendServer,
    },
    /// The retry budget did not allow the retry of a request, which is refused instead.
    RetryDenied {
        /// Request that is refused instead of retried.
        request_id: id::Request,
    },
}
