//! Records of the requests that a backend server ran or refused, and what it crashes under.

use std::{cell::Cell, rc::Rc, time::Instant};

use bytes::Bytes;
use http::{HeaderMap, Method};

/// What identifies a request as a whole: each repetition of it has the same values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub target: String,
    /// Body of the request.
    pub body: Bytes,
    /// Client account that sends the request.
    pub account: String,
}

/// What a server crashes under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// A prompt part that requests share.
    Part(u64),
    /// A request as a whole.
    Request(Content),
}

/// Record of one request that the server ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub target: String,
    /// Headers of the request as received.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the request was received in full.
    pub at: Instant,
    /// Whether the server has stated in the response that it is leaving.
    pub(super) has_stated_leaving: Rc<Cell<bool>>,
}

impl Run {
    /// Returns the request id, empty if the header is missing.
    pub fn request_id(&self) -> &str {
        self.header("peridotrack-request-id")
    }

    /// Returns the name of the backend server that the router selected, empty if the header is
    /// missing.
    pub fn expected_server(&self) -> &str {
        self.header("peridotrack-expect-instance")
    }

    /// Returns the client account named in the request, empty if the header is missing.
    pub fn client_account(&self) -> &str {
        self.header("peridotrack-tenant-id")
    }

    /// Returns the identifier of the request that received the first event of the stream, if the run
    /// continues one: that of the request itself, unless the client took the stream up.
    pub fn continues(&self) -> Option<&str> {
        self.headers.get("last-event-id")?;
        match self.header("resumes") {
            "" => Some(self.request_id()),
            first_id => Some(first_id),
        }
    }

    /// Returns whether a part of the prompt other than the last has the identifier `part`.
    pub fn shares_part(&self, part: u64) -> bool {
        let mut parts: Vec<u64> = self
            .header("peridotrack-prompt-prefix")
            .split(',')
            .filter_map(|entry| u64::from_str_radix(entry.split(':').next()?, 16).ok())
            .collect();
        parts.pop();
        parts.contains(&part)
    }

    /// Returns whether the request is a repetition of the given one.
    pub fn repeats(&self, content: &Content) -> bool {
        self.method == content.method
            && self.target == content.target
            && self.body == content.body
            && self.client_account() == content.account
    }

    /// Returns whether the client's key was forwarded to the server, which must not happen.
    pub fn has_credential(&self) -> bool {
        self.headers.contains_key("peridotrack-credential")
    }

    /// Returns whether the server has stated in the response that it is leaving.
    pub fn has_stated_leaving(&self) -> bool {
        self.has_stated_leaving.get()
    }

    fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Record of one request that the server refused because of a pause.
#[derive(Debug, Clone)]
pub struct PausedArrival {
    /// Identifier of the request, empty if the header is missing.
    pub request_id: String,
    /// Name of the backend server that the router selected, empty if the header is missing.
    pub expected_server: String,
    /// Time at which the request was received in full.
    pub at: Instant,
    /// End of the pause.
    pub until: Instant,
}
