//! Instructions of the routing service to the handler of a request.

use std::net::SocketAddr;

use peridotrack_types::{name, problem};

/// Instruction to a request handler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send the request from its beginning.
    Dispatch {
        /// Backend server to send it to.
        backend_server: name::BackendServer,
        /// Address of the backend server, from the newest configuration that has it.
        address: SocketAddr,
        /// Number of dispatches of this request including this one, from 1.
        attempt: u32,
    },
    /// Resume the request's stream after a failed attempt.
    Resume {
        /// Engine that holds the stream.
        backend_server: name::BackendServer,
        /// Address of the engine, from the newest configuration that has it.
        address: SocketAddr,
        /// Events received so far, after which the stream continues.
        offset_events: u64,
    },
    /// Refuse the request; no step follows.
    Refuse {
        /// Reason, which also states whether the request may have run.
        kind: problem::Kind,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Backend server to send a request to.
#[derive(Debug, Clone)]
pub struct Destination {
    /// Name of the backend server in the register.
    pub backend_server: name::BackendServer,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of dispatches of the request including this one, from 1; 0 for a resume.
    pub attempt: u32,
}

/// Final refusal of a request by the routing service.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Reason, which also states whether the request may have run.
    pub kind: problem::Kind,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

impl Step {
    /// Returns where to send the request, for handlers that resume by sending it again.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the step is [`Step::Refuse`].
    pub fn into_destination(self) -> Result<Destination, Refusal> {
        match self {
            Self::Dispatch {
                backend_server,
                address,
                attempt,
            } => Ok(Destination {
                backend_server,
                address,
                attempt,
            }),
            Self::Resume {
                backend_server,
                address,
                ..
            } => Ok(Destination {
                backend_server,
                address,
                attempt: 0,
            }),
            Self::Refuse {
                kind,
                retry_after_ms,
            } => Err(Refusal {
                kind,
                retry_after_ms,
            }),
        }
    }
}
