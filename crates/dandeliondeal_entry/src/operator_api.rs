//! The API for operators: health and metrics.

use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use dandeliondeal_chart::ChartLabel;
use dandeliondeal_types::Clock;
use subtle::ConstantTimeEq;

use crate::caller_headers::bearer_key;
use crate::entry_context::EntryContext;
use crate::reply;
use dandeliondeal_http::response_body::ResponseBody;

/// Handles one request of an operator or of the load balancer's health check.
pub fn handle<ClockSource>(
    context: &EntryContext<ClockSource>,
    request: &Request,
) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    match (request.path(), request.method()) {
        ("/health/live", &Method::GET) => reply::text(StatusCode::OK, "live\n"),
        ("/health/ready", &Method::GET) => readiness_reply(context),
        ("/metrics", &Method::GET) if is_operator(context, request) => metrics_reply(context),
        ("/metrics", &Method::GET) => reply::text(
            StatusCode::UNAUTHORIZED,
            "`Authorization: Bearer SECRET` of the operators is missing or wrong\n",
        ),
        (path, _) => reply::text(StatusCode::NOT_FOUND, format!("there is no {path}\n")),
    }
}

/// Returns whether the request has the operators' secret; always true if none is configured.
fn is_operator<ClockSource>(context: &EntryContext<ClockSource>, request: &Request) -> bool
where
    ClockSource: Clock,
{
    let secret = &context.settings().secrets.operator;
    let presented = bearer_key(request.headers()).unwrap_or_default();
    secret.is_empty() || bool::from(presented.as_bytes().ct_eq(secret.reveal().as_bytes()))
}

/// Replies ready if a confirmed revision of the sheet is in force and no stop is planned.
fn readiness_reply<ClockSource>(context: &EntryContext<ClockSource>) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    if !context.drain().borrow().is_ready() {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if context.table().revision() == 0 {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "no sheet in force\n");
    }
    if context
        .readiness()
        .borrow()
        .as_ref()
        .is_some_and(|gate| !gate.is_ready())
    {
        return reply::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "the sheet in force is not confirmed\n",
        );
    }
    reply::text(StatusCode::OK, "ready\n")
}

fn metrics_reply<ClockSource>(context: &EntryContext<ClockSource>) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    let revision = i64::try_from(context.table().revision()).unwrap_or(i64::MAX);
    context.metrics().revision.set(revision);
    let waiting = i64::try_from(context.admission().waiting()).unwrap_or(i64::MAX);
    context.metrics().admission_waiting.set(waiting);
    for (state, count) in context.monitor().counts() {
        context.metrics().set_endpoints(state.label(), count);
    }
    match context.metrics().render() {
        Ok(text) => reply::text(StatusCode::OK, String::from_utf8_lossy(&text)),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
