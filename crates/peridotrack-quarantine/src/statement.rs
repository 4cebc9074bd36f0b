//! What one router states about prompt parts and crashes of backend servers.
//!
//! A router sends its [`Statement`] to the other routers and keeps it in the store under the name
//! of its VM, where its next incarnation finds it. Operators lift a block by a statement of their
//! own.

use std::{fmt, str::FromStr};

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

/// Kind of the store objects that hold statements; each has the name of its author.
pub const KIND: &str = "quarantine";
/// Author of the statement with which operators lift blocks; no VM has this name.
pub const OPERATOR: &str = "operator";

/// Identifier of a prompt part, written as hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Part(pub u64);

/// A text that is not the identifier of a prompt part.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed prompt part {text:?}")]
pub struct Error {
    /// The text.
    pub text: String,
}

/// A backend server that ended when it had just begun to answer a request with a part.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// Part of the request that other requests may share.
    pub part: Part,
    /// Name of the server, which identifies one run of its process.
    pub backend_server: name::BackendServer,
    /// One more than the depth of the crashes under the part that were known when the request was
    /// sent.
    pub depth: u32,
    /// When the end of the server was noticed, in milliseconds since the Unix epoch by the clock of
    /// the author's VM.
    pub at_wall_ms: u64,
}

/// A crash that does not count against a part, because the part was in a completed request since.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clearance {
    /// Part that was in the completed request.
    pub part: Part,
    /// Server whose crash another router has stated.
    pub backend_server: name::BackendServer,
}

/// All that one router states; it replaces the router's earlier statements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Increases with each change, also from one incarnation to the next.
    pub sequence: u64,
    /// Crashes that the router noticed under parts that it has not seen complete since.
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

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Part {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error {
            text: text.to_owned(),
        })
    }
}

impl TryFrom<String> for Part {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Part> for String {
    fn from(part: Part) -> Self {
        part.to_string()
    }
}
