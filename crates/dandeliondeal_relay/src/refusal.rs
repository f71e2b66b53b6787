//! Answers of this instance itself.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::Bytes;

use crate::dialect::RequestDialect;
use crate::relay_body::RelayBody;

/// Why a request ends without an endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NoConfig,
    /// No route has the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The head of the request lacks what every request has.
    BadHead,
    /// The body is longer than the limit.
    LongBody,
    /// The body did not arrive.
    LostBody,
    /// No endpoint of the service can take the request now.
    NoEndpoint,
    /// The endpoints' memory or places are taken.
    Overloaded,
    /// The endpoint stated that the request did not run.
    Rejected,
    /// The time ran out; the request has not run.
    LateUnsent,
    /// The time ran out; the request may have run.
    LateSent,
    /// The endpoint's answer was lost or broken; the request may have run.
    LostAnswer,
}

impl RefusalCause {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::NoEndpoint
            | Self::Overloaded
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

    /// Whether it says that the request has not run and will not, so that it may come back.
    pub fn says_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Name in logs, metrics and answers.
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
            Self::Rejected => "rejected",
            Self::LateUnsent => "late-unsent",
            Self::LateSent => "late-sent",
            Self::LostAnswer => "lost-answer",
        }
    }
}

/// Answers of this instance, with the time to come back where the request has not run.
pub fn refuse<Dialect>(
    dialect: &Dialect,
    request: &str,
    cause: RefusalCause,
    wait: Option<Duration>,
) -> Response<RelayBody>
where
    Dialect: RequestDialect,
{
    let text = format!("{{\"error\":\"{}\"}}", cause.name());
    let body = RelayBody::Whole(Bytes::from(text));
    let mut response = Response::with_body(cause.status(), body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    dialect.write_refusal(request, wait, headers);
    if cause == RefusalCause::LostBody {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}
