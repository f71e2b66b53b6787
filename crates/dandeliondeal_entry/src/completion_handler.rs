//! Handles completions, from the caller's request to the streamed answer.

use std::sync::Arc;
use std::time::Instant;

use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_pipeline::SessionSettings;
use dandeliondeal_types::{
    Clock, ErrorKind, OrganisationId, Outcome, RequestId, RequestStep, RouteError, Token,
};
use tokio::sync::{mpsc, oneshot};

use crate::admission::AdmissionRequest;
use crate::admission_capacity::AdmissionTarget;
use crate::caller_headers::CallerHeaders;
use crate::completion_claim::{CompletionClaim, OwnedClaim, claim_completion, repeat_completion};
use crate::completion_reply::{CompletionReply, TokenUsage};
use crate::completion_request::CompletionRequest;
use crate::engine_http::EngineHttp;
use crate::entry_context::EntryContext;
use crate::generation::{GenerationContext, GenerationRequest, generate};
use crate::reply;
use crate::request_registry::RequestEvent;
use crate::route_table::RouteTable;
use crate::token_text::{prompt_tokens, token_text};
use crate::watched_engine::WatchedEngine;
use dandeliondeal_http::response_body::ResponseBody;

/// Maximum number of chunks that wait for the caller's connection.
///
/// The token queue before them is bounded only by the request's token count, so that an engine
/// never waits for a slow caller.
const CHUNK_BUFFER: usize = 64;

/// A running completion: its tokens, followed by its result.
#[derive(Debug)]
struct RunningCompletion {
    tokens: mpsc::UnboundedReceiver<Token>,
    result: oneshot::Receiver<Result<(), RouteError>>,
    reply: CompletionReply,
    prompt_tokens: u64,
    include_usage: bool,
}

/// Runs a completion and returns its answer.
///
/// # Errors
///
/// Returns the error that ends the request: before its first token if the answer is streamed,
/// otherwise at any time.
pub async fn complete<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &RequestId,
    headers: &CallerHeaders,
    request: CompletionRequest,
) -> Result<Response<ResponseBody>, RouteError>
where
    ClockSource: Clock,
{
    let table = context.table().current();
    let arrival = context.clock().now();
    let generation = generation_request(
        &table,
        id,
        headers,
        &request,
        request_deadline(context, headers),
    )?;
    let prompt_tokens = generation.prompt.len() as u64;
    let permit = context
        .admission()
        .admit(AdmissionRequest {
            organisation: Arc::clone(organisation),
            target: AdmissionTarget::Model(Arc::clone(&generation.model)),
            tokens: prompt_tokens + u64::from(generation.max_tokens),
            priority: generation.priority,
            deadline: generation.deadline,
        })
        .await?;
    context.apply(id, RequestEvent::Admit);
    context
        .metrics()
        .observe_part(RequestStep::Admission, context.clock().now() - arrival);

    let key = headers.idempotency_key.as_ref();
    let claim = match claim_completion(context, organisation, key, &request, &generation).await? {
        CompletionClaim::NotNeeded => None,
        CompletionClaim::Owned(_unused) if context.clock().now() >= generation.deadline => {
            return Err(deadline_error());
        }
        CompletionClaim::Owned(claim) => Some(claim),
        CompletionClaim::Duplicate(view) => {
            context.apply(id, RequestEvent::Dispatch);
            let reply = repeat_completion(&view, &request, context.unix_seconds())?;
            context.apply_if_open(id, RequestEvent::Complete);
            return Ok(reply);
        }
    };

    let (token_tx, tokens) = mpsc::unbounded_channel();
    let (result_tx, result) = oneshot::channel();
    let task_context = context.clone();
    actix_rt::spawn(async move {
        match claim {
            None => run_generation(task_context, table, generation, token_tx, result_tx).await,
            Some(claim) => {
                run_claimed(task_context, table, generation, token_tx, result_tx, claim).await;
            }
        }
        drop(permit);
    });
    let running = RunningCompletion {
        tokens,
        result,
        reply: CompletionReply {
            chat: request.chat,
            id: Arc::clone(id),
            route: request.route,
            created: context.unix_seconds(),
        },
        prompt_tokens,
        include_usage: request.include_usage,
    };
    if request.stream {
        stream_answer(running).await
    } else {
        full_answer(running).await
    }
}

