//! One attempt of a request at an endpoint of a plain service.

use std::pin::pin;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use dandeliondeal_balance::{CallResult, FailureSignal};
use dandeliondeal_http::{ConnectionError, EndpointConnection, ResponseHead};
use dandeliondeal_quarantine::RunStage;
use dandeliondeal_route::RepeatClass;
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};

use crate::call_guard::CallGuard;
use crate::crash_watch::find_end;
use crate::dialect::{AttemptFacts, RequestDialect};
use crate::endpoint_exchange::{
    ConnectionChoice, EndpointExchange, MAX_RESPONSE_BYTES, build_attempt, open_connection,
};
use crate::endpoint_limits::record_limit;
use crate::held_run::HeldRun;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;

/// Maximum wait for the body of a rejection, which usually arrives with its head.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of one attempt.
pub(crate) enum AttemptResult {
    /// The endpoint stated that it did not execute the request.
    NotRun,
    /// A complete response was received; successful ones are signed.
    Complete(ResponseHead, Bytes),
    /// No complete response was received; without an error, the attempt timed out.
    Lost(Option<ConnectionError>),
}

/// Selects the endpoint of the next attempt.
pub(crate) fn select_endpoint<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    is_repeatable: bool,
    excluded: &[EndpointId],
) -> Option<EndpointRecord>
where
    Time: Clock,
{
    let now = context.now();
    let fleet = context.fleet().borrow();
    let ranked =
        context.with_rng(|random| fleet.ranked(&request.service, is_repeatable, random, now));
    let selected = ranked
        .into_iter()
        .find(|record| !excluded.contains(&record.id));
    selected.or_else(|| {
        // The ranking is a sample of the healthy endpoints; any other endpoint is better than none.
        let mut rest = fleet.records().filter(|record| {
            record.service == request.service
                && !record.is_draining
                && !excluded.contains(&record.id)
        });
        rest.next().cloned()
    })
}

/// Connects to an endpoint; a failure is recorded as a call that the endpoint refused.
pub(crate) async fn connect_endpoint<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    endpoint: EndpointRecord,
) -> (EndpointRecord, Result<EndpointConnection, ConnectionError>)
where
    Time: Clock,
{
    let started = context.now();
    let choice = match request.route_match.route.repeat_class {
        RepeatClass::Safe => ConnectionChoice::Idle,
        _ => ConnectionChoice::New,
    };
    let limit = request.time_left(started);
    let opened = open_connection(context, &endpoint.id, endpoint.address, choice, limit).await;
    if opened.is_err() {
        let refused = CallResult::Failed(FailureSignal::Refused);
        record_call(context, &endpoint, started, refused);
    }
    (endpoint, opened)
}

/// Sends the request to an endpoint and waits for its response until the deadline.
///
/// If the attempt is cancelled later than `overdue_time`, it counts as unanswered: otherwise an
/// endpoint that never answers would be preferred as long as other endpoints answer in its place.
pub(crate) async fn run_attempt<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    endpoint: EndpointRecord,
    connection: EndpointConnection,
    overdue_time: Option<Duration>,
) -> (EndpointRecord, AttemptResult)
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let no_answer = CallResult::Failed(FailureSignal::NoAnswer);
    let mut guard = CallGuard::start(context, vec![EndpointId::clone(&endpoint.id)]);
    let open_since = connection.opened_at();
    let held = HeldRun::start(context, request, open_since, [&endpoint.id]);
    // Whether the replica has begun to answer is not known, as it answers all at once.
    held.set_stage(RunStage::Head);
    let limit = request.time_left(context.now());
    let response = {
        let attempt = send_attempt(context, request, &endpoint, connection);
        let mut response = pin!(timeout(limit, attempt));
        tokio::select! {
            biased;
            response = &mut response => response,
            () = sleep(overdue_time.unwrap_or_default()), if overdue_time.is_some() => {
                guard.set_drop_result(no_answer);
                response.await
            }
        }
    };
    let (result, connection) = match response {
        Ok(Ok((result, connection))) => (result, Some(connection)),
        Ok(Err(error)) => (AttemptResult::Lost(Some(error)), None),
        Err(_elapsed) => (AttemptResult::Lost(None), None),
    };
    guard.end(match &result {
        AttemptResult::Complete(..) => CallResult::Answered,
        AttemptResult::NotRun => CallResult::Failed(FailureSignal::Busy),
        AttemptResult::Lost(_) => no_answer,
    });
    if !matches!(result, AttemptResult::Lost(_)) {
        held.settle();
    }
    if let AttemptResult::Complete(head, _) = &result
        && head.status.is_success()
    {
        held.record_contact();
    }
    if let AttemptResult::Lost(Some(error)) = &result
        && !error.is_invalid_answer()
    {
        // The end is recorded for all requests that the process held.
        find_end(context, &endpoint.id).await;
    }
    if let Some(connection) = connection {
        context.pool().borrow_mut().put(&endpoint.id, connection);
    }
    (endpoint, result)
}

async fn send_attempt<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    endpoint: &EndpointRecord,
    connection: EndpointConnection,
) -> Result<(AttemptResult, EndpointConnection), ConnectionError>
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
        urgency: context
            .admission()
            .urgency(&request.service, &request.route_match),
    };
    let outbound = build_attempt(context, request, &facts);
    let id = &request.facts.request;
    let mut exchange = EndpointExchange::start(context, &endpoint.id, connection, &outbound, id)?;
    let (head, facts, mut connection) = exchange.read_response().await?;
    record_limit(context, &endpoint.id, facts.request_limit);
    if facts.is_not_run && !head.status.is_success() {
        // The head states all that matters; the body only decides whether the connection is reusable.
        let body = connection.read_body_within(MAX_RESPONSE_BYTES, context.body_memory());
        if timeout(REJECTION_BODY_TIMEOUT, body).await.is_err() {
            tracing::debug!(request = %id, "body of a rejection did not arrive");
        }
        return Ok((AttemptResult::NotRun, connection));
    }
    let body = connection
        .read_body_within(MAX_RESPONSE_BYTES, context.body_memory())
        .await?;
    let is_verified = facts.is_signed && !facts.is_encoded && facts.request.is_some();
    if head.status.is_success() && !is_verified {
        return Err(ConnectionError::after_write(
            "response lacks the endpoint's signature",
        ));
    }
    Ok((AttemptResult::Complete(head, body), connection))
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
