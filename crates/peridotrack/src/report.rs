//! Output of a command: its report or failure, and the exit code of the process.

use std::process::ExitCode;

use serde_json::Value;

/// Result of a command. The discriminants are the exit codes of the process; of several results,
/// the greatest is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Exit {
    /// The command did all that was requested.
    Done = 0,
    /// A promise is broken, the operation was refused, or a router does not hold the applied
    /// version.
    Refused = 1,
    /// The usage or an input is wrong.
    Usage = 2,
    /// The platform or a router could not be reached.
    Unreachable = 3,
}

/// Output of a command that ran to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Exit code of the process.
    pub exit: Exit,
    /// Output without `--json`; ends in a newline unless it is empty.
    pub text: String,
    /// Output with `--json`.
    pub json: Value,
}

/// Error that ended a command before it could report.
#[derive(Debug, thiserror::Error)]
#[error("{report:#}")]
pub struct Failure {
    /// Exit code of the process.
    pub exit: Exit,
    /// The error and its context.
    pub report: eyre::Report,
}

/// Attaches an exit code to an error.
pub trait OrExit<T> {
    /// Converts an error into a failure that exits with `exit`.
    ///
    /// # Errors
    ///
    /// Returns the failure if `self` is an error.
    fn or_exit(self, exit: Exit) -> Result<T, Failure>;
}

impl Report {
    /// Returns a report with exit code [`Exit::Done`].
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            exit: Exit::Done,
            text: text.into(),
            json,
        }
    }

    /// Replaces the exit code.
    #[must_use]
    pub fn exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }
}

impl Failure {
    /// Returns a failure with a message and no further context.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            report: eyre::Report::msg(message.into()),
        }
    }
}

impl<T, E: Into<eyre::Report>> OrExit<T> for Result<T, E> {
    fn or_exit(self, exit: Exit) -> Result<T, Failure> {
        self.map_err(|error| Failure {
            exit,
            report: error.into(),
        })
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
