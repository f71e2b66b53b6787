//! Server for calls from other instances.
//!
//! `jsonrpsee` runs its handlers on any thread, while the state of an instance stays on the thread
//! of its `actix` arbiter. Calls are therefore queued in a channel to the arbiter.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use serde_json::value::RawValue;
use subtle::ConstantTimeEq;
use tokio::sync::{mpsc, oneshot};

use crate::peer_client::PeerSettings;
use crate::peer_error::PeerError;

/// Maximum number of calls queued for the arbiter.
const CALL_QUEUE_LIMIT: usize = 1_024;
/// JSON-RPC error code for a call with a wrong secret.
const WRONG_SECRET_CODE: i32 = -32_001;
/// JSON-RPC error code for a call that the handler or the queue refused.
const REFUSED_CODE: i32 = -32_002;

/// Answers calls from other instances, on the arbiter.
///
/// Bodies and replies are JSON text, so that each crate can define its own message types.
pub trait PeerHandler: Clone + std::fmt::Debug + 'static {
    /// Names of the methods that the handler answers.
    const METHODS: &'static [&'static str];

    /// Answers one call with a JSON text, or refuses it.
    fn handle(
        &self,
        method: &'static str,
        body: Box<str>,
    ) -> impl Future<Output = Result<String, PeerError>>;
}

/// Running server, which stops when it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

#[derive(Debug)]
struct QueuedCall {
    method: &'static str,
    body: Box<str>,
    reply: oneshot::Sender<Result<String, PeerError>>,
}

#[derive(Debug)]
struct CallQueue {
    secret: Arc<str>,
    calls: mpsc::Sender<QueuedCall>,
}

impl PeerServer {
    /// Starts a server whose handler runs on the current actix arbiter.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used, or a method name is registered twice.
    pub fn start<Handler>(
        listener: TcpListener,
        settings: &PeerSettings,
        handler: Handler,
    ) -> std::io::Result<Self>
    where
        Handler: PeerHandler,
    {
        let config = ServerConfig::builder()
            .max_connections(settings.max_connections)
            .max_request_body_size(settings.max_message_bytes)
            .max_response_body_size(settings.max_message_bytes)
            .ws_only()
            .set_tcp_no_delay(true)
            .build();
        listener.set_nonblocking(true)?;
        let server = Server::builder()
            .set_config(config)
            .build_from_tcp(listener)?;
        let address = server.local_addr()?;
        let (sender, receiver) = mpsc::channel(CALL_QUEUE_LIMIT);
        let queue = CallQueue {
            secret: settings.secret.reveal().into(),
            calls: sender,
        };
        let module = peer_module(queue, Handler::METHODS)?;
        actix_rt::spawn(handle_calls(receiver, handler));
        Ok(Self {
            address,
            handle: server.start(module),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes every connection.
    pub fn stop(&self) {
        // An error only means that the server has stopped already.
        let _ = self.handle.stop();
    }
}

fn peer_module(
    queue: CallQueue,
    methods: &[&'static str],
) -> std::io::Result<RpcModule<CallQueue>> {
    let mut module = RpcModule::new(queue);
    for method in methods.iter().copied() {
        module
            .register_async_method(method, move |params, queue, _| async move {
                queue_call(method, &params, &queue).await
            })
            .map_err(std::io::Error::other)?;
    }
    Ok(module)
}

async fn queue_call(
    method: &'static str,
    params: &Params<'static>,
    queue: &CallQueue,
) -> Result<Box<RawValue>, ErrorObjectOwned> {
    let (secret, body): (String, Box<RawValue>) = params.parse()?;
    if !bool::from(secret.as_bytes().ct_eq(queue.secret.as_bytes())) {
        return Err(error_object(WRONG_SECRET_CODE, "the peer secret is wrong"));
    }
    let (sender, receiver) = oneshot::channel();
    let call = QueuedCall {
        method,
        body: body.get().into(),
        reply: sender,
    };
    queue
        .calls
        .try_send(call)
        .map_err(|_| error_object(REFUSED_CODE, "too many calls wait"))?;
    let reply = receiver
        .await
        .map_err(|_| error_object(REFUSED_CODE, "the instance stops"))?
        .map_err(|error| error_object(REFUSED_CODE, &error.to_string()))?;
    RawValue::from_string(reply).map_err(|error| error_object(REFUSED_CODE, &error.to_string()))
}

fn error_object(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

async fn handle_calls<Handler>(mut calls: mpsc::Receiver<QueuedCall>, handler: Handler)
where
    Handler: PeerHandler,
{
    while let Some(call) = calls.recv().await {
        let handler = handler.clone();
        actix_rt::spawn(async move {
            let result = handler.handle(call.method, call.body).await;
            // Sending fails if the caller has disconnected.
            let _ = call.reply.send(result);
        });
    }
}
