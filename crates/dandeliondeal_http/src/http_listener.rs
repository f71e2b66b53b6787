//! One HTTP listener on the current arbiter.

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

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerSettings {
    /// Connections open at once; a further one is closed.
    pub connections: usize,
    /// Longest time for a request's head to arrive.
    pub header_time: Duration,
    /// Time that an idle connection is kept.
    pub keep_alive: Duration,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_time: Duration::from_secs(5),
            keep_alive: Duration::from_secs(75),
        }
    }
}

/// A listener that accepts until it is closed; open connections finish their requests.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
}

impl HttpListener {
    /// Binds `address` and serves each request with `handler` on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start<Handler, Reply, Body>(
        address: SocketAddr,
        settings: ListenerSettings,
        handler: Handler,
    ) -> io::Result<Self>
    where
        Handler: Fn(Request) -> Reply + Clone + 'static,
        Reply: Future<Output = Response<Body>> + 'static,
        Body: MessageBody + Unpin + 'static,
    {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (closing, closed) = watch::channel(false);
        let open = Rc::new(Cell::new(0));
        actix_rt::spawn(accept(socket, settings, handler, closed, Rc::clone(&open)));
        Ok(Self {
            address,
            closing,
            open,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting and closes each connection once its request is answered.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }
}

async fn accept<Handler, Reply, Body>(
    socket: TcpListener,
    settings: ListenerSettings,
    handler: Handler,
    closed: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) where
    Handler: Fn(Request) -> Reply + Clone + 'static,
    Reply: Future<Output = Response<Body>> + 'static,
    Body: MessageBody + Unpin + 'static,
{
    let signal = closed.clone();
    let factory = HttpService::build()
        .client_request_timeout(settings.header_time)
        .client_disconnect_timeout(settings.header_time)
        .keep_alive(settings.keep_alive)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &TimedStream, data| {
            data.insert(stream.open().clone());
        })
        .graceful_shutdown_signal(move || wait_closed(signal.clone()))
        .h1(fn_service(move |request: Request| {
            let open = request.conn_data::<OpenRequests>().cloned();
            let guard = open.unwrap_or_default().begin();
            let reply = handler(request);
            async move {
                let reply = reply.await;
                Ok::<_, Infallible>(reply.map_body(|_, body| GuardedBody::new(body, guard)))
            }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            () = wait_closed(closed.clone()) => break,
            accepted = socket.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Out of file descriptors, most likely: let some connections end.
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= settings.connections {
            continue;
        }
        // Without it answers are only slower.
        drop(stream.set_nodelay(true));
        let stream = TimedStream::new(stream, settings.header_time);
        spawn_connection(Rc::clone(&service), (stream, Some(peer)), Rc::clone(&open));
    }
}

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A connection with the address of its caller.
type CallerStream = (TimedStream, Option<SocketAddr>);

fn spawn_connection<Connection>(
    service: Rc<Connection>,
    stream: CallerStream,
    open: Rc<Cell<usize>>,
) where
    Connection: Service<CallerStream> + 'static,
{
    open.set(open.get() + 1);
    actix_rt::spawn(async move {
        // An error here is the caller's connection breaking; its requests have been told already.
        drop(service.call(stream).await);
        open.set(open.get().saturating_sub(1));
    });
}

async fn wait_closed(mut closed: watch::Receiver<bool>) {
    // The sender goes away with the listener, which closes it just as well.
    drop(closed.wait_for(|closed| *closed).await);
}
