//! Stand-ins that speak the protocol of the users' platform: its metadata store and its
//! backend servers, what the store holds, and clients.

pub mod backend;
pub mod client;
pub mod deployment;
pub mod store;
