//! Claims a request's key and decides: run it, return the first request's answer, or reject it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimRecord, ClaimState, ClaimView, RequestFingerprint, ShardIndex,
    ShardReply, ShardTask,
};
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, OrganisationId, Outcome, RequestId, RequestStep, RouteError,
};

use crate::entry_context::EntryContext;
use crate::reply;
use crate::settlement::{SettlementTarget, settle};
use dandeliondeal_http::response_body::ResponseBody;

/// Maximum wait for the platform to confirm a claim.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks whether the process that runs the first request is still alive.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay for callers while the platform is unavailable.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request whose key is to be claimed.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// Id of the request.
    pub id: RequestId,
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Fingerprint of the request content.
    pub fingerprint: RequestFingerprint,
    /// Endpoints that the request may be sent to.
    pub candidates: Vec<EndpointId>,
    /// Whether those endpoints can report if a request ran.
    pub can_settle: bool,
    /// Time after which a request without an outcome counts as abandoned by its instance.
    pub abandoned_after: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The request owns its key and may run.
    Run,
    /// An earlier request owns the key; this is its state.
    Duplicate(ClaimView),
}

/// Claims the key of a request, or waits for the request that owns it.
///
/// # Errors
///
/// Returns an error if the key was used with other content, or if the claim is not confirmed. The
/// request does not run; if the claim is not confirmed, an earlier one with its key may have run.
pub async fn claim<ClockSource>(
    context: &EntryContext<ClockSource>,
    call: &ClaimCall,
) -> Result<ClaimVerdict, RouteError>
where
    ClockSource: Clock,
{
    let key = ClaimKey {
        organisation: Arc::clone(&call.organisation),
        key: Arc::clone(&call.key),
    };
    let shard = key.shard(context.claims().settings().shards);
    let record = ClaimRecord {
        key,
        fingerprint: call.fingerprint,
        request: Arc::clone(&call.id),
        candidates: call.candidates.clone(),
    };
    loop {
        let until = call.deadline.min(context.clock().now() + CONFIRM_TIMEOUT);
        match context.claims().claim(shard, record.clone(), until).await {
            ShardReply::Claimed => return Ok(ClaimVerdict::Run),
            ShardReply::Repeat(view) => {
                let view = await_first_request(context, shard, call, view).await;
                if view.state != ClaimState::NotRun {
                    return Ok(ClaimVerdict::Duplicate(view));
                }
            }
            ShardReply::KeyReused => return Err(key_reused_error()),
            reply => return Err(unconfirmed_error(&reply)),
        }
    }
}

/// Waits until the first request has an outcome or is abandoned, or the deadline passes.
async fn await_first_request<ClockSource>(
    context: &EntryContext<ClockSource>,
    shard: ShardIndex,
    call: &ClaimCall,
    first: ClaimView,
) -> ClaimView
where
    ClockSource: Clock,
{
    let now = context.clock().now();
    let age = context.claims().shard_age(shard);
    let remaining = (first.claimed_at + call.abandoned_after).saturating_sub(age);
    let until = call.deadline.min(now + remaining);
    let view = await_outcome(context, shard, first, until).await;
    let is_open = matches!(view.state, ClaimState::Running | ClaimState::InDoubt);
    if !is_open || context.clock().now() >= call.deadline || !call.can_settle {
        return view;
    }
    let target = SettlementTarget {
        request: Arc::clone(&view.request),
        candidates: view
            .claim
            .as_ref()
            .map_or_else(Vec::new, |claim| claim.candidates.clone()),
        shard: Some(shard),
        deadline: call.deadline,
    };
    settle(context, &target).await;
    let task = ShardTask::Find(Arc::clone(&view.request));
    match context.claims().submit(shard, task, call.deadline).await {
        ShardReply::Found(Some(view)) => view,
        _ => view,
    }
}

/// Waits until a request has an outcome, its process is gone, or `until` is reached.
async fn await_outcome<ClockSource>(
    context: &EntryContext<ClockSource>,
    shard: ShardIndex,
    first: ClaimView,
    until: Instant,
) -> ClaimView
where
    ClockSource: Clock,
{
    let mut view = first;
    loop {
        let now = context.clock().now();
        let is_gone = context.claims().route().is_owner_gone(&view.request);
        if now >= until || is_gone {
            return view;
        }
        let task = ShardTask::Await(Arc::clone(&view.request));
        let slice_end = until.min(now + OWNER_CHECK_INTERVAL);
        if let ShardReply::Found(Some(found)) =
            context.claims().submit(shard, task, slice_end).await
        {
            view = found;
        }
        if view.state != ClaimState::Running {
            return view;
        }
    }
}

/// Returns the recorded answer as the reply to a repeated request.
///
/// # Errors
///
/// Returns an error if the first request has no known outcome or its answer was too long to store.
pub fn repeat_answer(view: &ClaimView) -> Result<Response<ResponseBody>, RouteError> {
    let body = repeat_body(view)?;
    let answer = view.answer.as_ref();
    Ok(recorded_reply(answer, body, &view.request))
}

/// Returns the body of the first request's answer.
///
/// # Errors
///
/// Returns an error if the first request has no known outcome or its answer was too long to store.
pub fn repeat_body(view: &ClaimView) -> Result<&str, RouteError> {
    let Some(answer) = view.answer.as_ref() else {
        let message = format!(
            "request {} holds the key and has no outcome yet",
            view.request
        );
        return Err(
            RouteError::new(ErrorKind::NoAnswer, RequestStep::Claim, message)
                .with_outcome(Outcome::InDoubt),
        );
    };
    answer.body.as_deref().ok_or_else(|| {
        let message = format!(
            "the answer of request {} was too long to keep",
            view.request
        );
        RouteError::new(ErrorKind::Gone, RequestStep::Claim, message)
            .with_outcome(Outcome::Answered)
    })
}

fn recorded_reply(
    answer: Option<&ClaimAnswer>,
    body: &str,
    request: &RequestId,
) -> Response<ResponseBody> {
    let status = answer.and_then(|answer| StatusCode::from_u16(answer.status).ok());
    let status = status.unwrap_or(StatusCode::OK);
    let mut reply = Response::with_body(status, ResponseBody::from(body.to_owned()));
    let content_type = answer.map_or("", |answer| &*answer.content_type);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        reply.headers_mut().insert(CONTENT_TYPE, value);
    }
    reply::set_outcome(&mut reply, Outcome::Answered);
    reply::set_request_id(&mut reply, request);
    reply
}

fn key_reused_error() -> RouteError {
    RouteError::new(
        ErrorKind::KeyReused,
        RequestStep::Claim,
        "the key was used for a request of other content",
    )
    .at("caller")
    .field("Idempotency-Key")
}

/// Returns the error for a claim that the platform did not confirm.
///
/// The request itself did not run, but an earlier one with its key may have: the claim log that
/// records this could not be read.
fn unconfirmed_error(reply: &ShardReply) -> RouteError {
    let message = format!("the claim was not confirmed, repeat with the same key: {reply:?}");
    RouteError::new(ErrorKind::PlatformUnavailable, RequestStep::Claim, message)
        .with_outcome(Outcome::InDoubt)
        .retry_after(PLATFORM_RETRY_AFTER)
}
