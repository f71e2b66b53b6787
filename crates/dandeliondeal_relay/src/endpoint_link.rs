//! One exchange with an endpoint: connect, write the request, read the head of its answer.

use std::net::SocketAddr;
use std::time::Duration;

use dandeliondeal_http::{AnswerHead, BodyFraming, EndpointConnection, LinkError, OutboundRequest};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{AnswerFacts, AttemptFacts, RequestDialect};
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;

/// Longest time to connect: an endpoint in reach accepts within a few milliseconds.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Late answers to earlier requests that are passed over before the connection is given up.
const LATE_ANSWERS: usize = 2;
/// Longest answer of a plain service, in bytes.
pub const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// Whether an idle connection may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChoice {
    /// An idle connection saves time; a request that it loses may be repeated.
    Idle,
    /// A request that may not be repeated goes over a new connection, which cannot have been
    /// closed by the endpoint at the same moment.
    New,
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// None could be made; nothing was written.
pub async fn open<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
    address: SocketAddr,
    choice: LinkChoice,
    limit: Duration,
) -> Result<EndpointConnection, LinkError>
where
    Time: Clock,
{
    if choice == LinkChoice::Idle
        && let Some(connection) = context.pool().borrow_mut().take(endpoint)
    {
        return Ok(connection);
    }
    EndpointConnection::connect(address, limit.min(CONNECT_LIMIT), context.now()).await
}

/// Puts a caller's request into the words of one attempt.
pub fn outbound<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    attempt: &AttemptFacts<'_>,
) -> OutboundRequest
where
    Time: Clock,
    Dialect: RequestDialect,
{
    OutboundRequest {
        method: request.method.clone(),
        uri: request.uri.clone(),
        headers: context.dialect().write_attempt(&request.headers, attempt),
        body: request.body.clone(),
    }
}

/// Writes a request and reads the head of the answer that belongs to it.
///
/// # Errors
///
/// The connection broke, or what came is no answer to the request.
pub async fn exchange<Dialect>(
    dialect: &Dialect,
    connection: &mut EndpointConnection,
    request: &OutboundRequest,
    id: &str,
) -> Result<(AnswerHead, AnswerFacts), LinkError>
where
    Dialect: RequestDialect,
{
    connection.send(request).await?;
    for _ in 0..=LATE_ANSWERS {
        let head = connection.read_head().await?;
        let facts = dialect.read_answer(head.status, &head.headers);
        let is_other = facts.request.as_ref().is_some_and(|named| **named != *id);
        if !is_other {
            return Ok((head, facts));
        }
        if head.framing == BodyFraming::ConnectionEnd {
            break;
        }
        connection.read_body(ANSWER_LIMIT).await?;
        connection.skip_answer();
    }
    Err(LinkError::written("answers to other requests came"))
}
