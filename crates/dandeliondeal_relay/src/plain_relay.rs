//! Relays a request to an endpoint of a plain service and returns its complete response.

use std::pin::pin;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::StatusCode;
use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use dandeliondeal_balance::{CallResult, FailureSignal};
use dandeliondeal_http::{ConnectionError, EndpointConnection, ResponseHead};
use dandeliondeal_quarantine::RequestStanding;
use dandeliondeal_route::RepeatClass;
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::call_guard::CallGuard;
use crate::dialect::{AttemptFacts, FleetDialect, RequestDialect};
use crate::endpoint_exchange::{
    ConnectionChoice, MAX_RESPONSE_BYTES, build_attempt, exchange, open_connection,
};
use crate::endpoint_limits::record_limit;
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::{LifecycleEvent, RelayLifecycle};
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::RelayRequest;

/// Maximum number of endpoints that are tried when no connection can be made; nothing is sent to
/// them.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Share of the remaining time after which another attempt is started beside an unanswered one.
const ATTEMPT_SHARE: f64 = 0.45;

/// Maximum wait for the body of a rejection, which usually arrives with its head.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of one attempt.
enum AttemptResult {
    /// The endpoint stated that it did not execute the request.
    NotRun,
    /// A complete response was received; successful ones are signed.
    Complete(ResponseHead, Bytes),
    /// No complete response was received; without an error, the attempt timed out.
    Lost(Option<ConnectionError>),
}

/// How the attempts of a request end.
enum RaceEnd {
    /// The caller gets an endpoint's response.
    Answered(Response<RelayBody>),
    /// The deadline passed.
    TimedOut,
    /// No further attempt can be made.
    Unanswered(RefusalCause),
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
    let mut race = AttemptRace::new(context, request);
    let end = race.run().await;
    let (lifecycle, last_failure) = (race.lifecycle, race.last_failure);
    request.lifecycle = lifecycle;
    match end {
        RaceEnd::Answered(response) => {
            request.lifecycle.apply(LifecycleEvent::Complete);
            RelayOutcome::Answered(response)
        }
        RaceEnd::TimedOut => request.end_timed_out(last_failure),
        RaceEnd::Unanswered(RefusalCause::NoEndpoint) => {
            let cause = request.no_endpoint_cause(context);
            request.end_unanswered(cause, last_failure)
        }
        RaceEnd::Unanswered(cause) => request.end_unanswered(cause, last_failure),
    }
}

/// Attempts of one request, which may overlap if the request may be repeated.
///
/// A silent endpoint may still answer, so an attempt is not ended when another one starts. The
/// first usable response ends the race; dropping the other attempts cancels them.
struct AttemptRace<'relay, Time, Dialect> {
    context: &'relay RelayContext<Time, Dialect>,
    request: &'relay RelayRequest,
    lifecycle: RelayLifecycle,
    is_repeatable: bool,
    tried: Vec<EndpointId>,
    /// Endpoints that were sent the request and whose attempts have no result.
    open_endpoints: Vec<EndpointId>,
    sent_attempts: u32,
    failed_connections: usize,
    /// Whether a repeat was taken from the budget but not sent yet.
    holds_repeat: bool,
    /// Latest failure response of an endpoint; used if no attempt succeeds.
    last_failure: Option<Response<RelayBody>>,
}

