//! Sends and answers forwarded claims between instances.

use std::net::SocketAddr;
use std::time::Duration;

use dandeliondeal_claim::{ClaimOrigin, ShardReply, ShardTask};
use dandeliondeal_peer::{PeerClient, PeerError, PeerHandler, PeerSettings};
use dandeliondeal_types::{Clock, ObjectStore};

use crate::claim_coordinator::ClaimCoordinator;
use crate::claim_link::{ClaimLink, ForwardCall, ForwardRecord, ForwardReply};

/// Peer method that writes a forwarded record.
pub const CLAIM_METHOD: &str = "claim";

/// Sends records to other instances over separate connections.
#[derive(Clone, Debug)]
pub struct PeerClaimLink {
    client: PeerClient,
}

impl PeerClaimLink {
    /// Creates the link; connections are opened on first use.
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            client: PeerClient::new(settings),
        }
    }
}

impl ClaimLink for PeerClaimLink {
    async fn forward(
        &self,
        address: SocketAddr,
        call: ForwardCall,
        wait: Duration,
    ) -> Option<ForwardReply> {
        let sent = self.client.call(address, CLAIM_METHOD, &call);
        match actix_rt::time::timeout(wait, sent).await {
            Ok(result) => result.ok(),
            Err(_elapsed) => {
                // The connection may be dead; the next call opens a new one.
                self.client.disconnect(address);
                None
            }
        }
    }
}

/// Answers forwarded records for an instance that serves no other peer methods.
#[derive(Debug)]
pub struct ClaimHandler<Store, ClockSource, Link> {
    coordinator: ClaimCoordinator<Store, ClockSource, Link>,
    clock: ClockSource,
}

impl<Store, ClockSource, Link> ClaimHandler<Store, ClockSource, Link> {
    /// Creates a handler for one coordinator.
    pub fn new(
        coordinator: ClaimCoordinator<Store, ClockSource, Link>,
        clock: ClockSource,
    ) -> Self {
        Self { coordinator, clock }
    }
}

impl<Store, ClockSource, Link> Clone for ClaimHandler<Store, ClockSource, Link>
where
    ClockSource: Clock,
{
    fn clone(&self) -> Self {
        Self {
            coordinator: self.coordinator.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<Store, ClockSource, Link> PeerHandler for ClaimHandler<Store, ClockSource, Link>
where
    Store: ObjectStore,
    ClockSource: Clock,
    Link: ClaimLink,
{
    const METHODS: &'static [&'static str] = &[CLAIM_METHOD];

    async fn handle(&self, method: &'static str, body: Box<str>) -> Result<String, PeerError> {
        answer_forward(&self.coordinator, &self.clock, method, &body).await
    }
}

/// Writes a forwarded record and replies whether it is in the log.
///
/// # Errors
///
/// Returns an error if the body is not a forwarded record.
pub async fn answer_forward<Store, ClockSource, Link>(
    coordinator: &ClaimCoordinator<Store, ClockSource, Link>,
    clock: &ClockSource,
    method: &'static str,
    body: &str,
) -> Result<String, PeerError>
where
    Store: ObjectStore,
    ClockSource: Clock,
    Link: ClaimLink,
{
    let refused = |error: serde_json::Error| PeerError::refused(method, error.to_string());
    let call: ForwardCall = serde_json::from_str(body).map_err(refused)?;
    let reply = write_record(coordinator, clock, call).await;
    serde_json::to_string(&reply).map_err(refused)
}

async fn write_record<Store, ClockSource, Link>(
    coordinator: &ClaimCoordinator<Store, ClockSource, Link>,
    clock: &ClockSource,
    call: ForwardCall,
) -> ForwardReply
where
    Store: ObjectStore,
    ClockSource: Clock,
    Link: ClaimLink,
{
    if call.shard >= coordinator.settings().shards {
        return ForwardReply::Declined;
    }
    let deadline = clock.now() + Duration::from_millis(call.wait_milliseconds);
    let task = match call.record {
        ForwardRecord::Claim(record) => ShardTask::Claim(record, ClaimOrigin::Peer),
        ForwardRecord::Outcome(record) => ShardTask::Record(record),
    };
    match coordinator.submit(call.shard, task, deadline).await {
        ShardReply::Claimed | ShardReply::Recorded => ForwardReply::Written,
        _ => ForwardReply::Declined,
    }
}
