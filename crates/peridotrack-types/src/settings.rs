//! Settings of one router daemon.
//!
//! [`Settings::parse`] reads them from JSON text and reports every error at its path.

mod validate;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{check, name};

pub use validate::{
    MAX_BODY_BYTES, MAX_CALLER_WRITE_TIMEOUT_MS, MAX_CONNECTIONS, MAX_HEAD_BYTES,
    MAX_PEER_KEY_BYTES, MAX_SEED_ADDRESSES, MAX_SHUTDOWN_MS, MAX_TIMELINE_EVENTS, MIN_BODY_BYTES,
    MIN_CALLER_WRITE_TIMEOUT_MS, MIN_HEAD_BYTES, MIN_PEER_KEY_BYTES, MIN_TIMELINE_EVENTS,
};

/// Settings of one router daemon, the content of its JSON settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM that runs the daemon.
    pub vm: name::Vm,
    /// Failure domain of the VM.
    pub failure_domain: name::FailureDomain,
    /// Address that the daemon listens on for callers' requests.
    pub caller_address: SocketAddr,
    /// Address that the daemon listens on for operators' requests.
    pub operator_address: SocketAddr,
    /// Address that the daemon listens on for connections from other routers.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Addresses of peers to contact at startup.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// SHA-256 digest, in lowercase hexadecimal, of the operators' bearer key.
    pub operator_key_digest_sha256: String,
    /// Key shared by the routers; an input to the SHA-256 digests that authenticate peer links.
    #[serde(default)]
    pub peer_key: String,
    /// Limits on connections, requests and time spans of this process.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of one router process; absent fields take their default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of concurrent caller connections.
    pub connections: usize,
    /// Timeout for a caller to accept the next bytes of a response, in milliseconds.
    pub caller_write_timeout_ms: u64,
    /// Maximum time to finish open requests at shutdown, in milliseconds.
    pub shutdown_timeout_ms: u64,
    /// Time for which a router that is shutting down still accepts new requests, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Number of events kept in the timeline.
    pub timeline_events: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            connections: 4_096,
            caller_write_timeout_ms: 30_000,
            shutdown_timeout_ms: 60_000,
            shutdown_grace_ms: 3_000,
            timeline_events: 16_384,
        }
    }
}

impl Settings {
    /// Parses the JSON text of settings and validates them.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, or of the values if the text is well-formed.
    pub fn parse(text: &str) -> Result<Self, Vec<check::Problem>> {
        let settings: Self = check::parse(text)?;
        let problems = settings.check();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(problems)
        }
    }
}
