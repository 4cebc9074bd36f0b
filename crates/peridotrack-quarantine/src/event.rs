//! Input and output of the quarantine.

use peridotrack_types::name;

use crate::{
    statement::{Part, Statement},
    verdict::Block,
};

/// Current time on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Time on a clock that never jumps, in microseconds.
    pub monotonic_us: u64,
    /// Time of day of the VM, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A request that is sent to a backend server, as [`crate::quarantine::Quarantine::check`] returned
/// it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trial {
    /// The shared parts, each with the depth of a crash under it.
    pub parts: Vec<(Part, u32)>,
}

/// An occurrence that the driver reports to the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; expected several times per second.
    Tick,
    /// The connection to the server broke when the response had begun and contained no complete
    /// event.
    Broken {
        /// The request.
        trial: Trial,
        /// Server that it was sent to.
        backend_server: name::BackendServer,
    },
    /// A server has ended: it accepts no connections, or the directory no longer has it although it
    /// did not drain.
    ServerEnded {
        /// Name of the server.
        backend_server: name::BackendServer,
    },
    /// A server responded. That it accepts a connection shows nothing: it may be about to end.
    ServerAlive {
        /// Name of the server.
        backend_server: name::BackendServer,
        /// When the request was sent, on the monotonic clock.
        sent_us: u64,
    },
    /// A response was received whole and is a success.
    Completed {
        /// Shared parts of the request.
        parts: Vec<Part>,
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
    /// A server ended when it had just begun to answer a request with the parts.
    Crashed {
        /// Name of the server.
        backend_server: name::BackendServer,
        /// Shared parts of the request.
        parts: Vec<Part>,
        /// Depth of the crash.
        depth: u32,
    },
    /// Requests with all of the block's parts are refused from now on.
    Blocked(Block),
    /// Requests with the parts are no longer refused.
    Released {
        /// Parts of the former block.
        parts: Vec<Part>,
    },
}
