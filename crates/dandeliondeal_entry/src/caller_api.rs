//! The API for callers: dispatches each path to its handler.

use std::sync::Arc;

use actix_http::HttpMessage;
use actix_http::header::HeaderMap;
use actix_http::{Method, Request, Response, StatusCode};
use dandeliondeal_types::{Clock, OrganisationId, Outcome, RequestId, RouteError};

use crate::body_reader::{BodySettings, read_body};
use crate::caller_headers::{CallerHeaders, bearer_key};
use crate::completion_handler::{complete, request_deadline};
use crate::completion_reply::{ModelEntry, ModelList};
use crate::completion_request::CompletionRequest;
use crate::entry_context::EntryContext;
use crate::reply::{self, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use crate::request_lookup::lookup_status;
use crate::request_registry::RequestEvent;
use crate::service_call::{ServiceCall, call_service};
use dandeliondeal_http::response_body::ResponseBody;

const SERVICE_PREFIX: &str = "/v1/services/";
const REQUEST_PREFIX: &str = "/v1/requests/";

/// Handles one request of a caller.
pub async fn handle<ClockSource>(
    context: EntryContext<ClockSource>,
    request: Request,
) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    let mut reply = match authorise(&context, request.headers()) {
        Ok(organisation) => route(&context, &organisation, request).await,
        Err(error) => reply::error(&error),
    };
    if !reply.headers().contains_key(REQUEST_ID_HEADER) {
        reply::set_request_id(&mut reply, &context.untracked_id());
    }
    reply
}

fn authorise<ClockSource>(
    context: &EntryContext<ClockSource>,
    headers: &HeaderMap,
) -> Result<OrganisationId, RouteError>
where
    ClockSource: Clock,
{
    let key = bearer_key(headers)?;
    context.table().current().organisation(key).cloned()
}

async fn route<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    request: Request,
) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    let path: Arc<str> = request.path().into();
    let method = request.method().clone();
    if path.starts_with(SERVICE_PREFIX) {
        return run_request(context, organisation, request, CallKind::Service).await;
    }
    match (&*path, method) {
        ("/v1/completions", Method::POST) => {
            run_request(context, organisation, request, CallKind::Completion).await
        }
        ("/v1/chat/completions", Method::POST) => {
            run_request(context, organisation, request, CallKind::Chat).await
        }
        ("/v1/models", Method::GET) => list_models(context),
        (path, Method::GET) if path.starts_with(REQUEST_PREFIX) => {
            request_status(context, organisation, &path[REQUEST_PREFIX.len()..]).await
        }
        ("/v1/completions" | "/v1/chat/completions" | "/v1/models", method) => {
            let mut reply = reply::error(&RouteError::invalid_input(
                "method",
                format!("{method} is not allowed"),
            ));
            reply.head_mut().status = StatusCode::METHOD_NOT_ALLOWED;
            reply
        }
        (path, _) => reply::error(&RouteError::not_found(
            "path",
            format!("there is no {path}"),
        )),
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallKind {
    Completion,
    Chat,
    Service,
}

/// Registers a completion or service call, runs it and returns the answer.
async fn run_request<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    request: Request,
    kind: CallKind,
) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    let key = request.headers().get(IDEMPOTENCY_HEADER);
    let key = key.and_then(|value| value.to_str().ok());
    let id = context.register_request(organisation, key);
    let answer = dispatch_request(context, organisation, &id, request, kind).await;
    let mut reply = answer.unwrap_or_else(|error| {
        let event = if error.is_not_run() {
            RequestEvent::Refuse
        } else {
            RequestEvent::Lose
        };
        context.apply_if_open(&id, event);
        reply::error(&error)
    });
    // The answer to a repeated request already has the id of the request that ran.
    if !reply.headers().contains_key(REQUEST_ID_HEADER) {
        reply::set_request_id(&mut reply, &id);
    }
    reply
}

async fn dispatch_request<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &RequestId,
    mut request: Request,
    kind: CallKind,
) -> Result<Response<ResponseBody>, RouteError>
where
    ClockSource: Clock,
{
    let headers = CallerHeaders::parse(request.headers())?;
    let limits = &context.settings().limits;
    let body_settings = BodySettings {
        bytes: usize::try_from(limits.body_bytes).unwrap_or(usize::MAX),
        time: limits.body_time,
    };
    let body = read_body(request.take_payload(), body_settings).await?;
    if kind != CallKind::Service {
        let completion = CompletionRequest::parse(&body, kind == CallKind::Chat)?;
        return complete(context, organisation, id, &headers, completion).await;
    }
    let (service, path) = service_path(&request)?;
    let call = ServiceCall {
        service,
        method: request.method().clone(),
        path,
        body,
        headers: request.headers().clone(),
        deadline: request_deadline(context, &headers),
        caller: headers,
    };
    call_service(context, organisation, id, call).await
}

/// Splits `/v1/services/{service}/{path}?{query}`.
fn service_path(request: &Request) -> Result<(Arc<str>, Arc<str>), RouteError> {
    let rest = &request.path()[SERVICE_PREFIX.len()..];
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(RouteError::not_found("service", "the service is not named"));
    }
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}").into()))
}

fn list_models<ClockSource>(context: &EntryContext<ClockSource>) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    let table = context.table().current();
    let data = table
        .sheet
        .routes
        .keys()
        .map(|route| ModelEntry {
            id: Arc::clone(route),
            object: "model",
            created: 0,
            owned_by: "dandeliondeal".into(),
        })
        .collect();
    let mut reply = reply::json(
        StatusCode::OK,
        &ModelList {
            object: "list",
            data,
        },
    );
    reply::set_outcome(&mut reply, Outcome::Answered);
    reply
}

async fn request_status<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &str,
) -> Response<ResponseBody>
where
    ClockSource: Clock,
{
    match lookup_status(context, organisation, id).await {
        Some(status) => {
            let mut reply = reply::json(StatusCode::OK, &status);
            reply::set_request_id(&mut reply, id);
            if let Some(outcome) = status.outcome {
                reply::set_outcome(&mut reply, outcome);
            }
            reply
        }
        None => reply::error(&RouteError::not_found(
            "id",
            format!("request {id} is not known here"),
        )),
    }
}
