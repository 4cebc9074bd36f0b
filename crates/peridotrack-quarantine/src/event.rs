//! Input and output of the quarantine.

use peridotrack_types::name;

use crate::{recheck, run::Run, signature::Signature, statement::Statement, verdict::Block};

/// Current time on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Time on a clock that never jumps, in microseconds.
    pub monotonic_us: u64,
    /// Time of day of the VM, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A request that is sent to a backend server, as [`crate::quarantine::Quarantine::begin`] returned
/// it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trial {
    /// The signatures, each with the depth of a crash under it.
    pub signatures: Vec<(Signature, u32)>,
}

impl Trial {
    /// Returns the depth of a crash under the request.
    pub fn depth(&self) -> u32 {
        let depths = self.signatures.iter().map(|(_, depth)| *depth);
        depths.max().unwrap_or(0)
    }
}

/// Why a request is not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Signatures of the request, and the crashes under them.
    pub block: Block,
    /// Whether the crashes prove the signatures. Otherwise few routers at a time send such a
    /// request, and its outcome decides.
    pub is_proven: bool,
    /// Time until a request of a proven block may be sent to recheck it, in microseconds; 0 if the
    /// router may claim that now, `None` if the block is not proven.
    pub recheck_in_us: Option<u64>,
}

/// An occurrence that the driver reports to the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; expected several times per second.
    Tick,
    /// The connection to the server broke after the request was sent and before a complete event
    /// or a complete response was received.
    Broken {
        /// The request.
        trial: Trial,
        /// Run of the server that it was sent to.
        backend_server: Run,
    },
    /// A server has ended: it accepts no connections, the directory no longer has it although it did
    /// not drain, or it has started again under the same name.
    ServerEnded {
        /// Run of the server.
        backend_server: Run,
    },
    /// A server responded. That it accepts a connection shows nothing: it may be about to end.
    ServerAlive {
        /// Name of the server.
        backend_server: name::BackendServer,
        /// When the request was sent, on the monotonic clock.
        sent_us: u64,
    },
    /// A response was received whole, from a server that ran the request.
    Completed {
        /// Signatures of the request.
        signatures: Vec<Signature>,
    },
    /// The statement of a peer, of operators, or of an earlier incarnation on this VM.
    Stated {
        /// Name of the VM, or [`crate::statement::OPERATOR`].
        author: name::Vm,
        /// The statement.
        statement: Statement,
    },
    /// The store holds the statement of the last [`Action::Write`].
    Written,
    /// A write of this router's statement failed or its outcome is unknown.
    WriteFailed,
    /// A claim that [`crate::quarantine::Quarantine::claim`] returned was made.
    Claimed {
        /// The claim.
        claim: recheck::Claim,
        /// Its result.
        outcome: recheck::Outcome,
    },
}

/// An operation that the driver carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the statement to all live peers.
    Send(Statement),
    /// Write the statement to the store, and report [`Event::Written`] or [`Event::WriteFailed`].
    Write(Statement),
    /// Record an occurrence on the timeline.
    Note(Note),
}

/// An occurrence reported on the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A server ended with a request of these signatures in flight.
    Crashed {
        /// Run of the server.
        backend_server: Run,
        /// Signatures of the request.
        signatures: Vec<Signature>,
        /// Depth of the crash.
        depth: u32,
    },
    /// Requests with all of the block's signatures are refused from now on.
    Blocked(Block),
    /// This router sends the next request with all of the signatures to recheck their block.
    Rechecked {
        /// Signatures of the block.
        signatures: Vec<Signature>,
        /// Number of rechecks of the block with this one.
        count: u32,
    },
    /// Requests with the signatures are no longer refused.
    Released {
        /// Signatures of the former block.
        signatures: Vec<Signature>,
    },
}
