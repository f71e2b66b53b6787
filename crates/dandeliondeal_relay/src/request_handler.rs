//! Serves one caller request from its headers to the last byte of the response.

use std::time::{Duration, Instant};

use actix_http::header::{CACHE_CONTROL, HeaderValue};
use actix_http::{ConnectionType, Request, Response, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use dandeliondeal_types::{Clock, RequestId};
use prometheus::IntGauge;
use tokio::sync::mpsc;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::endpoint_exchange::MAX_RESPONSE_BYTES;
use crate::plain_admission::CALL_WORK;
use crate::plain_relay;
use crate::quarantine_store::TRIAL_DELAY;
use crate::refusal::{RefusalCause, refusal_response};
use crate::relay_body::{RelayBody, StreamPart};
use crate::relay_context::RelayContext;
use crate::relay_outcome::RelayOutcome;
use crate::request_intake::{RelayRequest, RequestOrigin, read_request};
use crate::request_progress::RequestProgress;
use crate::stream_relay::{StreamEnd, StreamRelay};

/// Maximum number of queued event batches for a slow caller; the stream is not read while the queue
/// is full.
const EVENT_QUEUE_CAPACITY: usize = 16;
/// Retry delay after a refused stream, about the duration of a stream under load.
///
/// Capacity is released in that time. A stream that is refused twice is lost to its caller.
const STREAM_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Retry delay after engines rejected a stream.
///
/// Other engines have room, and after this time it is known which ones. It is short enough for a
/// first event within the usual objective of half a second.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Retry delay after a stream that was refused because a part of its prompt crashes engines.
///
/// It is not limited by the time that the caller has left: the part is not tried again any sooner.
const QUARANTINE_RETRY_DELAY: Duration = TRIAL_DELAY;
/// Retry delay after a request that found no configuration although it waited for it: the store is
/// away, and a caller who returns earlier is refused again.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(2_500);
/// Retry delay after a request that this process would not end before it exits: other instances can
/// serve it at once.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Retry delay after a refused request to a plain service, in which other requests end.
const PLAIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Serves one request.
pub async fn handle_request<Time, Dialect>(
    context: RelayContext<Time, Dialect>,
    request: Request,
    origin: RequestOrigin,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let arrived = context.now();
    let open = OpenGauge::new(&context);
    // HTTP/1.0 has no chunks.
    let is_whole = request.head().version < Version::HTTP_11;
    let intake = read_request(&context, request, origin).await;
    let mut response = match intake {
        Err((facts, cause)) => {
            let record = OpenRequest::start(&context, &facts.request, "none", arrived, open);
            let retry_delay = facts.deadline.map(|deadline| deadline.mul_f64(0.3));
            let max_delay = retry_delay.unwrap_or(PLAIN_RETRY_DELAY);
            record.finish_refused(cause, max_delay, None)
        }
        Ok(request) => serve_request(&context, request, open, is_whole).await,
    };
    if context.is_stopping() {
        // The HTTP library ignores a `Connection` header set here and writes its own.
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn serve_request<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    mut request: RelayRequest,
    open: OpenGauge,
    is_whole: bool,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let mut record = OpenRequest::start(
        context,
        &request.facts.request,
        &request.service,
        request.arrived,
        open,
    );
    record.progress = request.progress.clone();
    let is_stream = request.route_match.route.repeat_class.is_stream();
    if let Some(profile) = request.engine_profile.clone().filter(|_| is_stream) {
        let relay = StreamRelay::new(context.clone(), request, profile);
        return serve_stream(relay, record, is_whole).await;
    }
    record.work = Some(CALL_WORK);
    let max_delay = request.max_retry_delay(context.now());
    match plain_relay::relay_request(context, &mut request).await {
        RelayOutcome::Answered(response) => record.finish_answered(response),
        RelayOutcome::Refused(cause) => record.finish_refused(cause, max_delay, request.room_delay),
    }
}

/// Serves a stream; with `is_whole`, the response is sent when it is complete.
///
/// Without chunks, the end of a connection would make a part of a stream appear complete.
async fn serve_stream<Time, Dialect>(
    mut relay: StreamRelay<Time, Dialect>,
    mut record: OpenRequest<Time, Dialect>,
    is_whole: bool,
) -> Response<RelayBody>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    record.is_stream = true;
    record.work = relay.expected_output();
    let first_events = tokio::select! {
        biased;
        first_events = read_first(&mut relay, is_whole) => first_events,
        () = record.context.wait_for_final_responses() => Err(relay.end_timed_out()),
    };
    let max_delay = relay.request().max_retry_delay(record.context.now());
    let first_events = match first_events {
        Err(StreamEnd::Refused(cause)) => {
            let room_delay = relay.request().room_delay;
            return record.finish_refused(cause, max_delay, room_delay);
        }
        Err(StreamEnd::Failure(response)) => return record.finish_answered(response),
        Ok(first) => first,
    };
    record.record_first_event(&relay.describe_chain());
    let mut response = Response::with_body(StatusCode::OK, RelayBody::Cut);
    *response.headers_mut() = relay.response_headers();
    response
        .headers_mut()
        .insert_if_absent(CACHE_CONTROL, "no-cache");
    let first = match first_events {
        Some(first) if !is_whole => first,
        events => {
            record.record_end("answered", 200);
            return response.set_body(RelayBody::Complete(events.unwrap_or_default()));
        }
    };
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    // The queue is empty and open, so this send succeeds.
    drop(sender.try_send(StreamPart::Events(first)));
    actix_rt::spawn(forward_events(relay, record, sender));
    response.set_body(RelayBody::Stream(receiver))
}

/// Returns the first events of a stream, or all of them if `is_whole` is set.
async fn read_first<Time, Dialect>(
    relay: &mut StreamRelay<Time, Dialect>,
    is_whole: bool,
) -> Result<Option<Bytes>, StreamEnd>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    let first = relay.next_events().await?;
    let mut events = match first {
        Some(first) if is_whole => BytesMut::from(first),
        first => return Ok(first),
    };
    while let Some(next) = relay.next_events().await? {
        if events.len() + next.len() > MAX_RESPONSE_BYTES {
            return Err(relay.end_timed_out());
        }
        events.extend_from_slice(&next);
    }
    Ok(Some(events.freeze()))
}

