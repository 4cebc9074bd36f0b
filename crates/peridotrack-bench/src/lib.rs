//! Measures of the decision crates.
//!
//! Counts come from simulated time and fixed seeds, so that they are the same on every
//! machine; each is printed as one JSON line and checked against a bound that comes from a
//! target.
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