impl<'relay, Time, Dialect> AttemptRace<'relay, Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    fn new(context: &'relay RelayContext<Time, Dialect>, request: &'relay RelayRequest) -> Self {
        Self {
            context,
            request,
            lifecycle: request.lifecycle.clone(),
            is_repeatable: request.route_match.route.repeat_class == RepeatClass::Safe,
            tried: Vec::new(),
            open_endpoints: Vec::new(),
            sent_attempts: 0,
            failed_connections: 0,
            holds_repeat: false,
            last_failure: None,
        }
    }

    /// Makes attempts until one has a usable response, or none is open and no other can be made.
    async fn run(&mut self) -> RaceEnd {
        let (context, request) = (self.context, self.request);
        let mut connecting = FuturesUnordered::new();
        let mut open_attempts = FuturesUnordered::new();
        let mut end = RaceEnd::TimedOut;
        let mut final_responses = pin!(context.wait_for_final_responses());
        let mut next_attempt = Some(context.now());
        loop {
            // Only one connection is opened at a time.
            let due = next_attempt.filter(|_| connecting.is_empty());
            let delay = due.map(|due| due.saturating_duration_since(context.now()));
            if delay.is_some_and(|delay| delay.is_zero()) {
                next_attempt = None;
                match self.next_endpoint() {
                    Ok(endpoint) => connecting.push(connect_endpoint(context, request, endpoint)),
                    Err(cause) => {
                        self.log_no_attempt(&cause);
                        end = cause;
                    }
                }
                continue;
            }
            tokio::select! {
                Some((endpoint, result)) = open_attempts.next() => {
                    if let Some(response) = self.record_result(&endpoint, result) {
                        return RaceEnd::Answered(response);
                    }
                    next_attempt = Some(context.now());
                }
                Some((endpoint, opened)) = connecting.next() => match opened {
                    Ok(_) if self.is_late() => next_attempt = Some(context.now()),
                    Ok(connection) => {
                        let overdue_time = self.record_offer(&endpoint);
                        next_attempt = overdue_time.map(|time| context.now() + time);
                        let attempt =
                            run_attempt(context, request, endpoint, connection, overdue_time);
                        open_attempts.push(attempt);
                    }
                    Err(error) => {
                        self.record_failed_connection(&endpoint, &error);
                        next_attempt = Some(context.now());
                    }
                },
                () = sleep(delay.unwrap_or_default()), if delay.is_some() => {}
                () = &mut final_responses, if !open_attempts.is_empty() || !connecting.is_empty() => {
                    return RaceEnd::TimedOut;
                }
                else => return end,
            }
        }
    }

    /// Returns the endpoint of the next attempt, or how the race ends if none is open.
    fn next_endpoint(&mut self) -> Result<EndpointRecord, RaceEnd> {
        if self.is_late() {
            return Err(RaceEnd::TimedOut);
        }
        let may_repeat = self.is_repeatable || self.lifecycle.is_proven_not_run();
        if self.sent_attempts > 0 && !(may_repeat && self.has_attempts_left()) {
            return Err(RaceEnd::Unanswered(RefusalCause::LostAnswer));
        }
        if !self.request.is_admitted(self.context) {
            return Err(RaceEnd::Unanswered(RefusalCause::Quarantined));
        }
        // A request under which a process ended does not run twice, unless it was ever answered.
        let is_suspect = self.request.standing(self.context) == RequestStanding::Suspect;
        if is_suspect && !self.lifecycle.is_proven_not_run() {
            return Err(RaceEnd::Unanswered(RefusalCause::LostAnswer));
        }
        let mut excluded = self.tried.clone();
        let now = self.context.now();
        excluded.extend(self.context.rates().borrow().full_endpoints(now));
        let endpoint = (self.failed_connections < MAX_CONNECT_ATTEMPTS)
            .then(|| select_endpoint(self.context, self.request, self.is_repeatable, &excluded))
            .flatten()
            .ok_or(RaceEnd::Unanswered(RefusalCause::NoEndpoint))?;
        if self.sent_attempts > 0 && !self.holds_repeat {
            self.holds_repeat = self.context.acquire_repeat(&self.request.service, "answer");
            if !self.holds_repeat {
                return Err(RaceEnd::Unanswered(RefusalCause::Overloaded));
            }
        }
        self.tried.push(EndpointId::clone(&endpoint.id));
        Ok(endpoint)
    }

    fn is_late(&self) -> bool {
        self.request.time_left(self.context.now()).is_zero()
    }

    fn has_attempts_left(&self) -> bool {
        self.sent_attempts < self.request.route_match.route.attempts
    }

    /// Records that the request is sent to an endpoint.
    ///
    /// Returns the time after which another attempt is started beside this one.
    fn record_offer(&mut self, endpoint: &EndpointRecord) -> Option<Duration> {
        self.lifecycle.apply(LifecycleEvent::Offer);
        self.request.progress.record_attempt(&endpoint.id);
        let now = self.context.now();
        self.context
            .rates()
            .borrow_mut()
            .record_request(&endpoint.id, now);
        self.open_endpoints.push(EndpointId::clone(&endpoint.id));
        self.sent_attempts += 1;
        self.holds_repeat = false;
        let time_left = self.request.time_left(self.context.now());
        (self.is_repeatable && self.has_attempts_left()).then(|| time_left.mul_f64(ATTEMPT_SHARE))
    }

    fn record_failed_connection(&mut self, endpoint: &EndpointRecord, error: &ConnectionError) {
        tracing::info!(
            request = %self.request.facts.request,
            endpoint = %endpoint.id,
            error = %error,
            "connection failed"
        );
        self.failed_connections += 1;
    }

    /// Records the result of an attempt; returns the response if it ends the race.
    fn record_result(
        &mut self,
        endpoint: &EndpointRecord,
        result: AttemptResult,
    ) -> Option<Response<RelayBody>> {
        let request = &self.request.facts.request;
        let progress = &self.request.progress;
        self.open_endpoints.retain(|id| *id != endpoint.id);
        match result {
            AttemptResult::NotRun => {
                tracing::info!(
                    %request,
                    endpoint = %endpoint.id,
                    "endpoint did not execute the request"
                );
                progress.record_rejection();
                // The rejection proves nothing about the attempts that are still open.
                if self.open_endpoints.is_empty() {
                    self.lifecycle.apply(LifecycleEvent::Reject);
                }
            }
            AttemptResult::Complete(head, body) => {
                self.lifecycle.apply(LifecycleEvent::Start);
                self.request.record_sound(self.context, &endpoint.id);
                let response = build_response(self.context, &head, body);
                if !head.status.is_server_error() || !self.is_repeatable {
                    return Some(response);
                }
                tracing::info!(
                    %request,
                    endpoint = %endpoint.id,
                    status = head.status.as_u16(),
                    "endpoint returned a failure"
                );
                self.last_failure = Some(response);
            }
            AttemptResult::Lost(error) => {
                self.lifecycle.mark_may_have_run();
                let error = error.map_or_else(|| "timeout".to_owned(), |error| error.to_string());
                tracing::info!(
                    %request, endpoint = %endpoint.id, error,
                    features = self.request.features.join(","), "response lost"
                );
            }
        }
        if let Some(open_endpoint) = self.open_endpoints.last() {
            progress.wait_on(open_endpoint);
        }
        None
    }

    /// Logs why no further attempt is made while others are open.
    fn log_no_attempt(&self, cause: &RaceEnd) {
        if let RaceEnd::Unanswered(cause) = cause
            && !self.open_endpoints.is_empty()
        {
            tracing::info!(
                request = %self.request.facts.request,
                cause = cause.name(),
                open_attempts = self.open_endpoints.len(),
                "no further attempt"
            );
        }
    }
}

