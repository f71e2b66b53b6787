//! Sheets of operators, and how they come into force at each instance.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::sheet_manifest::{HEAD_NAME, SheetHead, content_name};
use dandeliondeal_config::store_call::StoreCall;
use dandeliondeal_config::{
    AcceptError, AcceptReport, ChangeRequest, ReadinessEvent, RevisionSource, RevisionStamp,
    RolloutAction, RolloutEvent, RowKey, SheetKind, example_sheet, read_sheet,
};
use dandeliondeal_store::{MemoryStore, StoreFault};
use dandeliondeal_types::{
    InstanceId, ObjectStore, ObjectValue, PutCondition, Revision, StoreError, Version,
};
use futures_util::FutureExt;

use crate::replay_engine::take_one;
use crate::replay_world::{ReplayWorld, WorldTask};
use crate::{ReplayMismatch, SheetVerdict, TraceError};

/// Time between two reads of the head, and between two heartbeats.
const SHEET_INTERVAL: Duration = Duration::from_secs(1);

/// A sheet that an operator gives in.
#[derive(Clone, Debug)]
pub(crate) struct SheetChange {
    pub(crate) change: Arc<str>,
    pub(crate) base: Option<Revision>,
    pub(crate) capacity: Arc<str>,
}

/// The platform as an operator's command reaches it; a fault hits the write of the head.
#[derive(Debug)]
struct OperatorStore {
    objects: MemoryStore,
    is_out: bool,
    head_fault: Cell<StoreFault>,
}

impl OperatorStore {
    fn prepare(&self, name: &str, is_write: bool) {
        let fault = match (self.is_out, is_write && name == HEAD_NAME) {
            (true, _) => StoreFault::Refused,
            (false, true) => self.head_fault.take(),
            (false, false) => StoreFault::None,
        };
        self.objects.clear_faults();
        self.objects.add_faults([fault]);
    }
}

impl ObjectStore for OperatorStore {
    async fn get(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        self.prepare(name, false);
        self.objects.get_now(name)
    }

    async fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<Version, StoreError> {
        self.prepare(name, true);
        self.objects.put_now(name, condition, body)
    }

    async fn delete(&self, name: &str, version: Version) -> Result<(), StoreError> {
        self.prepare(name, true);
        self.objects.delete_now(name, version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        self.prepare(prefix, false);
        self.objects.list_now(prefix)
    }

    async fn watch(
        &self,
        name: &str,
        _seen: Version,
        _limit: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        self.get(name).await
    }
}

impl ReplayWorld {
    /// Gives a sheet in and notes what the operator is told.
    pub(crate) fn give_sheet(
        &mut self,
        line: usize,
        sheet: &SheetChange,
    ) -> Result<(), TraceError> {
        let wrong = |reason: String| TraceError::new(line, reason);
        let mut rows = read_sheet(example_sheet().as_bytes())
            .map_err(|_| wrong("the example sheet is not sound".to_owned()))?;
        let key = RowKey {
            kind: SheetKind::Endpoint,
            name: "engine-1".into(),
            attribute: "capacity".into(),
        };
        rows.set(key, Arc::clone(&sheet.capacity));
        let request = ChangeRequest {
            change: Arc::clone(&sheet.change),
            author: Arc::clone(&sheet.change),
            at_milliseconds: 0,
            base: sheet.base,
            allow_removals: false,
        };
        let store = OperatorStore {
            objects: self.store.objects.clone(),
            is_out: self.store.is_out,
            head_fault: Cell::new(self.next_head_fault()),
        };
        let call = StoreCall {
            store: &store,
            clock: self.clock(),
            // With the deadline at hand nothing is waited for.
            deadline: self.now(),
        };
        let accepted = call.accept_sheet(&rows, &request).now_or_never();
        let result = accepted.ok_or_else(|| wrong("the change waits for the platform".into()))?;
        let verdict = verdict_of(&result);
        self.changes.insert(Arc::clone(&sheet.change), verdict);
        self.start_rollout();
        Ok(())
    }

    /// Reads the head, tells the others what is in force, and tries again what failed.
    pub(crate) fn sheet_tick(&mut self, id: &InstanceId, process: u32) {
        let task = WorldTask::SheetTick(Arc::clone(id), process);
        self.after(SHEET_INTERVAL, task);
        let head = self.read_head();
        if let Some(instance) = self.instances.get_mut(id) {
            instance.gate.apply(match &head {
                Some(head) => ReadinessEvent::PlatformHead {
                    revision: head.revision,
                },
                None => ReadinessEvent::PlatformDown,
            });
        }
        if let Some(stamp) = head {
            let source = RevisionSource::Platform;
            self.sheet_event(id, process, RolloutEvent::Offered { stamp, source });
        }
        self.sheet_event(id, process, RolloutEvent::Retry);
        self.send_heartbeats(id);
    }

