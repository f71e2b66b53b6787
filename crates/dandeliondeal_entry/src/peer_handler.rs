//! Handles the calls of other instances.
//!
//! To add a method, add its name to [`PeerHandler::METHODS`] and a match arm to
//! [`PeerHandler::handle`].

use std::sync::Arc;

use dandeliondeal_config::content_hash::ContentHash;
use dandeliondeal_config::{ReadinessGate, RevisionStamp};
use dandeliondeal_peer::{Heartbeat, MemberIdentity, MembershipEvent, PeerError, PeerHandler};
use dandeliondeal_types::{Clock, FailureDomain, Incarnation, InstanceId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::claim_rpc::{CLAIM_METHOD, answer_forward};
use crate::peer_directory::CONTENT_METHOD;
use crate::peer_link::PeerLink;

/// Peer method that exchanges heartbeats.
pub const HEARTBEAT_METHOD: &str = "heartbeat";
/// Peer method that asks an observer whether it can reach a member.
pub const OBSERVE_METHOD: &str = "observe";
/// Peer method that returns the status of an instance to operators.
pub const STATUS_METHOD: &str = "status";

/// Status of an instance, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the process: its start time in microseconds since 1970.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Revision in force.
    pub in_force: RevisionStamp,
    /// Whether the revision is confirmed and no stop is planned.
    pub is_ready: bool,
    /// Number of live members that the instance knows, including itself.
    pub live_members: usize,
}

impl<ClockSource> PeerHandler for PeerLink<ClockSource>
where
    ClockSource: Clock,
{
    const METHODS: &'static [&'static str] = &[
        HEARTBEAT_METHOD,
        OBSERVE_METHOD,
        CONTENT_METHOD,
        STATUS_METHOD,
        CLAIM_METHOD,
    ];

    async fn handle(&self, method: &'static str, body: Box<str>) -> Result<String, PeerError> {
        match method {
            HEARTBEAT_METHOD => {
                let heartbeat: Heartbeat = decode(method, &body)?;
                let sender = Arc::clone(&heartbeat.from.identity.id);
                self.receive_heartbeat(heartbeat);
                encode(method, &self.heartbeat_to(&sender))
            }
            OBSERVE_METHOD => {
                let subject: MemberIdentity = decode(method, &body)?;
                encode(method, &self.can_reach(&subject).await)
            }
            CONTENT_METHOD => {
                let hashes: Vec<ContentHash> = decode(method, &body)?;
                let bodies = hashes
                    .iter()
                    .filter_map(|hash| self.rollout().content(hash));
                encode(method, &bodies.collect::<Vec<Arc<str>>>())
            }
            STATUS_METHOD => encode(method, &self.status()),
            CLAIM_METHOD => {
                let context = self.context();
                answer_forward(context.claims(), context.clock(), method, &body).await
            }
            _ => Err(PeerError::refused(method, "there is no such method")),
        }
    }
}

impl<ClockSource> PeerLink<ClockSource>
where
    ClockSource: Clock,
{
    /// Returns the status of this instance.
    pub fn status(&self) -> InstanceStatus {
        let machine = self.directory().machine.borrow();
        let identity = &machine.own_update().identity;
        let readiness = self.context().readiness().borrow();
        let is_confirmed = readiness.as_ref().is_some_and(ReadinessGate::is_ready);
        InstanceStatus {
            id: Arc::clone(&identity.id),
            incarnation: identity.incarnation,
            failure_domain: Arc::clone(&identity.failure_domain),
            in_force: self.rollout().in_force(),
            is_ready: is_confirmed && self.context().drain().borrow().is_ready(),
            live_members: machine.live_members().len(),
        }
    }

    /// Applies a received heartbeat to the membership and the rollout.
    pub(crate) fn receive_heartbeat(&self, heartbeat: Heartbeat) {
        let sender = Arc::clone(&heartbeat.from.identity.id);
        let stamp = heartbeat.stamp.clone();
        self.apply(MembershipEvent::HeartbeatReceived { heartbeat });
        self.rollout().offer_revision(&sender, stamp);
    }
}

fn decode<Body>(method: &'static str, body: &str) -> Result<Body, PeerError>
where
    Body: DeserializeOwned,
{
    serde_json::from_str(body).map_err(|error| PeerError::refused(method, error.to_string()))
}

fn encode<Reply>(method: &'static str, reply: &Reply) -> Result<String, PeerError>
where
    Reply: Serialize,
{
    serde_json::to_string(reply).map_err(|error| PeerError::refused(method, error.to_string()))
}