/// Returns the time at which the caller stops waiting for the answer.
pub fn request_deadline<ClockSource>(
    context: &EntryContext<ClockSource>,
    headers: &CallerHeaders,
) -> Instant
where
    ClockSource: Clock,
{
    let settings = &context.settings().requests;
    let wait = headers
        .deadline
        .unwrap_or(settings.deadline)
        .min(settings.deadline_limit);
    context.clock().now() + wait
}

fn generation_request(
    table: &RouteTable,
    id: &RequestId,
    headers: &CallerHeaders,
    request: &CompletionRequest,
    deadline: Instant,
) -> Result<GenerationRequest, RouteError> {
    let sheet = &table.sheet;
    let unknown_model = || {
        let message = format!("there is no model {}", request.route);
        RouteError::not_found("model", message)
    };
    let route = sheet.routes.get(&request.route).ok_or_else(unknown_model)?;
    let pipeline = sheet
        .pipelines
        .get(&route.pipeline)
        .ok_or_else(unknown_model)?;
    let model = sheet
        .models
        .get(&pipeline.model)
        .ok_or_else(unknown_model)?;
    let prompt = prompt_tokens(&request.prompt);
    let total = prompt.len() as u64 + u64::from(request.max_tokens);
    if total > u64::from(model.context_tokens) {
        let message = format!(
            "prompt and answer have {total} tokens; the model takes {}",
            model.context_tokens
        );
        return Err(RouteError::invalid_input("max_tokens", message));
    }
    Ok(GenerationRequest {
        id: Arc::clone(id),
        model: Arc::clone(&pipeline.model),
        failure_domains: pipeline.failure_domains.clone(),
        prompt,
        max_tokens: request.max_tokens,
        priority: route.priority,
        repeatable: headers.repeatable.unwrap_or(true) && route.repeatable,
        deadline,
    })
}

/// Runs the generation to its end, even if the caller disconnects.
async fn run_generation<ClockSource>(
    context: EntryContext<ClockSource>,
    table: Arc<RouteTable>,
    generation: GenerationRequest,
    tokens: mpsc::UnboundedSender<Token>,
    result_sender: oneshot::Sender<Result<(), RouteError>>,
) where
    ClockSource: Clock,
{
    let id = Arc::clone(&generation.id);
    let engine = EngineHttp::new(context.pool().clone(), Arc::clone(&table));
    let engine = WatchedEngine::new(engine, context.monitor().clone());
    context.apply(&id, RequestEvent::Dispatch);
    let site = generation_context(&context, table, engine);
    let result = generate(&site, &generation, &tokens).await;
    context.apply(&id, result_event(&result));
    if let Err(error) = &result {
        tracing::warn!(request = &*id, %error, outcome = %error.outcome(), "request failed");
    }
    // The receiver is gone if the caller disconnected; the registry stores the outcome.
    drop(result_sender.send(result));
}

fn generation_context<ClockSource>(
    context: &EntryContext<ClockSource>,
    table: Arc<RouteTable>,
    engine: WatchedEngine<EngineHttp, ClockSource>,
) -> GenerationContext<WatchedEngine<EngineHttp, ClockSource>, ClockSource>
where
    ClockSource: Clock,
{
    let settings = context.settings();
    GenerationContext {
        engine,
        clock: context.clock().clone(),
        table,
        engine_use: context.engine_use().clone(),
        monitor: context.monitor().clone(),
        log_budget: context.log_budget().clone(),
        settings: SessionSettings {
            life: settings.requests.session_life,
            least_timeout: settings.requests.step_floor,
            most_timeout: settings.requests.step_limit,
            ..SessionSettings::default()
        },
        instance_domain: Arc::clone(&settings.instance.failure_domain),
        metrics: context.metrics().clone(),
    }
}

