//! Prepaid token budgets that cannot be overrun.
//!
//! Tokens are moved between owners and never copied. The platform stores [`ledger::Shard`]
//! objects, each with many budgets. A [`holder::Holder`] in each router draws grants from them by
//! conditional update and spends only what it was granted. Both are pure state machines: the
//! driver, the budget service of `peridotrack-edge`, passes in time, outcomes of I/O and peer
//! messages, and carries out the returned actions.
//!
//! ```
//! use peridotrack_budget::{action::Action, event::Event, holder::Holder, options::Options};
//! use peridotrack_types::{id, name};
//!
//! let budget = name::Budget::from("drafting");
//! let mut holder = Holder::new(id::Incarnation(1), Options::default(), 0);
//! holder.configure(0, 1, [(budget.clone(), 10_000)]);
//! assert!(holder.reserve(0, &budget, 100).is_err());
//! // Draws that are due at about the same time are merged into one write.
//! let shard = match holder.poll(5_000).remove(0) {
//!     Action::Read { shard } => shard,
//!     other => panic!("expected a read, not {other:?}"),
//! };
//! let writes = holder.on_event(7_000, Event::ShardAbsent { shard });
//! assert!(matches!(writes[..], [Action::Write { expected: None, .. }]));
//! holder.on_event(9_000, Event::Written { shard, version: 1 });
//! let reservation = holder.reserve(9_000, &budget, 100).unwrap();
//! holder.settle(40_000, reservation, 80);
//! ```

pub mod action;
pub mod event;
pub mod holder;
pub mod ledger;
pub mod message;
pub mod options;
pub mod refusal;
pub mod reservation;
