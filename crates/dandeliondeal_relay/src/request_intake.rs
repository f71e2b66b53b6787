//! Reads a request and resolves its route, organisation and service.

use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, Uri};
use bytes::{Bytes, BytesMut};
use dandeliondeal_layout::EngineProfile;
use dandeliondeal_quarantine::RequestIdentity;
use dandeliondeal_route::{MatchError, RouteMatch};
use dandeliondeal_types::{Clock, FeatureId, ServiceId};
use futures_util::StreamExt;

use crate::dialect::{CallerFacts, RequestDialect};
use crate::endpoint_backoff::pause_end;
use crate::endpoint_limits::reserve_room;
use crate::handover_entrance::OpenCount;
use crate::handover_wire::HandoverFacts;
use crate::refusal::RefusalCause;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::{LifecycleEvent, RelayLifecycle};
use crate::request_progress::RequestProgress;

/// Deadline of a request without one; far longer than any response of a plain service takes.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Time before the deadline that is reserved for sending the final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);
/// Maximum retry delay after a refusal, as a share of the remaining time.
const MAX_RETRY_DELAY_SHARE: f64 = 0.3;

/// Maximum wait for the configuration and the endpoints of an instance that has just started.
///
/// A started instance has them within a few hundred milliseconds while the store answers. A caller who
/// is refused at once returns before that and is lost.
const MAX_CONFIG_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait for the configuration and the endpoints, as a share of the time that the caller allows.
const CONFIG_WAIT_SHARE: f64 = 0.4;

/// Where a request comes from.
#[derive(Debug)]
pub enum RequestOrigin {
    /// From a caller.
    Caller,
    /// From another instance, which has lost its links to the endpoints.
    Instance {
        /// What the instance says of the request.
        facts: HandoverFacts,
        /// Counts the request as long as it is open.
        open: OpenCount,
    },
}

/// Request with the configuration that applies to it.
#[derive(Debug)]
pub struct RelayRequest {
    /// Values from the headers.
    pub facts: CallerFacts,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// What other requests may have in common with this one: the shared parts of its prompt, and
    /// the fingerprint of its copies.
    pub features: Vec<FeatureId>,
    /// Whether the request was admitted to find out whether it still crashes endpoints.
    pub is_trial: Cell<bool>,
    /// Route and organisation from the configuration.
    pub route_match: RouteMatch,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Engines of the service, if it runs chains; from the same configuration as the route.
    pub engine_profile: Option<Arc<EngineProfile>>,
    /// Time at which the headers were received.
    pub arrived: Instant,
    /// Time at which the caller gives up or the route's timeout ends, whichever is earlier.
    pub deadline: Instant,
    /// Lifecycle of the request.
    pub lifecycle: RelayLifecycle,
    /// Progress of the request, for logs.
    pub progress: RequestProgress,
    /// Time until endpoints have room, if the request is refused for want of it.
    pub room_delay: Option<Duration>,
    /// Where the request comes from.
    pub origin: RequestOrigin,
    /// Version of the configuration of the route.
    pub config_version: u64,
    /// Number of attempts that were sent and not rejected, by this and other instances.
    pub sent_attempts: u32,
}

impl RelayRequest {
    /// Returns why no endpoint can take the request.
    pub(crate) fn no_endpoint_cause<Time, Dialect>(
        &mut self,
        context: &RelayContext<Time, Dialect>,
    ) -> RefusalCause
    where
        Time: Clock,
    {
        let layers = self.engine_profile.as_ref().map(|profile| profile.layers);
        let pause_end = pause_end(context, &self.service, layers);
        self.room_delay = reserve_room(context, &self.service);
        match (pause_end, self.room_delay) {
            (Some(pause_end), room_delay) if room_delay.is_none_or(|room| pause_end < room) => {
                self.room_delay = Some(pause_end);
                RefusalCause::BackedOff
            }
            (_, Some(_)) => RefusalCause::Limited,
            (_, None) => RefusalCause::NoEndpoint,
        }
    }
}

impl RelayRequest {
    /// Returns whether another instance handed the request over; it is not handed over again.
    pub fn is_handed_over(&self) -> bool {
        matches!(self.origin, RequestOrigin::Instance { .. })
    }

    /// Returns the maximum number of endpoints to which the request may be sent.
    pub fn max_attempts(&self) -> u32 {
        let route = &self.route_match.route;
        match &self.origin {
            RequestOrigin::Caller => route.attempts,
            RequestOrigin::Instance { facts, .. } => facts.attempts.min(route.attempts),
        }
    }

