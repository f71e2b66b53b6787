//! Serves one caller request from its headers to the last byte of the response.

use std::time::{Duration, Instant};

use actix_http::header::{CACHE_CONTROL, HeaderValue};
use actix_http::{ConnectionType, Request, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_types::{Clock, RequestId};
use prometheus::IntGauge;
use tokio::sync::mpsc;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::plain_relay;
use crate::refusal::{RefusalCause, refuse};
use crate::relay_body::{BrokenAnswer, RelayBody};
use crate::relay_context::RelayContext;
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::{RelayRequest, take_in};
use crate::stream_relay::{StreamEnd, StreamRelay};

/// Maximum number of queued event batches for a slow caller; the stream is not read while the queue
/// is full.
const EVENT_QUEUE: usize = 16;
/// Retry delay after a refused stream, about the duration of a stream under load.
///
/// Capacity is released in that time. A stream that is refused twice is lost to its caller.
const STREAM_WAIT: Duration = Duration::from_secs(2);
/// Retry delay after engines rejected a stream.
///
/// Other engines have room, and after this time it is known which ones. It is short enough for a
/// first event within the usual objective of half a second.
const REJECTED_WAIT: Duration = Duration::from_millis(200);
/// Retry delay after a refused request to a plain service, in which other requests end.
const PLAIN_WAIT: Duration = Duration::from_millis(250);

/// Serves one request.
pub async fn handle<Time, Dialect>(
    context: RelayContext<Time, Dialect>,
    request: Request,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let arrived = context.now();
    let open = OpenGauge::new(&context);
    let taken = take_in(&context, request).await;
    let mut response = match taken {
        Err((facts, cause)) => {
            let record = OpenRequest::begin(&context, &facts.request, "none", arrived, open);
            let wait = facts.deadline.map(|deadline| deadline.mul_f64(0.3));
            record.refuse(cause, wait.unwrap_or(PLAIN_WAIT))
        }
        Ok(request) => serve(&context, request, open).await,
    };
    if context.is_stopping() {
        // The HTTP library ignores a `Connection` header set here and writes its own.
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn serve<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    mut request: RelayRequest,
    open: OpenGauge,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let record = OpenRequest::begin(
        context,
        &request.facts.request,
        &request.service,
        request.arrived,
        open,
    );
    let rule = context
        .table()
        .and_then(|table| table.service(&request.service).cloned());
    let engine = rule.and_then(|rule| rule.engine.clone());
    if let Some(profile) = engine.filter(|_| request.matched.route.repeat.is_stream()) {
        let relay = StreamRelay::new(context.clone(), request, profile);
        return serve_stream(relay, record).await;
    }
    let longest = request.longest_return(context.now());
    match plain_relay::relay(context, &mut request).await {
        RelayOutcome::Answered(response) => record.answered(response),
        RelayOutcome::Refused(cause) => record.refuse(cause, longest),
    }
}

async fn serve_stream<Time, Dialect>(
    mut relay: StreamRelay<Time, Dialect>,
    mut record: OpenRequest<Time, Dialect>,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    record.is_stream = true;
    let first = relay.events().await;
    let longest = relay.request().longest_return(record.context.now());
    record.runs = relay.runs();
    let first = match first {
        Err(StreamEnd::Refused(cause)) => return record.refuse(cause, longest),
        Err(StreamEnd::Failure(response)) => return record.answered(response),
        Ok(first) => first,
    };
    record.first_event(&relay.chain_text());
    let mut response = Response::with_body(StatusCode::OK, RelayBody::Cut);
    *response.headers_mut() = relay.answer_headers();
    response
        .headers_mut()
        .entry_or_insert(CACHE_CONTROL, "no-cache");
    let Some(first) = first else {
        record.end("answered", 200);
        return response.set_body(RelayBody::Whole(Bytes::new()));
    };
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
    // The queue is empty and open, so this send succeeds.
    drop(sender.try_send(Ok(first)));
    actix_rt::spawn(pass_on(relay, record, sender));
    response.set_body(RelayBody::Stream(receiver))
}

/// Forwards events until the stream ends or the caller disconnects.
async fn pass_on<Time, Dialect>(
    mut relay: StreamRelay<Time, Dialect>,
    mut record: OpenRequest<Time, Dialect>,
    sender: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
) where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => return,
            next = relay.events() => next,
        };
        record.runs = relay.runs();
        match next {
            Ok(Some(events)) => {
                if sender.send(Ok(events)).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                record.end("answered", 200);
                return;
            }
            Err(end) => {
                // A send error means that the caller has disconnected, which also ends the stream.
                drop(sender.send(Err(BrokenAnswer)).await);
                let cause = match end {
                    StreamEnd::Refused(cause) => cause.name(),
                    StreamEnd::Failure(_) => "engine-failure",
                };
                record.end(cause, 0);
                return;
            }
        }
    }
}

