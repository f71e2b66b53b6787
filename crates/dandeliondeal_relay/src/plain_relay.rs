//! Relays a request to an endpoint of a plain service and returns its complete response.

use std::pin::pin;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_rt::time::sleep;
use dandeliondeal_http::ConnectionError;
use dandeliondeal_quarantine::RequestStanding;
use dandeliondeal_route::RepeatClass;
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::endpoint_backoff::{backed_off_endpoints, is_backed_off, pause_end, record_send};
use crate::handover::{build_response, hand_over_plain};
use crate::link_monitor::{LinkUse, check_handover, needs_handover, wait_for_lost_links};
use crate::plain_admission::{CALL_WORK, admit_call};
use crate::plain_attempt::{AttemptResult, connect_endpoint, run_attempt, select_endpoint};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::{LifecycleEvent, RelayLifecycle};
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::RelayRequest;
use crate::running_request::RunningRequest;
use crate::stop_admission::outlasts_process;

/// Maximum number of endpoints that are tried when no connection can be made; nothing is sent to
/// them.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Share of the remaining time after which another attempt is started beside an unanswered one.
const ATTEMPT_SHARE: f64 = 0.45;

/// How the attempts of a request end.
enum RaceEnd {
    /// The caller gets an endpoint's response.
    Answered(Response<RelayBody>),
    /// The deadline passed.
    TimedOut,
    /// No further attempt can be made.
    Unanswered(RefusalCause),
    /// The links to the endpoints are lost; another instance may serve the request.
    LinksLost,
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
    if let Some(outcome) = admit_call(context, request).await {
        return outcome;
    }
    let mut running = RunningRequest::start(context, &request.service, true);
    let link_use = LinkUse::start(context, &request.service);
    let mut race = AttemptRace::new(context, request);
    let end = race.run().await;
    drop(link_use);
    let (lifecycle, last_failure) = (race.lifecycle, race.last_failure);
    let sent_attempts = race.sent_attempts;
    if let Some(running) = &mut running {
        // Only a successful answer shows how long an endpoint takes for a request.
        running.has_run =
            matches!(&end, RaceEnd::Answered(response) if response.status().is_success());
    }
    drop(running);
    let is_unanswered = !race.open_endpoints.is_empty();
    request.lifecycle = lifecycle;
    match end {
        RaceEnd::LinksLost => {
            if is_unanswered {
                request.lifecycle.mark_may_have_run();
            }
            request.sent_attempts = sent_attempts;
            hand_over_plain(context, request).await
        }
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
    /// Time of the last offer, or of the start.
    active_at: Instant,
    /// Whether the request must stay here although the links are lost.
    is_handover_denied: bool,
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
            active_at: context.now(),
            is_handover_denied: request.is_handed_over(),
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
            let is_open = !open_attempts.is_empty() || !connecting.is_empty();
            let lost = wait_for_lost_links(context, &request.service, self.active_at);
            if delay.is_some_and(|delay| delay.is_zero()) {
                next_attempt = None;
                match self.next_endpoint().await {
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
                    Ok(_) if self.is_late()
                        || self.outlasts_process()
                        || is_backed_off(context, &endpoint.id) =>
                    {
                        next_attempt = Some(context.now());
                    }
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
                () = lost, if is_open && !self.is_handover_denied => {
                    if self.may_hand_over() {
                        return RaceEnd::LinksLost;
                    }
                    self.is_handover_denied = true;
                }
                () = &mut final_responses, if is_open => {
                    return RaceEnd::TimedOut;
                }
                else => return end,
            }
        }
    }

    /// Returns the endpoint of the next attempt, or how the race ends if none is open.
    async fn next_endpoint(&mut self) -> Result<EndpointRecord, RaceEnd> {
        if self.is_late() {
            return Err(RaceEnd::TimedOut);
        }
        if self.outlasts_process() {
            return Err(RaceEnd::Unanswered(RefusalCause::Stopping));
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
        let (context, service) = (self.context, &self.request.service);
        if !self.is_handover_denied && needs_handover(context, service) && self.may_hand_over() {
            return Err(RaceEnd::LinksLost);
        }
        let mut excluded = self.tried.clone();
        let now = self.context.now();
        excluded.extend(self.context.rates().borrow().full_endpoints(now));
        excluded.extend(backed_off_endpoints(context));
        let endpoint = (self.failed_connections < MAX_CONNECT_ATTEMPTS)
            .then(|| select_endpoint(self.context, self.request, self.is_repeatable, &excluded))
            .flatten();
        let Some(endpoint) = endpoint else {
            // Links are not in doubt while an endpoint is only left out because of its pause.
            let is_paused = pause_end(context, service, None).is_some();
            let is_lost =
                !self.is_handover_denied && !is_paused && check_handover(context, service).await;
            return Err(if is_lost && self.may_hand_over() {
                RaceEnd::LinksLost
            } else {
                RaceEnd::Unanswered(RefusalCause::NoEndpoint)
            });
        };
        if self.sent_attempts > 0 && !self.acquire_repeat("answer") {
            return Err(RaceEnd::Unanswered(RefusalCause::Overloaded));
        }
        self.tried.push(EndpointId::clone(&endpoint.id));
        Ok(endpoint)
    }

    fn is_late(&self) -> bool {
        self.request.time_left(self.context.now()).is_zero()
    }

    /// Returns whether the process exits before an attempt that starts now is expected to end.
    fn outlasts_process(&self) -> bool {
        outlasts_process(self.context, self.request, CALL_WORK)
    }

    fn has_attempts_left(&self) -> bool {
        self.sent_attempts < self.request.max_attempts()
    }

    /// Returns whether another instance may serve the request, and charges the repeat budget if this
    /// one has sent it.
    ///
    /// A rejected attempt is charged as well: endpoints receive the request once more.
    fn may_hand_over(&mut self) -> bool {
        if self.sent_attempts == 0 {
            return true;
        }
        let standing = self.request.standing(self.context);
        let may_repeat = self.lifecycle.is_proven_not_run()
            || self.is_repeatable && standing == RequestStanding::Sound && self.has_attempts_left();
        may_repeat && self.acquire_repeat("lost-links")
    }

    /// Charges the repeat budget for an attempt, unless one that was charged is not sent yet.
    fn acquire_repeat(&mut self, cause: &str) -> bool {
        let service = &self.request.service;
        self.holds_repeat = self.holds_repeat || self.context.acquire_repeat(service, cause);
        self.holds_repeat
    }

    /// Records that the request is sent to an endpoint.
    ///
    /// Returns the time after which another attempt is started beside this one.
    fn record_offer(&mut self, endpoint: &EndpointRecord) -> Option<Duration> {
        self.lifecycle.apply(LifecycleEvent::Offer);
        self.request.progress.record_attempt(&endpoint.id);
        let now = self.context.now();
        self.active_at = now;
        self.context
            .rates()
            .borrow_mut()
            .record_request(&endpoint.id, now);
        record_send(self.context, &self.request.facts.request, &endpoint.id);
        let links = self.context.links();
        links.record_request(&self.request.service, &endpoint.id);
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
                let links = self.context.links();
                links.record_traffic(&self.request.service, self.context.now());
                self.lifecycle.apply(LifecycleEvent::Start);
                // A replica that fails for its own reasons has not shown what the request does.
                if head.status.is_success() {
                    self.request.record_sound(self.context);
                }
                let response = build_response(self.context, &head, RelayBody::Complete(body));
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
