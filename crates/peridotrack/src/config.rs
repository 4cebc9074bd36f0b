//! The `config` commands: check input files, apply them, and show the stored configuration.

pub mod apply;
pub mod check;
pub mod object;
pub mod show;
