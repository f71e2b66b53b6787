//! Claims for non-repeatable completions.

use std::sync::Arc;
use std::time::Duration;

use actix_http::Response;
use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimView, OutcomeRecord, RequestFingerprint, ShardIndex,
};
use dandeliondeal_types::{
    Clock, ErrorKind, OrganisationId, Outcome, RequestId, RequestStep, RouteError, Token,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::claim_flow::{ClaimCall, ClaimVerdict, claim, repeat_body};
use crate::completion_reply::{CompletionReply, TokenUsage};
use crate::completion_request::CompletionRequest;
use crate::entry_context::EntryContext;
use crate::generation::GenerationRequest;
use crate::reply;
use crate::token_text::token_text;
use dandeliondeal_http::response_body::ResponseBody;

/// Time added to the maximum deadline before a completion counts as abandoned.
const ABANDONED_MARGIN: Duration = Duration::from_secs(5);
/// Content type of an answer in the claim log.
const RECORDED_CONTENT_TYPE: &str = "application/json";

/// An answer as it is stored in the claim log.
#[derive(Debug, Serialize, Deserialize)]
struct RecordedCompletion {
    text: String,
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// A claim that the request owns.
///
/// If it is dropped before the request was started, the outcome is recorded as not run.
#[derive(Debug)]
pub struct OwnedClaim<ClockSource>
where
    ClockSource: Clock,
{
    context: EntryContext<ClockSource>,
    request: RequestId,
    shard: ShardIndex,
    is_finished: bool,
}

/// Result of claiming the key of a completion.
#[derive(Debug)]
pub enum CompletionClaim<ClockSource>
where
    ClockSource: Clock,
{
    /// The completion needs no claim.
    NotNeeded,
    /// The completion owns its key and may run.
    Owned(OwnedClaim<ClockSource>),
    /// An earlier request owns the key.
    Duplicate(ClaimView),
}

/// Claims the key of a non-repeatable completion, even if the caller disconnects meanwhile.
///
/// # Errors
///
/// Returns an error if the key was used for another request, or if the claim is not confirmed.
pub async fn claim_completion<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    key: Option<&Arc<str>>,
    request: &CompletionRequest,
    generation: &GenerationRequest,
) -> Result<CompletionClaim<ClockSource>, RouteError>
where
    ClockSource: Clock,
{
    let Some(key) = key.filter(|_key| !generation.repeatable) else {
        return Ok(CompletionClaim::NotNeeded);
    };
    let limit = context.settings().requests.deadline_limit;
    let call = ClaimCall {
        id: Arc::clone(&generation.id),
        organisation: Arc::clone(organisation),
        key: Arc::clone(key),
        fingerprint: fingerprint(request, generation),
        candidates: Vec::new(),
        can_settle: false,
        abandoned_after: limit + ABANDONED_MARGIN,
        deadline: generation.deadline,
    };
    let context = context.clone();
    let task = actix_rt::spawn(async move {
        Ok(match claim(&context, &call).await? {
            ClaimVerdict::Duplicate(view) => CompletionClaim::Duplicate(view),
            ClaimVerdict::Run => CompletionClaim::Owned(OwnedClaim::new(context, call)),
        })
    });
    task.await.unwrap_or_else(|_panicked| {
        let message = "the claim ended without result";
        Err(RouteError::new(
            ErrorKind::PlatformUnavailable,
            RequestStep::Claim,
            message,
        ))
    })
}

fn fingerprint(request: &CompletionRequest, generation: &GenerationRequest) -> RequestFingerprint {
    let max_tokens = generation.max_tokens.to_le_bytes();
    let parts: [&[u8]; 3] = [
        request.route.as_bytes(),
        request.prompt.as_bytes(),
        &max_tokens,
    ];
    RequestFingerprint::from_parts(parts)
}

impl<ClockSource> OwnedClaim<ClockSource>
where
    ClockSource: Clock,
{
    fn new(context: EntryContext<ClockSource>, call: ClaimCall) -> Self {
        let key = ClaimKey {
            organisation: call.organisation,
            key: call.key,
        };
        let shard = key.shard(context.claims().settings().shards);
        Self {
            context,
            request: call.id,
            shard,
            is_finished: false,
        }
    }

    /// Forwards tokens to the caller and collects the answer, even if the caller disconnects.
    pub async fn forward_tokens(
        mut tokens: mpsc::UnboundedReceiver<Token>,
        caller: mpsc::UnboundedSender<Token>,
    ) -> (String, u64) {
        let (mut text, mut count) = (String::new(), 0);
        while let Some(token) = tokens.recv().await {
            text.push_str(&token_text(token));
            count += 1;
            // The receiver is gone if the caller disconnected.
            let _ = caller.send(token);
        }
        (text, count)
    }

    /// Records the outcome of the request.
    pub fn finish(mut self, result: &Result<(), RouteError>, text: String, usage: TokenUsage) {
        self.is_finished = true;
        let (outcome, answer) = match result {
            Ok(()) => (Outcome::Answered, Some(self.recorded_answer(text, usage))),
            Err(error) => (error.outcome(), None),
        };
        self.record_outcome(outcome, answer);
    }

    fn recorded_answer(&self, text: String, usage: TokenUsage) -> ClaimAnswer {
        let completion = RecordedCompletion {
            text,
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
        };
        ClaimAnswer {
            status: 200,
            content_type: RECORDED_CONTENT_TYPE.into(),
            body: serde_json::to_string(&completion).ok().map(Into::into),
        }
        .with_body_limit(self.context.claims().settings().answer_bytes)
    }

    fn record_outcome(&self, outcome: Outcome, answer: Option<ClaimAnswer>) {
        let record = OutcomeRecord {
            request: Arc::clone(&self.request),
            outcome,
            answer,
        };
        self.context.claims().record(self.shard, record);
    }
}

impl<ClockSource> Drop for OwnedClaim<ClockSource>
where
    ClockSource: Clock,
{
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_outcome(Outcome::NotRun, None);
        }
    }
}

