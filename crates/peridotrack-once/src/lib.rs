//! Claims for non-idempotent requests, usage records and bills.
//!
//! The types are deterministic state machines without I/O: the driver, a service of
//! `peridotrack-edge`, passes in the time and the random seed, carries out the returned actions and
//! reports their results as events.
//!
//! - [`claim`] stores a durable claim before a non-idempotent request is sent, so that the request
//!   runs at most once despite retries, lost messages and restarts.
//! - [`usage`] replicates usage records to peers until they are flushed to the platform.
//! - [`bill`] merges flushed records into one line per client account and request key.
//! - [`shard_object`], [`digest`] and [`filter`] define the stored form of claims.
//!
//! ```
//! use peridotrack_once::claim;
//! use peridotrack_types::{id, name};
//!
//! let incarnation = id::Incarnation(1);
//! let mut claims = claim::Claims::new(incarnation, claim::Options::default(), 7, 0);
//! let request_id = id::Request { incarnation, sequence: 1 };
//! let actions = claims.begin(0, claim::Request {
//!     request_id,
//!     account: name::ClientAccount::from("gramedia"),
//!     key: "order-17",
//!     request_digest: [0; 32],
//!     deadline_us: 1_000_000,
//! });
//! let claim::Action::Read { object } = &actions[0] else { panic!() };
//! let object = object.clone();
//!
//! claims.on_event(10, claim::Event::Absent { object: object.clone() });
//! let actions = claims.on_event(2_000, claim::Event::Tick);
//! assert!(matches!(actions[0], claim::Action::Write { expected: None, .. }));
//! assert!(!claims.may_send(2_010, request_id), "the claim is not durable yet");
//!
//! let actions = claims.on_event(2_020, claim::Event::Written { object, version: 1 });
//! assert!(matches!(
//!     actions[0],
//!     claim::Action::Decide { decision: claim::Decision::Granted, .. }
//! ));
//! assert!(claims.may_send(2_030, request_id));
//! assert!(!claims.may_send(2_040, request_id), "the permission is consumed");
//! ```

pub mod bill;
pub mod claim;
pub mod digest;
pub mod filter;
pub mod shard_object;
pub mod usage;
