//! Sends one call to one endpoint of a plain service.

use std::sync::Arc;
use std::time::Instant;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_claim::ClaimAnswer;
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, Outcome, RequestId, RequestStep, RouteError, check_answer_status,
};

use crate::entry_context::EntryContext;
use crate::http_pool::call_failure;
use crate::reply::{self, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use crate::service_call::ServiceCall;
use crate::settlement::Settlement;
use dandeliondeal_http::response_body::ResponseBody;

/// Maximum size of a service answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Complete answer of a service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    status: u16,
    content_type: Option<HeaderValue>,
    body: Bytes,
}

impl ServiceAnswer {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Converts the answer for the claim log; a body that is not UTF-8 is left out.
    pub fn to_claim_answer(&self, limit: usize) -> ClaimAnswer {
        let content_type = self.content_type.as_ref();
        ClaimAnswer {
            status: self.status,
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .into(),
            body: std::str::from_utf8(&self.body).ok().map(Into::into),
        }
        .with_body_limit(limit)
    }

    /// Converts the answer into the reply to the caller.
    pub fn into_reply(self) -> Response<ResponseBody> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut reply = Response::with_body(status, ResponseBody::from(self.body));
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

/// One attempt to send a call to one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAttempt<'call> {
    /// Id of the request.
    pub id: &'call RequestId,
    /// Endpoint to send the call to.
    pub endpoint: &'call EndpointId,
    /// Call to send.
    pub call: &'call ServiceCall,
    /// Time at which the attempt is abandoned.
    pub deadline: Instant,
    /// Whether to open a new connection.
    pub uses_new_connection: bool,
}

/// Sends a call once, reads the complete answer and reports the result to the monitor.
///
/// # Errors
///
/// Returns [`ErrorKind::Refused`] if no connection was opened, so that nothing was written, and
/// [`ErrorKind::NoAnswer`] if the call may have run.
pub async fn send_attempt<ClockSource>(
    context: &EntryContext<ClockSource>,
    attempt: &ServiceAttempt<'_>,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let monitored_call = context.monitor().start(attempt.endpoint);
    let result = exchange(context, attempt).await;
    match &result {
        Ok(answer) if is_busy(answer.status) => monitored_call.end_busy(),
        result => monitored_call.end(result),
    }
    result
}

/// Returns whether a status means that the service has no free capacity.
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
    let dispatch_error = |kind: ErrorKind, message: String| {
        RouteError::new(kind, RequestStep::Dispatch, message).at(Arc::clone(endpoint))
    };
    let table = context.table().current();
    let endpoint_entry =
        table.sheet.endpoints.get(endpoint).ok_or_else(|| {
            dispatch_error(ErrorKind::Refused, "endpoint left the sheet".to_owned())
        })?;
    let url = format!("http://{}{}", endpoint_entry.address, call.path);
    let client = context.pool().client(attempt.uses_new_connection);
    let mut request = client
        .request(call.method.clone(), url)
        .insert_header((REQUEST_ID_HEADER, &**id));
    if let Some(value) = call.headers.get(CONTENT_TYPE) {
        request = request.insert_header((CONTENT_TYPE, value.clone()));
    }
    if let Some(key) = &call.caller.idempotency_key {
        request = request.insert_header((IDEMPOTENCY_HEADER, &**key));
    }
    let remaining = attempt
        .deadline
        .saturating_duration_since(context.clock().now());
    let timeout_error = || {
        dispatch_error(
            ErrorKind::NoAnswer,
            format!("no answer for {} ms", remaining.as_millis()),
        )
    };
    let sent = actix_rt::time::timeout(remaining, request.send_body(call.body.clone())).await;
    let mut answer = sent
        .map_err(|_elapsed| timeout_error())?
        .map_err(|error| call_failure(&error, RequestStep::Dispatch, endpoint))?;
    check_answer_status(answer.status().as_u16())
        .map_err(|error| dispatch_error(ErrorKind::NoAnswer, error.to_string()))?;
    let remaining = attempt
        .deadline
        .saturating_duration_since(context.clock().now());
    let body = actix_rt::time::timeout(remaining, answer.body().limit(MAX_ANSWER_BYTES))
        .await
        .map_err(|_elapsed| timeout_error())?
        .map_err(|error| dispatch_error(ErrorKind::NoAnswer, error.to_string()))?;
    Ok(ServiceAnswer {
        status: answer.status().as_u16(),
        content_type: answer.headers().get(CONTENT_TYPE).cloned(),
        body,
    })
}
