//! Benchmarks of the crates that decide about budgets, routing, membership and usage records.
//!
//! [`budget`] and [`route`] run the state machines in simulated time with fixed seeds, so that their
//! measures are the same on every machine; [`route::timing`] depends on the machine. [`capacity`]
//! measures sizes, memory and time on the machine that runs it. Each figure is printed as one JSON
//! line; a figure with a target is checked against its bound.
//!
//! ```
//! use peridotrack_bench::report::{Figure, Report};
//!
//! let mut report = Report::default();
//! report.add(Figure::at_most("overspend", 0.0, "tokens", 0.0, "spend never exceeds the budget"));
//! assert!(report.is_within_bounds());
//! ```

pub mod budget;
pub mod capacity;
pub mod fleet;
pub mod report;
pub mod route;
