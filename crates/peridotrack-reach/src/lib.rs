//! Whether a router reaches the backend servers directly.
//!
//! A router that is partitioned from all backend servers can still connect to them through its
//! peers. [`reach::Reach`] concludes a partition only from direct connections: one server that can
//! be connected to disproves it. The first failure has other servers probed, and the partition is
//! stated once each of them has failed too.
//!
//! ```
//! use peridotrack_reach::{event::{Action, Event, Path}, options::Options, reach::Reach};
//!
//! let mut reach = Reach::new(Options::default(), 1);
//! reach.on_event(0, Event::Servers(["a".into(), "b".into()].into()));
//! let failed = Event::Failed { backend_server: "a".into(), began_us: 0 };
//! let actions = reach.on_event(250_000, failed);
//! assert_eq!(actions, [Action::Probe { backend_server: "b".into() }]);
//! reach.on_event(500_000, Event::Failed { backend_server: "b".into(), began_us: 250_000 });
//! assert_eq!(reach.path(), Path::ThroughPeers);
//! reach.on_event(900_000, Event::Connected { backend_server: "b".into() });
//! assert_eq!(reach.path(), Path::Direct);
//! ```

pub mod event;
pub mod options;
pub mod reach;
