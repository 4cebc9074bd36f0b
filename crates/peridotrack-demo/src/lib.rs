//! A whole fleet with stand-ins in one process, on one thread.
//!
//! [`run`] starts the platform, engines, plain services and four routers in two
//! failure domains on loopback, sends both kinds of work, cuts one domain from
//! the platform, kills one router, tops up a budget, stops the fleet, and checks
//! the promises against what the stand-ins counted.
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
