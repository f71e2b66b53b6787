//! Calls other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};

use dandeliondeal_config::SecretText;

use crate::peer_error::PeerError;

/// Connections that are kept; one more gives up an arbitrary other.
const CONNECTION_LIMIT: usize = 32;

/// How peers are reached, and what is accepted from them.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Secret that all instances share.
    pub secret: SecretText,
    /// Longest wait for a connection, and for an answer.
    pub timeout: Duration,
    /// Largest message in bytes.
    pub message_bytes: u32,
    /// Connections that the server accepts.
    pub connections: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            secret: SecretText::default(),
            timeout: Duration::from_secs(1),
            message_bytes: 20 * 1_048_576,
            connections: 256,
        }
    }
}

/// Calls other instances over kept connections; clones share them.
#[derive(Clone, Debug)]
pub struct PeerClient {
    inner: Rc<ClientInner>,
}

#[derive(Debug)]
struct ClientInner {
    settings: PeerSettings,
    connections: RefCell<HashMap<SocketAddr, Rc<WsClient>>>,
    traffic: Cell<PeerTraffic>,
}

/// What a client sent and received so far, bodies only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerTraffic {
    /// Calls sent.
    pub calls: u64,
    /// Bytes of the bodies sent and received.
    pub body_bytes: u64,
}

impl PeerClient {
    /// Makes a client; nothing is sent yet.
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            inner: Rc::new(ClientInner {
                settings,
                connections: RefCell::default(),
                traffic: Cell::default(),
            }),
        }
    }

    /// Calls a peer once, over a kept connection if there is one.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn call<Body, Reply>(
        &self,
        address: SocketAddr,
        method: &'static str,
        body: &Body,
    ) -> Result<Reply, PeerError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let connection = self.connection(address, method).await?;
        let secret = self.inner.settings.secret.reveal();
        let refused = |error: serde_json::Error| PeerError::refused(method, error.to_string());
        let body = to_raw_value(body).map_err(refused)?;
        self.count(1, &body);
        let params = rpc_params![secret, body];
        let result: Result<Box<RawValue>, Error> = connection.request(method, params).await;
        if matches!(&result, Err(error) if !matches!(error, Error::Call(_))) {
            // The connection may have gone silent; the next call makes a new one.
            self.inner.connections.borrow_mut().remove(&address);
        }
        let reply = result.map_err(|error| call_failed(address, method, &error))?;
        self.count(0, &reply);
        serde_json::from_str(reply.get()).map_err(refused)
    }

    /// What was sent and received so far.
    pub fn traffic(&self) -> PeerTraffic {
        self.inner.traffic.get()
    }

    fn count(&self, calls: u64, body: &RawValue) {
        let traffic = self.inner.traffic.get();
        self.inner.traffic.set(PeerTraffic {
            calls: traffic.calls + calls,
            body_bytes: traffic.body_bytes + body.get().len() as u64,
        });
    }

    /// Calls a peer, and once more over a new connection if there was no answer.
    ///
    /// Only for calls that the peer may run twice.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn call_again<Body, Reply>(
        &self,
        address: SocketAddr,
        method: &'static str,
        body: &Body,
    ) -> Result<Reply, PeerError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        match self.call(address, method, body).await {
            Err(error) if error.is_open() => self.call(address, method, body).await,
            result => result,
        }
    }

    /// Gives up a kept connection.
    pub fn disconnect(&self, address: SocketAddr) {
        self.inner.connections.borrow_mut().remove(&address);
    }

    async fn connection(
        &self,
        address: SocketAddr,
        method: &'static str,
    ) -> Result<Rc<WsClient>, PeerError> {
        let kept = self.inner.connections.borrow().get(&address).cloned();
        if let Some(connection) = kept.filter(|connection| connection.is_connected()) {
            return Ok(connection);
        }
        let settings = &self.inner.settings;
        let client = WsClientBuilder::default()
            .connection_timeout(settings.timeout)
            .request_timeout(settings.timeout)
            .max_request_size(settings.message_bytes)
            .max_response_size(settings.message_bytes)
            .build(format!("ws://{address}"))
            .await
            .map_err(|error| PeerError::Unreachable {
                address,
                method,
                reason: error.to_string().into(),
            })?;
        let client = Rc::new(client);
        let mut connections = self.inner.connections.borrow_mut();
        if connections.len() >= CONNECTION_LIMIT {
            let other = connections.keys().next().copied();
            other.and_then(|other| connections.remove(&other));
        }
        connections.insert(address, Rc::clone(&client));
        Ok(client)
    }
}

fn call_failed(address: SocketAddr, method: &'static str, error: &Error) -> PeerError {
    let reason: Arc<str> = error.to_string().into();
    if matches!(error, Error::Call(_)) {
        return PeerError::Refused { method, reason };
    }
    PeerError::NoAnswer {
        address,
        method,
        reason,
    }
}
