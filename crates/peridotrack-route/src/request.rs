//! State of one request until its final outcome.
//!
//! [`Request`] keeps the properties of the offer, the current phase, and what the previous attempts
//! imply for retries and refusals.

use peridotrack_types::{name, problem, rules, stream};

use crate::{event, prefill};

/// Failed servers recorded for one request; later ones overwrite the first.
const MAX_FAILED_BACKENDS: usize = 4;

/// Where the stream of a request began, which decides where it may go on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Beginning {
    /// No event was received yet; any server may write the first one.
    #[default]
    Ahead,
    /// The first event was written there.
    At(stream::Origin),
    /// The first event was written by one of two versions; it is not known by which one.
    Doubtful,
}

/// The current attempt at a backend server, by dispatch or resume.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Index of the backend server.
    pub backend: usize,
    /// [`crate::backend::Backend::lifetimes`] of the server when the attempt began.
    pub lifetimes: u64,
    /// Time of the dispatch or resume.
    pub dispatched_us: u64,
    /// Whether a byte of the request may have been sent.
    pub sent: bool,
    /// Whether a part of the response arrived.
    pub response_started: bool,
    /// Whether it is a probe of a half-open breaker.
    pub probe: bool,
    /// Estimated requests per slot at the server when it was dispatched.
    pub load: f64,
    /// Prompt tokens that the server still has to prefill; 0 after the first token.
    pub prefill_tokens: f64,
    /// Predicted first-token time, in microseconds; 0 without a known prompt.
    pub predicted_us: f64,
    /// Part of `predicted_us` spent waiting for other prompts, in microseconds.
    pub wait_us: f64,
}

/// Phase of a request without a final outcome.
#[derive(Debug, Clone, Copy)]
pub enum Phase {
    /// Waiting in the queue of its pool.
    Queued,
    /// Dispatched to or resumed at a backend server.
    InFlight(Attempt),
}

/// A request without a final outcome.
#[derive(Debug, Clone)]
pub struct Request {
    /// Index of the pool that serves it.
    pub pool: usize,
    /// Client account that it is charged to in fair sharing.
    pub account: name::ClientAccount,
    /// Queue priority.
    pub priority: rules::Priority,
    /// Hash of the prompt's prefix, if it is worth caching.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt, if known.
    pub prompt: Option<prefill::Prompt>,
    /// Estimated tokens of prompt and output.
    pub size_tokens: u64,
    /// Time by which the whole response is due.
    pub deadline_us: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Where its stream began.
    pub beginning: Beginning,
    /// Which servers can continue its stream.
    pub continuation: event::Continuation,
    /// Bound on the dispatches of this request, not counting those that failed to connect; see
    /// [`event::Offer::max_dispatches`].
    pub max_dispatches: Option<u32>,
    /// Whether it is queued or in flight, with the current attempt.
    pub phase: Phase,
    /// Number of dispatches, including the current one.
    pub dispatches: u32,
    /// Number of dispatches that failed to connect.
    pub unsent_dispatches: u32,
    /// Number of resumes, including the current one.
    pub resumes: u32,
    /// Stream events received by all attempts together.
    pub events_seen: u64,
    /// Whether a server may have run the request in an attempt that ended.
    pub may_have_run: bool,
    failed: [usize; MAX_FAILED_BACKENDS],
    failed_len: usize,
}

impl Request {
    /// Returns a request for `pool` in phase [`Phase::Queued`].
    pub fn new(pool: usize, offer: event::Offer) -> Self {
        Self {
            pool,
            account: offer.account,
            priority: offer.priority,
            prefix_hash: offer.prefix_hash,
            prompt: offer.prompt,
            size_tokens: offer.size_tokens,
            deadline_us: offer.deadline_us,
            idempotent: offer.idempotent,
            beginning: offer.origin.map_or(Beginning::Ahead, Beginning::At),
            continuation: offer.continuation,
            max_dispatches: offer.max_dispatches,
            phase: Phase::Queued,
            dispatches: 0,
            unsent_dispatches: 0,
            resumes: 0,
            events_seen: 0,
            may_have_run: false,
            failed: [0; MAX_FAILED_BACKENDS],
            failed_len: 0,
        }
    }

    /// Returns where its stream began, if it is known.
    pub fn origin(&self) -> Option<&stream::Origin> {
        match &self.beginning {
            Beginning::At(origin) => Some(origin),
            Beginning::Ahead | Beginning::Doubtful => None,
        }
    }

    /// Returns the indices of the servers that failed this request.
    pub fn failed_backends(&self) -> &[usize] {
        &self.failed[..self.failed_len]
    }

    /// Returns the current attempt if the request is in flight.
    pub fn attempt(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            Phase::Queued => None,
            Phase::InFlight(attempt) => Some(attempt),
        }
    }

    /// Returns the kind of a refusal: `not_run` if no server can have run the request, else a kind
    /// that states that the request may have run.
    pub fn refusal(&self, not_run: problem::Kind) -> problem::Kind {
        match (self.may_have_run, self.idempotent) {
            (false, _) => not_run,
            (true, true) => problem::Kind::BackendFailed,
            (true, false) => problem::Kind::OutcomeUnknown,
        }
    }

    /// Records a server that failed this request.
    pub fn add_failed_backend(&mut self, backend: usize) {
        self.failed[self.failed_len % MAX_FAILED_BACKENDS] = backend;
        self.failed_len = (self.failed_len + 1).min(MAX_FAILED_BACKENDS);
    }

    /// Clears the servers that failed this request, so that they are considered again.
    pub fn clear_failed_backends(&mut self) {
        self.failed_len = 0;
    }
}
