//! What a gateway serves: routes by host and path, services, client accounts and limits.
//!
//! Unlike the configuration of [`crate::config`], a site forwards requests without
//! reading their bodies: host and path choose the service.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{collections, name};

/// One accepted version of a site. The highest version wins and is never replaced by a lower one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Version; each accepted change raises it.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services that routes lead to.
    pub services: Vec<Service>,
    /// Client accounts; empty if requests need no key.
    pub client_accounts: Vec<ClientAccount>,
    /// Limits on what a client sends.
    pub limits: Limits,
}

/// Whether a request may run again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once for each attempt of the client.
    AtMostOnce,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another backend server can continue after the events received so far.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that requests name, without a port.
    pub host: Arc<str>,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated.
    #[serde(rename = "repetition")]
    pub retry_policy: RetryPolicy,
    /// Longest time for a whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer, or a stream's first event, is worth its full credit.
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    pub event_gap_ms: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Services that share the route's requests.
    pub shares: Vec<Share>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A service's part of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: name::Service,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: name::Service,
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// What its backend servers are like if they are model engines.
    pub engine: Option<Engine>,
}

/// What the model engines of a service are like.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Tokens of running requests and cached prompt parts that fit into memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream, at most.
    pub event_tokens: u64,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Unique name.
    pub name: name::ClientAccount,
    /// Keys that name the account.
    pub keys: Vec<Arc<str>>,
    /// Rank of its requests, in place of the route's.
    pub rank: Option<u32>,
    /// Tokens that it may consume; absent means no bound.
    pub prepaid_tokens: Option<u64>,
}

/// Limits on what a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time that a request's head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
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

/// One backend server of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name of this incarnation of the server, which requests to it carry.
    pub name: name::BackendServer,
    /// Service that it provides.
    pub service: name::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: name::FailureDomain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to stop and takes no new work.
    pub is_draining: bool,
}

/// Finds the route of a request and the account of a key.
#[derive(Debug, Clone, Default)]
pub struct Index {
    routes: collections::HashMap<Arc<str>, Vec<(Arc<str>, usize)>>,
    accounts: collections::HashMap<Arc<str>, usize>,
}

impl Index {
    /// Returns the index of `site`; it fits no other.
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

    /// Returns the position of the route with the longest prefix that begins `path`.
    ///
    /// `host` may carry a port, which is ignored, and is compared without regard to case.
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
