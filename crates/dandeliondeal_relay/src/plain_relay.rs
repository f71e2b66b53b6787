//! Relays a request to an endpoint of a plain service and returns its complete response.

use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use dandeliondeal_balance::{CallResult, FailureSignal};
use dandeliondeal_http::{ConnectionError, EndpointConnection, ResponseHead};
use dandeliondeal_route::RepeatClass;
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};

use crate::call_guard::CallGuard;
use crate::dialect::{AttemptFacts, FleetDialect, RequestDialect};
use crate::endpoint_exchange::{
    ConnectionChoice, MAX_RESPONSE_BYTES, build_attempt, exchange, open_connection,
};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::RelayRequest;

/// Maximum number of endpoints that are tried when no connection can be made; nothing is sent to
/// them.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Share of the remaining time that a first attempt may take if a second one may follow.
const FIRST_ATTEMPT_SHARE: f64 = 0.45;

/// Result of one attempt.
enum AttemptResult {
    /// No connection was made.
    NotConnected(ConnectionError),
    /// The endpoint stated that it did not execute the request.
    NotRun,
    /// A complete response was received; successful ones are signed.
    Complete(ResponseHead, Bytes),
    /// No complete response was received; without an error, the attempt timed out.
    Lost(Option<ConnectionError>),
}

/// Relays one request to a plain service.
pub async fn relay_request<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
) -> RelayOutcome
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let is_repeatable = request.route_match.route.repeat_class == RepeatClass::Safe;
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut sent_attempts = 0;
    let mut failed_connections = 0;
    let mut last_failure: Option<Response<RelayBody>> = None;
    loop {
        let time_left = request.time_left(context.now());
        if time_left.is_zero() {
            return request.end_timed_out(last_failure);
        }
        let Some(endpoint) = select_endpoint(context, request, is_repeatable, &tried) else {
            return request.end_unanswered(RefusalCause::NoEndpoint, last_failure);
        };
        if sent_attempts > 0 && !context.acquire_repeat(&request.service, "answer") {
            return request.end_unanswered(RefusalCause::Overloaded, last_failure);
        }
        let may_repeat = is_repeatable && sent_attempts + 1 < request.route_match.route.attempts;
        let limit = if may_repeat {
            time_left.mul_f64(FIRST_ATTEMPT_SHARE)
        } else {
            time_left
        };
        let result = run_attempt(context, request, &endpoint, limit).await;
        tried.push(EndpointId::clone(&endpoint.id));
        match result {
            AttemptResult::NotConnected(error) => {
                tracing::info!(
                    request = %request.facts.request,
                    endpoint = %endpoint.id,
                    error = %error,
                    "connection failed"
                );
                failed_connections += 1;
                if failed_connections >= MAX_CONNECT_ATTEMPTS {
                    return request.end_unanswered(RefusalCause::NoEndpoint, last_failure);
                }
                continue;
            }
            AttemptResult::NotRun => {
                tracing::info!(
                    request = %request.facts.request,
                    endpoint = %endpoint.id,
                    "endpoint did not execute the request"
                );
            }
            AttemptResult::Complete(head, body) => {
                let is_failure = head.status.is_server_error();
                let response = build_response(context, &head, body);
                if !is_failure || !may_repeat {
                    request.lifecycle.apply(LifecycleEvent::Complete);
                    return RelayOutcome::Answered(response);
                }
                tracing::info!(
                    request = %request.facts.request,
                    endpoint = %endpoint.id,
                    status = head.status.as_u16(),
                    "endpoint returned a failure"
                );
                last_failure = Some(response);
            }
            AttemptResult::Lost(error) => {
                let error = error.map_or_else(|| "timeout".to_owned(), |error| error.to_string());
                tracing::info!(
                    request = %request.facts.request,
                    endpoint = %endpoint.id,
                    error,
                    "response lost"
                );
            }
        }
        sent_attempts += 1;
        if request.time_left(context.now()).is_zero() {
            return request.end_timed_out(last_failure);
        }
        let may_continue = is_repeatable || request.lifecycle.is_proven_not_run();
        if !may_continue || sent_attempts >= request.route_match.route.attempts {
            return request.end_unanswered(RefusalCause::LostAnswer, last_failure);
        }
    }
}

