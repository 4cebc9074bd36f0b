//! Names, identifiers, configuration, settings and problem details shared by all peridotrack
//! crates.
//!
//! The crate does no I/O. Domain types derive serde traits, so that settings files, platform
//! objects, peer frames and reports use the same definitions.
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
pub mod stream;
