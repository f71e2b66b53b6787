//! Which numbers are the status of an answer.

use std::ops::RangeInclusive;

/// Status codes of final answers that HTTP defines classes for.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a number is the status of a final answer.
///
/// An endpoint in trouble may send any three digits; such a head is no answer of it, whoever signed
/// it.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::is_answer_status;
///
/// assert!(is_answer_status(200) && is_answer_status(504));
/// assert!(!is_answer_status(0) && !is_answer_status(101) && !is_answer_status(999));
/// ```
pub fn is_answer_status(status: u16) -> bool {
    ANSWER_STATUSES.contains(&status)
}
