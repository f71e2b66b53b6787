//! HTTP exchange with an endpoint: connect, send the request, read the response headers.

use std::net::SocketAddr;
use std::time::Duration;

use dandeliondeal_http::{
    BodyFraming, ConnectionError, EndpointConnection, OutboundRequest, ResponseHead,
};
use dandeliondeal_types::{Clock, EndpointId, RequestId};
use futures_util::FutureExt;

use crate::dialect::{AttemptFacts, RequestDialect, ResponseFacts};
use crate::endpoint_backoff::record_backoff;
use crate::endpoint_leave::record_leave;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;

/// Maximum time to connect; a reachable endpoint accepts within a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of late responses to earlier requests that are skipped on one connection.
const MAX_LATE_RESPONSES: usize = 2;
/// Maximum size of a plain service's response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Whether a request may use an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// Uses an idle connection if there is one, which saves time; a request that it loses may be
    /// repeated.
    Idle,
    /// Opens a new connection, for a request that may not be repeated: the endpoint may close an
    /// idle connection just as the request is sent.
    New,
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// Returns [`ConnectionError`] if no connection could be made; nothing was sent.
pub async fn open_connection<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
    address: SocketAddr,
    choice: ConnectionChoice,
    limit: Duration,
) -> Result<EndpointConnection, ConnectionError>
where
    Time: Clock,
{
    if choice == ConnectionChoice::Idle
        && let Some(connection) = context.pool().borrow_mut().take(endpoint)
    {
        return Ok(connection);
    }
    EndpointConnection::connect(address, limit.min(CONNECT_TIMEOUT), context.now()).await
}

/// Builds the request of one attempt from the caller's request.
pub fn build_attempt<Time, Dialect>(
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

/// Request on a connection that waits for the headers of its response.
///
/// Leaves that the endpoint states and pauses that it asks for are recorded from every response that
/// arrives, also from late ones to other requests, and from one that has arrived when the exchange is dropped.
#[derive(Debug)]
pub struct EndpointExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    context: RelayContext<Time, Dialect>,
    endpoint: EndpointId,
    /// Start of the endpoint's process, as registered when the request was queued.
    started_at_ms: Option<u64>,
    request: RequestId,
    /// The connection, until the headers of the response were read.
    connection: Option<EndpointConnection>,
    late_responses: usize,
    /// Bytes of a late response's body that were skipped; `None` if no body is being skipped.
    skipped_bytes: Option<usize>,
}

impl<Time, Dialect> EndpointExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    /// Queues a request on a connection to `endpoint`; [`Self::read_response`] writes it.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the request cannot be encoded; nothing was sent.
    pub fn start(
        context: &RelayContext<Time, Dialect>,
        endpoint: &EndpointId,
        mut connection: EndpointConnection,
        outbound: &OutboundRequest,
        request: &RequestId,
    ) -> Result<Self, ConnectionError> {
        connection.queue_request(outbound)?;
        let fleet = context.fleet().borrow();
        let started_at_ms = fleet.record(endpoint).map(|record| record.started_at_ms);
        Ok(Self {
            started_at_ms,
            context: context.clone(),
            endpoint: EndpointId::clone(endpoint),
            request: RequestId::clone(request),
            connection: Some(connection),
            late_responses: 0,
            skipped_bytes: None,
        })
    }

    /// Reads the headers of the response that belongs to the request, and returns them with the
    /// connection, on which the body comes next. Cancel safe: a later call continues.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection broke or no response to the request was
    /// received.
    pub async fn read_response(
        &mut self,
    ) -> Result<(ResponseHead, ResponseFacts, EndpointConnection), ConnectionError> {
        loop {
            let Some(connection) = &mut self.connection else {
                return Err(ConnectionError::after_write("the response was read before"));
            };
            while let Some(skipped_bytes) = &mut self.skipped_bytes {
                let Some(chunk) = connection.read_chunk().await? else {
                    connection.expect_next_response();
                    self.skipped_bytes = None;
                    break;
                };
                *skipped_bytes += chunk.len();
                if *skipped_bytes > MAX_RESPONSE_BYTES {
                    return Err(ConnectionError::after_write("a late response is too long"));
                }
            }
            let head = connection.read_head().await?;
            let facts = self
                .context
                .dialect()
                .read_response(head.status, &head.headers);
            let response_to = facts.request.as_ref();
            let is_late = response_to.is_some_and(|response_to| *response_to != self.request);
            // A late response does not show that the endpoint takes requests again.
            if !is_late || facts.backoff.is_some() {
                record_backoff(&self.context, &self.request, &self.endpoint, facts.backoff);
            }
            if facts.is_leaving {
                let request = &self.request;
                record_leave(&self.context, request, &self.endpoint, self.started_at_ms);
            }
            if !is_late {
                if response_to.is_none() {
                    // A second copy of this response could not be told from the next one.
                    connection.forbid_reuse();
                }
                let connection = self.connection.take();
                let connection = connection
                    .ok_or_else(|| ConnectionError::after_write("the response was read before"))?;
                return Ok((head, facts, connection));
            }
            self.late_responses += 1;
            let is_last = self.late_responses > MAX_LATE_RESPONSES;
            if is_last || head.framing == BodyFraming::UntilClose {
                return Err(ConnectionError::after_write(
                    "received only responses to other requests",
                ));
            }
            self.skipped_bytes = Some(0);
        }
    }
}

impl<Time, Dialect> Drop for EndpointExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    fn drop(&mut self) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if !connection.read_arrived() {
            return;
        }
        let response = self.read_response().now_or_never();
        if let Some(Ok((head, facts, _))) = response
            && facts.backoff.is_some()
        {
            tracing::info!(
                request = %self.request, endpoint = %self.endpoint, status = head.status.as_u16(),
                "pause was read after its attempt had been given up"
            );
        }
    }
}
