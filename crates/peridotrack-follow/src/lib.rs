//! Follows the objects of one kind in a store, directly or through a peer.
//!
//! Of the routers of a failure domain, the one with the lowest incarnation watches the store and
//! relays its changes. The others subscribe to it and receive each change, and periodic
//! confirmations while there is none. A router that receives no update for
//! [`Options::silence_us`](follower::Options::silence_us), or only ones that are older than
//! [`Options::max_age_us`](follower::Options::max_age_us), watches the store itself, from the
//! revision that it has reached, so that a lost, partitioned, paused or slow relay delays changes
//! but loses none.
//!
//! The crate does no I/O and reads no clock: [`follower::Follower`] takes events and returns
//! actions, which its driver, the follow service of `peridotrack-edge`, carries out.
//!
//! ```
//! use peridotrack_follow::{event::{Action, Event}, follower::{Follower, Options}};
//! use peridotrack_types::id;
//!
//! let mut follower = Follower::new(id::Incarnation(1), Options::default(), 0);
//! assert_eq!(follower.on_event(0, Event::Tick), [Action::List]);
//! let listed = Event::Listed { revision: 5 };
//! let watch = Action::Watch { revision: 5, wait_ms: 1_500 };
//! assert_eq!(follower.on_event(10_000, listed), [watch]);
//! ```

pub mod event;
pub mod follower;
pub mod message;
pub mod outage;
