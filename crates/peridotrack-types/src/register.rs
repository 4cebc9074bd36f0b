//! The operators' asset register: engines, services, failure domains, client accounts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name;

/// The whole asset register.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Register {
    /// Failure domains, each within a region.
    pub failure_domains: Vec<FailureDomain>,
    /// Client accounts and the digests of their keys.
    pub client_accounts: Vec<ClientAccount>,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Backend servers of plain services.
    pub services: Vec<ServiceServer>,
}

/// A failure domain and its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Unique name.
    pub name: name::FailureDomain,
    /// Region that holds the failure domain.
    pub region: String,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Unique name.
    pub name: name::ClientAccount,
    /// SHA-256 digests, in hexadecimal, of the bearer keys that name this account.
    pub key_digests_sha256: Vec<String>,
}

/// How a backend server treats orders that carry an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The server refuses an order with an old fencing number.
    Enforced,
    /// The server ignores fencing numbers.
    #[default]
    Ignored,
}

/// One model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Unique name among all backend servers.
    pub name: name::BackendServer,
    /// Failure domain that holds the engine.
    pub failure_domain: name::FailureDomain,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// Models and adapters that the engine serves.
    pub models: Vec<name::Model>,
    /// Requests that the engine batches at once at full speed.
    pub slots: u32,
    /// Whether the engine checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}

/// One backend server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceServer {
    /// Unique name among all backend servers.
    pub name: name::BackendServer,
    /// Service that this server provides.
    pub service: name::Service,
    /// Failure domain that holds the server.
    pub failure_domain: name::FailureDomain,
    /// Where the server listens.
    pub address: SocketAddr,
    /// Requests that the server handles at once.
    pub slots: u32,
}

impl Register {
    /// Returns whether an engine or a server of a plain service has this name.
    pub fn has_backend_server(&self, name: &str) -> bool {
        self.engines
            .iter()
            .any(|engine| engine.name.as_str() == name)
            || self
                .services
                .iter()
                .any(|server| server.name.as_str() == name)
    }
}
