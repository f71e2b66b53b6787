//! Replies to callers: JSON bodies, errors, and the headers that every reply has.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use dandeliondeal_types::{ErrorKind, Outcome, RouteError};
use serde::Serialize;

use dandeliondeal_http::response_body::ResponseBody;

/// Header with the outcome of the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("dandeliondeal-outcome");
/// Header with the id of the request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("dandeliondeal-request-id");
/// Header with the key that identifies the same request across retries.
pub const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the maximum wait in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("dandeliondeal-deadline-ms");
/// Header that specifies whether a request may run more than once: `yes` or `no`.
pub const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("dandeliondeal-repeatable");

/// Body of an error in the format that OpenAI clients expect.
#[derive(Debug, Serialize)]
pub struct ErrorReply<'text> {
    /// Details of the error.
    pub error: ErrorDetail<'text>,
}

/// Details of an error.
#[derive(Debug, Serialize)]
pub struct ErrorDetail<'text> {
    /// Class of the error.
    #[serde(rename = "type")]
    pub class: &'static str,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Human-readable message, with step and peer.
    pub message: String,
    /// Name of the invalid input field.
    pub param: Option<&'text str>,
}

impl<'text> ErrorReply<'text> {
    /// Converts an error to a reply body.
    pub fn new(error: &'text RouteError) -> Self {
        Self {
            error: ErrorDetail {
                class: error_class(error),
                code: error_code(error.kind()),
                message: error.to_string(),
                param: error.input_field().map(AsRef::as_ref),
            },
        }
    }
}

/// Returns a reply with a JSON body.
pub fn json<Body>(status: StatusCode, body: &Body) -> Response<ResponseBody>
where
    Body: Serialize,
{
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::with_body(status, ResponseBody::from(text));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Returns a reply with a body that is already encoded as JSON.
pub fn json_bytes(body: Vec<u8>) -> Response<ResponseBody> {
    with_content_type(body, "application/json")
}

/// Returns a reply with a complete body of server-sent events.
pub fn event_stream(body: Vec<u8>) -> Response<ResponseBody> {
    with_content_type(body, "text/event-stream")
}

fn with_content_type(body: Vec<u8>, content_type: &'static str) -> Response<ResponseBody> {
    let mut reply = Response::with_body(StatusCode::OK, ResponseBody::from(body));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Returns a reply with plain text.
pub fn text<Content>(status: StatusCode, content: Content) -> Response<ResponseBody>
where
    Content: Into<String>,
{
    let mut reply = Response::with_body(status, ResponseBody::from(content.into()));
    reply.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    reply
}

/// Returns a reply with an error, its outcome and its retry delay.
pub fn error(error: &RouteError) -> Response<ResponseBody> {
    let mut reply = json(status(error), &ErrorReply::new(error));
    set_outcome(&mut reply, error.outcome());
    if let Some(delay) = error.retry_delay() {
        let seconds = HeaderValue::from(seconds_rounded_up(delay));
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

/// Sets the outcome header of a reply.
pub fn set_outcome(reply: &mut Response<ResponseBody>, outcome: Outcome) {
    let name = match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::InDoubt => "in-doubt",
    };
    reply
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static(name));
}

/// Sets the request id header of a reply.
pub fn set_request_id(reply: &mut Response<ResponseBody>, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        reply.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

/// Returns the status code for an error.
pub fn status(error: &RouteError) -> StatusCode {
    match error.kind() {
        ErrorKind::InvalidInput => StatusCode::BAD_REQUEST,
        ErrorKind::Unauthorised => StatusCode::UNAUTHORIZED,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::Limited => StatusCode::TOO_MANY_REQUESTS,
        _ if error.is_not_run() => StatusCode::SERVICE_UNAVAILABLE,
        _ if error.outcome() == Outcome::Answered => StatusCode::GONE,
        _ => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn error_class(error: &RouteError) -> &'static str {
    match error.kind() {
        ErrorKind::InvalidInput | ErrorKind::NotFound | ErrorKind::KeyReused => {
            "invalid_request_error"
        }
        ErrorKind::Unauthorised => "authentication_error",
        ErrorKind::Limited => "rate_limit_error",
        _ => "server_error",
    }
}

fn error_code(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::InvalidInput => "invalid_input",
        ErrorKind::Unauthorised => "invalid_api_key",
        ErrorKind::NotFound => "not_found",
        ErrorKind::KeyReused => "idempotency_key_reused",
        ErrorKind::Limited => "rate_limit_exceeded",
        ErrorKind::Overloaded => "overloaded",
        ErrorKind::Refused => "endpoint_refused",
        ErrorKind::NoAnswer => "no_answer",
        ErrorKind::BadAnswer => "bad_answer",
        ErrorKind::Gone => "session_gone",
        ErrorKind::Leaving => "endpoint_leaving",
        ErrorKind::Deadline => "deadline_exceeded",
        ErrorKind::PlatformUnavailable => "platform_unavailable",
        ErrorKind::CallerLeft => "caller_left",
    }
}

fn seconds_rounded_up(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
