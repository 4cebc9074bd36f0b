//! Names of the router's metrics and handles to those of requests.
//!
//! docs/OPERATORS.md lists them; a test checks that it names every one in [`ALL`].

use metrics::{Counter, Histogram};
use peridotrack_kernel::meter;
use peridotrack_types::problem;

/// Counter of requests that were accepted from callers.
pub const ACCEPTED: &str = "peridotrack_requests_accepted_total";
/// Counter of requests that ended with a complete response.
pub const COMPLETED: &str = "peridotrack_requests_completed_total";
/// Counter of refused requests; its label `ran` states whether they may have run.
pub const REFUSED: &str = "peridotrack_requests_refused_total";
/// Histogram of the time from a request's arrival to the first part of its response, in seconds.
pub const FIRST_TOKEN: &str = "peridotrack_first_token_seconds";
/// Counter of failed attempts on backend servers.
pub const FAILED_ATTEMPTS: &str = "peridotrack_failed_attempts_total";
/// Counter of tokens charged to budgets.
pub const SETTLED_TOKENS: &str = "peridotrack_settled_tokens_total";
/// Counter of bytes sent to peers.
pub const PEER_SENT_BYTES: &str = "peridotrack_peer_sent_bytes_total";
/// Counter of calls to the platform, by `kind`.
pub const PLATFORM_CALLS: &str = "peridotrack_platform_calls_total";
/// Gauge of the time since which a failure domain is evacuated, by `failure_domain`.
pub const EVACUATED_SINCE: &str = "peridotrack_evacuated_since_seconds";
/// Gauge of the backend servers whose requests are limited because they are cold.
pub const COLD_SERVERS: &str = "peridotrack_cold_servers";
/// Gauge of the bytes that are held for requests of clients.
pub const HELD_REQUEST_BYTES: &str = "peridotrack_held_request_bytes";
/// Gauge of the bytes that are held for responses of backend servers.
pub const HELD_RESPONSE_BYTES: &str = "peridotrack_held_response_bytes";
/// Gauge of the open client connections.
pub const CLIENT_CONNECTIONS: &str = "peridotrack_client_connections";
/// Counter of the tunnels to backend servers that peers opened for this router.
pub const OPENED_TUNNELS: &str = "peridotrack_opened_tunnels_total";
/// Counter of the tunnels to backend servers that this router opened for peers.
pub const SERVED_TUNNELS: &str = "peridotrack_served_tunnels_total";
/// Gauge of the open tunnels that this router serves.
pub const OPEN_TUNNELS: &str = "peridotrack_open_tunnels";
/// Gauge of the services to whose backend servers this router connects through peers.
pub const PARTITIONED: &str = "peridotrack_partitioned";

/// Names of all metrics.
pub const ALL: [&str; 17] = [
    ACCEPTED,
    COMPLETED,
    REFUSED,
    FIRST_TOKEN,
    FAILED_ATTEMPTS,
    SETTLED_TOKENS,
    PEER_SENT_BYTES,
    PLATFORM_CALLS,
    EVACUATED_SINCE,
    COLD_SERVERS,
    HELD_REQUEST_BYTES,
    HELD_RESPONSE_BYTES,
    CLIENT_CONNECTIONS,
    OPENED_TUNNELS,
    SERVED_TUNNELS,
    OPEN_TUNNELS,
    PARTITIONED,
];

/// Handles to the metrics of requests.
pub struct Requests {
    /// Counts [`ACCEPTED`].
    pub accepted: Counter,
    /// Counts [`COMPLETED`].
    pub completed: Counter,
    /// Records [`FIRST_TOKEN`].
    pub first_token: Histogram,
    /// Counts [`FAILED_ATTEMPTS`].
    pub failed_attempts: Counter,
    /// Counts [`SETTLED_TOKENS`].
    pub settled_tokens: Counter,
    refused_not_run: Counter,
    refused_unknown: Counter,
}

impl Requests {
    /// Registers the metrics with `meter`; they start at zero.
    pub fn register(meter: &meter::Meter) -> Self {
        Self {
            accepted: meter.counter(ACCEPTED),
            completed: meter.counter(COMPLETED),
            first_token: meter.histogram(FIRST_TOKEN),
            failed_attempts: meter.counter(FAILED_ATTEMPTS),
            settled_tokens: meter.counter(SETTLED_TOKENS),
            refused_not_run: meter.labelled_counter(REFUSED, "ran", "no"),
            refused_unknown: meter.labelled_counter(REFUSED, "ran", "unknown"),
        }
    }

    /// Returns the counter [`REFUSED`] with the label for `ran`.
    pub fn refused(&self, ran: problem::Ran) -> &Counter {
        match ran {
            problem::Ran::No => &self.refused_not_run,
            problem::Ran::Unknown => &self.refused_unknown,
        }
    }
}
