//! Liveness of peer routers and convergence of the configuration version.
//!
//! Routers gossip heartbeats in push-pull manner: each period a router sends one to the next peer
//! of its failure domain and one to a peer of another domain, and receives a reply to each. Both
//! messages carry the sender's record and the heartbeat sequences of peers that it has received, so
//! that a heartbeat reaches a whole failure domain in a few periods while each router sends a
//! bounded number of bytes.
//!
//! The crate does no I/O and reads no clock: [`member::Members`] takes events and returns actions,
//! which its driver, the membership service of `peridotrack-edge`, carries out.
//! The safety of budgets never depends on its view of the peers.
//!
//! ```
//! use peridotrack_member::{action, member};
//! use peridotrack_types::{id, name};
//!
//! let local = member::Local {
//!     vm: name::Vm::from("vm-1"),
//!     incarnation: id::Incarnation(7),
//!     started_wall_ms: 1_700_000_000_000,
//!     failure_domain: name::FailureDomain::from("jakarta-1"),
//!     peer_address: "127.0.0.1:7001".parse()?,
//!     caller_address: "127.0.0.1:8001".parse()?,
//! };
//! let seeds = vec!["127.0.0.1:7002".parse()?];
//! let mut members = member::Members::new(local, seeds, member::Options::default(), 1, 0);
//! let actions = members.on_event(0, action::Event::Tick);
//! assert!(actions.iter().any(|action| matches!(action, action::Action::Send { .. })));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

pub mod action;
pub mod config;
pub mod member;
pub mod message;
pub mod peer;

mod contacts;
mod gossip;
mod table;
