//! Members of the fleet and connections to them, shared by the components of an instance.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dandeliondeal_config::content_hash::ContentHash;
use dandeliondeal_peer::{MemberIdentity, MembershipMachine, PeerClient, PeerError};
use dandeliondeal_types::InstanceId;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::rollout::ContentFetch;

/// Peer method that serves manifests and chunks.
pub const CONTENT_METHOD: &str = "content";

/// Members and the client to call them; clones share both.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    /// Client for calls to peers.
    pub client: PeerClient,
    /// Membership state machine.
    pub machine: Rc<RefCell<MembershipMachine>>,
}

impl PeerDirectory {
    /// Returns the live members, including this instance, sorted by id.
    pub fn live_members(&self) -> Vec<MemberIdentity> {
        let machine = self.machine.borrow();
        let mut live: Vec<MemberIdentity> = machine.live_members().into_iter().cloned().collect();
        live.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        live
    }

    /// Calls a member once.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or no such member.
    pub async fn call<Body, Reply>(
        &self,
        peer: &str,
        method: &'static str,
        body: &Body,
    ) -> Result<Reply, PeerError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let identity = self.machine.borrow().identity(peer).cloned();
        let identity = identity
            .ok_or_else(|| PeerError::refused(method, format!("no such member: {peer}")))?;
        self.client.call(identity.address, method, body).await
    }
}

impl ContentFetch for PeerDirectory {
    async fn fetch(&self, peer: &InstanceId, hashes: &[ContentHash]) -> Vec<Arc<str>> {
        match self.call(peer, CONTENT_METHOD, &hashes).await {
            Ok(bodies) => bodies,
            Err(error) => {
                tracing::warn!(peer = &**peer, %error, "content could not be fetched from peer");
                Vec::new()
            }
        }
    }
}
