//! What operators see of the router.

use peridotrack_types::name;
use serde::{Deserialize, Serialize};

use crate::{breaker, drain, event};

/// State of one router's decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Backend servers, by name.
    pub backend_servers: Vec<BackendServer>,
    /// Pools, in the order in which they were configured.
    pub pools: Vec<Pool>,
}

/// State of one backend server, as this router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Name.
    pub name: name::BackendServer,
    /// Failure domain.
    pub failure_domain: name::FailureDomain,
    /// Requests of this router in flight.
    pub in_flight_requests: u32,
    /// Most requests of this router at once.
    pub limit_requests: f64,
    /// Estimated requests of other routers.
    pub others_requests: f64,
    /// Breaker.
    pub breaker: breaker::State,
    /// Whether it gets new work.
    pub drain: drain::State,
    /// Whether it is in its slow start.
    pub slow_start: bool,
    /// Age of the last load report.
    pub report_age_us: Option<u64>,
}

/// State of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// What it serves.
    pub target: event::Target,
    /// Backend servers.
    pub backend_servers: usize,
    /// Requests of this router in flight.
    pub in_flight_requests: usize,
    /// Requests that wait.
    pub queued_requests: usize,
}
