//! Stand-ins that speak the protocol of the users' platform: its metadata store, its backend
//! servers and its clients, with the documents that the store holds for a deployment.

pub mod backend;
pub mod client;
pub mod deployment;
pub mod paced;
pub mod repeater;
pub mod store;
