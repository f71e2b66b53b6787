//! Hands requests over to another instance while the links to their endpoints are lost.
//!
//! A request makes one such step: the other instance sends it to endpoints or refuses it.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, Response, StatusCode, Uri};
use actix_rt::time::timeout;
use bytes::Bytes;
use dandeliondeal_http::{ConnectionError, EndpointConnection, OutboundRequest, ResponseHead};
use dandeliondeal_types::Clock;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::endpoint_exchange::MAX_RESPONSE_BYTES;
use crate::handover_wire::{HandoverFacts, HandoverRefusal};
use crate::link_monitor::find_peer;
use crate::peer_choice::HandoverPeer;
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::RelayRequest;

/// Maximum number of instances that a request is offered to.
const MAX_PEERS: usize = 4;
/// Maximum time to connect to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time in which another instance answers a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Request that another instance has begun to answer.
#[derive(Debug)]
pub(crate) struct OpenHandover {
    pub(crate) connection: EndpointConnection,
    pub(crate) head: ResponseHead,
    /// Address at which the other instance takes requests over.
    pub(crate) address: SocketAddr,
}

/// Reply of another instance to a request.
enum PeerReply {
    Answer(Box<OpenHandover>),
    NotTaken,
    Ended(RefusalCause),
    /// The connection broke after the request may have been read.
    Lost(ConnectionError),
    /// The deadline passed.
    Late,
}

/// Hands a request to a plain service over and returns how it ends.
pub(crate) async fn hand_over_plain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
) -> RelayOutcome
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    loop {
        let mut open = match open_handover(context, request, None).await {
            Ok(open) => open,
            Err(cause) => return request.end_unanswered(cause, None),
        };
        let memory = context.body_memory();
        let body = open.connection.read_body_within(MAX_RESPONSE_BYTES, memory);
        let error = match timeout(request.time_left(context.now()), body).await {
            Ok(Ok(body)) => {
                request.lifecycle.apply(LifecycleEvent::Start);
                request.lifecycle.apply(LifecycleEvent::Complete);
                let body = RelayBody::Complete(body);
                return RelayOutcome::Answered(build_response(context, &open.head, body));
            }
            Ok(Err(error)) => error,
            Err(_elapsed) => {
                request.lifecycle.mark_may_have_run();
                return request.end_timed_out(None);
            }
        };
        if let Err(cause) = record_loss(context, request, &error) {
            return request.end_unanswered(cause, None);
        }
    }
}

/// Builds the response to the caller from the head of an endpoint's response.
pub(crate) fn build_response<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    head: &ResponseHead,
    body: RelayBody,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, body);
    *response.headers_mut() = context.dialect().forwarded_headers(&head.headers);
    response
}

/// Records that the response to a handed-over request broke off.
///
/// # Errors
///
/// Returns why the request must not be handed over again.
pub(crate) fn record_loss<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
    error: &ConnectionError,
) -> Result<(), RefusalCause>
where
    Time: Clock,
{
    request.lifecycle.mark_may_have_run();
    let route = &request.route_match.route;
    let is_allowed = route.repeat_class.is_repeatable() && request.attempts_left() > 0;
    let is_repeated = is_allowed && context.acquire_repeat(&request.service, "handover");
    tracing::info!(
        request = %request.facts.request, %error, is_repeated, "handed-over request lost"
    );
    count(context, "lost");
    if is_repeated {
        Ok(())
    } else {
        Err(RefusalCause::LostAnswer)
    }
}

