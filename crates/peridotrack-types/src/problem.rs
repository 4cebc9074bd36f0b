//! Bodies of failed HTTP responses as problem details (RFC 9457).
//!
//! [`Kind`] fixes the type URN, the HTTP status and whether the request ran; [`Problem`] adds the
//! details of one failed request.

use serde::{Deserialize, Serialize};

use crate::id;

/// Reason why a request failed.
///
/// Each kind fixes the HTTP status and whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request could not be parsed, is invalid or was not received in time.
    Malformed,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The client account is not permitted to make the request.
    Forbidden,
    /// The route, model or object does not exist.
    NotFound,
    /// The request head or body exceeds its size limit.
    TooLarge,
    /// The budgets that may pay for the request are exhausted.
    BudgetExhausted,
    /// Tokens may remain, but none can be drawn at the moment.
    BudgetUnavailable,
    /// The queues are full or the deadline cannot be met.
    Overloaded,
    /// No backend server is available for the request.
    NoBackendServer,
    /// The idempotency key was used for a different request.
    KeyConflict,
    /// An earlier request with this key is still running.
    InProgress,
    /// The claim on the idempotency key cannot be made at the moment.
    ClaimUnavailable,
    /// The router is shutting down.
    Stopping,
    /// The request may have run, but its response was lost.
    OutcomeUnknown,
    /// The backend server failed before it completed the request.
    BackendFailed,
    /// Backend servers crash under a part of the prompt.
    PromptPartBlocked,
    /// Backend servers crash under the request.
    RequestBlocked,
    /// It is not known where the stream began that the request continues.
    StreamOriginUnknown,
}

/// Whether a failed request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run: no byte reached a backend server, or the server proved it.
    No,
    /// The request may have run.
    Unknown,
}

/// JSON body of a failed response (RFC 9457), with the extension members of this product.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// URN that identifies the [`Kind`]: `urn:peridotrack:problem:` and its slug.
    #[serde(rename = "type")]
    pub type_urn: String,
    /// Summary, identical for all problems of this kind.
    pub title: String,
    /// HTTP status code, also that of the response.
    pub status: u16,
    /// Explanation specific to this occurrence.
    pub detail: String,
    /// Whether the request ran on a backend server, and thus whether a repetition is safe.
    pub ran: Ran,
    /// Identifier of the failed request, if the router assigned one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request_id: Option<id::Request>,
    /// Time to wait before the next attempt, in milliseconds, if the router suggests one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Kind {
    /// All kinds, each once.
    pub const ALL: [Self; 18] = [
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
        Self::PromptPartBlocked,
        Self::RequestBlocked,
        Self::StreamOriginUnknown,
    ];

    /// Returns the HTTP status code of this kind.
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
            | Self::PromptPartBlocked
            | Self::RequestBlocked
            | Self::StreamOriginUnknown
            | Self::Stopping => 503,
        }
    }

    /// Returns the last component of the kind's URN, in kebab case.
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
            Self::PromptPartBlocked => "prompt-part-blocked",
            Self::RequestBlocked => "request-blocked",
            Self::StreamOriginUnknown => "stream-origin-unknown",
        }
    }

    /// Returns whether a request that fails with this kind ran.
    pub fn ran(self) -> Ran {
        match self {
            Self::OutcomeUnknown | Self::BackendFailed | Self::InProgress => Ran::Unknown,
            _ => Ran::No,
        }
    }
}

impl Problem {
    /// Returns a problem of `kind`; `detail` explains this occurrence.
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

    /// Returns whether the request failed because no tokens could be reserved.
    pub fn is_budget_problem(&self) -> bool {
        [Kind::BudgetExhausted, Kind::BudgetUnavailable]
            .iter()
            .any(|kind| self.type_urn.ends_with(kind.slug()))
    }

    /// Sets the time to wait before the next attempt, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets the identifier of the failed request.
    #[must_use]
    pub fn request(mut self, request: id::Request) -> Self {
        self.request_id = Some(request);
        self
    }
}
