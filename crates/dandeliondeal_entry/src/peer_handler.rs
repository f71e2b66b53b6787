//! Answers the calls of other instances.
//!
//! A part of the system that needs a method of its own adds its name to
//! [`PeerHandler::METHODS`] and an arm to [`PeerHandler::handle`].

use std::sync::Arc;

use dandeliondeal_config::content_hash::ContentHash;
use dandeliondeal_config::{ReadinessGate, RevisionStamp};
use dandeliondeal_peer::{Heartbeat, MemberCard, MembershipEvent, PeerError, PeerHandler};
use dandeliondeal_types::{Clock, FailureDomain, Incarnation, InstanceId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::claim_rpc::{CLAIM_METHOD, answer_forward};
use crate::peer_directory::CONTENT_METHOD;
use crate::peer_link::PeerLink;

/// Method that exchanges heartbeats.
pub const HEARTBEAT_METHOD: &str = "heartbeat";
/// Method that asks an observer whether it reaches a member.
pub const OBSERVE_METHOD: &str = "observe";
/// Method that tells operators what an instance has in force.
pub const STATUS_METHOD: &str = "status";

/// What an instance says of itself to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub id: InstanceId,
    /// Process start count.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// The revision in force.
    pub in_force: RevisionStamp,
    /// Whether the revision was confirmed and no stop is planned.
    pub is_ready: bool,
    /// Live members that it knows, itself included.
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
                let heartbeat: Heartbeat = parse(method, &body)?;
                let sender = Arc::clone(&heartbeat.from.card.id);
                self.heard(heartbeat);
                print(method, &self.heartbeat_to(&sender))
            }
            OBSERVE_METHOD => {
                let subject: MemberCard = parse(method, &body)?;
                print(method, &self.reaches(&subject).await)
            }
            CONTENT_METHOD => {
                let hashes: Vec<ContentHash> = parse(method, &body)?;
                let bodies = hashes
                    .iter()
                    .filter_map(|hash| self.rollout().content(hash));
                print(method, &bodies.collect::<Vec<Arc<str>>>())
            }
            STATUS_METHOD => print(method, &self.status()),
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
    /// What this instance says of itself.
    pub fn status(&self) -> InstanceStatus {
        let machine = self.directory().machine.borrow();
        let card = &machine.own().card;
        let readiness = self.context().readiness().borrow();
        let is_confirmed = readiness.as_ref().is_some_and(ReadinessGate::is_ready);
        InstanceStatus {
            id: Arc::clone(&card.id),
            incarnation: card.incarnation,
            failure_domain: Arc::clone(&card.failure_domain),
            in_force: self.rollout().in_force(),
            is_ready: is_confirmed && self.context().drain().borrow().is_ready(),
            live_members: machine.live().len(),
        }
    }

    /// Applies what a heartbeat says.
    pub(crate) fn heard(&self, heartbeat: Heartbeat) {
        let sender = Arc::clone(&heartbeat.from.card.id);
        let stamp = heartbeat.stamp.clone();
        self.apply(MembershipEvent::Heard { heartbeat });
        self.rollout().peer_has(&sender, stamp);
    }
}

fn parse<Body>(method: &'static str, body: &str) -> Result<Body, PeerError>
where
    Body: DeserializeOwned,
{
    serde_json::from_str(body).map_err(|error| PeerError::refused(method, error.to_string()))
}

fn print<Reply>(method: &'static str, reply: &Reply) -> Result<String, PeerError>
where
    Reply: Serialize,
{
    serde_json::to_string(reply).map_err(|error| PeerError::refused(method, error.to_string()))
}
