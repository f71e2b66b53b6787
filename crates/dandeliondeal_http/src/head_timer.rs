//! Bounds the time in which the head of each request arrives.
//!
//! The HTTP library bounds the head of a connection's first request only. Here the time runs from
//! the first byte that comes while no request is open until the handler gets the request. A head
//! that begins while an earlier request is open is bounded by the keep-alive time.

use std::cell::Cell;
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_rt::time::{Sleep, sleep};
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Requests of one connection, shared with what answers them.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Rc<RequestCounts>);

#[derive(Debug, Default)]
struct RequestCounts {
    open: Cell<usize>,
    begun: Cell<u64>,
}

impl OpenRequests {
    /// Counts a request until the guard is dropped.
    pub fn begin(&self) -> OpenGuard {
        self.0.open.set(self.0.open.get() + 1);
        self.0.begun.set(self.0.begun.get() + 1);
        OpenGuard(self.clone())
    }

    fn is_none(&self) -> bool {
        self.0.open.get() == 0
    }

    fn begun(&self) -> u64 {
        self.0.begun.get()
    }
}

/// Counts one request as open.
#[derive(Debug)]
pub struct OpenGuard(OpenRequests);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let count = &self.0.0.open;
        count.set(count.get().saturating_sub(1));
    }
}

/// A body whose request counts as open until the body has been sent.
#[derive(Debug)]
pub struct GuardedBody<Body> {
    body: Body,
    _guard: OpenGuard,
}

impl<Body> GuardedBody<Body> {
    /// Keeps `guard` as long as `body`.
    pub fn new(body: Body, guard: OpenGuard) -> Self {
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

/// Time left for a head.
struct HeadTimer {
    /// Requests begun before it; once there are more, the head has arrived.
    begun: u64,
    sleep: Pin<Box<Sleep>>,
}

/// A connection that breaks when a head takes too long.
pub struct TimedStream {
    stream: TcpStream,
    limit: Duration,
    open: OpenRequests,
    timer: Option<HeadTimer>,
}

impl TimedStream {
    /// Bounds each head on `stream` by `limit`.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            open: OpenRequests::default(),
            timer: None,
        }
    }

    /// The requests that are open on the connection.
    pub fn open(&self) -> &OpenRequests {
        &self.open
    }

    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let begun = self.open.begun();
        self.timer.take_if(|timer| timer.begun != begun);
        self.timer
            .as_mut()
            .is_some_and(|timer| timer.sleep.as_mut().poll(context).is_ready())
    }

    fn start_timer(&mut self, context: &mut Context<'_>) {
        if self.open.is_none() && self.timer.is_none() {
            let mut timer = HeadTimer {
                begun: self.open.begun(),
                sleep: Box::pin(sleep(self.limit)),
            };
            // The first poll registers the task; a timer of zero is seen with the next read.
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

impl AsyncRead for TimedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_late(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            this.start_timer(context);
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
