//! Answers that say why a request failed, in the form of RFC 9457.

use serde::{Deserialize, Serialize};

use crate::id;

/// Why a request failed. Each kind fixes its HTTP status and whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be understood.
    Malformed,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The client account may not do this.
    Forbidden,
    /// No such route, model or object.
    NotFound,
    /// The request head or body exceeds a limit.
    TooLarge,
    /// No tokens are left for the request.
    BudgetExhausted,
    /// Tokens may be left, but none can be drawn now.
    BudgetUnavailable,
    /// Queues are full or the deadline cannot be met.
    Overloaded,
    /// No backend server can take the request.
    NoBackendServer,
    /// The idempotency key was used for a different request.
    KeyConflict,
    /// An earlier request with this key is still running.
    InProgress,
    /// A claim cannot be made now.
    ClaimUnavailable,
    /// The router is stopping.
    Stopping,
    /// The request may have run; its answer is lost.
    OutcomeUnknown,
    /// The backend server failed before it ran the request to the end.
    BackendFailed,
}

/// Whether the request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request reached a backend server, or the server proved that it did not run.
    No,
    /// The request may have run.
    Unknown,
}

/// The body of a failed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// URN of the kind.
    #[serde(rename = "type")]
    pub type_urn: String,
    /// Short text, the same for every problem of this kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened in this case.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Request that failed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request_id: Option<id::Request>,
    /// When to try again, in milliseconds from now.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 15] = [
        Self::Malformed,
        Self::Unauthorized,
        Self::Forbidden,
        Self::NotFound,
        Self::TooLarge,
        Self::BudgetExhausted,
        Self::BudgetUnavailable,
        Self::Overloaded,
        Self::NoBackendServer,
        Self::KeyConflict,
        Self::InProgress,
        Self::ClaimUnavailable,
        Self::Stopping,
        Self::OutcomeUnknown,
        Self::BackendFailed,
    ];

    /// Returns the HTTP status of this kind.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized => 401,
            Self::BudgetExhausted => 402,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::KeyConflict => 422,
            Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::Overloaded => 429,
            Self::OutcomeUnknown | Self::BackendFailed => 502,
            Self::BudgetUnavailable
            | Self::NoBackendServer
            | Self::ClaimUnavailable
            | Self::Stopping => 503,
        }
    }

    /// Returns the last part of the kind's URN.
    pub fn slug(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not-found",
            Self::TooLarge => "too-large",
            Self::BudgetExhausted => "budget-exhausted",
            Self::BudgetUnavailable => "budget-unavailable",
            Self::Overloaded => "overloaded",
            Self::NoBackendServer => "no-backend-server",
            Self::KeyConflict => "key-conflict",
            Self::InProgress => "in-progress",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::Stopping => "stopping",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::BackendFailed => "backend-failed",
        }
    }

    /// Returns whether a request that fails this way ran.
    pub fn ran(self) -> Ran {
        match self {
            Self::OutcomeUnknown | Self::BackendFailed | Self::InProgress => Ran::Unknown,
            _ => Ran::No,
        }
    }
}

impl Problem {
    /// Returns a problem of `kind` with a `detail` for this case.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            type_urn: format!("urn:peridotrack:problem:{}", kind.slug()),
            title: kind.slug().replace('-', " "),
            status: kind.status(),
            detail: detail.into(),
            ran: kind.ran(),
            request_id: None,
            retry_after_ms: None,
        }
    }

    /// Returns whether tokens were lacking.
    pub fn is_budget_problem(&self) -> bool {
        [Kind::BudgetExhausted, Kind::BudgetUnavailable]
            .iter()
            .any(|kind| self.type_urn.ends_with(kind.slug()))
    }

    /// Adds when to try again.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds the request that failed.
    #[must_use]
    pub fn request(mut self, request: id::Request) -> Self {
        self.request_id = Some(request);
        self
    }
}
