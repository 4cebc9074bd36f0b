//! Benchmarks of the crates that decide about budgets, routing, membership and usage records.
//!
//! Counts come from simulated time and fixed seeds, so they are the same on every machine.
//! Each figure is printed as one JSON line; a figure with a target is checked against its bound.
//!
//! ```
//! use peridotrack_bench::report::{Figure, Report};
//!
//! let mut report = Report::default();
//! report.add(Figure::at_most("overspend", 0.0, "tokens", 0.0, "spend never exceeds"));
//! assert!(report.is_within_bounds());
//! ```

pub mod budget;
pub mod capacity;
pub mod fleet;
pub mod report;
pub mod route;
