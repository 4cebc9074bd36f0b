//! Demonstration of a fleet of routers with stand-ins, in one process on one thread.
//!
//! [`run`] starts stand-ins for the platform, engines and a plain service, and four routers in two
//! failure domains, all on loopback. While callers send chat requests and service requests, it
//! partitions one domain from the platform, kills a router and tops up a budget. Then it stops the
//! fleet and checks the promises against what callers observed and the stand-ins counted.
//!
//! ```no_run
//! let outcome = peridotrack_demo::run(peridotrack_demo::Options::default())?;
//! assert!(outcome.summary.all_promises_kept());
//! # Ok::<(), eyre::Report>(())
//! ```

mod audit;
mod caller;
mod fleet;
mod load;
mod script;
mod summary;

pub use script::{Options, Outcome, run};
pub use summary::Summary;
