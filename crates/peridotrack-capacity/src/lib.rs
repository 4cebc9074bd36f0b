//! Admission control: what a process may hold for clients and servers.
//!
//! [`account`] bounds the memory for messages, [`connections`] the open client connections. Both are
//! state machines without I/O or clock.

pub mod account;
pub mod connections;
