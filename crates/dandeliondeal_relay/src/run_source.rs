//! Reads the response of one run of a stream.

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use bytes::Bytes;
use dandeliondeal_balance::CallResult;
use dandeliondeal_http::{
    BodyFraming, ConnectionError, EndpointConnection, OutboundRequest, ResponseHead,
};
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId, RequestId};

use crate::call_guard::CallGuard;
use crate::dialect::{FleetDialect, RequestDialect, ResponseFacts};
use crate::endpoint_exchange::EndpointExchange;
use crate::endpoint_limits::record_limit;
use crate::event_splitter::EventSplitter;
use crate::relay_context::RelayContext;

/// Content type of a stream of events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Progress of a response.
#[derive(Debug)]
pub(crate) enum SourceStep {
    /// The chain started to answer.
    Started,
    /// Complete events were received.
    Events(Bytes),
    /// The last event was received before this step.
    Complete,
    /// The chain stated that it did not execute the request.
    Rejected(ResponseHead, ResponseFacts),
    /// The chain answered with a failure, whose body has not been read.
    Failed(ResponseHead),
    /// The connection or the response is broken.
    Broken(ConnectionError),
}

/// Connection to the first engine of a run.
#[derive(Debug)]
enum SourceConnection<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    /// The headers of the response come next.
    Head(EndpointExchange<Time, Dialect>),
    /// The headers were received.
    Body(EndpointConnection),
}

/// Response of a run, as far as it was received.
#[derive(Debug)]
pub(crate) struct RunSource<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    context: RelayContext<Time, Dialect>,
    connection: SourceConnection<Time, Dialect>,
    first_engine: EndpointId,
    /// Call record of the attempt, until the chain delivers its first event.
    attempt: Option<CallGuard<Time, Dialect>>,
    /// Headers for the caller.
    headers: HeaderMap,
    splitter: EventSplitter,
    /// Whether the response has ended regularly.
    is_ended: bool,
    /// Whether the run goes on after the events of an earlier one.
    is_continued: bool,
    /// Whether the response ends with its connection.
    is_unframed: bool,
}

