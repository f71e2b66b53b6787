//! Errors in a sheet, with their row and column.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Column of the sheet.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SheetColumn {
    /// The whole row.
    #[display("row")]
    Row,
    /// Kind of the entity that the row describes.
    #[display("kind")]
    Kind,
    /// Name of the entity.
    #[display("name")]
    Name,
    /// Name of the attribute.
    #[display("attribute")]
    Attribute,
    /// Value of the attribute.
    #[display("value")]
    Value,
}

/// Error in a sheet, with its location and what was expected there.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize, Deserialize)]
#[display("row {row}, column {column}: {problem}; expected {expected}")]
pub struct SheetError {
    /// Line of the file on which the row starts, counted from 1.
    pub row: u64,
    /// Column with the error.
    pub column: SheetColumn,
    /// Description of the problem.
    pub problem: Arc<str>,
    /// Description of what was expected.
    pub expected: Arc<str>,
}

impl SheetError {
    /// Creates an error.
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
