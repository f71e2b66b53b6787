//! Error responses that this instance makes itself.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;

use crate::dialect::RequestDialect;
use crate::relay_body::RelayBody;

/// Reason why a request ends without an endpoint's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// No configuration has been read yet.
    NoConfig,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// A required header is missing.
    BadHead,
    /// The body exceeds the size limit.
    LongBody,
    /// The body was not received completely.
    LostBody,
    /// No endpoint of the service can take the request now.
    NoEndpoint,
    /// The endpoints' capacity or the repeat budget is used up.
    Overloaded,
    /// The endpoints state request limits, and no other has room.
    Limited,
    /// Endpoints asked this instance for a pause, and no other can take the request.
    BackedOff,
    /// This process exits before the request is expected to end.
    Stopping,
    /// Copies of the request, or prompts with a part that it has, crash endpoints.
    Quarantined,
    /// The endpoint stated that it did not execute the request.
    Rejected,
    /// The deadline passed; the request was not executed.
    LateUnsent,
    /// The deadline passed; the request may have been executed.
    LateSent,
    /// The endpoint's response was lost or incomplete; the request may have been executed.
    LostAnswer,
}

impl RefusalCause {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::Limited
            | Self::BackedOff
            | Self::Stopping
            | Self::Quarantined
            | Self::Rejected
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadHead | Self::LostBody => StatusCode::BAD_REQUEST,
            Self::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::LateSent => StatusCode::GATEWAY_TIMEOUT,
            Self::LostAnswer => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether the response states that the request was not and will not be executed, so
    /// that the caller may retry it.
    pub fn states_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// All causes.
    const ALL: [Self; 16] = [
        Self::NoConfig,
        Self::NoRoute,
        Self::UnknownKey,
        Self::BadHead,
        Self::LongBody,
        Self::LostBody,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::Limited,
        Self::BackedOff,
        Self::Stopping,
        Self::Quarantined,
        Self::Rejected,
        Self::LateUnsent,
        Self::LateSent,
        Self::LostAnswer,
    ];

    /// Returns the cause with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|cause| cause.name() == name)
    }

    /// Returns the name used in logs, metrics and responses.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::BadHead => "bad-head",
            Self::LongBody => "long-body",
            Self::LostBody => "lost-body",
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::Limited => "limited",
            Self::BackedOff => "backed-off",
            Self::Stopping => "stopping",
            Self::Quarantined => "quarantined",
            Self::Rejected => "rejected",
            Self::LateUnsent => "late-unsent",
            Self::LateSent => "late-sent",
            Self::LostAnswer => "lost-answer",
        }
    }
}

/// Builds an error response, with a retry delay if `wait` is set.
pub fn refusal_response<Dialect>(
    dialect: &Dialect,
    request: &str,
    cause: RefusalCause,
    wait: Option<Duration>,
) -> Response<RelayBody>
where
    Dialect: RequestDialect,
{
    let text = format!("{{\"error\":\"{}\"}}", cause.name());
    let body = RelayBody::Complete(Bytes::from(text));
    let mut response = Response::with_body(cause.status(), body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    dialect.write_refusal(request, wait, headers);
    response.extensions_mut().insert(cause);
    if cause == RefusalCause::LostBody {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}
