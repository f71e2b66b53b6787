//! What can be wrong with a sheet, by row and column.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A column of the sheet.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SheetColumn {
    /// The whole row.
    #[display("row")]
    Row,
    /// The kind of thing that the row speaks of.
    #[display("kind")]
    Kind,
    /// The name of the thing.
    #[display("name")]
    Name,
    /// The attribute.
    #[display("attribute")]
    Attribute,
    /// The value of the attribute.
    #[display("value")]
    Value,
}

/// One error of a sheet, with its place and what was expected there.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize, Deserialize)]
#[display("row {row}, column {column}: {problem}; expected {expected}")]
pub struct SheetError {
    /// Line of the file on which the row starts, from 1.
    pub row: u64,
    /// The column.
    pub column: SheetColumn,
    /// What is wrong.
    pub problem: Arc<str>,
    /// What was expected.
    pub expected: Arc<str>,
}

impl SheetError {
    /// Makes an error.
    pub fn new<Problem, Expected>(
        row: u64,
        column: SheetColumn,
        problem: Problem,
        expected: Expected,
    ) -> Self
    where
        Problem: Into<Arc<str>>,
        Expected: Into<Arc<str>>,
    {
        Self {
            row,
            column,
            problem: problem.into(),
            expected: expected.into(),
        }
    }
}
