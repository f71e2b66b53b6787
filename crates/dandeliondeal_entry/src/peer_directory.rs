//! The members and the connections to them, as the parts of an instance share them.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dandeliondeal_config::content_hash::ContentHash;
use dandeliondeal_peer::{MemberCard, MembershipMachine, PeerClient, PeerError};
use dandeliondeal_types::InstanceId;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::rollout::ContentFetch;

/// Method that serves manifests and chunks.
pub const CONTENT_METHOD: &str = "content";

/// Members and connections; clones share them.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    /// Calls to peers.
    pub client: PeerClient,
    /// The members.
    pub machine: Rc<RefCell<MembershipMachine>>,
}

impl PeerDirectory {
    /// Live members, this instance included, in order of id.
    pub fn live(&self) -> Vec<MemberCard> {
        let machine = self.machine.borrow();
        let mut live: Vec<MemberCard> = machine.live().into_iter().cloned().collect();
        live.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        live
    }

    /// Calls a member once.
    ///
    /// # Errors
    ///
    /// Why there is no answer, or that there is no such member.
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
        let card = self.machine.borrow().card(peer).cloned();
        let card =
            card.ok_or_else(|| PeerError::refused(method, format!("there is no member {peer}")))?;
        self.client.call(card.address, method, body).await
    }
}

impl ContentFetch for PeerDirectory {
    async fn fetch(&self, peer: &InstanceId, hashes: &[ContentHash]) -> Vec<Arc<str>> {
        match self.call(peer, CONTENT_METHOD, &hashes).await {
            Ok(bodies) => bodies,
            Err(error) => {
                tracing::warn!(peer = &**peer, %error, "content not fetched");
                Vec::new()
            }
        }
    }
}
