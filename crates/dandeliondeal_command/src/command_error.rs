//! Errors of commands and their exit codes.

use std::process::ExitCode;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Error of a command, with a message that says what failed, where, and what to do.
#[derive(Clone, Debug, Display, Error)]
pub enum CommandError {
    /// The command failed.
    #[display("{message}")]
    Failed {
        /// What failed, where, and what to do.
        message: Arc<str>,
    },
    /// The command line or an input file is invalid.
    #[display("{message}")]
    Usage {
        /// What is wrong, where, and what is expected.
        message: Arc<str>,
    },
    /// Another operator made a change in the meantime.
    #[display("{message}")]
    Conflict {
        /// Who made the other change, and what it changed.
        message: Arc<str>,
    },
}

impl CommandError {
    /// Returns an error for a command that failed.
    pub fn failed<Text>(message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::Failed {
            message: message.into(),
        }
    }

    /// Returns an error for an invalid command line or input file.
    pub fn usage<Text>(message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Returns an error for a change that conflicts with one by another operator.
    pub fn conflict<Text>(message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::Conflict {
            message: message.into(),
        }
    }

    /// Returns an error for an invalid input that lists each of `errors` on a separate line.
    pub fn usage_lines<Line>(errors: &[Line]) -> Self
    where
        Line: ToString,
    {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Self::usage(lines.join("\ndandeliondeal: "))
    }

    /// Returns the exit code of the process: 1 failed, 2 bad usage or input, 3 conflict.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Failed { .. } => ExitCode::from(1),
            Self::Usage { .. } => ExitCode::from(2),
            Self::Conflict { .. } => ExitCode::from(3),
        }
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::usage(format!("{error}; see --help"))
    }
}

/// Prints the error of a command to standard error, if any, and returns the exit code.
pub fn report_result(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dandeliondeal: {error}");
            error.exit_code()
        }
    }
}
