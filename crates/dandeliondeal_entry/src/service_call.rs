//! Calls of plain services.
//!
//! A repeatable call is sent once and its failure told. A non-repeatable one is written to one
//! endpoint once, over a new connection; only a connection that was never made lets another
//! endpoint be tried. With an idempotency key it is claimed first.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Response};
use bytes::Bytes;
use dandeliondeal_claim::{ClaimKey, OutcomeRecord, RequestFingerprint, ShardIndex};
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, OrganisationId, Outcome, RequestId, RequestStep, RouteError,
    ServiceId,
};

use crate::admission::AdmissionRequest;
use crate::admission_sites::AdmissionTarget;
use crate::caller_headers::CallerHeaders;
use crate::claim_flow::{ClaimCall, ClaimVerdict, claim, repeat_answer};
use crate::entry_context::EntryContext;
use crate::request_life::RequestEvent;
use crate::service_dispatch::{ServiceAnswer, ServiceAttempt, send};
use crate::settlement::{Settlement, SettlementTarget, settle};
use crate::shared_monitor::service_group;
use dandeliondeal_http::reply_body::ReplyBody;

/// Endpoints that one call may be tried at.
const CANDIDATES: usize = 3;
/// Time added to a service's timeout before its calls count as abandoned.
const ABANDONED_MARGIN: Duration = Duration::from_secs(2);
/// Time for which the outcome of a call in doubt is sought after its caller was told.
const SETTLEMENT_TIME: Duration = Duration::from_mins(10);
/// Status of a service that refuses a settled request, among other things.
const CONFLICT_STATUS: u16 = 409;

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

/// A call with what the sheet says of it.
#[derive(Debug)]
struct PlannedCall {
    id: RequestId,
    call: ServiceCall,
    candidates: Vec<EndpointId>,
    is_repeatable: bool,
    settles: bool,
    timeout: Duration,
    shard: Option<ShardIndex>,
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
    let deadline = call.deadline;
    let mut planned = plan(context, id, call)?;
    let permit = context
        .admission()
        .admit(AdmissionRequest {
            organisation: Arc::clone(organisation),
            target: AdmissionTarget::Service(Arc::clone(&planned.call.service)),
            tokens: 0,
            priority: 0,
            deadline,
        })
        .await?;
    context.apply(id, RequestEvent::Admit);
    let task_context = context.clone();
    let organisation = Arc::clone(organisation);
    // The call runs on in a task of its own when its caller leaves.
    let task = actix_rt::spawn(async move {
        let result = run(&task_context, &organisation, &mut planned).await;
        let outcome = result
            .as_ref()
            .map_or_else(RouteError::outcome, |_reply| Outcome::Answered);
        let event = match outcome {
            Outcome::Answered => RequestEvent::Complete,
            Outcome::NotRun => RequestEvent::Refuse,
            Outcome::InDoubt => RequestEvent::Lose,
        };
        task_context.end_open(&planned.id, event);
        drop(permit);
        result
    });
    task.await.unwrap_or_else(|_panicked| {
        let message = "the call ended without result";
        Err(RouteError::new(
            ErrorKind::NoAnswer,
            RequestStep::Dispatch,
            message,
        ))
    })
}

fn plan<ClockSource>(
    context: &EntryContext<ClockSource>,
    id: &RequestId,
    call: ServiceCall,
) -> Result<PlannedCall, RouteError>
where
    ClockSource: Clock,
{
    let table = context.table().current();
    let service = table.sheet.services.get(&call.service).ok_or_else(|| {
        let message = format!("there is no service {}", call.service);
        RouteError::not_found("service", message)
    })?;
    if service.settles && is_settlement_path(&call.path) {
        let message = "this path is not open to callers";
        return Err(RouteError::not_found("path", message));
    }
    let is_repeatable = service.repeatable && call.caller.repeatable.unwrap_or(true);
    let group = service_group(&call.service);
    let candidates = context
        .monitor()
        .candidates(&group, is_repeatable, CANDIDATES);
    if candidates.is_empty() {
        let message = "no replica is usable now";
        return Err(RouteError::new(
            ErrorKind::Overloaded,
            RequestStep::Planning,
            message,
        ));
    }
    Ok(PlannedCall {
        id: Arc::clone(id),
        candidates,
        is_repeatable,
        settles: service.settles,
        timeout: service.timeout,
        shard: None,
        call,
    })
}

/// Whether a path may reach a service's settlements, which are for the router alone.
fn is_settlement_path(path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let mut segments = path
        .split(['/', '\\'])
        .filter(|segment| !segment.is_empty());
    let has_dots = segments
        .clone()
        .any(|segment| matches!(segment, "." | ".."));
    let first = segments.next().unwrap_or_default();
    has_dots || first.contains('%') || first.eq_ignore_ascii_case("settlements")
}

