//! Commands on the configuration.

pub mod apply;
pub mod check;
pub mod object;
pub mod show;
