//! The operators' tool: configuration, status, budgets and timeline of a router fleet.
//!
//! [`arguments::parse`] turns the command line into a command. Each command is a function that
//! returns a [`report::Report`], which [`run::run`] prints as text or JSON before the process exits
//! with the report's code.
//!
//! ```
//! use peridotrack::{arguments, arguments::Command};
//!
//! let arguments = ["status", "--router", "127.0.0.1:9101", "--operator-key-file", "key"];
//! let invocation = arguments::parse(arguments.map(Into::into).to_vec()).unwrap();
//! assert!(matches!(invocation.command, Command::Status(_)));
//! ```

pub mod arguments;
pub mod budget;
pub mod config;
pub mod demo;
pub mod diagnosis;
pub mod explain;
pub mod fleet;
pub mod help;
pub mod logs;
pub mod platform;
pub mod quarantine;
pub mod report;
pub mod run;
pub mod status;
pub mod timeline;
