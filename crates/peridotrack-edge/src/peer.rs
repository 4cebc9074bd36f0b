//! Links between routers: length-delimited postcard frames over TCP.
//!
//! Each link carries frames one way, from the router that dialled it. The
//! accepting side sends a random challenge and the dialling side answers with
//! a keyed digest, so that only routers that hold the peer key are heard.

pub mod frame;
mod link;

pub use frame::Frame;
pub use link::{Error, Link, Sender};

/// Name of this service in the registry.
pub const SERVICE: &str = "peer";
