//! Rollout of accepted sheet revisions: fetches them and puts them in force at this instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use dandeliondeal_config::content_hash::ContentHash;
use dandeliondeal_config::sheet_manifest::{HEAD_NAME, content_name};
use dandeliondeal_config::{
    ReadinessEvent, ReadinessGate, RevisionSource, RevisionStamp, RolloutAction, RolloutEvent,
    RolloutMachine, SheetHead,
};
use dandeliondeal_store::PlatformClient;
use dandeliondeal_types::{Clock, InstanceId, ObjectStore, ObjectValue, StoreError, StoreVersion};

use tokio::sync::Notify;

use crate::entry_context::EntryContext;

/// Fetches manifests and chunks from other instances.
pub trait ContentFetch: Clone + std::fmt::Debug + 'static {
    /// Returns those bodies with the given hashes that the peer has; empty if it is unreachable.
    fn fetch(
        &self,
        peer: &InstanceId,
        hashes: &[ContentHash],
    ) -> impl Future<Output = Vec<Arc<str>>>;
}

/// Follows the accepted revision; clones share state.
#[derive(Debug)]
pub struct Rollout<ClockSource, Peers> {
    inner: Rc<RolloutInner<ClockSource, Peers>>,
}

impl<ClockSource, Peers> Clone for Rollout<ClockSource, Peers> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

#[derive(Debug)]
struct RolloutInner<ClockSource, Peers> {
    context: EntryContext<ClockSource>,
    platform: PlatformClient<ClockSource>,
    peers: Peers,
    machine: RefCell<RolloutMachine>,
    is_watcher: Cell<bool>,
    is_stopped: Cell<bool>,
    changed: Notify,
    became_watcher: Notify,
}

