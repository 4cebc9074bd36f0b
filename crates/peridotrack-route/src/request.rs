//! What the router holds about one request until its final outcome.

use peridotrack_types::{name, problem, rules};

use crate::{event, prefill};

/// Failed servers remembered for one request.
const MAX_FAILED_BACKENDS: usize = 4;

/// One attempt at a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Index of the backend server.
    pub backend: usize,
    /// When it was dispatched.
    pub dispatched_us: u64,
    /// Whether a byte of the request was sent.
    pub sent: bool,
    /// Whether a part of the answer arrived.
    pub response_started: bool,
    /// Whether it probes a breaker.
    pub probe: bool,
    /// Estimated requests per slot at the server when it was dispatched.
    pub load: f64,
    /// Tokens that the server has to read before the first token.
    pub prefill_tokens: f64,
    /// Predicted time to the first token, in microseconds; 0 without a known prompt.
    pub predicted_us: f64,
    /// Part of it that is spent waiting for other prompts, in microseconds.
    pub wait_us: f64,
}

/// Where a request is.
#[derive(Debug, Clone, Copy)]
pub enum Phase {
    /// In the pool's queue.
    Queued,
    /// At a backend server.
    InFlight(Attempt),
}

/// A request without a final outcome yet.
#[derive(Debug, Clone)]
pub struct Request {
    /// Pool that serves it.
    pub pool: usize,
    /// Client account.
    pub account: name::ClientAccount,
    /// Priority.
    pub priority: rules::Priority,
    /// Hash of the prompt's prefix.
    pub prefix_hash: Option<u64>,
    /// The prompt's parts, if they are known.
    pub prompt: Option<prefill::Prompt>,
    /// Estimated size.
    pub size_tokens: u64,
    /// When the whole answer is due.
    pub deadline_us: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Where its stream can go on.
    pub continuation: event::Continuation,
    /// Most dispatches, if it has a bound of its own.
    pub max_dispatches: Option<u32>,
    /// Where it is.
    pub phase: Phase,
    /// Dispatches so far.
    pub dispatches: u32,
    /// Dispatches of which no byte was sent.
    pub unsent_dispatches: u32,
    /// Resumes so far.
    pub resumes: u32,
    /// Stream events that reached the router.
    pub events_seen: u64,
    /// Whether an attempt that ended may have run.
    pub may_have_run: bool,
    failed: [usize; MAX_FAILED_BACKENDS],
    failed_len: usize,
}

impl Request {
    /// Returns a queued request for `pool`.
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

    /// Returns the servers that failed this request.
    pub fn failed_backends(&self) -> &[usize] {
        &self.failed[..self.failed_len]
    }

    /// Returns the present attempt, if the request is at a backend server.
    pub fn attempt(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            Phase::Queued => None,
            Phase::InFlight(attempt) => Some(attempt),
        }
    }

    /// Returns the kind of a refusal whose cause is `not_run`, true to whether the request ran.
    pub fn refusal(&self, not_run: problem::Kind) -> problem::Kind {
        match (self.may_have_run, self.idempotent) {
            (false, _) => not_run,
            (true, true) => problem::Kind::BackendFailed,
            (true, false) => problem::Kind::OutcomeUnknown,
        }
    }

    /// Remembers a server that failed this request.
    pub fn add_failed_backend(&mut self, backend: usize) {
        self.failed[self.failed_len % MAX_FAILED_BACKENDS] = backend;
        self.failed_len = (self.failed_len + 1).min(MAX_FAILED_BACKENDS);
    }

    /// Forgets the servers that failed this request.
    pub fn clear_failed_backends(&mut self) {
        self.failed_len = 0;
    }
}
