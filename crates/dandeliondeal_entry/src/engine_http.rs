//! HTTP client for model engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use dandeliondeal_types::{
    EndpointId, EngineClient, ErrorKind, Lineage, Outcome, RequestId, RequestStep, RouteError,
    SessionStatus, StepAnswer, StepCall,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::http_pool::{HttpPool, call_failure};
use crate::route_table::RouteTable;

/// Maximum size of an exported cache in bytes.
const MAX_CACHE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of an answer without outputs in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Maximum size of the output for one position in bytes.
const MAX_OUTPUT_BYTES: usize = 32;
/// Maximum wait for the answer to a call that renews or cancels a session.
const SESSION_TIMEOUT: Duration = Duration::from_secs(2);

/// Client for the engines of one route table.
#[derive(Clone, Debug)]
pub struct EngineHttp {
    pool: HttpPool,
    table: Arc<RouteTable>,
}

#[derive(Debug, Deserialize)]
struct EngineRefusal {
    error: RefusalDetail,
}

#[derive(Debug, Deserialize)]
struct RefusalDetail {
    code: Arc<str>,
    message: Arc<str>,
}

/// One HTTP call to an engine.
#[derive(Debug)]
struct EngineCall<'call> {
    endpoint: &'call EndpointId,
    step: RequestStep,
    method: Method,
    path: String,
    body: Bytes,
    timeout: Duration,
    /// Whether to open a new connection.
    fresh: bool,
    answer_bytes: usize,
}

impl EngineHttp {
    /// Creates a client for the engines in `table` that uses the connections of `pool`.
    pub fn new(pool: HttpPool, table: Arc<RouteTable>) -> Self {
        Self { pool, table }
    }

    fn address(&self, endpoint: &EndpointId, step: RequestStep) -> Result<SocketAddr, RouteError> {
        let endpoint_entry = self.table.sheet.endpoints.get(endpoint).ok_or_else(|| {
            RouteError::new(
                ErrorKind::NotFound,
                step,
                "the endpoint is not in the sheet",
            )
            .at(Arc::clone(endpoint))
        })?;
        Ok(endpoint_entry.address)
    }

    async fn call(&self, call: EngineCall<'_>) -> Result<Bytes, RouteError> {
        let step = call.step;
        let peer = Arc::clone(call.endpoint);
        let timeout = call.timeout;
        match actix_rt::time::timeout(timeout, self.send(call)).await {
            Ok(answer) => answer,
            Err(_) => Err(RouteError::new(
                ErrorKind::NoAnswer,
                step,
                format!("no answer for {} ms", timeout.as_millis()),
            )
            .at(peer)),
        }
    }

    async fn send(&self, call: EngineCall<'_>) -> Result<Bytes, RouteError> {
        let address = self.address(call.endpoint, call.step)?;
        let url = format!("http://{address}{}", call.path);
        let mut answer = self
            .pool
            .engine(address, call.fresh)
            .request(call.method, url)
            .send_body(call.body)
            .await
            .map_err(|error| call_failure(&error, call.step, call.endpoint))?;
        let status = answer.status();
        let body = answer.body().limit(call.answer_bytes).await;
        let body = body.map_err(|error| body_error(&error, call.step, call.endpoint))?;
        if status.is_success() {
            return Ok(body);
        }
        Err(refusal_error(status, &body, call.step, call.endpoint))
    }
}

impl EngineClient for EngineHttp {
    async fn step(
        &self,
        endpoint: &EndpointId,
        call: StepCall,
        timeout: Duration,
        new_connection: bool,
    ) -> Result<StepAnswer, RouteError> {
        let step = if call.name.position == 0 {
            RequestStep::FirstStep
        } else {
            RequestStep::Decode
        };
        let answer_bytes = MAX_ANSWER_BYTES + MAX_OUTPUT_BYTES * call.inputs.len();
        let body = self
            .call(EngineCall {
                endpoint,
                step,
                method: Method::POST,
                path: "/steps".into(),
                body: encode(&call).into(),
                timeout,
                fresh: new_connection,
                answer_bytes,
            })
            .await?;
        decode(&body, step, endpoint)
    }

