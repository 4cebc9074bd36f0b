//! Links between routers: length-prefixed postcard frames over TCP.
//!
//! A link carries frames in one direction, from the router that dialled it. The accepting router
//! sends a random challenge and the dialling router responds with an HMAC over it, so that only
//! routers that hold the peer key can send frames. Frames are not encrypted and may be lost.

pub mod frame;
mod link;
pub mod tunnel;

pub use frame::Frame;
pub use link::{Error, Link, Sender};
pub use tunnel::TunnelError;

/// Name of this service in the registry.
pub const SERVICE: &str = "peer";