/// Inserts a header unless it is already set.
trait EntryOrInsert {
    fn entry_or_insert(&mut self, name: actix_http::header::HeaderName, value: &'static str);
}

impl EntryOrInsert for actix_http::header::HeaderMap {
    fn entry_or_insert(&mut self, name: actix_http::header::HeaderName, value: &'static str) {
        if !self.contains_key(&name) {
            self.insert(name, HeaderValue::from_static(value));
        }
    }
}

/// Counts a request as open from its headers to its last byte.
struct OpenGauge(IntGauge);

impl OpenGauge {
    fn new<Time, Dialect>(context: &RelayContext<Time, Dialect>) -> Self
    where
        Time: Clock,
    {
        let gauge = context.metrics().open_requests.clone();
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for OpenGauge {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Open request; logs its outcome when it ends, including when the caller disconnects.
struct OpenRequest<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    request: RequestId,
    service: std::sync::Arc<str>,
    arrived: Instant,
    first: Option<Duration>,
    chain: String,
    runs: u32,
    is_stream: bool,
    is_ended: bool,
    _open: OpenGauge,
}

impl<Time, Dialect> OpenRequest<Time, Dialect>
where
    Time: Clock,
{
    fn begin(
        context: &RelayContext<Time, Dialect>,
        request: &RequestId,
        service: &str,
        arrived: Instant,
        open: OpenGauge,
    ) -> Self {
        Self {
            context: context.clone(),
            request: RequestId::clone(request),
            service: service.into(),
            arrived,
            first: None,
            chain: String::new(),
            runs: 0,
            is_stream: false,
            is_ended: false,
            _open: open,
        }
    }

    fn first_event(&mut self, chain: &str) {
        let latency = self.context.now().saturating_duration_since(self.arrived);
        self.first = Some(latency);
        chain.clone_into(&mut self.chain);
        self.context.metrics().observe(&self.service, latency);
    }

    fn answered(mut self, response: Response<RelayBody>) -> Response<RelayBody> {
        if self.first.is_none() {
            self.first_event("");
        }
        self.end("answered", response.status().as_u16());
        response
    }

    fn end(&mut self, outcome: &str, status: u16) {
        self.is_ended = true;
        let total = self.context.now().saturating_duration_since(self.arrived);
        let metrics = self.context.metrics();
        metrics
            .outcomes
            .with_label_values(&[&*self.service, outcome])
            .inc();
        let version = self.context.table().map_or(0, |table| table.version());
        tracing::info!(
            request = %self.request,
            service = %self.service,
            outcome,
            status,
            first_ms = self.first.map(|first| u64::try_from(first.as_millis()).unwrap_or(u64::MAX)),
            total_ms = u64::try_from(total.as_millis()).unwrap_or(u64::MAX),
            runs = self.runs,
            chain = %self.chain,
            config = version,
            "request ended"
        );
    }
}

impl<Time, Dialect> OpenRequest<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    fn refuse(mut self, cause: RefusalCause, longest: Duration) -> Response<RelayBody> {
        let base = match cause {
            _ if !self.is_stream => PLAIN_WAIT,
            RefusalCause::Rejected => REJECTED_WAIT,
            _ => STREAM_WAIT,
        };
        let wait = cause
            .says_not_run()
            .then(|| self.context.jitter(base).min(longest));
        let response = refuse(self.context.dialect(), &self.request, cause, wait);
        self.end(cause.name(), response.status().as_u16());
        response
    }
}

impl<Time, Dialect> Drop for OpenRequest<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        if !self.is_ended {
            // After the grace period of a shutdown, remaining requests are cut off.
            let outcome = if self.context.is_stopping() {
                "cut-by-stop"
            } else {
                "caller-left"
            };
            self.end(outcome, 0);
        }
    }
}
