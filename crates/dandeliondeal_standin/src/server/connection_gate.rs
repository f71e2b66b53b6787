//! A connection that the server can silence or close at any time.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Controls the socket of one connection, between the socket and the HTTP dispatcher.
#[derive(Debug)]
pub(crate) struct ConnectionGate {
    stream: RefCell<Option<TcpStream>>,
    is_silent: Cell<bool>,
    is_write_blocked: Cell<bool>,
    open_calls: Cell<usize>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionGate {
    pub(crate) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self {
            stream: RefCell::new(Some(stream)),
            is_silent: Cell::new(false),
            is_write_blocked: Cell::new(false),
            open_calls: Cell::new(0),
            waker: RefCell::new(None),
        })
    }

    /// Stops all reads from the socket and writes to it, but keeps it open.
    pub(crate) fn silence(&self) {
        self.is_silent.set(true);
    }

    /// Closes the socket immediately.
    pub(crate) fn close(&self) {
        self.stream.borrow_mut().take();
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.is_silent.get()
    }

    /// Returns whether the connection is silent, or has no open call and no unwritten answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_silent() || (self.open_calls.get() == 0 && !self.is_write_blocked.get())
    }

    pub(crate) fn begin_call(&self) {
        self.open_calls.set(self.open_calls.get() + 1);
    }

    pub(crate) fn end_call(&self) {
        self.open_calls.set(self.open_calls.get().saturating_sub(1));
    }

    fn poll_stream<Value, Operation>(
        &self,
        context: &mut Context<'_>,
        operation: Operation,
    ) -> Poll<io::Result<Value>>
    where
        Operation: FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<Value>>,
    {
        *self.waker.borrow_mut() = Some(context.waker().clone());
        match self.stream.borrow_mut().as_mut() {
            None => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Some(_) if self.is_silent() => Poll::Pending,
            Some(stream) => operation(Pin::new(stream), context),
        }
    }
}

/// The stream that the HTTP dispatcher reads and writes.
#[derive(Debug)]
pub(crate) struct GatedStream(pub(crate) Rc<ConnectionGate>);

impl AsyncRead for GatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0
            .poll_stream(context, |stream, context| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write_result = self
            .0
            .poll_stream(context, |stream, context| stream.poll_write(context, bytes));
        self.0.is_write_blocked.set(write_result.is_pending());
        write_result
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_stream(context, AsyncWrite::poll_flush)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_stream(context, AsyncWrite::poll_shutdown)
    }
}
