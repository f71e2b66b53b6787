//! Client for calls to other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::rpc_params;
use jsonrpsee::types::ErrorCode;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};

use dandeliondeal_config::SecretText;

use crate::peer_error::PeerError;

/// Maximum number of cached connections; one more evicts an arbitrary other.
const CONNECTION_LIMIT: usize = 32;
/// Maximum time to wait for an answer, as a multiple of [`PeerSettings::timeout`].
pub const MAX_TIMEOUT_FACTOR: u32 = 4;

/// Settings of the client and the server for calls between peers.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Secret shared by all instances.
    pub secret: SecretText,
    /// Maximum time to wait for a connection, and again for an answer.
    pub timeout: Duration,
    /// Maximum size of a message, in bytes.
    pub max_message_bytes: u32,
    /// Maximum number of connections that the server accepts.
    pub max_connections: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            secret: SecretText::default(),
            timeout: Duration::from_secs(1),
            max_message_bytes: 20 * 1_048_576,
            max_connections: 256,
        }
    }
}

/// Calls other instances over cached connections, which clones of the client share.
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

/// Traffic of a client so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerTraffic {
    /// Number of calls sent.
    pub calls: u64,
    /// Total size of the bodies sent and received, in bytes.
    pub body_bytes: u64,
}

impl PeerClient {
    /// Creates a client without opening a connection.
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            inner: Rc::new(ClientInner {
                settings,
                connections: RefCell::default(),
                traffic: Cell::default(),
            }),
        }
    }

    /// Calls a peer once, over a cached connection if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached, does not answer, or refuses the call,
    /// or if a body cannot be encoded or decoded.
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
        let timeout = self.inner.settings.timeout;
        self.call_with_timeout(address, method, body, timeout).await
    }

    /// Calls a peer once, as [`PeerClient::call`] does, with its own timeout for the answer.
    ///
    /// The timeout is at most [`MAX_TIMEOUT_FACTOR`] times that of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached, does not answer, or refuses the call,
    /// or if a body cannot be encoded or decoded.
    pub async fn call_with_timeout<Body, Reply>(
        &self,
        address: SocketAddr,
        method: &'static str,
        body: &Body,
        timeout: Duration,
    ) -> Result<Reply, PeerError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let connection = self.connect(address, method).await?;
        let secret = self.inner.settings.secret.reveal();
        let refused = |error: serde_json::Error| PeerError::refused(method, error.to_string());
        let body = to_raw_value(body).map_err(refused)?;
        self.count_traffic(1, &body);
        let params = rpc_params![secret, body];
        let request = connection.request(method, params);
        let result: Result<Box<RawValue>, Error> = actix_rt::time::timeout(timeout, request)
            .await
            .unwrap_or(Err(Error::RequestTimeout));
        if matches!(&result, Err(error) if !matches!(error, Error::Call(_))) {
            // The connection may be dead, so the next call has to open a new one.
            self.inner.connections.borrow_mut().remove(&address);
        }
        let reply = result.map_err(|error| call_error(address, method, &error))?;
        self.count_traffic(0, &reply);
        serde_json::from_str(reply.get()).map_err(refused)
    }

    /// Returns the traffic of this client and its clones so far.
    pub fn traffic(&self) -> PeerTraffic {
        self.inner.traffic.get()
    }

    fn count_traffic(&self, new_calls: u64, body: &RawValue) {
        let traffic = self.inner.traffic.get();
        self.inner.traffic.set(PeerTraffic {
            calls: traffic.calls + new_calls,
            body_bytes: traffic.body_bytes + body.get().len() as u64,
        });
    }

    /// Calls a peer, and retries once over a new connection if no answer arrived.
    ///
    /// Suitable only for calls that the peer may safely run twice.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached, does not answer, or refuses the call,
    /// or if a body cannot be encoded or decoded.
    pub async fn call_with_retry<Body, Reply>(
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
            Err(error) if error.may_have_run() => self.call(address, method, body).await,
            result => result,
        }
    }

    /// Drops the cached connection to a peer.
    pub fn disconnect(&self, address: SocketAddr) {
        self.inner.connections.borrow_mut().remove(&address);
    }

    async fn connect(
        &self,
        address: SocketAddr,
        method: &'static str,
    ) -> Result<Rc<WsClient>, PeerError> {
        let cached = self.inner.connections.borrow().get(&address).cloned();
        if let Some(connection) = cached.filter(|connection| connection.is_connected()) {
            return Ok(connection);
        }
        let settings = &self.inner.settings;
        let client = WsClientBuilder::default()
            .connection_timeout(settings.timeout)
            .request_timeout(settings.timeout * MAX_TIMEOUT_FACTOR)
            .max_request_size(settings.max_message_bytes)
            .max_response_size(settings.max_message_bytes)
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
            let evicted = connections.keys().next().copied();
            evicted.and_then(|evicted| connections.remove(&evicted));
        }
        connections.insert(address, Rc::clone(&client));
        Ok(client)
    }
}

fn call_error(address: SocketAddr, method: &'static str, error: &Error) -> PeerError {
    let reason: Arc<str> = error.to_string().into();
    if let Error::Call(object) = error {
        if object.code() == ErrorCode::MethodNotFound.code() {
            return PeerError::UnknownMethod { method };
        }
        return PeerError::Refused { method, reason };
    }
    PeerError::NoAnswer {
        address,
        method,
        reason,
    }
}
