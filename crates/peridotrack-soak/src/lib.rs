//! Soak test: randomized faults injected from outside into real gateway processes.
//!
//! A schedule drawn from a seed is applied to gateways in front of stand-ins for the store and the
//! backend servers, while clients send requests. Afterwards the promises are checked against what
//! clients and backend servers observed.
//!
//! ```
//! use peridotrack_soak::schedule::{Shape, plan};
//!
//! let shape = Shape { routers: 4, backends: 3, duration_ms: 10_000 };
//! assert_eq!(plan(7, &shape), plan(7, &shape));
//! ```

mod apply;
pub mod check;
pub mod fleet;
mod partition;
pub mod paths;
pub mod run;
pub mod schedule;
pub mod stated;
mod streams;
