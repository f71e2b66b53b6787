//! Runs the membership protocol: heartbeats, observations and reads of the instance list.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use dandeliondeal_peer::{
    FanOut, Heartbeat, MemberIdentity, MemberState, MembershipAction, MembershipEvent,
    MembershipMachine, MembershipSettings, PeerClient, PeerServer, PeerSettings,
};
use dandeliondeal_store::{CallClass, PlatformClient};
use dandeliondeal_types::{Clock, InstanceList, InstanceRecord, InstanceRole, InstanceState};

use crate::claim_link::{ClaimMember, OwnerProcess};
use crate::entry_context::{EntryContext, EntryError};
use crate::peer_directory::PeerDirectory;
use crate::peer_handler::{HEARTBEAT_METHOD, OBSERVE_METHOD};
use crate::rollout::Rollout;

/// Timeout of a call to an observer, as a multiple of the heartbeat timeout.
const OBSERVE_TIMEOUT_FACTOR: u32 = 3;
/// Ticks of the membership machine per heartbeat interval.
const TICKS_PER_INTERVAL: u32 = 4;
/// Instances of a failure domain that read the instance list at the configured interval.
const LIST_READERS: usize = 2;
/// Read interval of all other instances, as a multiple of the configured interval.
const BACKUP_READ_FACTOR: u32 = 12;

/// Connects one instance to the others; clones share state.
#[derive(Clone, Debug)]
pub struct PeerLink<ClockSource> {
    inner: Rc<LinkInner<ClockSource>>,
}

#[derive(Debug)]
struct LinkInner<ClockSource> {
    context: EntryContext<ClockSource>,
    platform: PlatformClient<ClockSource>,
    directory: PeerDirectory,
    rollout: Rollout<ClockSource, PeerDirectory>,
    server: RefCell<Option<PeerServer>>,
    is_stopped: Cell<bool>,
}

