//! Network protocols of a router process and the services that run its state machines.
//!
//! The state machines of other crates decide and do no I/O; the services here feed them events and
//! carry out the actions that they return. Each protocol is implemented by one module:
//! [`platform`], [`engine`], [`peer`], [`caller`] and [`operator`].
//!
//! ```
//! use peridotrack_edge::sse;
//!
//! let mut parser = sse::Parser::default();
//! parser.push(b"id: 0\ndata: {}\n\nid: 1\nda");
//! let event = parser.next_event()?.expect("a complete event");
//! assert_eq!(event.id(), Some(0));
//! assert_eq!(parser.next_event()?, None);
//! # Ok::<(), sse::Error>(())
//! ```

pub mod acceptor;
pub mod auth;
pub mod budget;
pub mod caller;
pub mod claims;
pub mod config;
pub mod counted;
pub mod daemon;
pub mod engine;
pub mod follow;
pub mod gateway;
pub mod idle;
pub mod load;
pub mod member;
pub mod metric;
pub mod notify;
pub mod operator;
pub mod origin;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod route;
pub mod sse;
pub mod stopping;
pub mod throttle;
pub mod usage;