    /// Returns the number of endpoints to which the request may still be sent.
    pub fn attempts_left(&self) -> u32 {
        self.max_attempts().saturating_sub(self.sent_attempts)
    }

    /// Returns the time left until the final response has to be sent.
    pub fn time_left(&self, now: Instant) -> Duration {
        let time_left = self.deadline.saturating_duration_since(now);
        time_left.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the longest retry delay after which the caller still retries.
    pub fn max_retry_delay(&self, now: Instant) -> Duration {
        let caller_deadline = self.facts.deadline.unwrap_or(DEFAULT_DEADLINE);
        let time_left = (self.arrived + caller_deadline).saturating_duration_since(now);
        time_left.mul_f64(MAX_RETRY_DELAY_SHARE)
    }
}

/// Reads a request up to the end of its body and resolves its route.
///
/// # Errors
///
/// Returns the values of the headers and the reason for refusing the request.
pub async fn read_request<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: Request,
    origin: RequestOrigin,
) -> Result<RelayRequest, (CallerFacts, RefusalCause)>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let arrived = context.now();
    let mut request = request;
    let mut payload = request.take_payload();
    let mut facts = context.dialect().read_caller(request.headers());
    if let RequestOrigin::Instance {
        facts: handover, ..
    } = &origin
    {
        facts.deadline = Some(handover.time_left);
        facts.last_event = handover.last_event;
    }
    let Some(table) = context.wait_for_table(config_wait(&facts)).await else {
        return Err((facts, RefusalCause::NoConfig));
    };
    let uri = request.uri().clone();
    let host = request.head().headers.get(actix_http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let route_match = match table.find(host, uri.path(), facts.key.as_deref()) {
        Ok(matched) => matched,
        Err(MatchError::NoRoute) => return Err((facts, RefusalCause::NoRoute)),
        Err(MatchError::UnknownKey) => return Err((facts, RefusalCause::UnknownKey)),
    };
    if facts.request.is_empty() {
        return Err((facts, RefusalCause::BadHead));
    }
    let Some(service) = route_match.route.service_for(&facts.request).cloned() else {
        return Err((facts, RefusalCause::NoEndpoint));
    };
    let rule = table.service(&service);
    let engine_profile = rule.and_then(|rule| rule.engine.clone());
    if matches!(origin, RequestOrigin::Caller) {
        context.count_request(&service);
    }
    let caller_timeout = facts.deadline.unwrap_or(DEFAULT_DEADLINE);
    let deadline = arrived + caller_timeout.min(route_match.route.timeout);
    let max_body = table.limits().body_bytes;
    let time_left = deadline.saturating_duration_since(arrived);
    let body = tokio::select! {
        biased;
        body = actix_rt::time::timeout(time_left, read_body(&mut payload, max_body)) => body,
        () = context.wait_for_final_responses() => Ok(Err(RefusalCause::Stopping)),
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(cause)) => return Err((facts, cause)),
        Err(_elapsed) => return Err((facts, RefusalCause::LostBody)),
    };
    let method = request.method().clone();
    let identity = RequestIdentity {
        method: method.as_str(),
        host,
        path: uri.path_and_query().map_or("", |path| path.as_str()),
        organisation: route_match.organisation.as_ref(),
        body: &body,
    };
    let mut features = facts.shared_parts.clone();
    features.push(identity.fingerprint());
    let headers = std::mem::take(&mut request.head_mut().headers);
    let mut lifecycle = RelayLifecycle::new(context.lifecycle_table().clone());
    lifecycle.apply(LifecycleEvent::Admit);
    Ok(RelayRequest {
        facts,
        method,
        uri,
        headers,
        body,
        features,
        is_trial: Cell::new(false),
        route_match,
        service,
        engine_profile,
        arrived,
        deadline,
        lifecycle,
        progress: RequestProgress::default(),
        room_delay: None,
        origin,
        config_version: table.version(),
        sent_attempts: 0,
    })
}

/// Returns how long a request waits for the first configuration and endpoints of this instance.
fn config_wait(facts: &CallerFacts) -> Duration {
    let deadline = facts.deadline.unwrap_or(DEFAULT_DEADLINE);
    deadline.mul_f64(CONFIG_WAIT_SHARE).min(MAX_CONFIG_WAIT)
}

async fn read_body<Chunks, Error>(
    chunks: &mut Chunks,
    max_bytes: usize,
) -> Result<Bytes, RefusalCause>
where
    Chunks: futures_util::Stream<Item = Result<Bytes, Error>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_error| RefusalCause::LostBody)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(RefusalCause::LongBody);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
