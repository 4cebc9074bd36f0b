//! Stand-ins that speak the protocol of the users' platform: its metadata store and its
//! backend servers.

pub mod engine;
pub mod store;
