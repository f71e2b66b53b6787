//! Serves calls of other instances.
//!
//! `jsonrpsee` runs its handlers on any thread, while the state of an instance stays on its
//! arbiter. Calls are therefore handed to the arbiter through a channel.

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

/// Calls that may wait for the arbiter.
const INBOX_LIMIT: usize = 1_024;
/// Code of a call without the secret.
const UNAUTHORISED: i32 = -32_001;
/// Code of a call that the handler refused.
const REFUSED: i32 = -32_002;

/// Answers the calls of other instances on the arbiter.
///
/// Bodies and replies are JSON text, so that each part of the system keeps its own types.
pub trait PeerHandler: Clone + std::fmt::Debug + 'static {
    /// The methods that the handler answers.
    const METHODS: &'static [&'static str];

    /// Answers one call.
    fn handle(
        &self,
        method: &'static str,
        body: Box<str>,
    ) -> impl Future<Output = Result<String, PeerError>>;
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

#[derive(Debug)]
struct InboxCall {
    method: &'static str,
    body: Box<str>,
    reply: oneshot::Sender<Result<String, PeerError>>,
}

#[derive(Debug)]
struct PeerInbox {
    secret: Arc<str>,
    calls: mpsc::Sender<InboxCall>,
}

impl PeerServer {
    /// Serves calls on the present arbiter.
    ///
    /// # Errors
    ///
    /// If the listener cannot be used.
    pub fn start<Handler>(
        listener: TcpListener,
        settings: &PeerSettings,
        handler: Handler,
    ) -> std::io::Result<Self>
    where
        Handler: PeerHandler,
    {
        let config = ServerConfig::builder()
            .max_connections(settings.connections)
            .max_request_body_size(settings.message_bytes)
            .max_response_body_size(settings.message_bytes)
            .ws_only()
            .set_tcp_no_delay(true)
            .build();
        listener.set_nonblocking(true)?;
        let server = Server::builder()
            .set_config(config)
            .build_from_tcp(listener)?;
        let address = server.local_addr()?;
        let (sender, receiver) = mpsc::channel(INBOX_LIMIT);
        let inbox = PeerInbox {
            secret: settings.secret.reveal().into(),
            calls: sender,
        };
        let module = peer_module(inbox, Handler::METHODS)?;
        actix_rt::spawn(answer_calls(receiver, handler));
        Ok(Self {
            address,
            handle: server.start(module),
        })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops to listen and ends every connection.
    pub fn stop(&self) {
        // An error says that it has stopped already.
        let _ = self.handle.stop();
    }
}

fn peer_module(
    inbox: PeerInbox,
    methods: &[&'static str],
) -> std::io::Result<RpcModule<PeerInbox>> {
    let mut module = RpcModule::new(inbox);
    for method in methods.iter().copied() {
        module
            .register_async_method(method, move |params, inbox, _| async move {
                answer_call(method, &params, &inbox).await
            })
            .map_err(std::io::Error::other)?;
    }
    Ok(module)
}

async fn answer_call(
    method: &'static str,
    params: &Params<'static>,
    inbox: &PeerInbox,
) -> Result<Box<RawValue>, ErrorObjectOwned> {
    let (secret, body): (String, Box<RawValue>) = params.parse()?;
    if !bool::from(secret.as_bytes().ct_eq(inbox.secret.as_bytes())) {
        return Err(refusal(UNAUTHORISED, "the peer secret is wrong"));
    }
    let (sender, receiver) = oneshot::channel();
    let call = InboxCall {
        method,
        body: body.get().into(),
        reply: sender,
    };
    inbox
        .calls
        .try_send(call)
        .map_err(|_| refusal(REFUSED, "too many calls wait"))?;
    let reply = receiver
        .await
        .map_err(|_| refusal(REFUSED, "the instance stops"))?
        .map_err(|error| refusal(REFUSED, &error.to_string()))?;
    RawValue::from_string(reply).map_err(|error| refusal(REFUSED, &error.to_string()))
}

fn refusal(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

async fn answer_calls<Handler>(mut calls: mpsc::Receiver<InboxCall>, handler: Handler)
where
    Handler: PeerHandler,
{
    while let Some(call) = calls.recv().await {
        let handler = handler.clone();
        actix_rt::spawn(async move {
            let result = handler.handle(call.method, call.body).await;
            // Whoever called may be gone by now.
            let _ = call.reply.send(result);
        });
    }
}