/// Offers a request to other instances until one begins to answer it.
///
/// # Errors
///
/// Returns why the request ends without an endpoint's response.
pub(crate) async fn open_handover<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
    last_event: Option<u64>,
) -> Result<OpenHandover, RefusalCause>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    for _ in 0..MAX_PEERS {
        let now = context.now();
        let Some(peer) = find_peer(context, &request.service) else {
            break;
        };
        let limit = CONNECT_TIMEOUT.min(request.time_left(now));
        let connection = match EndpointConnection::connect(peer.address, limit, now).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(
                    request = %request.facts.request, peer = %peer.id, %error,
                    "instance does not answer; request is handed over to another one"
                );
                context.links().exclude_peer(&peer.id, now);
                continue;
            }
        };
        request.lifecycle.apply(LifecycleEvent::Offer);
        request.progress.record_attempt(&peer.id);
        request.sent_attempts += 1;
        let reply = exchange(context, request, connection, peer.address, last_event).await;
        match reply {
            PeerReply::Answer(open) => {
                log_handover(request, &peer, "answer");
                count(context, "answer");
                return Ok(*open);
            }
            PeerReply::NotTaken => {
                log_handover(request, &peer, "not-taken");
                count(context, "not-taken");
                record_not_run(request);
                context.links().exclude_peer(&peer.id, context.now());
            }
            PeerReply::Ended(cause) => {
                log_handover(request, &peer, cause.name());
                count(context, "refused");
                if cause.states_not_run() {
                    record_not_run(request);
                } else {
                    request.lifecycle.mark_may_have_run();
                }
                return Err(cause);
            }
            PeerReply::Late => {
                request.lifecycle.mark_may_have_run();
                return Err(RefusalCause::LateSent);
            }
            PeerReply::Lost(error) => {
                context.links().exclude_peer(&peer.id, context.now());
                record_loss(context, request, &error)?;
            }
        }
    }
    context.links().back_off(&request.service, context.now());
    Err(RefusalCause::NoEndpoint)
}

fn record_not_run(request: &mut RelayRequest) {
    request.lifecycle.apply(LifecycleEvent::Reject);
    request.progress.record_rejection();
    request.sent_attempts = request.sent_attempts.saturating_sub(1);
}

/// Sends a request to another instance and waits for the head of the response.
async fn exchange<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    mut connection: EndpointConnection,
    address: SocketAddr,
    last_event: Option<u64>,
) -> PeerReply
where
    Time: Clock,
    Dialect: RequestDialect,
{
    let time_left = request.time_left(context.now());
    let facts = HandoverFacts {
        config_version: request.config_version,
        time_left,
        // This attempt is counted already.
        attempts: request.attempts_left() + 1,
        last_event: last_event.or(request.facts.last_event),
    };
    let mut headers = context.dialect().forwarded_headers(&request.headers);
    facts.write(context.peer_secret().reveal(), &mut headers);
    let outbound = OutboundRequest {
        method: request.method.clone(),
        uri: request.uri.clone(),
        headers,
        body: request.body.clone(),
    };
    if let Err(error) = connection.queue_request(&outbound) {
        return PeerReply::Lost(error);
    }
    let head = match timeout(time_left, connection.read_head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(error)) => return PeerReply::Lost(error),
        Err(_elapsed) => return PeerReply::Late,
    };
    match HandoverRefusal::read(&head.headers) {
        Some(HandoverRefusal::NotTaken) => return PeerReply::NotTaken,
        Some(HandoverRefusal::Ended(cause)) => return PeerReply::Ended(cause),
        None => {}
    }
    let facts = context.dialect().read_response(head.status, &head.headers);
    if !facts.is_signed || facts.request.is_none_or(|id| id != request.facts.request) {
        let problem = "response of another instance lacks the endpoint's signature";
        return PeerReply::Lost(ConnectionError::after_write(problem));
    }
    PeerReply::Answer(Box::new(OpenHandover {
        connection,
        head,
        address,
    }))
}

/// Returns whether the instance at `address` answers a request that it does not take.
pub(crate) async fn is_peer_alive<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    address: SocketAddr,
) -> bool
where
    Time: Clock,
{
    // No instance has this version of the configuration.
    let facts = HandoverFacts {
        config_version: u64::MAX,
        time_left: CHECK_TIMEOUT,
        attempts: 0,
        last_event: None,
    };
    let mut headers = HeaderMap::new();
    facts.write(context.peer_secret().reveal(), &mut headers);
    let request = OutboundRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers,
        body: Bytes::new(),
    };
    let check = async {
        let now = context.now();
        let mut connection = EndpointConnection::connect(address, CONNECT_TIMEOUT, now).await?;
        connection.queue_request(&request)?;
        connection.read_head().await
    };
    matches!(timeout(CHECK_TIMEOUT, check).await, Ok(Ok(_)))
}

fn log_handover(request: &RelayRequest, peer: &HandoverPeer, result: &str) {
    tracing::info!(
        request = %request.facts.request, peer = %peer.id, result, "request handed over"
    );
}

fn count<Time, Dialect>(context: &RelayContext<Time, Dialect>, result: &str)
where
    Time: Clock,
{
    let handovers = &context.metrics().handovers;
    handovers.with_label_values(&[result]).inc();
}