fn select_endpoint<Time, Dialect>(
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
async fn connect_endpoint<Time, Dialect>(
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
async fn run_attempt<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    endpoint: EndpointRecord,
    mut connection: EndpointConnection,
    overdue_time: Option<Duration>,
) -> (EndpointRecord, AttemptResult)
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let no_answer = CallResult::Failed(FailureSignal::NoAnswer);
    let mut guard = CallGuard::start(context, vec![EndpointId::clone(&endpoint.id)]);
    let limit = request.time_left(context.now());
    let response = {
        let attempt = send_attempt(context, request, &endpoint, &mut connection);
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
    let result = match response {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => AttemptResult::Lost(Some(error)),
        Err(_elapsed) => AttemptResult::Lost(None),
    };
    guard.end(match &result {
        AttemptResult::Complete(..) => CallResult::Answered,
        AttemptResult::NotRun => CallResult::Failed(FailureSignal::Busy),
        AttemptResult::Lost(_) => no_answer,
    });
    if let AttemptResult::Lost(Some(error)) = &result
        && !error.is_invalid_answer()
    {
        // Whether the replica had begun to answer is not known, as it answers all at once.
        let has_begun = true;
        request.record_end(context, &endpoint.id, has_begun).await;
    }
    if !matches!(result, AttemptResult::Lost(_)) {
        context.pool().borrow_mut().put(&endpoint.id, connection);
    }
    (endpoint, result)
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
    record_limit(context, &endpoint.id, facts.request_limit);
    if facts.is_not_run && !head.status.is_success() {
        // The head states all that matters; the body only decides whether the connection is reusable.
        let body = connection.read_body(MAX_RESPONSE_BYTES);
        if timeout(REJECTION_BODY_TIMEOUT, body).await.is_err() {
            tracing::debug!(request = %id, "body of a rejection did not arrive");
        }
        return Ok(AttemptResult::NotRun);
    }
    let body = connection.read_body(MAX_RESPONSE_BYTES).await?;
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
