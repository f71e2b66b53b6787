//! What a claim means for a request: run it, give the first request's answer, or refuse.

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
use dandeliondeal_http::reply_body::ReplyBody;

/// Longest wait for the platform to confirm a claim.
const CONFIRM_TIME: Duration = Duration::from_secs(3);
/// Time between two looks at whether the instance that runs the first request is still there.
const OWNER_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a caller may try again while the platform is away.
const PLATFORM_WAIT: Duration = Duration::from_secs(2);

/// A request that wants a claim.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// The request.
    pub id: RequestId,
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Content of the request.
    pub fingerprint: RequestFingerprint,
    /// Endpoints that it may be sent to.
    pub candidates: Vec<EndpointId>,
    /// Whether those endpoints tell if a request ran.
    pub settles: bool,
    /// Time after which a request without outcome counts as given up by its instance.
    pub abandoned_after: Duration,
    /// When the wait is over.
    pub deadline: Instant,
}

/// What a claim came to.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The request holds its key and may run.
    Run,
    /// An earlier request holds the key; this is how it ended.
    Earlier(ClaimView),
}

/// Claims the key of a request, or waits for the request that holds it.
///
/// # Errors
///
/// The key stands for other content, or the claim is not confirmed. The request does not run, but
/// whether an earlier one with its key ran is then not known.
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
        let until = call.deadline.min(context.clock().now() + CONFIRM_TIME);
        match context.claims().claim(shard, record.clone(), until).await {
            ShardReply::Claimed => return Ok(ClaimVerdict::Run),
            ShardReply::Repeat(view) => {
                let view = await_first(context, shard, call, view).await;
                if view.state != ClaimState::NotRun {
                    return Ok(ClaimVerdict::Earlier(view));
                }
            }
            ShardReply::KeyReused => return Err(key_reused()),
            reply => return Err(unconfirmed(&reply)),
        }
    }
}

/// Waits until the first request has an outcome, is abandoned, or the deadline passes.
async fn await_first<ClockSource>(
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
    let left = (first.claimed_at + call.abandoned_after).saturating_sub(age);
    let until = call.deadline.min(now + left);
    let view = await_outcome(context, shard, first, until).await;
    let is_open = matches!(view.state, ClaimState::Running | ClaimState::InDoubt);
    if !is_open || context.clock().now() >= call.deadline || !call.settles {
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
    let task = ShardTask::Look(Arc::clone(&view.request));
    match context.claims().submit(shard, task, call.deadline).await {
        ShardReply::Found(Some(view)) => view,
        _ => view,
    }
}

/// Waits until a request has an outcome, its process is gone, or the time is over.
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
        let slice = until.min(now + OWNER_INTERVAL);
        if let ShardReply::Found(Some(found)) = context.claims().submit(shard, task, slice).await {
            view = found;
        }
        if view.state != ClaimState::Running {
            return view;
        }
    }
}

/// The answer to a repeat.
///
/// # Errors
///
/// The first request's outcome is not known, or its answer was too long to keep.
pub fn repeat_answer(view: &ClaimView) -> Result<Response<ReplyBody>, RouteError> {
    let body = repeat_body(view)?;
    let answer = view.answer.as_ref();
    Ok(recorded_reply(answer, body, &view.request))
}

/// The body of the first request's answer.
///
/// # Errors
///
/// The first request's outcome is not known, or its answer was too long to keep.
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
) -> Response<ReplyBody> {
    let status = answer.and_then(|answer| StatusCode::from_u16(answer.status).ok());
    let status = status.unwrap_or(StatusCode::OK);
    let mut reply = Response::with_body(status, ReplyBody::from(body.to_owned()));
    let content_type = answer.map_or("", |answer| &*answer.content_type);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        reply.headers_mut().insert(CONTENT_TYPE, value);
    }
    reply::set_outcome(&mut reply, Outcome::Answered);
    reply::set_request_id(&mut reply, request);
    reply
}

fn key_reused() -> RouteError {
    RouteError::new(
        ErrorKind::KeyReused,
        RequestStep::Claim,
        "the key was used for a request of other content",
    )
    .at("caller")
    .field("Idempotency-Key")
}

/// The request itself did not run, but an earlier one with its key may have: the log that tells
/// could not be read.
fn unconfirmed(reply: &ShardReply) -> RouteError {
    let message = format!("the claim was not confirmed, repeat with the same key: {reply:?}");
    RouteError::new(ErrorKind::PlatformUnavailable, RequestStep::Claim, message)
        .with_outcome(Outcome::InDoubt)
        .retry_after(PLATFORM_WAIT)
}
