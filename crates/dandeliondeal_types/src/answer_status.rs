//! Which numbers are the status of an answer.

use std::ops::RangeInclusive;

use derive_more::{Display, Error};

/// Status codes of final answers that HTTP defines classes for.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// Number that is not the status of a final answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{status} is no status of an answer")]
pub struct StatusError {
    /// The number.
    pub status: u16,
}

/// Checks that a number is the status of a final answer.
///
/// An endpoint in trouble may send any three digits; such a head is no answer of it, whoever signed
/// it.
///
/// # Errors
///
/// Returns [`StatusError`] if HTTP defines no class of final answers for the number.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::check_answer_status;
///
/// assert!(check_answer_status(200).is_ok() && check_answer_status(504).is_ok());
/// let error = check_answer_status(0).expect_err("no status");
/// assert_eq!(error.to_string(), "0 is no status of an answer");
/// assert!(check_answer_status(101).is_err() && check_answer_status(999).is_err());
/// ```
pub fn check_answer_status(status: u16) -> Result<(), StatusError> {
    if ANSWER_STATUSES.contains(&status) {
        Ok(())
    } else {
        Err(StatusError { status })
    }
}
