//! What a command has to say, and the code with which the process exits.

use std::process::ExitCode;

use serde_json::Value;

/// How a command ended. The discriminants are the exit codes of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// A promise is broken, the operation was refused, or it is not in force everywhere.
    Refused = 1,
    /// The usage or an input is wrong.
    Usage = 2,
    /// The platform or a router could not be reached.
    Unreachable = 3,
}

/// What a command has to say.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// How the command ended.
    pub exit: Exit,
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

/// A command that could not be carried out.
#[derive(Debug, thiserror::Error)]
#[error("{report:#}")]
pub struct Failure {
    /// How the command ended.
    pub exit: Exit,
    /// Why, with the steps that led there.
    pub report: eyre::Report,
}

/// Gives an error the exit code of the process.
pub trait OrExit<T> {
    /// Turns an error into a failure that exits with `exit`.
    ///
    /// # Errors
    ///
    /// Returns the failure if there is an error.
    fn or_exit(self, exit: Exit) -> Result<T, Failure>;
}

impl Report {
    /// Returns a report of a command that was carried out.
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            exit: Exit::Done,
            text: text.into(),
            json,
        }
    }

    /// Sets how the command ended.
    #[must_use]
    pub fn exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }
}

impl Failure {
    /// Returns a failure with a message.
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
