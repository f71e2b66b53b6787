//! Parses and checks the headers of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use dandeliondeal_types::{ErrorKind, RequestStep, RouteError};

use crate::reply::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, REPEATABLE_HEADER};

/// Maximum total size of the request headers in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Options that a caller sets in headers.
#[derive(Clone, Debug, Default)]
pub struct CallerHeaders {
    /// Key that identifies the same request across retries.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether the request may run more than once; `None` if the caller does not specify it.
    pub repeatable: Option<bool>,
    /// Maximum time that the caller is willing to wait.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidInput`] with the name of the invalid header.
    pub fn parse(headers: &HeaderMap) -> Result<Self, RouteError> {
        check_length(headers)?;
        Ok(Self {
            idempotency_key: idempotency_key(headers)?,
            repeatable: repeatable(headers)?,
            deadline: deadline(headers)?,
        })
    }
}

/// Returns the key in `Authorization: Bearer KEY`.
///
/// # Errors
///
/// Returns [`ErrorKind::Unauthorised`] if the header is missing or malformed.
pub fn bearer_key(headers: &HeaderMap) -> Result<&str, RouteError> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
        .filter(|key| !key.is_empty())
        .ok_or_else(|| {
            RouteError::new(
                ErrorKind::Unauthorised,
                RequestStep::Input,
                "`Authorization: Bearer KEY` is missing",
            )
            .at("caller")
            .field("Authorization")
        })
}

/// Rejects headers that are too long in total, with the name of the longest one.
fn check_length(headers: &HeaderMap) -> Result<(), RouteError> {
    let length = |name: &HeaderName, value: &HeaderValue| name.as_str().len() + value.len();
    let total: usize = headers
        .iter()
        .map(|(name, value)| length(name, value))
        .sum();
    let longest = headers
        .iter()
        .max_by_key(|(name, value)| length(name, value));
    match longest {
        Some((name, _)) if total > MAX_HEAD_BYTES => {
            let message = format!("the head is longer than {MAX_HEAD_BYTES} bytes");
            Err(header_error(name, message))
        }
        _ => Ok(()),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, RouteError> {
    let Some(key) = header_text(headers, &IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(header_error(
            &IDEMPOTENCY_HEADER,
            format!("expected 1 to {MAX_KEY_BYTES} bytes"),
        ));
    }
    Ok(Some(key.into()))
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, RouteError> {
    match header_text(headers, &REPEATABLE_HEADER)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(header_error(&REPEATABLE_HEADER, "expected `yes` or `no`")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, RouteError> {
    let Some(value) = header_text(headers, &DEADLINE_HEADER)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(milliseconds) if milliseconds > 0 => Ok(Some(Duration::from_millis(milliseconds))),
        _ => Err(header_error(
            &DEADLINE_HEADER,
            "expected milliseconds, 1 or more",
        )),
    }
}

fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'headers str>, RouteError> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(header_error(name, "given more than once"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| header_error(name, "expected printable ASCII"))
}

fn header_error<Text>(name: &HeaderName, message: Text) -> RouteError
where
    Text: AsRef<str>,
{
    let message = format!("`{name}`: {}", message.as_ref());
    RouteError::new(ErrorKind::InvalidInput, RequestStep::Input, message)
        .at("caller")
        .field(name.as_str())
}
