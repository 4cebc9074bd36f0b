//! Streams of events that may go on at another backend server.

use serde::{Deserialize, Serialize};

use crate::name;

/// Where a stream began: the backend server that wrote its first event. It may go on only at servers of
/// the same software version, because what two versions write does not fit together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The server. If it is known with another version later, the process that wrote the first event
    /// is in doubt.
    pub backend_server: name::BackendServer,
    /// Version of its software; `None` if no directory states versions, so that all servers fit.
    pub software_version: Option<name::SoftwareVersion>,
}
