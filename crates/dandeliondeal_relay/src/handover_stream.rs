//! Stream that another instance relays, because the links to its engines are lost here.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_rt::time::timeout;
use bytes::Bytes;
use dandeliondeal_http::ConnectionError;
use dandeliondeal_types::Clock;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::endpoint_exchange::MAX_RESPONSE_BYTES;
use crate::event_splitter::EventSplitter;
use crate::handover::{OpenHandover, build_response, is_peer_alive, open_handover, record_loss};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::RelayRequest;
use crate::stream_relay::StreamEnd;

/// Time without bytes after which the other instance is checked, and counts as gone if it does not
/// answer.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time without bytes after which the response counts as lost although the other instance answers.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// Relayed stream of another instance; dropping it cancels the request there.
#[derive(Debug)]
pub struct HandoverStream {
    open: Option<OpenHandover>,
    splitter: EventSplitter,
    /// Whether the caller has the head of the response.
    has_begun: bool,
    /// Headers of the other instance's response.
    headers: Option<HeaderMap>,
    is_ended: bool,
}

/// End of the events of one instance.
enum EventsEnd {
    Complete,
    Broken(ConnectionError),
    Late,
}

impl HandoverStream {
    /// Creates a stream that goes on after the event `last_event`; nothing is sent yet.
    ///
    /// `has_begun` states whether the caller has the head of the response.
    pub(crate) fn new(last_event: Option<u64>, has_begun: bool) -> Self {
        Self {
            open: None,
            splitter: EventSplitter::starting_after(last_event),
            has_begun,
            headers: None,
            is_ended: false,
        }
    }

    /// Returns the headers of the first response of another instance.
    pub(crate) fn headers(&self) -> Option<&HeaderMap> {
        self.headers.as_ref()
    }

    /// Returns the next complete events; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`StreamEnd`] if the stream cannot continue.
    pub(crate) async fn next_events<Time, Dialect>(
        &mut self,
        context: &RelayContext<Time, Dialect>,
        request: &mut RelayRequest,
    ) -> Result<Option<Bytes>, StreamEnd>
    where
        Time: Clock,
        Dialect: RequestDialect + FleetDialect,
    {
        if self.is_ended {
            return Ok(None);
        }
        loop {
            let mut open = match self.open.take() {
                Some(open) => open,
                None => self.open_next(context, request).await?,
            };
            match self.read_events(context, request, &mut open).await {
                Ok(events) => {
                    self.open = Some(open);
                    request.lifecycle.apply(LifecycleEvent::Start);
                    request.progress.record_event(self.splitter.last_id());
                    return Ok(Some(events));
                }
                Err(EventsEnd::Complete) => {
                    self.is_ended = true;
                    request.lifecycle.apply(LifecycleEvent::Complete);
                    let rest = self.splitter.take_rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
                Err(EventsEnd::Late) => return Err(refuse(request, RefusalCause::LateSent)),
                Err(EventsEnd::Broken(error)) => {
                    let loss = record_loss(context, request, &error);
                    loss.map_err(|cause| refuse(request, cause))?;
                    let last_event = self.splitter.last_id();
                    self.splitter = EventSplitter::starting_after(last_event);
                }
            }
        }
    }

    /// Offers the request to instances; returns the failure response of an endpoint as an error.
    async fn open_next<Time, Dialect>(
        &mut self,
        context: &RelayContext<Time, Dialect>,
        request: &mut RelayRequest,
    ) -> Result<OpenHandover, StreamEnd>
    where
        Time: Clock,
        Dialect: RequestDialect + FleetDialect,
    {
        let last_event = self.splitter.last_id();
        let opened = open_handover(context, request, last_event).await;
        let mut open = opened.map_err(|cause| refuse(request, cause))?;
        if open.head.status.is_success() {
            if self.headers.is_none() {
                let dialect = context.dialect();
                self.headers = Some(dialect.forwarded_headers(&open.head.headers));
            }
            return Ok(open);
        }
        request.lifecycle.mark_may_have_run();
        let time_left = request.time_left(context.now());
        let memory = context.body_memory();
        let body = open.connection.read_body_within(MAX_RESPONSE_BYTES, memory);
        let body = timeout(time_left, body).await;
        let Ok(Ok(body)) = body else {
            return Err(refuse(request, RefusalCause::LostAnswer));
        };
        if self.has_begun || self.headers.is_some() {
            // The failure cannot be passed on once the response to the caller has begun.
            return Err(refuse(request, RefusalCause::LostAnswer));
        }
        request.lifecycle.apply(LifecycleEvent::Complete);
        let body = RelayBody::Complete(body);
        let response = build_response(context, &open.head, body);
        Err(StreamEnd::Failure(response))
    }

    async fn read_events<Time, Dialect>(
        &mut self,
        context: &RelayContext<Time, Dialect>,
        request: &RelayRequest,
        open: &mut OpenHandover,
    ) -> Result<Bytes, EventsEnd>
    where
        Time: Clock,
    {
        let invalid = |error| EventsEnd::Broken(ConnectionError::invalid_answer(&error));
        self.splitter.check().map_err(invalid)?;
        let mut active_at = context.now();
        loop {
            let time_left = request.time_left(context.now());
            if time_left.is_zero() {
                return Err(EventsEnd::Late);
            }
            let limit = time_left.min(SILENCE_LIMIT);
            let chunk = match timeout(limit, open.connection.read_chunk()).await {
                Ok(Ok(chunk)) => chunk,
                Ok(Err(error)) => return Err(EventsEnd::Broken(error)),
                Err(_elapsed) if limit == time_left => return Err(EventsEnd::Late),
                Err(_elapsed)
                    if context.now().saturating_duration_since(active_at) < MAX_SILENCE
                        && is_peer_alive(context, open.address).await =>
                {
                    continue;
                }
                Err(_elapsed) => {
                    let error = ConnectionError::after_write("the other instance is silent");
                    return Err(EventsEnd::Broken(error));
                }
            };
            let Some(chunk) = chunk else {
                if self.splitter.is_partial() {
                    let error = ConnectionError::after_write("the stream ended within an event");
                    return Err(EventsEnd::Broken(error));
                }
                return Err(EventsEnd::Complete);
            };
            active_at = context.now();
            let events = self.splitter.push(&chunk).map_err(invalid)?;
            if !events.is_empty() {
                return Ok(events);
            }
        }
    }
}

fn refuse(request: &mut RelayRequest, cause: RefusalCause) -> StreamEnd {
    match request.end_unanswered(cause, None) {
        RelayOutcome::Refused(cause) => StreamEnd::Refused(cause),
        RelayOutcome::Answered(response) => StreamEnd::Failure(response),
    }
}
