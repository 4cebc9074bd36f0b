//! Site: the configuration of a gateway, with its routes, services, client accounts and limits.
//!
//! Unlike with the configuration of [`crate::config`], requests are routed by host and path and
//! forwarded without inspection of their bodies.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{collections, name};

/// One accepted version of a site.
///
/// A gateway applies the highest version it receives and never returns to a lower one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Version number; each accepted change increases it.
    pub version: u64,
    /// Routes, in no particular order: the longest matching prefix applies.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Client accounts; if there are none, requests need no key.
    pub client_accounts: Vec<ClientAccount>,
    /// Limits on client connections and requests.
    pub limits: Limits,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once for each attempt of the client.
    AtMostOnce,
    /// The response is an event stream and the request runs at most once.
    Stream,
    /// The response is an event stream, which another backend server can resume after the last
    /// event received.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A route: the requests of one host whose path starts with one prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique among the routes.
    pub name: Arc<str>,
    /// Host of matching requests, without a port.
    pub host: Arc<str>,
    /// Path prefix of matching requests; starts and ends with `/`.
    pub path_prefix: Arc<str>,
    /// Whether the gateway may send a request again after a failed attempt.
    #[serde(rename = "repetition")]
    pub retry_policy: RetryPolicy,
    /// Timeout for a complete response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for a response or for a stream's first event, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the gap between two consecutive events of a stream, in milliseconds.
    pub event_gap_ms: u64,
    /// Priority rank of the requests; 0 is the most urgent.
    pub rank: u32,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Services that the route's requests are distributed over, by weight.
    pub shares: Vec<Share>,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

/// Share of a route's requests that a service receives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Service that receives the requests.
    pub service: name::Service,
    /// Weight relative to the other shares of the route, at least zero.
    pub weight: f64,
}

/// A service that routes distribute requests to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among the services.
    pub name: name::Service,
    /// Maximum number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// Time for which a backend server is cold after its start, in milliseconds; 0 if it is not.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Requests per second that a cold backend server takes from all routers together; 0 if cold
    /// servers have no limit.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Properties of its backend servers if they are model engines.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Capacity for running requests and cached prompt parts, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: u64,
}

/// A client account and the keys that authenticate it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name, unique among the client accounts.
    pub name: name::ClientAccount,
    /// Keys that identify the account, in plain text.
    pub keys: Vec<Arc<str>>,
    /// Priority rank of its requests; overrides the route's.
    pub rank: Option<u32>,
    /// Total of tokens that it may consume; absent means unlimited.
    pub prepaid_tokens: Option<u64>,
}

/// Limits on client connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for a client to send a complete request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A backend server as registered in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name of this incarnation of the server; requests to it carry the name.
    pub name: name::BackendServer,
    /// Service that the server is an instance of.
    pub service: name::Service,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Failure domain that the server runs in.
    pub failure_domain: name::FailureDomain,
    /// Number of requests that the server handles concurrently.
    pub slots: u32,
    /// Version of its software.
    pub software_version: name::SoftwareVersion,
    /// Whether the server is about to stop and accepts no new requests.
    pub is_draining: bool,
    /// When the server's process started, in milliseconds since the Unix epoch, if it says so; the
    /// process may start again under the same name.
    #[serde(default)]
    pub born_ms: Option<u64>,
    /// How much longer the server is cold, in milliseconds, as of when it stated so.
    #[serde(default)]
    pub cold_remaining_ms: u64,
}

/// Index of a site that finds the route of a request and the client account of a key.
///
/// Lookups return positions in [`Site::routes`] and [`Site::client_accounts`].
#[derive(Debug, Clone, Default)]
pub struct Index {
    routes: collections::HashMap<Arc<str>, Vec<(Arc<str>, usize)>>,
    accounts: collections::HashMap<Arc<str>, usize>,
}

impl Index {
    /// Builds the index of `site`; its positions are valid only for this site.
    pub fn new(site: &Site) -> Self {
        let mut index = Self::default();
        for (position, route) in site.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into();
            let routes = index.routes.entry(host).or_default();
            routes.push((Arc::clone(&route.path_prefix), position));
        }
        for routes in index.routes.values_mut() {
            routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        for (position, account) in site.client_accounts.iter().enumerate() {
            for key in &account.keys {
                index.accounts.insert(Arc::clone(key), position);
            }
        }
        index
    }

    /// Returns the position of the route with the longest prefix of `path`.
    ///
    /// `host` may include a port, which is ignored; it is compared case-insensitively.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        let matching = |(prefix, _): &&(Arc<str>, usize)| path.starts_with(prefix.as_ref());
        routes.iter().find(matching).map(|(_, position)| *position)
    }

    /// Returns the position of the client account that holds `key`.
    pub fn account(&self, key: &str) -> Option<usize> {
        self.accounts.get(key).copied()
    }
}