fn select_endpoint<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    is_repeatable: bool,
    tried: &[EndpointId],
) -> Option<EndpointRecord>
where
    Time: Clock,
{
    let now = context.now();
    let fleet = context.fleet().borrow();
    let ranked =
        context.with_rng(|random| fleet.ranked(&request.service, is_repeatable, random, now));
    let untried = ranked
        .into_iter()
        .find(|record| !tried.contains(&record.id));
    untried.or_else(|| {
        // The ranking is a sample of the healthy endpoints; any other endpoint is better than none.
        let mut rest = fleet.records().filter(|record| {
            record.service == request.service && !record.is_draining && !tried.contains(&record.id)
        });
        rest.next().cloned()
    })
}

async fn run_attempt<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
    endpoint: &EndpointRecord,
    limit: Duration,
) -> AttemptResult
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let started = context.now();
    let choice = match request.route_match.route.repeat_class {
        RepeatClass::Safe => ConnectionChoice::Idle,
        _ => ConnectionChoice::New,
    };
    let opened = open_connection(context, &endpoint.id, endpoint.address, choice, limit).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            record_call(
                context,
                endpoint,
                started,
                CallResult::Failed(FailureSignal::Refused),
            );
            return AttemptResult::NotConnected(error);
        }
    };
    let guard = CallGuard::start(context, vec![EndpointId::clone(&endpoint.id)]);
    request.lifecycle.apply(LifecycleEvent::Offer);
    let result = match actix_rt::time::timeout(
        limit,
        send_attempt(context, request, endpoint, &mut connection),
    )
    .await
    {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => AttemptResult::Lost(Some(error)),
        Err(_elapsed) => AttemptResult::Lost(None),
    };
    let call_result = match &result {
        AttemptResult::Complete(..) => CallResult::Answered,
        AttemptResult::NotRun => CallResult::Failed(FailureSignal::Busy),
        AttemptResult::NotConnected(_) => CallResult::Failed(FailureSignal::Refused),
        AttemptResult::Lost(_) => CallResult::Failed(FailureSignal::NoAnswer),
    };
    guard.end(call_result);
    match &result {
        AttemptResult::NotRun => {
            request.lifecycle.apply(LifecycleEvent::Reject);
        }
        AttemptResult::Complete(..) => {
            request.lifecycle.apply(LifecycleEvent::Start);
        }
        _ => request.lifecycle.mark_may_have_run(),
    }
    if matches!(result, AttemptResult::Complete(..) | AttemptResult::NotRun) {
        context.pool().borrow_mut().put(&endpoint.id, connection);
    }
    result
}

async fn send_attempt<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    endpoint: &EndpointRecord,
    connection: &mut EndpointConnection,
) -> Result<AttemptResult, ConnectionError>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let facts = AttemptFacts {
        endpoint: &endpoint.id,
        organisation: request.route_match.organisation.as_ref(),
        time_left: request.time_left(context.now()),
        last_event: None,
        chain: None,
        urgency: request.route_match.urgency,
    };
    let outbound = build_attempt(context, request, &facts);
    let id = &request.facts.request;
    let (head, facts) = exchange(context.dialect(), connection, &outbound, id).await?;
    let body = connection.read_body(MAX_RESPONSE_BYTES).await?;
    if facts.is_not_run && !head.status.is_success() {
        return Ok(AttemptResult::NotRun);
    }
    let is_verified = facts.is_signed && !facts.is_encoded && facts.request.is_some();
    if head.status.is_success() && !is_verified {
        return Err(ConnectionError::after_write(
            "response lacks the endpoint's signature",
        ));
    }
    Ok(AttemptResult::Complete(head, body))
}

fn build_response<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    head: &ResponseHead,
    body: Bytes,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, RelayBody::Complete(body));
    *response.headers_mut() = context.dialect().forwarded_headers(&head.headers);
    response
}

fn record_call<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointRecord,
    started: Instant,
    result: CallResult,
) where
    Time: Clock,
{
    let now = context.now();
    let mut fleet = context.fleet().borrow_mut();
    fleet.call_started(&endpoint.id, started);
    fleet.call_finished(&endpoint.id, started, result, now);
}
