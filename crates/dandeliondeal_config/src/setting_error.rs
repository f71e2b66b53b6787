//! Errors of a settings file.

use std::sync::Arc;

use derive_more::{Display, Error};

/// Error in a settings file, with its location and what was expected there.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{file}:{line}: {setting}: {problem}; expected {expected}")]
pub struct SettingError {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line of the file, counted from 1; the last line for a missing setting.
    pub line: usize,
    /// Section and key of the setting.
    pub setting: Arc<str>,
    /// Description of the problem.
    pub problem: Arc<str>,
    /// Description of what was expected.
    pub expected: Arc<str>,
}