impl<Time, Dialect> RunSource<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Queues the request of a run that continues after the event `last_event`.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the request cannot be encoded; nothing was sent.
    pub(crate) fn start(
        context: &RelayContext<Time, Dialect>,
        connection: EndpointConnection,
        chain: &EngineChain,
        request: (&OutboundRequest, &RequestId),
        last_event: Option<u64>,
    ) -> Result<Self, ConnectionError> {
        let (outbound, id) = request;
        let engine = &chain.hops[0].id;
        let exchange = EndpointExchange::start(context, engine, connection, outbound, id)?;
        let attempt = CallGuard::start_chain(context, chain);
        Ok(Self {
            context: context.clone(),
            connection: SourceConnection::Head(exchange),
            first_engine: EndpointId::clone(engine),
            attempt: Some(attempt),
            headers: HeaderMap::new(),
            splitter: EventSplitter::starting_after(last_event),
            is_ended: false,
            is_continued: last_event.is_some(),
            is_unframed: false,
        })
    }

    /// Waits for the next step. Cancel safe: a later call continues.
    pub(crate) async fn next_step(&mut self) -> SourceStep {
        let step = match self.connection {
            SourceConnection::Head(_) => self.read_head().await,
            SourceConnection::Body(_) => self.read_events().await,
        };
        step.unwrap_or_else(SourceStep::Broken)
    }

    async fn read_head(&mut self) -> Result<SourceStep, ConnectionError> {
        let SourceConnection::Head(exchange) = &mut self.connection else {
            return Ok(SourceStep::Started);
        };
        let (head, facts, connection) = exchange.read_response().await?;
        self.connection = SourceConnection::Body(connection);
        let dialect = self.context.dialect();
        record_limit(&self.context, &self.first_engine, facts.request_limit);
        if let Some(load) = facts.load {
            let now = self.context.now();
            let tracker = self.context.tracker();
            tracker.set_running(self.first_engine(), load.running, now);
        }
        if facts.is_not_run && !head.status.is_success() {
            return Ok(SourceStep::Rejected(head, facts));
        }
        if !head.status.is_success() {
            return Ok(SourceStep::Failed(head));
        }
        if !facts.is_signed || facts.is_encoded || facts.request.is_none() {
            return Err(ConnectionError::after_write(
                "response lacks the engine's signature",
            ));
        }
        self.is_unframed = head.framing == BodyFraming::UntilClose;
        self.headers = dialect.forwarded_headers(&head.headers);
        Ok(SourceStep::Started)
    }

    async fn read_events(&mut self) -> Result<SourceStep, ConnectionError> {
        if self.is_ended {
            return Ok(SourceStep::Complete);
        }
        let SourceConnection::Body(connection) = &mut self.connection else {
            return Ok(SourceStep::Started);
        };
        let earlier_error = self.splitter.check();
        earlier_error.map_err(|error| ConnectionError::invalid_answer(&error))?;
        loop {
            let Some(chunk) = connection.read_chunk().await? else {
                if self.splitter.is_partial() {
                    let problem = "the stream ended within an event";
                    return Err(ConnectionError::after_write(problem));
                }
                self.is_ended = true;
                let rest = self.splitter.take_rest();
                self.check_end(&rest)?;
                if rest.is_empty() {
                    return Ok(SourceStep::Complete);
                }
                self.record_answer();
                return Ok(SourceStep::Events(rest));
            };
            let events = self.splitter.push(&chunk);
            let events = events.map_err(|error| ConnectionError::invalid_answer(&error))?;
            if !events.is_empty() {
                self.record_answer();
                return Ok(SourceStep::Events(events));
            }
        }
    }

    /// Checks that a response without an event with an id is the end of a stream.
    ///
    /// An engine that has failed may close the connection, or send a text, where the rest of a stream
    /// is due. Only the end of a stream may have no such event, if it is framed as one.
    fn check_end(&self, rest: &Bytes) -> Result<(), ConnectionError> {
        let is_whole_answer = !self.is_continued && !rest.is_empty();
        if self.has_events() || is_whole_answer {
            return Ok(());
        }
        if self.is_unframed {
            let problem = "the connection closed before the first event";
            return Err(ConnectionError::after_write(problem));
        }
        let content_type = self.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let is_event_stream = content_type.is_some_and(|text| text.starts_with(EVENT_STREAM_TYPE));
        if !rest.is_empty() && !is_event_stream {
            let problem = "a text follows the events of an earlier run";
            return Err(ConnectionError::invalid_answer(&problem));
        }
        Ok(())
    }

    /// Records the first event of the run.
    fn record_answer(&mut self) {
        if let Some(guard) = self.attempt.take() {
            guard.end(CallResult::Answered);
            let now = self.context.now();
            let first_engines = self.context.first_engines();
            first_engines.record(self.first_engine(), true, now);
        }
    }
}

impl<Time, Dialect> RunSource<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    /// Returns the connection once the headers of the response were received.
    pub(crate) fn connection(&mut self) -> Option<&mut EndpointConnection> {
        match &mut self.connection {
            SourceConnection::Head(_) => None,
            SourceConnection::Body(connection) => Some(connection),
        }
    }

    /// Returns the connection if the headers of the response were received, and closes it otherwise.
    pub(crate) fn into_connection(self) -> Option<EndpointConnection> {
        match self.connection {
            SourceConnection::Head(_) => None,
            SourceConnection::Body(connection) => Some(connection),
        }
    }

    /// Returns the engine that received the request.
    pub(crate) fn first_engine(&self) -> &EndpointId {
        &self.first_engine
    }

    /// Returns whether the run has delivered an event.
    pub(crate) fn has_events(&self) -> bool {
        self.attempt.is_none()
    }

    /// Returns whether the head of the response was received.
    pub(crate) fn has_head(&self) -> bool {
        matches!(self.connection, SourceConnection::Body(_))
    }

    /// Returns the id of the last event that was received.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns the headers of the response that are passed to the caller.
    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.headers
    }
}
