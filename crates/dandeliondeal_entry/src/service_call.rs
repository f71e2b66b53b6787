//! Calls of plain services.

use std::sync::Arc;
use std::time::Instant;

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, OrganisationId, Outcome, RequestId, RequestStep, RouteError,
    ServiceId,
};

use crate::admission::AdmissionRequest;
use crate::caller_headers::CallerHeaders;
use crate::entry_context::EntryContext;
use crate::http_pool::call_failure;
use crate::reply;
use crate::reply::{IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use crate::reply_body::ReplyBody;
use crate::request_life::RequestEvent;

/// Largest answer of a service in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A call as the caller sent it.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceId,
    /// Method.
    pub method: Method,
    /// Path and query at the service, with a leading `/`.
    pub path: Arc<str>,
    /// Body.
    pub body: Bytes,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// What the caller says in headers.
    pub caller: CallerHeaders,
    /// When the wait is over.
    pub deadline: Instant,
}

/// Answers a call of a plain service.
///
/// # Errors
///
/// The error that ends the call.
pub async fn call_service<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &RequestId,
    call: ServiceCall,
) -> Result<Response<ReplyBody>, RouteError>
where
    ClockSource: Clock,
{
    let table = context.table().current();
    let service = table.sheet.services.get(&call.service).ok_or_else(|| {
        let message = format!("there is no service {}", call.service);
        RouteError::new(ErrorKind::NotFound, RequestStep::Input, message).field("service")
    })?;
    let repeatable = service.repeatable && call.caller.repeatable.unwrap_or(true);
    let permit = context
        .admission()
        .admit(AdmissionRequest {
            organisation: Arc::clone(organisation),
            tokens: 0,
            priority: 0,
            deadline: call.deadline,
        })
        .await?;
    context.apply(id, RequestEvent::Admit);
    let replica = table
        .replicas(&call.service)
        .first()
        .cloned()
        .ok_or_else(|| {
            RouteError::new(
                ErrorKind::Overloaded,
                RequestStep::Planning,
                "no replica is known",
            )
        })?;
    let address = table.sheet.endpoints[&replica].address;
    context.apply(id, RequestEvent::Dispatch);
    let url = format!("http://{address}{}", call.path);
    let answer = send(context, id, &replica, url, &call, !repeatable).await;
    drop(permit);
    if answer.is_ok() {
        context.apply(id, RequestEvent::Complete);
    }
    answer
}

async fn send<ClockSource>(
    context: &EntryContext<ClockSource>,
    id: &RequestId,
    replica: &EndpointId,
    url: String,
    call: &ServiceCall,
    fresh: bool,
) -> Result<Response<ReplyBody>, RouteError>
where
    ClockSource: Clock,
{
    let mut request = context
        .pool()
        .client(fresh)
        .request(call.method.clone(), url)
        .insert_header((REQUEST_ID_HEADER, &**id));
    if let Some(value) = call.headers.get(CONTENT_TYPE) {
        request = request.insert_header((CONTENT_TYPE, value.clone()));
    }
    if let Some(key) = &call.caller.idempotency_key {
        request = request.insert_header((IDEMPOTENCY_HEADER, &**key));
    }
    let left = call
        .deadline
        .saturating_duration_since(context.clock().now());
    let lost = |message: String| {
        RouteError::new(ErrorKind::NoAnswer, RequestStep::Dispatch, message).at(Arc::clone(replica))
    };
    let sent = actix_rt::time::timeout(left, request.send_body(call.body.clone())).await;
    let mut answer = sent
        .map_err(|_| lost(format!("no answer for {} ms", left.as_millis())))?
        .map_err(|error| call_failure(&error, RequestStep::Dispatch, replica))?;
    let status = StatusCode::from_u16(answer.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = answer.headers().get(CONTENT_TYPE).cloned();
    let body = answer
        .body()
        .limit(ANSWER_BYTES)
        .await
        .map_err(|error| lost(error.to_string()))?;
    let mut reply = Response::with_body(status, ReplyBody::from(body));
    if let Some(value) = content_type {
        reply.headers_mut().insert(CONTENT_TYPE, value);
    }
    reply::set_outcome(&mut reply, Outcome::Answered);
    Ok(reply)
}
