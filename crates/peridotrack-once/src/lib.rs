//! Claims for non-idempotent calls, usage records and bills.
//!
//! Everything here is a deterministic state machine: time and the random seed are passed in,
//! and what has to be done outside is returned as actions.
//!
//! - [`claim`] makes a durable claim before a non-idempotent request is sent, so that it runs at
//!   most once whatever is retried, lost or restarted.
//! - [`usage`] keeps usage records on a peer until they are flushed to the platform.
//! - [`bill`] folds flushed records to one line per client account and request key.
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
//! assert!(!claims.may_send(2_040, request_id), "the permission is used up");
//! ```

pub mod bill;
pub mod claim;
pub mod digest;
pub mod filter;
pub mod shard_object;
pub mod usage;