async fn run<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    planned: &mut PlannedCall,
) -> Result<Response<ReplyBody>, RouteError>
where
    ClockSource: Clock,
{
    if !planned.is_repeatable
        && let Some(key) = planned.call.caller.idempotency_key.clone()
    {
        let call = claim_call(planned, organisation, key);
        match claim(context, &call).await? {
            ClaimVerdict::Run => {
                let key = ClaimKey {
                    organisation: call.organisation,
                    key: call.key,
                };
                planned.shard = Some(key.shard(context.claims().settings().shards));
            }
            ClaimVerdict::Earlier(view) => {
                context.apply(&planned.id, RequestEvent::Dispatch);
                return repeat_answer(&view);
            }
        }
    }
    context.apply(&planned.id, RequestEvent::Dispatch);
    let result = dispatch(context, planned).await;
    let result = resolve(context, planned, result).await;
    record(context, planned, &result);
    result.map(ServiceAnswer::into_reply)
}

fn claim_call(planned: &PlannedCall, organisation: &OrganisationId, key: Arc<str>) -> ClaimCall {
    let call = &planned.call;
    let parts = [
        call.service.as_bytes(),
        call.method.as_str().as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ];
    ClaimCall {
        id: Arc::clone(&planned.id),
        organisation: Arc::clone(organisation),
        key,
        fingerprint: RequestFingerprint::of(parts),
        candidates: planned.candidates.clone(),
        settles: planned.settles,
        abandoned_after: planned.timeout + ABANDONED_MARGIN,
        deadline: call.deadline,
    }
}

/// Sends the call to the first endpoint that can be reached.
async fn dispatch<ClockSource>(
    context: &EntryContext<ClockSource>,
    planned: &PlannedCall,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let end = planned
        .call
        .deadline
        .min(context.clock().now() + planned.timeout);
    let mut refusal = None;
    context.retries().borrow_mut().first_try();
    for endpoint in &planned.candidates {
        let is_retry = refusal.is_some();
        if is_retry && !context.retries().borrow_mut().take() {
            break;
        }
        if context.clock().now() >= end {
            break;
        }
        let attempt = ServiceAttempt {
            id: &planned.id,
            endpoint,
            call: &planned.call,
            end,
            is_fresh: !planned.is_repeatable,
        };
        match send(context, &attempt).await {
            Err(error) if error.is_not_run() => refusal = Some(error),
            result => return result,
        }
    }
    Err(refusal.unwrap_or_else(|| {
        let message = "the deadline passed before the call was sent";
        RouteError::new(ErrorKind::Deadline, RequestStep::Dispatch, message)
            .with_outcome(Outcome::NotRun)
    }))
}

/// Settles a call in doubt where the service can tell.
async fn resolve<ClockSource>(
    context: &EntryContext<ClockSource>,
    planned: &PlannedCall,
    result: Result<ServiceAnswer, RouteError>,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let is_open = match &result {
        // A service that settles refuses, with this status, what was settled as not run.
        Ok(answer) => answer.status() == CONFLICT_STATUS,
        Err(error) => !error.is_not_run(),
    };
    if planned.is_repeatable || !planned.settles || !is_open {
        return result;
    }
    let mut target = SettlementTarget {
        request: Arc::clone(&planned.id),
        candidates: planned.candidates.clone(),
        shard: planned.shard,
        deadline: planned.call.deadline,
    };
    match (settle(context, &target).await, result) {
        (Some(settlement), result) => settled(settlement, result),
        (None, Ok(answer)) => Ok(answer),
        (None, Err(error)) => {
            target.deadline = context.clock().now() + SETTLEMENT_TIME;
            settle_later(context, target);
            Err(error)
        }
    }
}

fn settled(
    settlement: Settlement,
    result: Result<ServiceAnswer, RouteError>,
) -> Result<ServiceAnswer, RouteError> {
    if !settlement.ran {
        let message = "the service confirms that the call did not run and never will";
        return Err(
            RouteError::new(ErrorKind::NoAnswer, RequestStep::Recovery, message)
                .with_outcome(Outcome::NotRun),
        );
    }
    result.or_else(|_lost| Ok(ServiceAnswer::from(settlement)))
}

/// Goes on asking after the caller was told that the call is in doubt.
fn settle_later<ClockSource>(context: &EntryContext<ClockSource>, target: SettlementTarget)
where
    ClockSource: Clock,
{
    let context = context.clone();
    actix_rt::spawn(async move {
        let event = match settle(&context, &target).await {
            Some(settlement) if settlement.ran => RequestEvent::SettleRan,
            Some(_refused) => RequestEvent::SettleNotRun,
            None => return,
        };
        context.apply(&target.request, event);
    });
}

/// Records the outcome with the claim, if the call has one.
fn record<ClockSource>(
    context: &EntryContext<ClockSource>,
    planned: &PlannedCall,
    result: &Result<ServiceAnswer, RouteError>,
) where
    ClockSource: Clock,
{
    let Some(shard) = planned.shard else {
        return;
    };
    let limit = context.claims().settings().answer_bytes;
    let (outcome, answer) = match result {
        Ok(answer) => (Outcome::Answered, Some(answer.recorded(limit))),
        Err(error) => (error.outcome(), None),
    };
    let record = OutcomeRecord {
        request: Arc::clone(&planned.id),
        outcome,
        answer,
    };
    context.claims().record(shard, record);
}
