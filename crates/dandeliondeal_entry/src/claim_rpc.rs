//! Forwarded claims over JSON-RPC between instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_claim::{ClaimOrigin, ShardReply, ShardTask};
use dandeliondeal_config::SecretText;
use dandeliondeal_types::{Clock, ObjectStore};
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::ErrorCode;
use jsonrpsee::ws_client::{HeaderMap, HeaderValue, WsClient, WsClientBuilder};
use tokio::sync::{mpsc, oneshot};

use crate::claim_desk::ClaimDesk;
use crate::claim_link::{ClaimLink, ForwardCall, ForwardRecord, ForwardReply};

/// Name of the method.
const METHOD: &str = "claims_forward";
/// Calls of peers that may wait for this instance's arbiter.
const QUEUE_LIMIT: usize = 4_096;

type QueuedCall = (ForwardCall, oneshot::Sender<ForwardReply>);

/// The methods that peers call, to be merged into the peer server.
///
/// # Errors
///
/// The method's name is taken.
pub fn claim_module<Store, ClockSource, Link>(
    desk: ClaimDesk<Store, ClockSource, Link>,
    clock: ClockSource,
) -> Result<RpcModule<()>, jsonrpsee::core::RegisterMethodError>
where
    Store: ObjectStore,
    ClockSource: Clock,
    Link: ClaimLink,
{
    // Handlers of the server may move between threads, the desk may not.
    let (sender, mut queue) = mpsc::channel::<QueuedCall>(QUEUE_LIMIT);
    actix_rt::spawn(async move {
        while let Some((call, reply)) = queue.recv().await {
            let (desk, clock) = (desk.clone(), clock.clone());
            actix_rt::spawn(async move {
                // The receiver is gone if the peer hung up.
                let _ = reply.send(answer(&desk, &clock, call).await);
            });
        }
    });
    let mut module = RpcModule::new(());
    module.register_async_method(METHOD, move |parameters, _context, _extensions| {
        let sender = sender.clone();
        async move {
            let call: ForwardCall = parameters.one()?;
            let (reply, receiver) = oneshot::channel();
            sender.try_send((call, reply)).map_err(|_full| busy())?;
            receiver.await.map_err(|_gone| busy())
        }
    })?;
    Ok(module)
}

async fn answer<Store, ClockSource, Link>(
    desk: &ClaimDesk<Store, ClockSource, Link>,
    clock: &ClockSource,
    call: ForwardCall,
) -> ForwardReply
where
    Store: ObjectStore,
    ClockSource: Clock,
    Link: ClaimLink,
{
    if call.shard >= desk.settings().shards {
        return ForwardReply::Declined;
    }
    let deadline = clock.now() + Duration::from_millis(call.wait_milliseconds);
    let task = match call.record {
        ForwardRecord::Claim(record) => ShardTask::Claim(record, ClaimOrigin::Peer),
        ForwardRecord::Outcome(record) => ShardTask::Record(record),
    };
    match desk.submit(call.shard, task, deadline).await {
        ShardReply::Claimed | ShardReply::Recorded => ForwardReply::Written,
        _ => ForwardReply::Declined,
    }
}

fn busy() -> ErrorObjectOwned {
    ErrorObjectOwned::from(ErrorCode::ServerIsBusy)
}

/// Connections to the other instances, made when they are first needed.
#[derive(Clone, Debug)]
pub struct PeerLink {
    secret: SecretText,
    connect_time: Duration,
    clients: Rc<RefCell<HashMap<SocketAddr, Arc<WsClient>>>>,
}

impl PeerLink {
    /// A link that shows `secret` to its peers.
    pub fn new(secret: SecretText, connect_time: Duration) -> Self {
        Self {
            secret,
            connect_time,
            clients: Rc::default(),
        }
    }

    async fn client(&self, address: SocketAddr) -> Option<Arc<WsClient>> {
        if let Some(client) = self.clients.borrow().get(&address)
            && client.is_connected()
        {
            return Some(Arc::clone(client));
        }
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {}", self.secret.reveal());
        headers.insert("authorization", HeaderValue::from_str(&bearer).ok()?);
        let client = WsClientBuilder::default()
            .connection_timeout(self.connect_time)
            .set_headers(headers)
            .build(format!("ws://{address}"))
            .await
            .ok()?;
        let client = Arc::new(client);
        self.clients
            .borrow_mut()
            .insert(address, Arc::clone(&client));
        Some(client)
    }
}

impl ClaimLink for PeerLink {
    async fn forward(
        &self,
        address: SocketAddr,
        call: ForwardCall,
        wait: Duration,
    ) -> Option<ForwardReply> {
        let call = async {
            let client = self.client(address).await?;
            let mut parameters = ArrayParams::new();
            parameters.insert(call).ok()?;
            client.request(METHOD, parameters).await.ok()
        };
        let reply = actix_rt::time::timeout(wait, call).await.ok().flatten();
        if reply.is_none() {
            // The connection may have gone silent; the next call makes a new one.
            self.clients.borrow_mut().remove(&address);
        }
        reply
    }
}