    async fn status(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<Option<SessionStatus>, RouteError> {
        let answer = self
            .call(EngineCall {
                endpoint,
                step: RequestStep::Recovery,
                method: Method::GET,
                path: format!("/sessions/{request}"),
                body: Bytes::new(),
                timeout,
                fresh: true,
                answer_bytes: MAX_ANSWER_BYTES,
            })
            .await;
        match answer {
            Ok(body) => decode(&body, RequestStep::Recovery, endpoint).map(Some),
            Err(error) if error.kind() == ErrorKind::Gone => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn export(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<Arc<str>, RouteError> {
        let body = self
            .call(EngineCall {
                endpoint,
                step: RequestStep::Recovery,
                method: Method::GET,
                path: format!("/sessions/{request}/cache"),
                body: Bytes::new(),
                timeout,
                fresh: true,
                answer_bytes: MAX_CACHE_BYTES,
            })
            .await?;
        match std::str::from_utf8(&body) {
            Ok(text) => Ok(text.into()),
            Err(error) => Err(bad_answer_error(
                error.to_string(),
                RequestStep::Recovery,
                endpoint,
            )),
        }
    }

    async fn import(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lineage: Lineage,
        cache: Arc<str>,
        timeout: Duration,
    ) -> Result<SessionStatus, RouteError> {
        let body = self
            .call(EngineCall {
                endpoint,
                step: RequestStep::Recovery,
                method: Method::PUT,
                path: format!("/sessions/{request}/cache?lineage={lineage}"),
                body: Bytes::copy_from_slice(cache.as_bytes()),
                timeout,
                fresh: true,
                answer_bytes: MAX_ANSWER_BYTES,
            })
            .await?;
        decode(&body, RequestStep::Recovery, endpoint)
    }

    async fn renew(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lifetime: Duration,
    ) -> Result<(), RouteError> {
        let body = format!("{{\"life_milliseconds\":{}}}", lifetime.as_millis());
        self.call(EngineCall {
            endpoint,
            step: RequestStep::Decode,
            method: Method::POST,
            path: format!("/sessions/{request}/renewal"),
            body: body.into(),
            timeout: SESSION_TIMEOUT,
            fresh: false,
            answer_bytes: MAX_ANSWER_BYTES,
        })
        .await
        .map(drop)
    }

    async fn cancel(&self, endpoint: &EndpointId, request: &RequestId) -> Result<(), RouteError> {
        self.call(EngineCall {
            endpoint,
            step: RequestStep::Decode,
            method: Method::DELETE,
            path: format!("/sessions/{request}"),
            body: Bytes::new(),
            timeout: SESSION_TIMEOUT,
            fresh: false,
            answer_bytes: MAX_ANSWER_BYTES,
        })
        .await
        .map(drop)
    }
}

fn body_error(error: &PayloadError, step: RequestStep, endpoint: &EndpointId) -> RouteError {
    let kind = match error {
        PayloadError::Overflow => ErrorKind::BadAnswer,
        _ => ErrorKind::NoAnswer,
    };
    RouteError::new(kind, step, error.to_string()).at(Arc::clone(endpoint))
}

fn encode(call: &StepCall) -> Vec<u8> {
    // Serialising numbers and text into memory cannot fail.
    serde_json::to_vec(call).unwrap_or_default()
}

fn decode<Answer>(
    body: &[u8],
    step: RequestStep,
    endpoint: &EndpointId,
) -> Result<Answer, RouteError>
where
    Answer: DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| bad_answer_error(error.to_string(), step, endpoint))
}

fn bad_answer_error(message: String, step: RequestStep, endpoint: &EndpointId) -> RouteError {
    RouteError::new(ErrorKind::BadAnswer, step, message).at(Arc::clone(endpoint))
}

/// Returns the error for a call that an engine refused, and therefore did not run.
fn refusal_error(
    status: StatusCode,
    body: &[u8],
    step: RequestStep,
    endpoint: &EndpointId,
) -> RouteError {
    let (code, message) = match serde_json::from_slice::<EngineRefusal>(body) {
        Ok(refusal) => (refusal.error.code, refusal.error.message),
        Err(_) => ("".into(), format!("status {status}").into()),
    };
    let kind = match (status, &*code) {
        (StatusCode::GONE | StatusCode::NOT_FOUND | StatusCode::CONFLICT, _) => ErrorKind::Gone,
        (StatusCode::UNPROCESSABLE_ENTITY, _) => ErrorKind::InvalidInput,
        (StatusCode::SERVICE_UNAVAILABLE, "leaving") => ErrorKind::Leaving,
        (StatusCode::SERVICE_UNAVAILABLE, _) => ErrorKind::Refused,
        (StatusCode::TOO_MANY_REQUESTS, _) => ErrorKind::Overloaded,
        _ => ErrorKind::BadAnswer,
    };
    RouteError::new(kind, step, message)
        .at(Arc::clone(endpoint))
        .with_outcome(Outcome::NotRun)
}
