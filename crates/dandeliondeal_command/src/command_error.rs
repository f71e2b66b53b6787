//! How a command ends other than well.

use std::process::ExitCode;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Why a command did not do its work; one line: what, where, what to do.
#[derive(Clone, Debug, Display, Error)]
pub enum CommandError {
    /// The work failed.
    #[display("{message}")]
    Failed {
        /// What failed, where, and what to do.
        message: Arc<str>,
    },
    /// The command line or an input file is wrong.
    #[display("{message}")]
    Usage {
        /// What is wrong, where, and what is expected.
        message: Arc<str>,
    },
    /// Another operator was first.
    #[display("{message}")]
    Conflict {
        /// Who was first, and with what.
        message: Arc<str>,
    },
}

impl CommandError {
    /// The work failed.
    pub fn failed<Text>(message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::Failed {
            message: message.into(),
        }
    }

    /// The command line or an input file is wrong.
    pub fn usage<Text>(message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Another operator was first.
    pub fn conflict<Text>(message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::Conflict {
            message: message.into(),
        }
    }

    /// An input has these errors; each stands on a line of its own.
    pub fn usage_lines<Line>(errors: &[Line]) -> Self
    where
        Line: ToString,
    {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Self::usage(lines.join("\ndandeliondeal: "))
    }

    /// The exit code of the process: 1 failed, 2 bad usage or input, 3 conflict.
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

/// Prints an error in one line and returns the exit code for a command's result.
pub fn finish(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dandeliondeal: {error}");
            error.exit_code()
        }
    }
}
