//! An HTTP listener that runs on the current actix arbiter.

use std::cell::Cell;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{ConnectionType, HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::caller_bound::run_for_caller;
use crate::head_timer::{GuardedBody, OpenRequests, TimedStream};

/// Limits of an [`HttpListener`].
#[derive(Clone, Copy, Debug)]
pub struct ListenerSettings {
    /// Maximum number of open connections; any further connection is closed.
    pub max_connections: usize,
    /// Maximum time for a request head to arrive, and for a closed connection to shut down.
    pub head_timeout: Duration,
    /// Maximum time that an idle connection stays open.
    pub keep_alive_timeout: Duration,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            head_timeout: Duration::from_secs(5),
            keep_alive_timeout: Duration::from_secs(75),
        }
    }
}

/// A listener that accepts connections until it is closed; open requests still finish.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    closing: CancellationToken,
    open_connections: Rc<Cell<usize>>,
    _close_on_drop: DropGuard,
}

impl HttpListener {
    /// Binds `address` and serves each request with `handler` on the current actix arbiter.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn start<Handler, ResponseFuture, Body>(
        address: SocketAddr,
        settings: ListenerSettings,
        handler: Handler,
    ) -> io::Result<Self>
    where
        Handler: Fn(Request) -> ResponseFuture + Clone + 'static,
        ResponseFuture: Future<Output = Response<Body>> + 'static,
        Body: MessageBody + Unpin + 'static,
    {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let closing = CancellationToken::new();
        let open_connections = Rc::new(Cell::new(0));
        actix_rt::spawn(accept_connections(
            socket,
            settings,
            handler,
            closing.clone(),
            Rc::clone(&open_connections),
        ));
        Ok(Self {
            address,
            closing: closing.clone(),
            open_connections,
            _close_on_drop: closing.drop_guard(),
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Stops accepting and closes each connection once it is idle.
    ///
    /// Requests that have reached this machine are still answered, also those that have not been
    /// read yet and those on connections that have not been accepted yet.
    pub fn close(&self) {
        self.closing.cancel();
    }
}

/// Error for a handler that panicked; the caller is told that the outcome is unknown.
#[derive(Clone, Copy, Debug)]
struct HandlerPanic;

impl From<HandlerPanic> for Response<BoxBody> {
    fn from(_panic: HandlerPanic) -> Self {
        let mut response = Self::new(StatusCode::BAD_GATEWAY);
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        response
    }
}

async fn accept_connections<Handler, ResponseFuture, Body>(
    socket: TcpListener,
    settings: ListenerSettings,
    handler: Handler,
    closing: CancellationToken,
    open_connections: Rc<Cell<usize>>,
) where
    Handler: Fn(Request) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = Response<Body>> + 'static,
    Body: MessageBody + Unpin + 'static,
{
    let is_closing = closing.clone();
    let end_of_idle = CancellationToken::new();
    let factory = HttpService::build()
        .client_request_timeout(settings.head_timeout)
        .client_disconnect_timeout(settings.head_timeout)
        .keep_alive(settings.keep_alive_timeout)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &TimedStream, data| {
            data.insert(stream.open_requests().clone());
        })
        .h1(fn_service(move |request: Request| {
            let open_requests = request.conn_data::<OpenRequests>().cloned();
            let open_requests = open_requests.unwrap_or_default();
            let guard = open_requests.start_request();
            let response = AssertUnwindSafe(handler(request)).catch_unwind();
            let response = run_for_caller(response, open_requests);
            let is_closing = is_closing.clone();
            async move {
                let mut response = response.await.map_err(|_panic| {
                    tracing::error!("request handler panicked");
                    HandlerPanic
                })?;
                if is_closing.is_cancelled() {
                    let head = response.head_mut();
                    head.set_connection_type(ConnectionType::Close);
                }
                Ok::<_, HandlerPanic>(response.map_body(|_, body| GuardedBody::new(body, guard)))
            }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let start_connection = |stream: TcpStream, peer: SocketAddr| {
        if open_connections.get() >= settings.max_connections {
            tracing::warn!(caller = %peer, "connection closed: too many are open");
            return;
        }
        // TCP_NODELAY only reduces latency, so a failure to set it is ignored.
        drop(stream.set_nodelay(true));
        let stream = TimedStream::new(stream, settings.head_timeout, end_of_idle.clone());
        let open_connection = OpenConnection::new(Rc::clone(&open_connections));
        actix_rt::spawn(serve_connection(
            Rc::clone(&service),
            stream,
            peer,
            open_connection,
        ));
    };
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => break,
            accepted = socket.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => start_connection(stream, peer),
            Err(error) => {
                // The process has probably run out of file descriptors; wait for connections to
                // end.
                tracing::warn!(%error, "connection cannot be accepted");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections that the system has established already may carry a request.
    let mut last_accept = std::pin::pin!(actix_rt::time::sleep(CLOSE_DELAY));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = socket.accept() => accepted,
            () = &mut last_accept => break,
        };
        match accepted {
            Ok((stream, peer)) => start_connection(stream, peer),
            Err(error) => {
                tracing::warn!(%error, "connection cannot be accepted");
                break;
            }
        }
    }
    drop(socket);
    actix_rt::time::sleep(CLOSE_DELAY).await;
    end_of_idle.cancel();
}

/// Time in which a closing listener still accepts connections, and then the time in which it reads
/// requests on idle connections.
///
/// What arrived while the process was busy is known only after the next turn of the event loop.
const CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection with the address of its caller.
type CallerStream = (TimedStream, Option<SocketAddr>);

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Serves a connection until it ends, and logs an end with open requests.
async fn serve_connection<ConnectionService>(
    service: Rc<ConnectionService>,
    stream: TimedStream,
    peer: SocketAddr,
    _open_connection: OpenConnection,
) where
    ConnectionService: Service<CallerStream> + 'static,
    ConnectionService::Error: Display,
{
    let open_requests = stream.open_requests().clone();
    let mut connection = std::pin::pin!(service.call((stream, Some(peer))));
    let result = connection.as_mut().await;
    // Requests are counted before the connection is dropped, which ends them.
    let open = open_requests.count();
    let reason = match result {
        Ok(_) => "closed by the caller".to_owned(),
        Err(error) => error.to_string(),
    };
    if open > 0 {
        tracing::info!(caller = %peer, open, reason, "connection ended with an open request");
    } else {
        tracing::debug!(caller = %peer, reason, "connection ended");
    }
}
