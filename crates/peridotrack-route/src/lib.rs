//! Placement, admission, concurrency limits, retries and drain of backend servers.
//!
//! [`router::Router`] is a deterministic state machine. It does no I/O and reads no clock: its
//! driver, the routing service of `peridotrack-edge`, passes in every event with the current time
//! in microseconds and carries out the returned [`event::Action`]s.
//!
//! ```
//! use peridotrack_route::{event, options::Options, router::Router};
//! use peridotrack_types::{id, name, register, rules};
//!
//! let engine = register::Engine {
//!     name: "engine-1".into(),
//!     failure_domain: "jakarta-1".into(),
//!     address: ([127, 0, 0, 1], 8000).into(),
//!     models: vec!["drafting".into()],
//!     slots: 8,
//!     fencing: register::Fencing::Ignored,
//!     lifetime: register::Lifetime::default(),
//! };
//! let register = register::Register {
//!     engines: vec![engine],
//!     ..Default::default()
//! };
//!
//! let mut router = Router::new(Options::default(), "jakarta-1".into(), 1, 0);
//! router.configure(0, &register, &rules::Rules::default());
//! let request_id = id::Request {
//!     incarnation: id::Incarnation(1),
//!     sequence: 1,
//! };
//! let actions = router.offer(
//!     0,
//!     event::Offer {
//!         request_id,
//!         target: event::Target::Model("drafting".into()),
//!         account: "publisher-1".into(),
//!         priority: rules::Priority::Normal,
//!         prefix_hash: None,
//!         size_tokens: 500,
//!         deadline_us: 30_000_000,
//!         idempotent: true,
//!         continuation: event::Continuation::default(),
//!         max_dispatches: None,
//!         origin: None,
//!         prompt: None,
//!     },
//! );
//! let dispatch = event::Action::Dispatch {
//!     request_id,
//!     backend: name::BackendServer::from("engine-1"),
//!     attempt: 1,
//! };
//! assert_eq!(actions, [dispatch]);
//! ```

pub mod backend;
pub mod breaker;
pub mod cold;
mod configure;
mod continuation;
mod dispatch;
pub mod drain;
pub mod eligibility;
mod evacuation;
pub mod event;
pub mod fairness;
mod finish;
pub mod limit;
pub mod load_estimate;
pub mod options;
pub mod pace;
pub mod place;
pub mod pool;
pub mod prefill;
pub mod prefix;
pub mod queue;
mod request;
pub mod retry;
pub mod returns;
pub mod router;
pub mod status;
pub mod stop;
pub mod throttle;