    /// Hands an event to the rollout of an instance.
    pub(crate) fn sheet_event(&mut self, id: &InstanceId, process: u32, event: RolloutEvent) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if let RolloutEvent::Offered {
            stamp,
            source: RevisionSource::Peer(peer),
        } = &event
        {
            instance.gate.apply(ReadinessEvent::PeerRevision {
                peer: Arc::clone(peer),
                revision: stamp.revision,
            });
        }
        let before = instance.rollout.in_force().revision;
        match instance.rollout.apply(event) {
            None => {}
            Some(RolloutAction::Apply { model }) => {
                instance.gate.apply(ReadinessEvent::InForce {
                    revision: model.revision,
                });
                if model.revision <= before {
                    self.reverts.push(ReplayMismatch {
                        line: 0,
                        expected: format!("{id} goes on from revision {before}").into(),
                        found: format!("revision {}", model.revision).into(),
                    });
                }
            }
            Some(RolloutAction::Fetch {
                number,
                hashes,
                source,
            }) => {
                let bodies = self.fetch(&hashes, &source);
                let event = RolloutEvent::FetchEnded { number, bodies };
                let task = WorldTask::Sheet(Arc::clone(id), process, event);
                self.after(2 * self.link() + self.store.slow, task);
            }
        }
    }

    /// Starts the rollout at every instance that does not run it yet.
    pub(crate) fn start_rollout(&mut self) {
        let mut waiting = Vec::new();
        for (id, instance) in &mut self.instances {
            if !std::mem::replace(&mut instance.is_rolling, true) {
                waiting.push((Arc::clone(id), instance.process));
            }
        }
        for (id, process) in waiting {
            self.after(Duration::ZERO, WorldTask::SheetTick(id, process));
        }
    }

    fn next_head_fault(&mut self) -> StoreFault {
        if take_one(&mut self.store.lose_answers) {
            return StoreFault::AnswerLost;
        }
        if take_one(&mut self.store.late_writes) {
            self.after(self.store.late, WorldTask::LandLate);
            return StoreFault::Late;
        }
        StoreFault::None
    }

    fn read_head(&self) -> Option<RevisionStamp> {
        if self.store.is_out {
            return None;
        }
        let head = self.store.objects.peek(HEAD_NAME).map_or_else(
            || Some(SheetHead::default()),
            |value| serde_json::from_str(&value.body).ok(),
        );
        head.map(|head| head.stamp)
    }

    fn send_heartbeats(&mut self, id: &InstanceId) {
        let Some(stamp) = self
            .instances
            .get(id)
            .map(|own| own.rollout.in_force().clone())
        else {
            return;
        };
        let others: Vec<(InstanceId, u32)> = self
            .instances
            .iter()
            .filter(|(other, _)| *other != id)
            .map(|(other, instance)| (Arc::clone(other), instance.process))
            .collect();
        for (other, process) in others {
            let event = RolloutEvent::Offered {
                stamp: stamp.clone(),
                source: RevisionSource::Peer(Arc::clone(id)),
            };
            self.after(self.link(), WorldTask::Sheet(other, process, event));
        }
    }

    fn fetch(&self, hashes: &[Arc<str>], source: &RevisionSource) -> Vec<Arc<str>> {
        let content = |hash: &Arc<str>| match source {
            RevisionSource::Platform if self.store.is_out => None,
            RevisionSource::Platform => {
                let value = self.store.objects.peek(&content_name(hash))?;
                Some(value.body)
            }
            RevisionSource::Peer(peer) => {
                let instance = self.instances.get(peer)?;
                let answers = !instance.is_gone() && !instance.is_paused();
                answers.then(|| instance.rollout.content(hash)).flatten()
            }
        };
        hashes.iter().filter_map(content).collect()
    }
}

fn verdict_of(result: &Result<AcceptReport, AcceptError>) -> SheetVerdict {
    match result {
        Ok(_) => SheetVerdict::Accepted,
        Err(error) if error.is_conflict() => SheetVerdict::Conflict,
        Err(error) if error.is_input() => SheetVerdict::Refused,
        Err(error) if error.is_unknown() => SheetVerdict::Unknown,
        Err(_) => SheetVerdict::NotAccepted,
    }
}
