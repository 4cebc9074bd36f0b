//! One run of the process of a backend server.

use std::fmt;

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

/// Separates the name of a server and its start in the text of a run.
const SEPARATOR: char = '@';

/// One run of a backend server's process, which may start again under the same name; written as
/// `name` or `name@born`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", from = "String")]
pub struct Run {
    /// Name of the server.
    pub backend_server: name::BackendServer,
    /// When the process started, in milliseconds since the Unix epoch, if known.
    pub born_ms: Option<u64>,
}

impl Run {
    /// Returns whether both may be the same run: they have the name in common, and also the start
    /// if it is known of both.
    pub fn may_be(&self, other: &Self) -> bool {
        let is_same_start = match (self.born_ms, other.born_ms) {
            (Some(born_ms), Some(other_ms)) => born_ms == other_ms,
            _ => true,
        };
        is_same_start && self.backend_server == other.backend_server
    }
}

impl From<name::BackendServer> for Run {
    fn from(backend_server: name::BackendServer) -> Self {
        Self {
            backend_server,
            born_ms: None,
        }
    }
}

impl From<&str> for Run {
    fn from(text: &str) -> Self {
        let born = text.rsplit_once(SEPARATOR);
        let born = born.and_then(|(name, born)| Some((name, born.parse().ok()?)));
        match born {
            Some((name, born_ms)) => Self {
                backend_server: name.into(),
                born_ms: Some(born_ms),
            },
            None => name::BackendServer::from(text).into(),
        }
    }
}

impl From<String> for Run {
    fn from(text: String) -> Self {
        text.as_str().into()
    }
}

impl From<Run> for String {
    fn from(run: Run) -> Self {
        run.to_string()
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.backend_server.as_str())?;
        match self.born_ms {
            Some(born_ms) => write!(f, "{SEPARATOR}{born_ms}"),
            None => Ok(()),
        }
    }
}

impl fmt::Debug for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
