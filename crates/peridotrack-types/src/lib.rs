//! Names, configuration, settings and problems shared by all peridotrack crates.
//!
//! Nothing here does I/O. Domain types derive serde, so that the same definition
//! serves settings files, platform objects, peer frames and reports.
//!
//! ```
//! use peridotrack_types::name;
//!
//! let domain = name::FailureDomain::from("jakarta-1");
//! assert_eq!(domain.as_str(), "jakarta-1");
//! ```

pub mod check;
pub mod collections;
pub mod config;
pub mod gateway;
pub mod id;
pub mod name;
pub mod problem;
pub mod register;
pub mod rules;
pub mod settings;
pub mod site;
