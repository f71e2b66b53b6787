//! Completions: from the caller's request to the streamed answer.

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
use crate::admission_sites::AdmissionTarget;
use crate::caller_headers::CallerHeaders;
use crate::completion_claim::{CompletionClaim, HeldClaim, claim_completion, repeat_completion};
use crate::completion_reply::{CompletionReply, TokenUsage};
use crate::completion_request::CompletionRequest;
use crate::engine_http::EngineHttp;
use crate::entry_context::EntryContext;
use crate::generation::{GenerationRequest, GenerationSite, generate};
use crate::reply;
use crate::request_life::RequestEvent;
use crate::route_table::RouteTable;
use crate::token_text::{prompt_tokens, token_text};
use crate::watched_engine::WatchedEngine;
use dandeliondeal_http::reply_body::ReplyBody;

/// Chunks that may wait for the caller's connection.
///
/// The tokens before them are bounded by the request's own number; an engine is never made to wait
/// for a slow caller.
const CHUNK_BUFFER: usize = 64;

/// A completion that runs: its tokens, then its end.
#[derive(Debug)]
struct RunningCompletion {
    tokens: mpsc::UnboundedReceiver<Token>,
    end: oneshot::Receiver<Result<(), RouteError>>,
    reply: CompletionReply,
    prompt_tokens: u64,
    include_usage: bool,
}

/// Answers a completion.
///
/// # Errors
///
/// The error that ends the request before its first token, or at any time if it is not streamed.
pub async fn complete<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &RequestId,
    headers: &CallerHeaders,
    request: CompletionRequest,
) -> Result<Response<ReplyBody>, RouteError>
where
    ClockSource: Clock,
{
    let table = context.table().current();
    let arrival = context.clock().now();
    let generation = generation_request(&table, id, headers, &request, deadline(context, headers))?;
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
        .part(RequestStep::Admission, context.clock().now() - arrival);

    let key = headers.idempotency_key.as_ref();
    let held = match claim_completion(context, organisation, key, &request, &generation).await? {
        CompletionClaim::Unclaimed => None,
        CompletionClaim::Held(_unused) if context.clock().now() >= generation.deadline => {
            return Err(late_claim());
        }
        CompletionClaim::Held(held) => Some(held),
        CompletionClaim::Earlier(view) => {
            context.apply(id, RequestEvent::Dispatch);
            let reply = repeat_completion(&view, &request, context.unix_seconds())?;
            context.end_open(id, RequestEvent::Complete);
            return Ok(reply);
        }
    };

    let (token_sender, tokens) = mpsc::unbounded_channel();
    let (end_sender, end) = oneshot::channel();
    let task_context = context.clone();
    actix_rt::spawn(async move {
        match held {
            None => run_generation(task_context, table, generation, token_sender, end_sender).await,
            Some(held) => {
                run_claimed(
                    task_context,
                    table,
                    generation,
                    token_sender,
                    end_sender,
                    held,
                )
                .await;
            }
        }
        drop(permit);
    });
    let running = RunningCompletion {
        tokens,
        end,
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
        whole_answer(running).await
    }
}

/// When the wait for a request's answer is over.
pub fn deadline<ClockSource>(
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
    let unknown = || {
        let message = format!("there is no model {}", request.route);
        RouteError::not_found("model", message)
    };
    let route = sheet.routes.get(&request.route).ok_or_else(unknown)?;
    let pipeline = sheet.pipelines.get(&route.pipeline).ok_or_else(unknown)?;
    let model = sheet.models.get(&pipeline.model).ok_or_else(unknown)?;
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
        domains: pipeline.failure_domains.clone(),
        prompt,
        max_tokens: request.max_tokens,
        priority: route.priority,
        repeatable: headers.repeatable.unwrap_or(true) && route.repeatable,
        deadline,
    })
}

/// Runs the generation to its end, whether or not the caller still listens.
async fn run_generation<ClockSource>(
    context: EntryContext<ClockSource>,
    table: Arc<RouteTable>,
    generation: GenerationRequest,
    tokens: mpsc::UnboundedSender<Token>,
    end: oneshot::Sender<Result<(), RouteError>>,
) where
    ClockSource: Clock,
{
    let id = Arc::clone(&generation.id);
    let engine = EngineHttp::new(context.pool().clone(), Arc::clone(&table));
    let engine = WatchedEngine::new(engine, context.monitor().clone());
    context.apply(&id, RequestEvent::Dispatch);
    let site = generation_site(&context, table, engine);
    let result = generate(&site, &generation, &tokens).await;
    context.apply(&id, end_event(&result));
    if let Err(error) = &result {
        tracing::warn!(request = &*id, %error, outcome = %error.outcome(), "request failed");
    }
    // The receiver is gone if the caller left; the registry keeps the outcome.
    drop(end.send(result));
}

