//! Calls to plain services.
//!
//! A call is written to one endpoint once; another endpoint is tried only if no connection was
//! opened. If the call may have run, its failure is returned to the caller. A non-repeatable call
//! uses a new connection and, if it has an idempotency key, claims the key first.

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
use crate::admission_capacity::AdmissionTarget;
use crate::caller_headers::CallerHeaders;
use crate::claim_flow::{ClaimCall, ClaimVerdict, claim, repeat_answer};
use crate::entry_context::EntryContext;
use crate::request_registry::RequestEvent;
use crate::service_dispatch::{ServiceAnswer, ServiceAttempt, send_attempt};
use crate::settlement::{Settlement, SettlementTarget, settle};
use crate::shared_monitor::service_group;
use dandeliondeal_http::response_body::ResponseBody;

/// Maximum number of endpoints that one call may be sent to.
const MAX_CANDIDATES: usize = 3;
/// Time added to a service's timeout before its calls count as abandoned.
const ABANDONED_MARGIN: Duration = Duration::from_secs(2);
/// Time for which settlement of a call in doubt is attempted after the reply to the caller.
const BACKGROUND_SETTLEMENT_TIME: Duration = Duration::from_mins(10);
/// HTTP status of a service that refuses a request settled as not run; may have other causes.
const CONFLICT_STATUS: u16 = 409;

/// A call as received from the caller.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Service to call.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, with a leading `/`.
    pub path: Arc<str>,
    /// Request body.
    pub body: Bytes,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Options that the caller set in headers.
    pub caller: CallerHeaders,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// A call with its candidate endpoints and the properties of its service.
#[derive(Debug)]
struct PlannedCall {
    id: RequestId,
    call: ServiceCall,
    candidates: Vec<EndpointId>,
    is_repeatable: bool,
    can_settle: bool,
    timeout: Duration,
    shard: Option<ShardIndex>,
}

/// Runs a call to a plain service and returns its answer.
///
/// # Errors
///
/// Returns the error that ended the call.
pub async fn call_service<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &RequestId,
    call: ServiceCall,
) -> Result<Response<ResponseBody>, RouteError>
where
    ClockSource: Clock,
{
    let deadline = call.deadline;
    let mut planned = plan_call(context, id, call)?;
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
    // The call runs in its own task, so that it continues if the caller disconnects.
    let task = actix_rt::spawn(async move {
        let result = run_call(&task_context, &organisation, &mut planned).await;
        let outcome = result
            .as_ref()
            .map_or_else(RouteError::outcome, |_reply| Outcome::Answered);
        let event = match outcome {
            Outcome::Answered => RequestEvent::Complete,
            Outcome::NotRun => RequestEvent::Refuse,
            Outcome::InDoubt => RequestEvent::Lose,
        };
        task_context.apply_if_open(&planned.id, event);
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

fn plan_call<ClockSource>(
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
        .candidates(&group, is_repeatable, MAX_CANDIDATES);
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
        can_settle: service.settles,
        timeout: service.timeout,
        shard: None,
        call,
    })
}

/// Returns whether a path may reach a service's settlement API, which only the router may use.
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

async fn run_call<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    planned: &mut PlannedCall,
) -> Result<Response<ResponseBody>, RouteError>
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
            ClaimVerdict::Duplicate(view) => {
                context.apply(&planned.id, RequestEvent::Dispatch);
                return repeat_answer(&view);
            }
        }
    }
    context.apply(&planned.id, RequestEvent::Dispatch);
    let result = dispatch_call(context, planned).await;
    let result = settle_if_in_doubt(context, planned, result).await;
    record_outcome(context, planned, &result);
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
        fingerprint: RequestFingerprint::from_parts(parts),
        candidates: planned.candidates.clone(),
        can_settle: planned.can_settle,
        abandoned_after: planned.timeout + ABANDONED_MARGIN,
        deadline: call.deadline,
    }
}

/// Sends the call to the first reachable endpoint.
async fn dispatch_call<ClockSource>(
    context: &EntryContext<ClockSource>,
    planned: &PlannedCall,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let deadline = planned
        .call
        .deadline
        .min(context.clock().now() + planned.timeout);
    let mut refusal = None;
    context.retry_budget().borrow_mut().record_request();
    for endpoint in &planned.candidates {
        let is_retry = refusal.is_some();
        if is_retry && !context.retry_budget().borrow_mut().try_take() {
            break;
        }
        if context.clock().now() >= deadline {
            break;
        }
        let attempt = ServiceAttempt {
            id: &planned.id,
            endpoint,
            call: &planned.call,
            deadline,
            uses_new_connection: !planned.is_repeatable,
        };
        match send_attempt(context, &attempt).await {
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

/// Settles a call in doubt if the service supports settlement.
async fn settle_if_in_doubt<ClockSource>(
    context: &EntryContext<ClockSource>,
    planned: &PlannedCall,
    result: Result<ServiceAnswer, RouteError>,
) -> Result<ServiceAnswer, RouteError>
where
    ClockSource: Clock,
{
    let is_in_doubt = match &result {
        // A service with settlement refuses requests that were settled as not run with this status.
        Ok(answer) => answer.status() == CONFLICT_STATUS,
        Err(error) => !error.is_not_run(),
    };
    if planned.is_repeatable || !planned.can_settle || !is_in_doubt {
        return result;
    }
    let mut target = SettlementTarget {
        request: Arc::clone(&planned.id),
        candidates: planned.candidates.clone(),
        shard: planned.shard,
        deadline: planned.call.deadline,
    };
    match (settle(context, &target).await, result) {
        (Some(settlement), result) => settled_result(settlement, result),
        (None, Ok(answer)) => Ok(answer),
        (None, Err(error)) => {
            target.deadline = context.clock().now() + BACKGROUND_SETTLEMENT_TIME;
            settle_in_background(context, target);
            Err(error)
        }
    }
}

fn settled_result(
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

/// Continues settlement in the background after the caller was told that the call is in doubt.
fn settle_in_background<ClockSource>(context: &EntryContext<ClockSource>, target: SettlementTarget)
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

/// Records the outcome with the claim, if the call has a claim.
fn record_outcome<ClockSource>(
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
        Ok(answer) => (Outcome::Answered, Some(answer.to_claim_answer(limit))),
        Err(error) => (error.outcome(), None),
    };
    let record = OutcomeRecord {
        request: Arc::clone(&planned.id),
        outcome,
        answer,
    };
    context.claims().record(shard, record);
}
