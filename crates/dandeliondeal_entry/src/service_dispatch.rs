//! One call to one endpoint of a plain service.

use std::sync::Arc;
use std::time::Instant;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_claim::ClaimAnswer;
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, Outcome, RequestId, RequestStep, RouteError,
};

use crate::entry_context::EntryContext;
use crate::http_pool::call_failure;
use crate::reply::{self, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use crate::service_call::ServiceCall;
use crate::settlement::Settlement;
use dandeliondeal_http::reply_body::ReplyBody;

/// Largest answer of a service in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A service's whole answer.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    status: u16,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

impl ServiceAnswer {
    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The answer as it is recorded with a claim; a body that is not text is left out.
    pub fn recorded(&self, limit: usize) -> ClaimAnswer {
        let content_type = self.content_type.as_ref();
        ClaimAnswer {
            status: self.status,
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .into(),
            body: std::str::from_utf8(&self.body).ok().map(Into::into),
        }
        .bounded(limit)
    }

    /// The answer as the caller gets it.
    pub fn into_reply(self) -> Response<ReplyBody> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut reply = Response::with_body(status, ReplyBody::from(self.body));
        if let Some(value) = self.content_type {
            reply.headers_mut().insert(CONTENT_TYPE, value);
        }
        reply::set_outcome(&mut reply, Outcome::Answered);
        reply
    }
}

impl From<Settlement> for ServiceAnswer {
    fn from(settlement: Settlement) -> Self {
        let body = settlement.body.unwrap_or_default();
        Self {
            status: settlement.status.unwrap_or(200),
            content_type: Some(HeaderValue::from_static("application/json")),
            body: Bytes::copy_from_slice(body.as_bytes()),
        }
    }
}

/// One try of a call at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAttempt<'call> {
    /// The request.
    pub id: &'call RequestId,
    /// Where to send it.
    pub endpoint: &'call EndpointId,
    /// The call.
    pub call: &'call ServiceCall,
    /// When the wait is over.
    pub end: Instant,
    /// Whether a new connection is made.
    pub is_fresh: bool,
}

/// Sends a call once, reads the whole answer and tells the monitor how it went.
///
/// # Errors
///
/// [`ErrorKind::Refused`] if no connection was made, so that nothing was written;
/// [`ErrorKind::NoAnswer`] if the call may have run.
pub async fn send<ClockSource>(
    context: &EntryContext<ClockSource>,
    attempt: &ServiceAttempt<'_>,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let open = context.monitor().start(attempt.endpoint);
    let result = exchange(context, attempt).await;
    match &result {
        Ok(answer) if is_busy(answer.status) => open.end_busy(),
        result => open.end(result),
    }
    result
}

/// Whether a service says by this status that it is full.
fn is_busy(status: u16) -> bool {
    [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .iter()
    .any(|busy| busy.as_u16() == status)
}

async fn exchange<ClockSource>(
    context: &EntryContext<ClockSource>,
    attempt: &ServiceAttempt<'_>,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let ServiceAttempt {
        id, endpoint, call, ..
    } = *attempt;
    let failed = |kind: ErrorKind, message: String| {
        RouteError::new(kind, RequestStep::Dispatch, message).at(Arc::clone(endpoint))
    };
    let table = context.table().current();
    let entry = table
        .sheet
        .endpoints
        .get(endpoint)
        .ok_or_else(|| failed(ErrorKind::Refused, "endpoint left the sheet".to_owned()))?;
    let url = format!("http://{}{}", entry.address, call.path);
    let client = context.pool().client(attempt.is_fresh);
    let mut request = client
        .request(call.method.clone(), url)
        .insert_header((REQUEST_ID_HEADER, &**id));
    if let Some(value) = call.headers.get(CONTENT_TYPE) {
        request = request.insert_header((CONTENT_TYPE, value.clone()));
    }
    if let Some(key) = &call.caller.idempotency_key {
        request = request.insert_header((IDEMPOTENCY_HEADER, &**key));
    }
    let left = attempt.end.saturating_duration_since(context.clock().now());
    let late = || {
        failed(
            ErrorKind::NoAnswer,
            format!("no answer for {} ms", left.as_millis()),
        )
    };
    let sent = actix_rt::time::timeout(left, request.send_body(call.body.clone())).await;
    let mut answer = sent
        .map_err(|_elapsed| late())?
        .map_err(|error| call_failure(&error, RequestStep::Dispatch, endpoint))?;
    let left = attempt.end.saturating_duration_since(context.clock().now());
    let body = actix_rt::time::timeout(left, answer.body().limit(ANSWER_BYTES))
        .await
        .map_err(|_elapsed| late())?
        .map_err(|error| failed(ErrorKind::NoAnswer, error.to_string()))?;
    Ok(ServiceAnswer {
        status: answer.status().as_u16(),
        content_type: answer.headers().get(CONTENT_TYPE).cloned(),
        body,
    })
}