impl<ClockSource> PeerLink<ClockSource>
where
    ClockSource: Clock,
{
    /// Serves peers, applies accepted revisions and joins the other instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the peers' address cannot be bound or the chart is invalid.
    pub fn start(context: EntryContext<ClockSource>, fan_out: FanOut) -> Result<Self, EntryError> {
        let settings = context.settings();
        let peer_settings = PeerSettings {
            secret: settings.secrets.peer.clone(),
            timeout: settings.membership.heartbeat_timeout,
            ..PeerSettings::default()
        };
        let listener = std::net::TcpListener::bind(settings.listen.peers)?;
        let address = listener.local_addr()?;
        let own = MemberIdentity {
            id: settings.instance.id.clone(),
            incarnation: context.incarnation(),
            address,
            failure_domain: settings.instance.failure_domain.clone(),
            region: settings.instance.region.clone(),
        };
        let membership = MembershipSettings {
            interval: settings.membership.heartbeat_interval,
            fan_out,
        };
        let machine = MembershipMachine::new(membership, own, context.clock().now())?;
        let directory = PeerDirectory {
            client: PeerClient::new(peer_settings.clone()),
            machine: Rc::new(RefCell::new(machine)),
        };
        let platform = context.platform().with_class(CallClass::Configuration);
        let link = Self {
            inner: Rc::new(LinkInner {
                platform: context.platform().with_class(CallClass::Status),
                rollout: Rollout::start(context.clone(), platform, directory.clone()),
                context,
                directory,
                server: RefCell::new(None),
                is_stopped: Cell::new(false),
            }),
        };
        let server = PeerServer::start(listener, &peer_settings, link.clone())?;
        link.inner.server.replace(Some(server));
        actix_rt::spawn(link.clone().poll_instance_list());
        actix_rt::spawn(link.clone().run_ticks());
        actix_rt::spawn(link.clone().announce_revisions());
        Ok(link)
    }

    /// Returns the address for peers.
    pub fn address(&self) -> SocketAddr {
        self.inner
            .directory
            .machine
            .borrow()
            .own_update()
            .identity
            .address
    }

    /// Returns the record of this instance for the platform's instance list.
    pub fn record(&self) -> InstanceRecord {
        let machine = self.inner.directory.machine.borrow();
        let identity = &machine.own_update().identity;
        InstanceRecord {
            id: identity.id.clone(),
            role: InstanceRole::Entry,
            state: InstanceState::Live,
            address: identity.address,
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
            incarnation: identity.incarnation,
        }
    }

    /// Returns the members and the connections to them.
    pub fn directory(&self) -> &PeerDirectory {
        &self.inner.directory
    }

    /// Returns the rollout of sheet revisions.
    pub fn rollout(&self) -> &Rollout<ClockSource, PeerDirectory> {
        &self.inner.rollout
    }

    /// Returns the shared state of the instance.
    pub fn context(&self) -> &EntryContext<ClockSource> {
        &self.inner.context
    }

    /// Announces to the other instances that this one accepts no new work.
    pub fn leave(&self) {
        self.apply(MembershipEvent::Leave);
    }

    /// Stops all loops and the server.
    pub fn stop(&self) {
        self.inner.is_stopped.set(true);
        self.inner.rollout.stop();
        if let Some(server) = self.inner.server.take() {
            server.stop();
        }
    }

    /// Returns whether a member answers over a new connection.
    pub(crate) async fn can_reach(&self, subject: &MemberIdentity) -> bool {
        let client = &self.inner.directory.client;
        client.disconnect(subject.address);
        let heartbeat = self.heartbeat_to(&subject.id);
        let answer = client.call(subject.address, HEARTBEAT_METHOD, &heartbeat);
        match answer.await {
            Ok(heartbeat) => {
                let heartbeat: Heartbeat = heartbeat;
                let is_subject = heartbeat.from.identity.id == subject.id;
                self.receive_heartbeat(heartbeat);
                is_subject
            }
            Err(_) => false,
        }
    }

    /// Returns the heartbeat, or the reply to one, for a member.
    pub(crate) fn heartbeat_to(&self, peer: &str) -> Heartbeat {
        let stamp = self.inner.rollout.in_force();
        self.inner
            .directory
            .machine
            .borrow_mut()
            .heartbeat(peer, stamp)
    }

    /// Applies a membership event and starts the resulting actions.
    pub(crate) fn apply(&self, event: MembershipEvent) {
        let now = self.inner.context.clock().now();
        let actions = self.inner.directory.machine.borrow_mut().apply(event, now);
        for action in actions {
            match action {
                MembershipAction::Send { to } => {
                    actix_rt::spawn(self.clone().send_heartbeat(to));
                }
                MembershipAction::Observe { observer, subject } => {
                    actix_rt::spawn(self.clone().observe(observer, subject));
                }
                MembershipAction::Changed { id, state } => {
                    tracing::info!(member = &*id, ?state, "member state changed");
                    self.update_fleet();
                }
            }
        }
    }

    fn update_fleet(&self) {
        let machine = self.inner.directory.machine.borrow();
        let watchers = self.inner.context.settings().rollout.watchers_per_domain;
        let rank = machine.domain_rank() as u64;
        self.inner.rollout.set_watcher(rank < watchers);
        self.inner
            .context
            .platform()
            .resize_fleet(machine.live_members().len().max(1));
        let members = machine
            .live_members()
            .into_iter()
            .map(|identity| ClaimMember {
                instance: identity.id.clone(),
                address: identity.address,
            });
        let route = self.inner.context.claims().route();
        route.set_members(members.collect());
        let process = |identity: &MemberIdentity, has_failed| OwnerProcess {
            instance: identity.id.clone(),
            incarnation: identity.incarnation,
            has_failed,
        };
        let others = machine.members();
        let others =
            others.map(|(identity, state)| process(identity, state == MemberState::Failed));
        let own = std::iter::once(process(&machine.own_update().identity, false));
        route.set_processes(own.chain(others).collect());
    }

    async fn send_heartbeat(self, to: MemberIdentity) {
        let heartbeat = self.heartbeat_to(&to.id);
        let client = &self.inner.directory.client;
        match client
            .call_with_retry(to.address, HEARTBEAT_METHOD, &heartbeat)
            .await
        {
            Ok(heartbeat) => self.receive_heartbeat(heartbeat),
            Err(error) => {
                tracing::info!(%error, "heartbeat was not answered");
                self.apply(MembershipEvent::Unanswered { peer: to.id });
            }
        }
    }

    async fn observe(self, observer: MemberIdentity, subject: MemberIdentity) {
        let client = &self.inner.directory.client;
        // The observer needs time to open a connection and to wait for an answer.
        let timeout =
            self.inner.context.settings().membership.heartbeat_timeout * OBSERVE_TIMEOUT_FACTOR;
        let answer = client.call_with_timeout(observer.address, OBSERVE_METHOD, &subject, timeout);
        if let Ok(reachable) = answer.await {
            let subject = subject.id;
            self.apply(MembershipEvent::Observed { subject, reachable });
        }
    }

    async fn run_ticks(self) {
        let delay =
            self.inner.context.settings().membership.heartbeat_interval / TICKS_PER_INTERVAL;
        while !self.inner.is_stopped.get() {
            self.apply(MembershipEvent::Tick);
            actix_rt::time::sleep(delay).await;
        }
    }

    async fn announce_revisions(self) {
        while !self.inner.is_stopped.get() {
            self.inner.rollout.changed().await;
            self.apply(MembershipEvent::RevisionChanged);
        }
    }

    async fn poll_instance_list(self) {
        let settings = self.inner.context.settings();
        while !self.inner.is_stopped.get() {
            let delay = match self.inner.platform.instances().await {
                Ok(records) => {
                    self.apply(MembershipEvent::InstancesListed { records });
                    let rank = self.inner.directory.machine.borrow().domain_rank();
                    let factor = if rank < LIST_READERS {
                        1
                    } else {
                        BACKUP_READ_FACTOR
                    };
                    settings.membership.list_interval * factor
                }
                Err(error) => {
                    tracing::warn!(%error, "instance list could not be read");
                    self.contact_seeds().await;
                    settings.rollout.retry_interval
                }
            };
            actix_rt::time::sleep(delay).await;
        }
    }

    /// Contacts the configured seed addresses if no other instance is known.
    async fn contact_seeds(&self) {
        if self.inner.directory.live_members().len() > 1 {
            return;
        }
        for address in &self.inner.context.settings().membership.seeds {
            let heartbeat = self.heartbeat_to("");
            let client = &self.inner.directory.client;
            let answer = client.call(*address, HEARTBEAT_METHOD, &heartbeat).await;
            match answer {
                Ok(heartbeat) => self.receive_heartbeat(heartbeat),
                Err(error) => tracing::info!(%error, "seed did not answer"),
            }
        }
    }
}
