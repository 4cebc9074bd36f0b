//! Settings of one router daemon.

mod validate;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{check, name};

pub use validate::{
    MAX_BODY_BYTES, MAX_CALLER_WRITE_TIMEOUT_MS, MAX_CONNECTIONS, MAX_HEAD_BYTES,
    MAX_PEER_KEY_BYTES, MAX_SEED_ADDRESSES, MAX_SHUTDOWN_MS, MAX_TIMELINE_EVENTS, MIN_BODY_BYTES,
    MIN_CALLER_WRITE_TIMEOUT_MS, MIN_HEAD_BYTES, MIN_PEER_KEY_BYTES, MIN_TIMELINE_EVENTS,
};

/// Settings of one router daemon, read from a JSON file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM.
    pub vm: name::Vm,
    /// Failure domain of this VM.
    pub failure_domain: name::FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Where the platform's object API listens.
    pub platform_address: SocketAddr,
    /// Peer addresses to contact first.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// SHA-256 digest, in hexadecimal, of the operators' bearer key.
    pub operator_key_digest_sha256: String,
    /// SHA-256 digest input shared by the routers to authenticate peer links.
    #[serde(default)]
    pub peer_key: String,
    /// Limits of this process.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of one router process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most bytes of a request head.
    pub head_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Most caller connections at once.
    pub connections: usize,
    /// Longest time a caller may take to accept the next bytes, in milliseconds.
    pub caller_write_timeout_ms: u64,
    /// Longest time to finish open requests at shutdown, in milliseconds.
    pub shutdown_timeout_ms: u64,
    /// Time for which a stopping router still takes new requests, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Events kept in the time line.
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
    /// Parses settings and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Returns every error at its path.
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
