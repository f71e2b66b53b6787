//! Takes in a request: its head, its route, its organisation and its body.

use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Uri};
use bytes::{Bytes, BytesMut};
use dandeliondeal_route::{MatchError, RouteMatch};
use dandeliondeal_types::{Clock, ServiceId};
use futures_util::StreamExt;

use crate::dialect::{CallerFacts, RequestDialect};
use crate::refusal::RefusalCause;
use crate::relay_context::RelayContext;
use crate::relay_life::{LifeEvent, RelayLife};

/// Deadline of a request that names none; far above any answer of a plain service.
const USUAL_DEADLINE: Duration = Duration::from_secs(30);
/// Time that is kept for the way of a final answer before the request's time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Share of the time left within which a caller comes back after a refusal.
const RETURN_SHARE: f64 = 0.3;

/// A request with what the configuration says of it.
#[derive(Debug)]
pub struct RelayRequest {
    /// What its head says.
    pub facts: CallerFacts,
    /// Method.
    pub method: Method,
    /// Path and query as they came.
    pub uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What the configuration says.
    pub matched: RouteMatch,
    /// The service that runs it.
    pub service: ServiceId,
    /// When its head arrived.
    pub arrived: Instant,
    /// When its caller leaves or its route's timeout is over, whichever is first.
    pub deadline: Instant,
    /// Its life so far.
    pub life: RelayLife,
}

impl RelayRequest {
    /// Time left until the final answer has to be on its way.
    pub fn left(&self, now: Instant) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        left.saturating_sub(ANSWER_MARGIN)
    }

    /// The longest time after which the caller still comes back.
    pub fn longest_return(&self, now: Instant) -> Duration {
        let end = self.facts.deadline.unwrap_or(USUAL_DEADLINE);
        let left = (self.arrived + end).saturating_duration_since(now);
        left.mul_f64(RETURN_SHARE)
    }
}

/// Reads a request up to the end of its body.
///
/// # Errors
///
/// Why it is refused, with its id as far as it is known.
pub async fn take_in<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: Request,
) -> Result<RelayRequest, (CallerFacts, RefusalCause)>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let arrived = context.now();
    let mut request = request;
    let mut payload = request.take_payload();
    let facts = context.dialect().read_caller(request.headers());
    let Some(table) = context.table() else {
        return Err((facts, RefusalCause::NoConfig));
    };
    let uri = request.uri().clone();
    let host = request.head().headers.get(actix_http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let matched = match table.find(host, uri.path(), facts.key.as_deref()) {
        Ok(matched) => matched,
        Err(MatchError::NoRoute) => return Err((facts, RefusalCause::NoRoute)),
        Err(MatchError::UnknownKey) => return Err((facts, RefusalCause::UnknownKey)),
    };
    if facts.request.is_empty() {
        return Err((facts, RefusalCause::BadHead));
    }
    let Some(service) = matched.route.service_for(&facts.request).cloned() else {
        return Err((facts, RefusalCause::NoEndpoint));
    };
    context.count_request(&service);
    let waits = facts.deadline.unwrap_or(USUAL_DEADLINE);
    let deadline = arrived + waits.min(matched.route.timeout);
    let limit = table.limits().body_bytes;
    let left = deadline.saturating_duration_since(arrived);
    let body = match actix_rt::time::timeout(left, read_body(&mut payload, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(cause)) => return Err((facts, cause)),
        Err(_elapsed) => return Err((facts, RefusalCause::LostBody)),
    };
    let method = request.method().clone();
    let headers = std::mem::take(&mut request.head_mut().headers);
    let mut life = RelayLife::new(context.life().clone());
    life.apply(LifeEvent::Admit);
    Ok(RelayRequest {
        facts,
        method,
        uri,
        headers,
        body,
        matched,
        service,
        arrived,
        deadline,
        life,
    })
}

async fn read_body<Chunks, Error>(chunks: &mut Chunks, limit: usize) -> Result<Bytes, RefusalCause>
where
    Chunks: futures_util::Stream<Item = Result<Bytes, Error>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_broken| RefusalCause::LostBody)?;
        if body.len() + chunk.len() > limit {
            return Err(RefusalCause::LongBody);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