/// Runs a claimed generation and records its answer, even if the caller disconnects.
async fn run_claimed<ClockSource>(
    context: EntryContext<ClockSource>,
    table: Arc<RouteTable>,
    generation: GenerationRequest,
    tokens: mpsc::UnboundedSender<Token>,
    result_sender: oneshot::Sender<Result<(), RouteError>>,
    claim: OwnedClaim<ClockSource>,
) where
    ClockSource: Clock,
{
    let prompt_tokens = generation.prompt.len() as u64;
    let (sender, receiver) = mpsc::unbounded_channel();
    let (inner_sender, inner_result) = oneshot::channel();
    let run = run_generation(context, table, generation, sender, inner_sender);
    let forward = OwnedClaim::<ClockSource>::forward_tokens(receiver, tokens);
    let ((), (text, count)) = futures_util::future::join(run, forward).await;
    let result = await_result(inner_result).await;
    claim.finish(&result, text, TokenUsage::new(prompt_tokens, count));
    // The receiver is gone if the caller disconnected.
    drop(result_sender.send(result));
}

fn result_event(result: &Result<(), RouteError>) -> RequestEvent {
    match result {
        Ok(()) => RequestEvent::Complete,
        Err(error) if error.is_not_run() => RequestEvent::Refuse,
        Err(_) => RequestEvent::Lose,
    }
}

async fn full_answer(mut running: RunningCompletion) -> Result<Response<ResponseBody>, RouteError> {
    let mut text = String::new();
    let mut count = 0;
    while let Some(token) = running.tokens.recv().await {
        text.push_str(&token_text(token));
        count += 1;
    }
    await_result(running.result).await?;
    let usage = TokenUsage::new(running.prompt_tokens, count);
    let body = running.reply.full_body(&text, usage);
    let mut reply = Response::with_body(StatusCode::OK, ResponseBody::from(body));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply::set_outcome(&mut reply, Outcome::Answered);
    Ok(reply)
}

/// Streams the answer, and starts the reply with the first token.
///
/// A request that fails before its first token thus gets a reply with an error status.
async fn stream_answer(
    mut running: RunningCompletion,
) -> Result<Response<ResponseBody>, RouteError> {
    let Some(first) = running.tokens.recv().await else {
        await_result(running.result).await?;
        return Err(missing_result_error());
    };
    let (chunks, body) = mpsc::channel(CHUNK_BUFFER);
    actix_rt::spawn(send_chunks(running, first, chunks));
    let mut reply = Response::with_body(StatusCode::OK, ResponseBody::Stream(body));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    // The outcome is unknown while the answer is streamed; the last event contains it.
    reply::set_outcome(&mut reply, Outcome::InDoubt);
    Ok(reply)
}

async fn send_chunks(mut running: RunningCompletion, first: Token, chunks: mpsc::Sender<Bytes>) {
    let mut count = 0;
    let mut next = Some(first);
    while let Some(token) = next {
        let chunk = running.reply.chunk(&token_text(token), count == 0, false);
        if chunks.send(chunk).await.is_err() {
            return;
        }
        count += 1;
        next = running.tokens.recv().await;
    }
    let last = match await_result(running.result).await {
        Ok(()) => {
            let usage = TokenUsage::new(running.prompt_tokens, count);
            let mut end = running.reply.chunk("", false, true).to_vec();
            if running.include_usage {
                end.extend_from_slice(&running.reply.usage_chunk(usage));
            }
            end.extend_from_slice(&CompletionReply::end_of_stream());
            Bytes::from(end)
        }
        Err(error) => CompletionReply::error_event(&error),
    };
    // The receiver is gone if the caller disconnected.
    drop(chunks.send(last).await);
}

async fn await_result(
    receiver: oneshot::Receiver<Result<(), RouteError>>,
) -> Result<(), RouteError> {
    receiver
        .await
        .unwrap_or_else(|_| Err(missing_result_error()))
}

fn deadline_error() -> RouteError {
    let message = "the deadline passed before the request was started";
    RouteError::new(ErrorKind::Deadline, RequestStep::Claim, message).with_outcome(Outcome::NotRun)
}

fn missing_result_error() -> RouteError {
    RouteError::new(
        ErrorKind::NoAnswer,
        RequestStep::Decode,
        "the generation ended without result",
    )
}
