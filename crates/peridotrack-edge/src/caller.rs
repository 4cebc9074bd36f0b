//! HTTP server for callers.
//!
//! [`Server`] accepts connections, authenticates each request by its bearer key and serves it as a
//! chat completion or as a call of a plain service. [`response`] builds responses that the router
//! generates itself; the operators' and the gateway's servers use it too.

pub mod chat;
mod completion;
pub mod response;
mod server;
mod service_call;

pub use server::Server;

/// Name of the caller server in the kernel's service registry.
pub const SERVICE: &str = "caller";
