//! The headers of a caller's request, read and checked.

use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use dandeliondeal_types::{ErrorKind, RequestStep, RouteError};

use crate::reply::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, REPEATABLE_HEADER};

/// Longest head of a request in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Longest idempotency key in bytes.
const KEY_BYTES: usize = 255;

/// What a caller says in headers.
#[derive(Clone, Debug, Default)]
pub struct CallerHeaders {
    /// Names the caller's request across retries.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether the caller declares the request repeatable or not.
    pub repeatable: Option<bool>,
    /// Longest wait that the caller asks for.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidInput`] naming the header that is wrong.
    pub fn parse(headers: &HeaderMap) -> Result<Self, RouteError> {
        check_length(headers)?;
        Ok(Self {
            idempotency_key: idempotency_key(headers)?,
            repeatable: repeatable(headers)?,
            deadline: deadline(headers)?,
        })
    }
}

/// The key in `Authorization: Bearer KEY`.
///
/// # Errors
///
/// [`ErrorKind::Unauthorised`] if the header is missing or of another form.
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

/// Refuses a head that is too long, naming its longest header.
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
        Some((name, _)) if total > HEAD_BYTES => {
            let message = format!("the head is longer than {HEAD_BYTES} bytes");
            Err(invalid(name, message))
        }
        _ => Ok(()),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, RouteError> {
    let Some(key) = text(headers, &IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > KEY_BYTES {
        return Err(invalid(
            &IDEMPOTENCY_HEADER,
            format!("expected 1 to {KEY_BYTES} bytes"),
        ));
    }
    Ok(Some(key.into()))
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, RouteError> {
    match text(headers, &REPEATABLE_HEADER)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(invalid(&REPEATABLE_HEADER, "expected `yes` or `no`")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, RouteError> {
    let Some(value) = text(headers, &DEADLINE_HEADER)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(milliseconds) if milliseconds > 0 => Ok(Some(Duration::from_millis(milliseconds))),
        _ => Err(invalid(
            &DEADLINE_HEADER,
            "expected milliseconds, 1 or more",
        )),
    }
}

fn text<'headers>(
    headers: &'headers HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'headers str>, RouteError> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(name, "given more than once"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| invalid(name, "expected printable ASCII"))
}

fn invalid<Text>(name: &HeaderName, message: Text) -> RouteError
where
    Text: AsRef<str>,
{
    let message = format!("`{name}`: {}", message.as_ref());
    RouteError::new(ErrorKind::InvalidInput, RequestStep::Input, message)
        .at("caller")
        .field(name.as_str())
}
