//! Configuration sheets of operators and their rollout to the instances.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::sheet_manifest::{HEAD_NAME, SheetHead, content_name};
use dandeliondeal_config::store_session::StoreSession;
use dandeliondeal_config::{
    AcceptError, AcceptReport, ChangeRequest, ReadinessEvent, RevisionSource, RevisionStamp,
    RolloutAction, RolloutEvent, RowKey, SheetKind, example_sheet, read_sheet,
};
use dandeliondeal_store::{MemoryStore, StoreFault};
use dandeliondeal_types::{
    InstanceId, ObjectStore, ObjectValue, PutCondition, Revision, StoreError, StoreVersion,
};
use futures_util::FutureExt;

use crate::replay_engine::consume_fault;
use crate::replay_simulation::{ReplaySimulation, SimulationTask};
use crate::{ReplayMismatch, SheetVerdict, TraceError};

/// Interval between reads of the configuration head, and between heartbeats to peers.
const SHEET_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// The example sheet with a changed capacity, as submitted by an operator.
#[derive(Clone, Debug)]
pub(crate) struct SheetChange {
    pub(crate) change: Arc<str>,
    pub(crate) base: Option<Revision>,
    pub(crate) capacity: Arc<str>,
}

/// The platform's object store as seen by an operator's command.
///
/// `head_fault` affects only the first write of the configuration head.
#[derive(Debug)]
struct OperatorStore {
    objects: MemoryStore,
    is_unavailable: bool,
    head_fault: Cell<StoreFault>,
}

impl OperatorStore {
    fn set_next_fault(&self, name: &str, is_write: bool) {
        let fault = match (self.is_unavailable, is_write && name == HEAD_NAME) {
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
        self.set_next_fault(name, false);
        self.objects.get_now(name)
    }

    async fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        self.set_next_fault(name, true);
        self.objects.put_now(name, condition, body)
    }

    async fn delete(&self, name: &str, version: StoreVersion) -> Result<(), StoreError> {
        self.set_next_fault(name, true);
        self.objects.delete_now(name, version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        self.set_next_fault(prefix, false);
        self.objects.list_now(prefix)
    }

    async fn watch(
        &self,
        name: &str,
        _seen: StoreVersion,
        _limit: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        self.get(name).await
    }
}

impl ReplaySimulation {
    /// Submits a sheet and records the verdict that its operator receives.
    pub(crate) fn submit_sheet(
        &mut self,
        line: usize,
        sheet: &SheetChange,
    ) -> Result<(), TraceError> {
        let trace_error = |reason: String| TraceError::new(line, reason);
        let mut rows = read_sheet(example_sheet().as_bytes())
            .map_err(|_| trace_error("the example sheet is invalid".to_owned()))?;
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
            is_unavailable: self.store.is_unavailable,
            head_fault: Cell::new(self.next_head_fault()),
        };
        let session = StoreSession {
            store: &store,
            clock: self.clock(),
            // With a deadline of now, the call never waits.
            deadline: self.now(),
        };
        let immediate_result = session.accept_sheet(&rows, &request).now_or_never();
        let result = immediate_result
            .ok_or_else(|| trace_error("submitting the sheet did not finish at once".into()))?;
        let verdict = verdict_of(&result);
        self.sheet_verdicts
            .insert(Arc::clone(&sheet.change), verdict);
        self.start_rollout();
        Ok(())
    }

    /// Reads the configuration head, retries failed fetches, and sends heartbeats to peers.
    pub(crate) fn handle_sheet_tick(&mut self, id: &InstanceId, process: u32) {
        let task = SimulationTask::SheetTick(Arc::clone(id), process);
        self.schedule(SHEET_TICK_INTERVAL, task);
        let head = self.read_head();
        if let Some(instance) = self.instances.get_mut(id) {
            instance.readiness_gate.apply(match &head {
                Some(head) => ReadinessEvent::PlatformHead {
                    revision: head.revision,
                },
                None => ReadinessEvent::PlatformDown,
            });
        }
        if let Some(stamp) = head {
            let source = RevisionSource::Platform;
            self.handle_rollout_event(id, process, RolloutEvent::Offered { stamp, source });
        }
        self.handle_rollout_event(id, process, RolloutEvent::Retry);
        self.send_heartbeats(id);
    }