/// Returns the first request's answer, in the format that the repeated request asks for.
///
/// # Errors
///
/// Returns an error if the first request has no known outcome or its answer was too long to store.
pub fn repeat_completion(
    view: &ClaimView,
    request: &CompletionRequest,
    created: u64,
) -> Result<Response<ResponseBody>, RouteError> {
    let body = repeat_body(view)?;
    let recorded: RecordedCompletion = serde_json::from_str(body).map_err(|error| {
        RouteError::new(ErrorKind::BadAnswer, RequestStep::Claim, error.to_string())
            .with_outcome(Outcome::Answered)
    })?;
    let usage = TokenUsage::new(recorded.prompt_tokens, recorded.completion_tokens);
    let completion = CompletionReply {
        chat: request.chat,
        id: Arc::clone(&view.request),
        route: Arc::clone(&request.route),
        created,
    };
    let mut reply = if request.stream {
        reply::event_stream(stream_body(
            &completion,
            &recorded.text,
            usage,
            request.include_usage,
        ))
    } else {
        reply::json_bytes(completion.full_body(&recorded.text, usage))
    };
    reply::set_outcome(&mut reply, Outcome::Answered);
    reply::set_request_id(&mut reply, &view.request);
    Ok(reply)
}

fn stream_body(
    completion: &CompletionReply,
    text: &str,
    usage: TokenUsage,
    include_usage: bool,
) -> Vec<u8> {
    let mut stream = completion.chunk(text, true, false).to_vec();
    stream.extend_from_slice(&completion.chunk("", false, true));
    if include_usage {
        stream.extend_from_slice(&completion.usage_chunk(usage));
    }
    stream.extend_from_slice(&CompletionReply::end_of_stream());
    stream
}
