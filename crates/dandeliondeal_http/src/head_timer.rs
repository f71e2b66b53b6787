//! A timeout for the head of each request on a connection, and the end of idle connections.
//!
//! The HTTP library applies its head timeout only to the first request of a connection. This
//! timeout starts with the first byte that arrives while no request is open and ends when the
//! handler receives the request. A head that begins while an earlier request is open is limited by
//! the keep-alive timeout instead.
//!
//! The body of a request that was answered before its body arrived starts the timeout as well. It
//! ends with the empty line that closes a chunked body. A complete head ends with an empty line too,
//! so that no incomplete head escapes the timeout.
//!
//! When the listener closes, the library would discard requests that it has read or that wait in
//! the socket. Instead, the connection reads as ended once no request is open and nothing more has
//! arrived. A connection that was opened shortly before is kept until its first request has had time
//! to arrive.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_rt::time::{Instant, Sleep, sleep, sleep_until};
use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Time from the opening of a connection in which its first request may arrive although the listener
/// closes.
///
/// A caller sends it one round trip after the connection is accepted, or later over a slow link.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Counters of the requests on one connection, shared with the handlers of the requests.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Rc<RequestCounts>);

#[derive(Debug, Default)]
struct RequestCounts {
    /// Requests that are open now.
    open: Cell<usize>,
    /// Requests started since the connection was opened.
    started: Cell<u64>,
    /// Whether the caller has ended or reset the connection.
    has_ended: Cell<bool>,
    /// Task to wake when no request is open any more.
    waker: RefCell<Option<Waker>>,
}

impl OpenRequests {
    /// Counts a request as open until the returned guard is dropped.
    pub fn start_request(&self) -> OpenRequestGuard {
        self.0.open.set(self.0.open.get() + 1);
        self.0.started.set(self.0.started.get() + 1);
        OpenRequestGuard(self.clone())
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.0.open.get()
    }

    /// Returns whether the caller has ended or reset the connection, so that nobody waits for a
    /// response.
    pub fn has_ended(&self) -> bool {
        self.0.has_ended.get()
    }

    fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Wakes the current task when the last open request ends.
    fn wake_when_empty(&self, context: &Context<'_>) {
        self.0.waker.replace(Some(context.waker().clone()));
    }

    fn started(&self) -> u64 {
        self.0.started.get()
    }
}

/// Counts one request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard(OpenRequests);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let counts = &self.0.0;
        counts.open.set(counts.open.get().saturating_sub(1));
        if counts.open.get() == 0
            && let Some(waker) = counts.waker.take()
        {
            waker.wake();
        }
    }
}

/// A response body whose request counts as open until the body has been sent or dropped.
#[derive(Debug)]
pub struct GuardedBody<Body> {
    body: Body,
    _guard: OpenRequestGuard,
}

impl<Body> GuardedBody<Body> {
    /// Combines `body` with the `guard` of its request.
    pub fn new(body: Body, guard: OpenRequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<Body> MessageBody for GuardedBody<Body>
where
    Body: MessageBody + Unpin,
{
    type Error = Body::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Body::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

/// Last bytes that arrived on a connection.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedTail([u8; 4]);

impl ReceivedTail {
    fn extend(&mut self, bytes: &[u8]) {
        let last = &bytes[bytes.len().saturating_sub(self.0.len())..];
        self.0.rotate_left(last.len());
        let kept = self.0.len() - last.len();
        self.0[kept..].copy_from_slice(last);
    }

    /// Returns whether a head or a chunked body has just ended.
    fn is_empty_line(self) -> bool {
        self.0 == *b"\r\n\r\n"
    }
}

/// Timeout of the head that is being received.
struct HeadTimer {
    /// Number of requests started before this head; a higher count means that the head arrived.
    started_before: u64,
    sleep: Pin<Box<Sleep>>,
}

/// A connection whose reads fail when the head of a request takes too long, and end when it is idle
/// and the listener closes.
pub struct TimedStream {
    stream: TcpStream,
    /// Maximum time for the head of a request.
    limit: Duration,
    open_requests: OpenRequests,
    timer: Option<HeadTimer>,
    tail: ReceivedTail,
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
    is_closing: bool,
    opened_at: Instant,
    /// End of the wait for the first request, once the listener closes.
    first_request: Option<Pin<Box<Sleep>>>,
}

impl TimedStream {
    /// Applies `limit` as the timeout of each request head on `stream`, and ends the connection
    /// when it is idle after the cancellation of `closing`.
    pub fn new(stream: TcpStream, limit: Duration, closing: CancellationToken) -> Self {
        Self {
            stream,
            limit,
            open_requests: OpenRequests::default(),
            timer: None,
            tail: ReceivedTail::default(),
            closing: Box::pin(closing.cancelled_owned()),
            is_closing: false,
            opened_at: Instant::now(),
            first_request: None,
        }
    }

    /// Returns the counters of the requests on the connection.
    pub fn open_requests(&self) -> &OpenRequests {
        &self.open_requests
    }

    fn has_timed_out(&mut self, context: &mut Context<'_>) -> bool {
        let started = self.open_requests.started();
        self.timer.take_if(|timer| timer.started_before != started);
        self.timer
            .as_mut()
            .is_some_and(|timer| timer.sleep.as_mut().poll(context).is_ready())
    }

    /// Returns whether the connection is to be closed now that nothing more has arrived.
    fn has_ended(&mut self, context: &mut Context<'_>) -> bool {
        if !self.is_closing {
            self.is_closing = self.closing.as_mut().poll(context).is_ready();
        }
        if !self.is_closing {
            return false;
        }
        if !self.open_requests.is_empty() {
            self.open_requests.wake_when_empty(context);
            return false;
        }
        if self.open_requests.started() == 0 {
            let due_at = self.opened_at + FIRST_REQUEST_TIME;
            let wait = self
                .first_request
                .get_or_insert_with(|| Box::pin(sleep_until(due_at)));
            if wait.as_mut().poll(context).is_pending() {
                return false;
            }
        }
        // A head that has begun is still read; its timeout limits it.
        self.timer.is_none()
    }

    fn start_timer(&mut self, context: &mut Context<'_>) {
        if self.open_requests.is_empty() && self.timer.is_none() {
            let mut timer = HeadTimer {
                started_before: self.open_requests.started(),
                sleep: Box::pin(sleep(self.limit)),
            };
            // The first poll registers the task to be woken. A timeout of zero takes effect at the
            // next read.
            let _ = timer.sleep.as_mut().poll(context);
            self.timer = Some(timer);
        }
    }
}

impl Debug for TimedStream {
    fn fmt(&self, output: &mut Formatter<'_>) -> fmt::Result {
        output
            .debug_struct("TimedStream")
            .field("stream", &self.stream)
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

/// Returns whether the next read of a connection finds its end.
fn has_peer_left(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.has_timed_out(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let (filled_before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        let has_bytes = buffer.filled().len() > filled_before;
        let is_end = result.is_ready() && has_room && !has_bytes;
        // The end may be behind the bytes although no event has told of it yet.
        let is_drained = has_bytes && buffer.remaining() > 0;
        if is_end || (is_drained && has_peer_left(&this.stream)) {
            this.open_requests.0.has_ended.set(true);
        }
        if has_bytes {
            this.tail.extend(&buffer.filled()[filled_before..]);
            if this.tail.is_empty_line() {
                this.timer = None;
            } else {
                this.start_timer(context);
            }
        } else if result.is_pending() && this.has_ended(context) {
            // A read without bytes is the end of the connection.
            return Poll::Ready(Ok(()));
        }
        result
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
