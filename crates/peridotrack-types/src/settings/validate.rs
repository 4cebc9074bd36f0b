//! Validation of the settings of one router daemon, and the bounds of their fields.

use std::net::SocketAddr;

use super::{Limits, Settings};
use crate::{
    check::{self, Problem},
    config,
};

/// Lower bound of [`Limits::head_bytes`].
pub const MIN_HEAD_BYTES: usize = 1_024;
/// Upper bound of [`Limits::head_bytes`].
pub const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Lower bound of [`Limits::body_bytes`].
pub const MIN_BODY_BYTES: usize = 1_024;
/// Upper bound of [`Limits::body_bytes`].
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Upper bound of [`Limits::connections`].
pub const MAX_CONNECTIONS: usize = 65_536;
/// Lower bound of [`Limits::caller_write_timeout_ms`].
pub const MIN_CALLER_WRITE_TIMEOUT_MS: u64 = 100;
/// Upper bound of [`Limits::caller_write_timeout_ms`].
pub const MAX_CALLER_WRITE_TIMEOUT_MS: u64 = 600_000;
/// Upper bound of [`Limits::shutdown_timeout_ms`] and [`Limits::shutdown_grace_ms`].
pub const MAX_SHUTDOWN_MS: u64 = 3_600_000;
/// Lower bound of [`Limits::timeline_events`].
pub const MIN_TIMELINE_EVENTS: usize = 16;
/// Upper bound of [`Limits::timeline_events`].
pub const MAX_TIMELINE_EVENTS: usize = 1_000_000;
/// Maximum number of [`Settings::seed_addresses`].
pub const MAX_SEED_ADDRESSES: usize = 256;
/// Minimum length of a [`Settings::peer_key`] that is set, in bytes.
pub const MIN_PEER_KEY_BYTES: usize = 16;
/// Maximum length of [`Settings::peer_key`], in bytes.
pub const MAX_PEER_KEY_BYTES: usize = 256;

impl Settings {
    /// Validates values and their relations in parsed settings.
    ///
    /// Returns every problem with its JSON path; the settings may be used if there is none.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        check_name("$.vm", self.vm.as_str(), &mut problems);
        check_name(
            "$.failure_domain",
            self.failure_domain.as_str(),
            &mut problems,
        );
        self.check_listeners(&mut problems);
        self.check_peers(&mut problems);
        if !check::is_sha256_hex(&self.operator_key_digest_sha256) {
            problems.push(Problem::new(
                "$.operator_key_digest_sha256",
                check::DIGEST_ERROR,
            ));
        }
        self.limits.check(&mut problems);
        problems
    }

    /// Checks that no two listeners share an address, except port 0, for which the system chooses.
    fn check_listeners(&self, problems: &mut Vec<Problem>) {
        let listeners = [
            ("$.caller_address", self.caller_address),
            ("$.operator_address", self.operator_address),
            ("$.peer_address", self.peer_address),
        ];
        for (index, (path, address)) in listeners.iter().enumerate() {
            let first = listeners[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && conflict(*other, *address));
            if let Some((first, _)) = first {
                problems.push(Problem::new(
                    *path,
                    format!("{address} conflicts with {first}"),
                ));
            }
        }
    }

    /// Checks addresses that processes connect to, and the length of the peer key.
    fn check_peers(&self, problems: &mut Vec<Problem>) {
        check_connect_address("$.peer_address", self.peer_address, problems);
        check_connect_address("$.platform_address", self.platform_address, problems);
        let path = "$.seed_addresses";
        let count = self.seed_addresses.len();
        if count > MAX_SEED_ADDRESSES {
            problems.push(Problem::new(
                path,
                format!("has {count} elements, more than the maximum of {MAX_SEED_ADDRESSES}"),
            ));
        }
        for (index, seed) in self.seed_addresses.iter().enumerate() {
            let path = format!("{path}[{index}]");
            check_connect_address(&path, *seed, problems);
            if self.seed_addresses[..index].contains(seed) {
                problems.push(Problem::new(path, format!("{seed} is listed twice")));
            }
        }
        let bytes = self.peer_key.len();
        if bytes != 0 && !(MIN_PEER_KEY_BYTES..=MAX_PEER_KEY_BYTES).contains(&bytes) {
            problems.push(Problem::new(
                "$.peer_key",
                format!("has {bytes} bytes, not in {MIN_PEER_KEY_BYTES}..={MAX_PEER_KEY_BYTES}"),
            ));
        }
    }
}

impl Limits {
    /// Checks that each limit is within its bounds.
    fn check(&self, problems: &mut Vec<Problem>) {
        let bounds = [
            (
                "head_bytes",
                self.head_bytes as u64,
                MIN_HEAD_BYTES as u64,
                MAX_HEAD_BYTES as u64,
            ),
            (
                "body_bytes",
                self.body_bytes as u64,
                MIN_BODY_BYTES as u64,
                MAX_BODY_BYTES as u64,
            ),
            (
                "connections",
                self.connections as u64,
                1,
                MAX_CONNECTIONS as u64,
            ),
            (
                "caller_write_timeout_ms",
                self.caller_write_timeout_ms,
                MIN_CALLER_WRITE_TIMEOUT_MS,
                MAX_CALLER_WRITE_TIMEOUT_MS,
            ),
            (
                "shutdown_timeout_ms",
                self.shutdown_timeout_ms,
                1,
                MAX_SHUTDOWN_MS,
            ),
            (
                "shutdown_grace_ms",
                self.shutdown_grace_ms,
                0,
                MAX_SHUTDOWN_MS,
            ),
            (
                "timeline_events",
                self.timeline_events as u64,
                MIN_TIMELINE_EVENTS as u64,
                MAX_TIMELINE_EVENTS as u64,
            ),
        ];
        for (field, value, min, max) in bounds {
            if !(min..=max).contains(&value) {
                problems.push(Problem::new(
                    format!("$.limits.{field}"),
                    format!("{value} is not in the range {min}..={max}"),
                ));
            }
        }
        if self.shutdown_grace_ms > self.shutdown_timeout_ms {
            problems.push(Problem::new(
                "$.limits.shutdown_grace_ms",
                "is longer than $.limits.shutdown_timeout_ms",
            ));
        }
    }
}

/// Returns whether two listeners cannot be bound at the same time.
fn conflict(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() == b.port() && (a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified())
}

fn check_connect_address(path: &str, address: SocketAddr, problems: &mut Vec<Problem>) {
    if let Some(message) = check::address_error(address) {
        problems.push(Problem::new(path, message));
    }
}

fn check_name(path: &str, name: &str, problems: &mut Vec<Problem>) {
    if let Some(message) = config::name_error(name) {
        problems.push(Problem::new(path, message));
    }
}