    /// Passes an event to the rollout state machine of an instance.
    pub(crate) fn handle_rollout_event(
        &mut self,
        id: &InstanceId,
        process: u32,
        event: RolloutEvent,
    ) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if let RolloutEvent::Offered {
            stamp,
            source: RevisionSource::Peer(peer),
        } = &event
        {
            instance.readiness_gate.apply(ReadinessEvent::PeerRevision {
                peer: Arc::clone(peer),
                revision: stamp.revision,
            });
        }
        let previous_revision = instance.rollout.in_force().revision;
        match instance.rollout.apply(event) {
            None => {}
            Some(RolloutAction::Apply { model }) => {
                instance.readiness_gate.apply(ReadinessEvent::InForce {
                    revision: model.revision,
                });
                if model.revision <= previous_revision {
                    self.observed_violations.push(ReplayMismatch {
                        line: 0,
                        expected: format!("{id} goes on from revision {previous_revision}").into(),
                        found: format!("revision {}", model.revision).into(),
                    });
                }
            }
            Some(RolloutAction::Fetch {
                number,
                hashes,
                source,
            }) => {
                let bodies = self.fetch_content(&hashes, &source);
                let event = RolloutEvent::FetchEnded { number, bodies };
                let task = SimulationTask::RolloutEvent(Arc::clone(id), process, event);
                self.schedule(2 * self.link_delay() + self.store.added_latency, task);
            }
        }
    }

    /// Starts the rollout at every instance where it has not started yet.
    pub(crate) fn start_rollout(&mut self) {
        let mut pending_instances = Vec::new();
        for (id, instance) in &mut self.instances {
            if !std::mem::replace(&mut instance.is_rollout_started, true) {
                pending_instances.push((Arc::clone(id), instance.process));
            }
        }
        for (id, process) in pending_instances {
            self.schedule(Duration::ZERO, SimulationTask::SheetTick(id, process));
        }
    }

    /// Selects the fault for the write of the configuration head.
    fn next_head_fault(&mut self) -> StoreFault {
        if consume_fault(&mut self.store.lose_answers) {
            return StoreFault::AnswerLost;
        }
        if consume_fault(&mut self.store.late_writes) {
            self.schedule(self.store.late_delay, SimulationTask::ApplyLateWrites);
            return StoreFault::Late;
        }
        StoreFault::None
    }

    /// Returns the stamp of the configuration head, or `None` if it cannot be read.
    fn read_head(&self) -> Option<RevisionStamp> {
        if self.store.is_unavailable {
            return None;
        }
        let head = self.store.objects.peek(HEAD_NAME).map_or_else(
            || Some(SheetHead::default()),
            |value| serde_json::from_str(&value.body).ok(),
        );
        head.map(|head| head.stamp)
    }

    /// Sends the revision in force at an instance to all its peers.
    fn send_heartbeats(&mut self, id: &InstanceId) {
        let Some(stamp) = self
            .instances
            .get(id)
            .map(|instance| instance.rollout.in_force().clone())
        else {
            return;
        };
        let peers: Vec<(InstanceId, u32)> = self
            .instances
            .iter()
            .filter(|(peer, _)| *peer != id)
            .map(|(peer, instance)| (Arc::clone(peer), instance.process))
            .collect();
        for (peer, process) in peers {
            let event = RolloutEvent::Offered {
                stamp: stamp.clone(),
                source: RevisionSource::Peer(Arc::clone(id)),
            };
            self.schedule(
                self.link_delay(),
                SimulationTask::RolloutEvent(peer, process, event),
            );
        }
    }

    /// Returns the content parts with these hashes that the source can provide.
    fn fetch_content(&self, hashes: &[Arc<str>], source: &RevisionSource) -> Vec<Arc<str>> {
        let content = |hash: &Arc<str>| match source {
            RevisionSource::Platform if self.store.is_unavailable => None,
            RevisionSource::Platform => {
                let value = self.store.objects.peek(&content_name(hash))?;
                Some(value.body)
            }
            RevisionSource::Peer(peer) => {
                let instance = self.instances.get(peer)?;
                let is_reachable = !instance.is_terminated() && !instance.is_paused();
                is_reachable
                    .then(|| instance.rollout.content(hash))
                    .flatten()
            }
        };
        hashes.iter().filter_map(content).collect()
    }
}

fn verdict_of(result: &Result<AcceptReport, AcceptError>) -> SheetVerdict {
    match result {
        Ok(_) => SheetVerdict::Accepted,
        Err(error) if error.is_conflict() => SheetVerdict::Conflict,
        Err(error) if error.is_invalid_sheet() => SheetVerdict::Refused,
        Err(error) if error.is_unknown() => SheetVerdict::Unknown,
        Err(_) => SheetVerdict::NotAccepted,
    }
}
