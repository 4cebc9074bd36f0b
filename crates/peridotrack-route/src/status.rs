//! Serialized state of the router for operators.
//!
//! [`crate::router::Router::status`] returns a [`Report`]; its field names are part of the
//! operator interface.

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

use crate::{breaker, drain, eligibility, event};

/// State of the backend servers and pools of one router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Backend servers sorted by name, including removed ones with requests in flight.
    pub backend_servers: Vec<BackendServer>,
    /// Pools in the order in which they were first configured.
    pub pools: Vec<Pool>,
}

/// State of one backend server, as this router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Name in the asset register.
    pub name: name::BackendServer,
    /// Failure domain in the asset register.
    pub failure_domain: name::FailureDomain,
    /// This router's requests in flight at the server.
    pub in_flight_requests: u32,
    /// Limit on this router's requests in flight, lowered during slow start.
    pub limit_requests: f64,
    /// Estimated requests of all other routers at the server.
    pub others_requests: f64,
    /// State of the circuit breaker.
    pub breaker: breaker::State,
    /// Whether it receives new work, and if not, why.
    pub drain: drain::State,
    /// All reasons why it receives no request, empty if it may receive one.
    pub ineligibilities: Vec<eligibility::Ineligibility>,
    /// Whether it is in slow start.
    pub slow_start: bool,
    /// Age of the latest load report; `None` without one.
    pub report_age_us: Option<u64>,
}

/// State of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Model or service that its backend servers provide.
    pub target: event::Target,
    /// Number of backend servers in it, usable or not.
    pub backend_servers: usize,
    /// This router's requests in flight at all members.
    pub in_flight_requests: usize,
    /// Requests in this router's queue.
    pub queued_requests: usize,
}
