//! What can be wrong with a settings file.

use std::sync::Arc;

use derive_more::{Display, Error};

/// One error in a settings file, with its place and what was expected there.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{file}:{line}: {place}: {problem}; expected {expected}")]
pub struct SettingError {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1; the last line for what is missing.
    pub line: usize,
    /// Section and key.
    pub place: Arc<str>,
    /// What is wrong.
    pub problem: Arc<str>,
    /// What was expected.
    pub expected: Arc<str>,
}
