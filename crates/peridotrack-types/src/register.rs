//! The operators' asset register: failure domains, client accounts, engines and plain services.
//!
//! [`crate::config::check`] validates it together with the rules.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name;

/// Asset register of a deployment; absent lists are empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Register {
    /// Failure domains of the deployment, each within a region; at least one.
    pub failure_domains: Vec<FailureDomain>,
    /// Client accounts with the digests of their keys.
    pub client_accounts: Vec<ClientAccount>,
    /// Model engines; they count as backend servers.
    pub engines: Vec<Engine>,
    /// Backend servers of plain services.
    pub services: Vec<ServiceServer>,
}

/// A failure domain and its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name, unique among the failure domains.
    pub name: name::FailureDomain,
    /// Region that the failure domain is located in.
    pub region: String,
}

/// A client account and the keys that authenticate it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name, unique among the client accounts.
    pub name: name::ClientAccount,
    /// SHA-256 digests, in lowercase hexadecimal, of the bearer keys that identify this account.
    pub key_digests_sha256: Vec<String>,
}

/// How a backend server handles commands with an outdated fencing token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The server rejects commands with an outdated fencing token.
    Enforced,
    /// The server ignores fencing tokens.
    #[default]
    Ignored,
}

/// One run of a backend server's process, as far as a directory states it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lifetime {
    /// When the process started, in milliseconds since the Unix epoch on the server's clock; a
    /// process that starts again under its name has a later time.
    pub started_ms: Option<u64>,
    /// Version of the software that it runs.
    pub software_version: Option<name::SoftwareVersion>,
}

/// One model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Name, unique among all backend servers.
    pub name: name::BackendServer,
    /// Failure domain that the engine runs in.
    pub failure_domain: name::FailureDomain,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Models and adapters that the engine serves.
    pub models: Vec<name::Model>,
    /// Maximum batch size at full speed, in requests.
    pub slots: u32,
    /// Whether the engine enforces fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Current run of its process; not part of the operators' register.
    #[serde(skip)]
    pub lifetime: Lifetime,
}

/// One backend server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceServer {
    /// Name, unique among all backend servers.
    pub name: name::BackendServer,
    /// Plain service that this server is an instance of.
    pub service: name::Service,
    /// Failure domain that the server runs in.
    pub failure_domain: name::FailureDomain,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Number of requests that the server handles concurrently.
    pub slots: u32,
    /// Current run of its process; not part of the operators' register.
    #[serde(skip)]
    pub lifetime: Lifetime,
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