fn generation_site<ClockSource>(
    context: &EntryContext<ClockSource>,
    table: Arc<RouteTable>,
    engine: WatchedEngine<EngineHttp, ClockSource>,
) -> GenerationSite<WatchedEngine<EngineHttp, ClockSource>, ClockSource>
where
    ClockSource: Clock,
{
    let settings = context.settings();
    GenerationSite {
        engine,
        clock: context.clock().clone(),
        table,
        engines: context.engines().clone(),
        monitor: context.monitor().clone(),
        budget: context.budget().clone(),
        settings: SessionSettings {
            life: settings.requests.session_life,
            least_timeout: settings.requests.step_floor,
            most_timeout: settings.requests.step_limit,
            ..SessionSettings::default()
        },
        home: Arc::clone(&settings.instance.failure_domain),
        metrics: context.metrics().clone(),
    }
}

/// Runs a claimed generation and records its answer, whether or not the caller still listens.
async fn run_claimed<ClockSource>(
    context: EntryContext<ClockSource>,
    table: Arc<RouteTable>,
    generation: GenerationRequest,
    tokens: mpsc::UnboundedSender<Token>,
    end: oneshot::Sender<Result<(), RouteError>>,
    held: HeldClaim<ClockSource>,
) where
    ClockSource: Clock,
{
    let prompt_tokens = generation.prompt.len() as u64;
    let (sender, received) = mpsc::unbounded_channel();
    let (end_sender, inner_end) = oneshot::channel();
    let run = run_generation(context, table, generation, sender, end_sender);
    let relay = HeldClaim::<ClockSource>::relay(received, tokens);
    let ((), (text, count)) = futures_util::future::join(run, relay).await;
    let result = end_of(inner_end).await;
    held.finish(&result, text, TokenUsage::new(prompt_tokens, count));
    // The receiver is gone if the caller left.
    drop(end.send(result));
}

fn end_event(result: &Result<(), RouteError>) -> RequestEvent {
    match result {
        Ok(()) => RequestEvent::Complete,
        Err(error) if error.is_not_run() => RequestEvent::Refuse,
        Err(_) => RequestEvent::Lose,
    }
}

async fn whole_answer(mut running: RunningCompletion) -> Result<Response<ReplyBody>, RouteError> {
    let mut text = String::new();
    let mut count = 0;
    while let Some(token) = running.tokens.recv().await {
        text.push_str(&token_text(token));
        count += 1;
    }
    end_of(running.end).await?;
    let usage = TokenUsage::new(running.prompt_tokens, count);
    let body = running.reply.whole(&text, usage);
    let mut reply = Response::with_body(StatusCode::OK, ReplyBody::from(body));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply::set_outcome(&mut reply, Outcome::Answered);
    Ok(reply)
}

/// Waits for the first token, so that a request that fails before it gets a proper status.
async fn stream_answer(mut running: RunningCompletion) -> Result<Response<ReplyBody>, RouteError> {
    let Some(first) = running.tokens.recv().await else {
        end_of(running.end).await?;
        return Err(lost_end());
    };
    let (chunks, body) = mpsc::channel(CHUNK_BUFFER);
    actix_rt::spawn(send_chunks(running, first, chunks));
    let mut reply = Response::with_body(StatusCode::OK, ReplyBody::Stream(body));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    // The outcome is not known while the answer is under way; its last event tells it.
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
    let last = match end_of(running.end).await {
        Ok(()) => {
            let usage = TokenUsage::new(running.prompt_tokens, count);
            let mut end = running.reply.chunk("", false, true).to_vec();
            if running.include_usage {
                end.extend_from_slice(&running.reply.usage_chunk(usage));
            }
            end.extend_from_slice(&CompletionReply::done());
            Bytes::from(end)
        }
        Err(error) => CompletionReply::failed(&error),
    };
    // Nobody is left to be told if the caller went away.
    drop(chunks.send(last).await);
}

async fn end_of(end: oneshot::Receiver<Result<(), RouteError>>) -> Result<(), RouteError> {
    end.await.unwrap_or_else(|_| Err(lost_end()))
}

fn late_claim() -> RouteError {
    let message = "the deadline passed before the request was started";
    RouteError::new(ErrorKind::Deadline, RequestStep::Claim, message).with_outcome(Outcome::NotRun)
}

fn lost_end() -> RouteError {
    RouteError::new(
        ErrorKind::NoAnswer,
        RequestStep::Decode,
        "the generation ended without result",
    )
}