impl<ClockSource, Peers> Rollout<ClockSource, Peers>
where
    ClockSource: Clock,
    Peers: ContentFetch,
{
    /// Starts to follow the accepted revision in the platform.
    pub fn start(
        context: EntryContext<ClockSource>,
        platform: PlatformClient<ClockSource>,
        peers: Peers,
    ) -> Self {
        let confirming = context.settings().rollout.confirming_peers;
        let gate = ReadinessGate::new(usize::try_from(confirming).unwrap_or(usize::MAX));
        context.readiness().replace(Some(gate));
        let rollout = Self {
            inner: Rc::new(RolloutInner {
                context,
                platform,
                peers,
                machine: RefCell::new(RolloutMachine::default()),
                is_watcher: Cell::new(true),
                is_stopped: Cell::new(false),
                changed: Notify::new(),
                became_watcher: Notify::new(),
            }),
        };
        actix_rt::spawn(rollout.clone().follow());
        rollout
    }

    /// Returns the revision in force.
    pub fn in_force(&self) -> RevisionStamp {
        self.inner.machine.borrow().in_force().clone()
    }

    /// Returns the number of received bodies whose hash was not requested.
    pub fn rejected_bodies(&self) -> u64 {
        self.inner.machine.borrow().rejected_bodies()
    }

    /// Waits until a revision has come into force since the previous wait.
    pub async fn changed(&self) {
        self.inner.changed.notified().await;
    }

    /// Returns the manifest or chunk with a hash, for peers that request it.
    pub fn content(&self, hash: &str) -> Option<Arc<str>> {
        self.inner.machine.borrow().content(hash)
    }

    /// Processes the revision that a peer has in force.
    pub fn offer_revision(&self, peer: &InstanceId, stamp: RevisionStamp) {
        if stamp.revision == 0 {
            return;
        }
        self.apply_readiness(ReadinessEvent::PeerRevision {
            peer: Arc::clone(peer),
            revision: stamp.revision,
        });
        let source = RevisionSource::Peer(Arc::clone(peer));
        self.apply(RolloutEvent::Offered { stamp, source });
    }

    /// Sets whether this instance watches the platform for changes or leaves that to others.
    pub fn set_watcher(&self, is_watcher: bool) {
        if is_watcher && !self.inner.is_watcher.replace(is_watcher) {
            self.inner.became_watcher.notify_one();
        }
        self.inner.is_watcher.set(is_watcher);
    }

    /// Stops the loop after its current wait.
    pub fn stop(&self) {
        self.inner.is_stopped.set(true);
    }

    async fn follow(self) {
        let settings = self.inner.context.settings().clone();
        let mut last_version = StoreVersion::default();
        let mut is_first = true;
        while !self.inner.is_stopped.get() {
            // An instance that is not a watcher still reads occasionally, in case its peers fail.
            let uses_read = is_first || !self.inner.is_watcher.get();
            let result = if uses_read {
                self.inner.platform.get(HEAD_NAME).await
            } else {
                let limit = settings.platform.watch_limit;
                self.inner
                    .platform
                    .watch(HEAD_NAME, last_version, limit)
                    .await
            };
            is_first = result.is_err();
            let is_idle = result.is_err() || uses_read && !self.inner.is_watcher.get();
            last_version = self.apply_head(result).unwrap_or(last_version);
            self.apply(RolloutEvent::Retry);
            if is_idle {
                let factor = if is_first { 1 } else { NON_WATCHER_READ_FACTOR };
                tokio::select! {
                    () = actix_rt::time::sleep(settings.rollout.retry_interval * factor) => {}
                    () = self.inner.became_watcher.notified() => {}
                }
            }
        }
    }

    fn apply_head(&self, result: Result<Option<ObjectValue>, StoreError>) -> Option<StoreVersion> {
        let value = match result {
            Ok(value) => value,
            Err(error) => {
                tracing::warn!(%error, "sheet head could not be read");
                self.apply_readiness(ReadinessEvent::PlatformDown);
                return None;
            }
        };
        let Some(value) = value else {
            self.apply_readiness(ReadinessEvent::PlatformHead { revision: 0 });
            return Some(StoreVersion::default());
        };
        match serde_json::from_str::<SheetHead>(&value.body) {
            Ok(head) => {
                let stamp = head.stamp;
                let source = RevisionSource::Platform;
                let revision = stamp.revision;
                self.apply_readiness(ReadinessEvent::PlatformHead { revision });
                self.apply(RolloutEvent::Offered { stamp, source });
            }
            Err(error) => tracing::error!(%error, "sheet head could not be parsed"),
        }
        Some(value.version)
    }

    fn apply(&self, event: RolloutEvent) {
        let action = self.inner.machine.borrow_mut().apply(event);
        match action {
            None => {}
            Some(RolloutAction::Apply { model }) => {
                let revision = model.revision;
                self.inner.context.install(model);
                self.apply_readiness(ReadinessEvent::InForce { revision });
                tracing::info!(revision, "sheet in force");
                self.inner.changed.notify_one();
            }
            Some(RolloutAction::Fetch {
                number,
                hashes,
                source,
            }) => {
                let rollout = self.clone();
                actix_rt::spawn(async move {
                    let bodies = rollout.fetch(&hashes, &source).await;
                    rollout.apply(RolloutEvent::FetchEnded { number, bodies });
                });
            }
        }
    }

    async fn fetch(&self, hashes: &[ContentHash], source: &RevisionSource) -> Vec<Arc<str>> {
        if let RevisionSource::Peer(peer) = source {
            return self.inner.peers.fetch(peer, hashes).await;
        }
        let mut bodies = Vec::new();
        for hash in hashes {
            match self.inner.platform.get(&content_name(hash)).await {
                Ok(Some(value)) => bodies.push(value.body),
                Ok(None) => tracing::error!(%hash, "content is missing in the platform"),
                Err(error) => {
                    tracing::warn!(%error, "content could not be read from the platform");
                    break;
                }
            }
        }
        bodies
    }

    fn apply_readiness(&self, event: ReadinessEvent) {
        if let Some(gate) = self.inner.context.readiness().borrow_mut().as_mut() {
            gate.apply(event);
        }
    }
}

/// Read interval of an instance that is not a watcher, as a multiple of the retry interval.
const NON_WATCHER_READ_FACTOR: u32 = 30;
