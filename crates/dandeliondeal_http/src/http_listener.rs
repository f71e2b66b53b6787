//! An HTTP listener that runs on the current actix arbiter.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;
use tokio::sync::watch;

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
    /// Set to `true` when the listener is closed.
    shutdown: watch::Sender<bool>,
    open_connections: Rc<Cell<usize>>,
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
        let (shutdown, shutdown_receiver) = watch::channel(false);
        let open_connections = Rc::new(Cell::new(0));
        actix_rt::spawn(accept_connections(
            socket,
            settings,
            handler,
            shutdown_receiver,
            Rc::clone(&open_connections),
        ));
        Ok(Self {
            address,
            shutdown,
            open_connections,
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

    /// Stops accepting and closes each connection after the response to its open request.
    pub fn close(&self) {
        self.shutdown.send_replace(true);
    }
}

async fn accept_connections<Handler, ResponseFuture, Body>(
    socket: TcpListener,
    settings: ListenerSettings,
    handler: Handler,
    shutdown: watch::Receiver<bool>,
    open_connections: Rc<Cell<usize>>,
) where
    Handler: Fn(Request) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = Response<Body>> + 'static,
    Body: MessageBody + Unpin + 'static,
{
    let shutdown_signal = shutdown.clone();
    let factory = HttpService::build()
        .client_request_timeout(settings.head_timeout)
        .client_disconnect_timeout(settings.head_timeout)
        .keep_alive(settings.keep_alive_timeout)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &TimedStream, data| {
            data.insert(stream.open_requests().clone());
        })
        .graceful_shutdown_signal(move || wait_for_shutdown(shutdown_signal.clone()))
        .h1(fn_service(move |request: Request| {
            let open_requests = request.conn_data::<OpenRequests>().cloned();
            let guard = open_requests.unwrap_or_default().start_request();
            let response = handler(request);
            async move {
                let response = response.await;
                Ok::<_, Infallible>(response.map_body(|_, body| GuardedBody::new(body, guard)))
            }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            () = wait_for_shutdown(shutdown.clone()) => break,
            accepted = socket.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // The process has probably run out of file descriptors; wait for connections to end.
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.get() >= settings.max_connections {
            continue;
        }
        // TCP_NODELAY only reduces latency, so a failure to set it is ignored.
        drop(stream.set_nodelay(true));
        let stream = TimedStream::new(stream, settings.head_timeout);
        spawn_connection(
            Rc::clone(&service),
            (stream, Some(peer)),
            Rc::clone(&open_connections),
        );
    }
}

/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection with the address of its caller.
type CallerStream = (TimedStream, Option<SocketAddr>);

fn spawn_connection<ConnectionService>(
    service: Rc<ConnectionService>,
    stream: CallerStream,
    open_connections: Rc<Cell<usize>>,
) where
    ConnectionService: Service<CallerStream> + 'static,
{
    open_connections.set(open_connections.get() + 1);
    actix_rt::spawn(async move {
        // An error here means that the caller's connection broke. The handlers of its requests were
        // already informed, so the error is ignored.
        drop(service.call(stream).await);
        open_connections.set(open_connections.get().saturating_sub(1));
    });
}

async fn wait_for_shutdown(mut shutdown: watch::Receiver<bool>) {
    // An error means that the listener and its sender were dropped, which is also a shutdown.
    drop(shutdown.wait_for(|is_shut_down| *is_shut_down).await);
}
