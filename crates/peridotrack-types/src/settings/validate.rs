//! Checks of the settings of one router daemon.

use std::net::SocketAddr;

use super::{Limits, Settings};
use crate::{
    check::{self, Problem},
    config,
};

/// Least value of [`Limits::head_bytes`].
pub const MIN_HEAD_BYTES: usize = 1_024;
/// Greatest value of [`Limits::head_bytes`].
pub const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Least value of [`Limits::body_bytes`].
pub const MIN_BODY_BYTES: usize = 1_024;
/// Greatest value of [`Limits::body_bytes`].
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Greatest value of [`Limits::connections`].
pub const MAX_CONNECTIONS: usize = 65_536;
/// Least value of [`Limits::caller_write_timeout_ms`].
pub const MIN_CALLER_WRITE_TIMEOUT_MS: u64 = 100;
/// Greatest value of [`Limits::caller_write_timeout_ms`].
pub const MAX_CALLER_WRITE_TIMEOUT_MS: u64 = 600_000;
/// Greatest value of [`Limits::shutdown_timeout_ms`] and [`Limits::shutdown_grace_ms`].
pub const MAX_SHUTDOWN_MS: u64 = 3_600_000;
/// Least value of [`Limits::timeline_events`].
pub const MIN_TIMELINE_EVENTS: usize = 16;
/// Greatest value of [`Limits::timeline_events`].
pub const MAX_TIMELINE_EVENTS: usize = 1_000_000;
/// Most seed addresses.
pub const MAX_SEED_ADDRESSES: usize = 256;
/// Shortest peer key, in bytes.
pub const MIN_PEER_KEY_BYTES: usize = 16;
/// Longest peer key, in bytes.
pub const MAX_PEER_KEY_BYTES: usize = 256;

impl Settings {
    /// Checks values that are well-formed each by itself.
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
                check::DIGEST_FORM,
            ));
        }
        self.limits.check(&mut problems);
        problems
    }

    /// Checks that no two listeners share an address. Port 0 lets the system choose.
    fn check_listeners(&self, problems: &mut Vec<Problem>) {
        let listeners = [
            ("$.caller_address", self.caller_address),
            ("$.operator_address", self.operator_address),
            ("$.peer_address", self.peer_address),
        ];
        for (index, (path, address)) in listeners.iter().enumerate() {
            let first = listeners[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && clash(*other, *address));
            if let Some((first, _)) = first {
                problems.push(Problem::new(
                    *path,
                    format!("{address} clashes with {first}"),
                ));
            }
        }
    }

    /// Checks addresses to which processes connect.
    fn check_peers(&self, problems: &mut Vec<Problem>) {
        check_target("$.peer_address", self.peer_address, problems);
        check_target("$.platform_address", self.platform_address, problems);
        let path = "$.seed_addresses";
        let count = self.seed_addresses.len();
        if count > MAX_SEED_ADDRESSES {
            problems.push(Problem::new(
                path,
                format!("has {count} elements, at most {MAX_SEED_ADDRESSES}"),
            ));
        }
        for (index, seed) in self.seed_addresses.iter().enumerate() {
            let path = format!("{path}[{index}]");
            check_target(&path, *seed, problems);
            if self.seed_addresses[..index].contains(seed) {
                problems.push(Problem::new(path, format!("{seed} stands twice")));
            }
        }
        let bytes = self.peer_key.len();
        if bytes != 0 && !(MIN_PEER_KEY_BYTES..=MAX_PEER_KEY_BYTES).contains(&bytes) {
            problems.push(Problem::new(
                "$.peer_key",
                format!("has {bytes} bytes, not {MIN_PEER_KEY_BYTES}..={MAX_PEER_KEY_BYTES}"),
            ));
        }
    }
}

impl Limits {
    /// Checks each limit against its bounds.
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
                    format!("{value} is not in {min}..={max}"),
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

/// Returns whether two listeners cannot both be bound.
fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() == b.port() && (a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified())
}

fn check_target(path: &str, address: SocketAddr, problems: &mut Vec<Problem>) {
    if let Some(message) = check::address_fault(address) {
        problems.push(Problem::new(path, message));
    }
}

fn check_name(path: &str, name: &str, problems: &mut Vec<Problem>) {
    if let Some(message) = config::name_fault(name) {
        problems.push(Problem::new(path, message));
    }
}
