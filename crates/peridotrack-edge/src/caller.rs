//! Serves callers: accepts connections, finds the client account, hands requests on.

pub mod chat;
mod completion;
pub mod response;
mod server;
mod service_call;

pub use server::Server;

/// Name of this service in the registry.
pub const SERVICE: &str = "caller";
