//! What one router states about signatures of requests and crashes of backend servers.
//!
//! A router sends its [`Statement`] to the other routers and keeps it in the store under the name
//! of its VM, where its next incarnation finds it. Operators lift a block by a statement of their
//! own.

use serde::{Deserialize, Serialize};

use crate::{run::Run, signature::Signature};

/// Kind of the store objects that hold statements; each has the name of its author.
pub const KIND: &str = "quarantine";
/// Author of the statement with which operators lift blocks; no VM has this name.
pub const OPERATOR: &str = "operator";

/// A backend server that ended with a request of the signature in flight, whose response had at most
/// just begun.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Signature of the request; earlier versions call it `part`.
    #[serde(alias = "part")]
    pub signature: Signature,
    /// Run of the server that ended.
    pub backend_server: Run,
    /// One more than the depth of the crashes under the signature that were known when the request
    /// was sent.
    pub depth: u32,
    /// When the end of the server was noticed, in milliseconds since the Unix epoch by the clock of
    /// the author's VM.
    pub at_wall_ms: u64,
}

/// A crash that does not count against a signature, because a request with it completed since.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clearance {
    /// Signature of the completed request; earlier versions call it `part`.
    #[serde(alias = "part")]
    pub signature: Signature,
    /// Run of the server whose crash another router has stated.
    pub backend_server: Run,
}

/// All that one router states; it replaces the router's earlier statements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Increases with each change, also from one incarnation to the next.
    pub sequence: u64,
    /// Crashes that the router noticed under signatures that it has not seen complete since.
    pub crashes: Vec<Crash>,
    /// Crashes stated by others that do not count.
    pub clearances: Vec<Clearance>,
}

impl Statement {
    /// Returns whether the statement contains nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}
