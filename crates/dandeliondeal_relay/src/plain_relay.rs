//! Relays a request to an endpoint of a plain service and returns its complete response.

use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use dandeliondeal_balance::{CallResult, FailureSignal};
use dandeliondeal_http::{AnswerHead, EndpointConnection, LinkError};
use dandeliondeal_route::RepeatClass;
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};

use crate::call_guard::CallGuard;
use crate::dialect::{AttemptFacts, FleetDialect, RequestDialect};
use crate::endpoint_link::{
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
const CONNECT_TRIES: usize = 4;
/// Share of the remaining time that a first attempt may take if a second one may follow.
const FIRST_SHARE: f64 = 0.45;

/// Result of one attempt.
enum AttemptEnd {
    /// No connection was made.
    Unsent(LinkError),
    /// The endpoint stated that it did not execute the request.
    NotRun,
    /// A complete response was received; successful ones are signed.
    Whole(AnswerHead, Bytes),
    /// No complete response was received; without an error, the attempt timed out.
    Lost(Option<LinkError>),
}

/// Relays one request to a plain service.
pub async fn relay<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
) -> RelayOutcome
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let is_repeatable = request.matched.route.repeat == RepeatClass::Safe;
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut sends = 0;
    let mut unsent = 0;
    let mut last_failure: Option<Response<RelayBody>> = None;
    loop {
        let left = request.left(context.now());
        if left.is_zero() {
            return request.end_late(last_failure);
        }
        let Some(endpoint) = choose(context, request, is_repeatable, &tried) else {
            return request.end_without(RefusalCause::NoEndpoint, last_failure);
        };
        if sends > 0 && !context.take_repeat(&request.service, "answer") {
            return request.end_without(RefusalCause::Overloaded, last_failure);
        }
        let may_repeat = is_repeatable && sends + 1 < request.matched.route.attempts;
        let limit = if may_repeat {
            left.mul_f64(FIRST_SHARE)
        } else {
            left
        };
        let end = attempt(context, request, &endpoint, limit).await;
        tried.push(EndpointId::clone(&endpoint.id));
        match end {
            AttemptEnd::Unsent(error) => {
                tracing::info!(request = %request.facts.request, endpoint = %endpoint.id, error = %error, "connection not made");
                unsent += 1;
                if unsent >= CONNECT_TRIES {
                    return request.end_without(RefusalCause::NoEndpoint, last_failure);
                }
                continue;
            }
            AttemptEnd::NotRun => {
                tracing::info!(request = %request.facts.request, endpoint = %endpoint.id, "endpoint stated not run");
            }
            AttemptEnd::Whole(head, body) => {
                let is_failure = head.status.is_server_error();
                let response = deliver(context, &head, body);
                if !is_failure || !may_repeat {
                    request.lifecycle.apply(LifecycleEvent::Complete);
                    return RelayOutcome::Answered(response);
                }
                tracing::info!(request = %request.facts.request, endpoint = %endpoint.id, status = head.status.as_u16(), "answer was a failure");
                last_failure = Some(response);
            }
            AttemptEnd::Lost(error) => {
                let error = error.map_or_else(|| "timeout".to_owned(), |error| error.to_string());
                tracing::info!(request = %request.facts.request, endpoint = %endpoint.id, error, "answer lost");
            }
        }
        sends += 1;
        if request.left(context.now()).is_zero() {
            return request.end_late(last_failure);
        }
        let is_open = is_repeatable || request.lifecycle.is_not_run();
        if !is_open || sends >= request.matched.route.attempts {
            return request.end_without(RefusalCause::LostAnswer, last_failure);
        }
    }
}

fn choose<Time, Dialect>(
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
        context.random(|random| fleet.ranked(&request.service, is_repeatable, random, now));
    let other = ranked
        .into_iter()
        .find(|record| !tried.contains(&record.id));
    other.or_else(|| {
        // The ranking is a sample of the healthy endpoints; any other endpoint is better than none.
        let mut rest = fleet.records().filter(|record| {
            record.service == request.service && !record.is_draining && !tried.contains(&record.id)
        });
        rest.next().cloned()
    })
}

async fn attempt<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
    endpoint: &EndpointRecord,
    limit: Duration,
) -> AttemptEnd
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let started = context.now();
    let choice = match request.matched.route.repeat {
        RepeatClass::Safe => ConnectionChoice::Idle,
        _ => ConnectionChoice::New,
    };
    let opened = open_connection(context, &endpoint.id, endpoint.address, choice, limit).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            note(
                context,
                endpoint,
                started,
                CallResult::Failed(FailureSignal::Refused),
            );
            return AttemptEnd::Unsent(error);
        }
    };
    let guard = CallGuard::begin(context, vec![EndpointId::clone(&endpoint.id)]);
    request.lifecycle.apply(LifecycleEvent::Offer);
    let end =
        match actix_rt::time::timeout(limit, call(context, request, endpoint, &mut connection))
            .await
        {
            Ok(Ok(end)) => end,
            Ok(Err(error)) => AttemptEnd::Lost(Some(error)),
            Err(_elapsed) => AttemptEnd::Lost(None),
        };
    let result = match &end {
        AttemptEnd::Whole(..) => CallResult::Answered,
        AttemptEnd::NotRun => CallResult::Failed(FailureSignal::Busy),
        AttemptEnd::Unsent(_) => CallResult::Failed(FailureSignal::Refused),
        AttemptEnd::Lost(_) => CallResult::Failed(FailureSignal::NoAnswer),
    };
    guard.end(result);
    match &end {
        AttemptEnd::NotRun => {
            request.lifecycle.apply(LifecycleEvent::Reject);
        }
        AttemptEnd::Whole(..) => {
            request.lifecycle.apply(LifecycleEvent::Start);
        }
        _ => request.lifecycle.mark_may_have_run(),
    }
    if matches!(end, AttemptEnd::Whole(..) | AttemptEnd::NotRun) {
        context.pool().borrow_mut().put(&endpoint.id, connection);
    }
    end
}

async fn call<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    endpoint: &EndpointRecord,
    connection: &mut EndpointConnection,
) -> Result<AttemptEnd, LinkError>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let facts = AttemptFacts {
        endpoint: &endpoint.id,
        organisation: request.matched.organisation.as_ref(),
        left: request.left(context.now()),
        last_event: None,
        chain: None,
        urgency: request.matched.urgency,
    };
    let message = build_attempt(context, request, &facts);
    let id = &request.facts.request;
    let (head, facts) = exchange(context.dialect(), connection, &message, id).await?;
    let body = connection.read_body(MAX_RESPONSE_BYTES).await?;
    if facts.is_not_run && !head.status.is_success() {
        return Ok(AttemptEnd::NotRun);
    }
    let is_whole = facts.is_signed && !facts.is_encoded && facts.request.is_some();
    if head.status.is_success() && !is_whole {
        return Err(LinkError::written(
            "an answer without the endpoint's signature",
        ));
    }
    Ok(AttemptEnd::Whole(head, body))
}

fn deliver<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    head: &AnswerHead,
    body: Bytes,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, RelayBody::Whole(body));
    *response.headers_mut() = context.dialect().answer_headers(&head.headers);
    response
}

fn note<Time, Dialect>(
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