/// Forwards events until the stream ends or the caller disconnects.
async fn forward_events<Time, Dialect>(
    mut relay: StreamRelay<Time, Dialect>,
    mut record: OpenRequest<Time, Dialect>,
    sender: mpsc::Sender<StreamPart>,
) where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => return,
            next = relay.next_events() => next,
        };
        let next = match next {
            Ok(Some(events)) => {
                let time_left = relay.request().time_left(record.context.now());
                let send = sender.send(StreamPart::Events(events));
                match actix_rt::time::timeout(time_left, send).await {
                    Ok(Ok(())) => continue,
                    Ok(Err(_closed)) => return,
                    // The caller does not read.
                    Err(_elapsed) => Err(relay.end_timed_out()),
                }
            }
            end => end,
        };
        match next {
            Ok(Some(_)) => {}
            Ok(None) => {
                if sender.send(StreamPart::End).await.is_ok() {
                    record.record_end("answered", 200);
                }
                return;
            }
            Err(end) => {
                // The sender is dropped without an end, which closes the caller's connection.
                let cause = match end {
                    StreamEnd::Refused(cause) => cause.name(),
                    StreamEnd::Failure(_) => "engine-failure",
                };
                record.record_end(cause, 0);
                return;
            }
        }
    }
}

/// Inserts a header unless it is already set.
trait InsertIfAbsent {
    fn insert_if_absent(&mut self, name: actix_http::header::HeaderName, value: &'static str);
}

impl InsertIfAbsent for actix_http::header::HeaderMap {
    fn insert_if_absent(&mut self, name: actix_http::header::HeaderName, value: &'static str) {
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
    first_latency: Option<Duration>,
    chain: String,
    progress: RequestProgress,
    is_stream: bool,
    /// Work of the request, if its time shows how long others take.
    work: Option<f64>,
    is_ended: bool,
    _open: OpenGauge,
}

impl<Time, Dialect> OpenRequest<Time, Dialect>
where
    Time: Clock,
{
    fn start(
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
            first_latency: None,
            chain: String::new(),
            progress: RequestProgress::default(),
            is_stream: false,
            work: None,
            is_ended: false,
            _open: open,
        }
    }

    fn record_first_event(&mut self, chain: &str) {
        let latency = self.context.now().saturating_duration_since(self.arrived);
        self.first_latency = Some(latency);
        chain.clone_into(&mut self.chain);
        self.context
            .metrics()
            .observe_latency(&self.service, latency);
    }

    fn finish_answered(mut self, response: Response<RelayBody>) -> Response<RelayBody> {
        if self.first_latency.is_none() {
            self.record_first_event("");
        }
        self.record_end("answered", response.status().as_u16());
        response
    }

    fn record_end(&mut self, outcome: &str, status: u16) {
        self.is_ended = true;
        let total = self.context.now().saturating_duration_since(self.arrived);
        if let Some(work) = self
            .work
            .filter(|_| outcome == "answered" && (200..300).contains(&status))
        {
            let mut times = self.context.run_times().borrow_mut();
            times.record(&self.service, work, total);
        }
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
            first_ms = self
                .first_latency
                .map(|latency| u64::try_from(latency.as_millis()).unwrap_or(u64::MAX)),
            total_ms = u64::try_from(total.as_millis()).unwrap_or(u64::MAX),
            runs = self.progress.runs(),
            attempts = self.progress.attempts(),
            last_event = self.progress.last_event(),
            waiting_on = self.progress.waiting_on().as_deref(),
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
    /// Builds the refusal; `room_delay` is the time until endpoints have room, if that is known.
    fn finish_refused(
        mut self,
        cause: RefusalCause,
        max_delay: Duration,
        room_delay: Option<Duration>,
    ) -> Response<RelayBody> {
        let base_delay = match cause {
            RefusalCause::NoConfig => CONFIG_RETRY_DELAY,
            RefusalCause::Stopping => STOP_RETRY_DELAY,
            _ if !self.is_stream => PLAIN_RETRY_DELAY,
            RefusalCause::Rejected => REJECTED_RETRY_DELAY,
            _ => STREAM_RETRY_DELAY,
        };
        let retry_delay = match (cause, room_delay) {
            (RefusalCause::Quarantined, _) => Some(QUARANTINE_RETRY_DELAY),
            (
                RefusalCause::Limited | RefusalCause::BackedOff | RefusalCause::Overloaded,
                Some(room_delay),
            ) => Some(room_delay.min(max_delay)),
            _ => cause
                .states_not_run()
                .then(|| self.context.jitter(base_delay).min(max_delay)),
        };
        let response = refusal_response(self.context.dialect(), &self.request, cause, retry_delay);
        self.record_end(cause.name(), response.status().as_u16());
        response
    }
}

impl<Time, Dialect> Drop for OpenRequest<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        if !self.is_ended {
            let outcome = if self.context.is_exiting() {
                "cut-by-stop"
            } else {
                "caller-left"
            };
            self.record_end(outcome, 0);
        }
    }
}
