//! The fakes of a trace and the tasks between them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_claim::{ShardAction, ShardEvent};
use dandeliondeal_config::RolloutEvent;
use dandeliondeal_order::{DesiredState, OrderAction, OrderEvent};
use dandeliondeal_pipeline::{AttemptNumber, PlanIndex, PlanSettings, SessionEvent};
use dandeliondeal_store::{LeaseAction, LeaseEvent};
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget};
use dandeliondeal_types::{Clock, EndpointId, FencingNumber, InstanceId, ManualClock, RequestId};

use crate::event_queue::EventQueue;
use crate::replay_claims::{KeyedRequest, ReplayService, ServiceAnswer};
use crate::replay_engine::{EngineCall, ReplayEngine};
use crate::replay_instance::ReplayInstance;
use crate::replay_session::ReplaySession;
use crate::replay_store::ReplayStore;
use crate::{EngineSpec, ReplayMismatch, SheetVerdict, Trace, TraceError, TraceSettings};

/// Something that is due.
#[derive(Debug)]
pub(crate) enum WorldTask {
    Arrive(EndpointId, EngineCall),
    Computed(EndpointId, EngineCall, u64, u32),
    Session(RequestId, SessionEvent),
    Timeout(RequestId, AttemptNumber, EndpointId),
    Tick(RequestId),
    SeenLeaving(EndpointId),
    StoreCall(InstanceId, u32, ShardAction),
    Shard(InstanceId, u32, ShardEvent),
    LandLate,
    ServiceCall(RequestId),
    ServiceAnswer(RequestId, ServiceAnswer),
    SettlementCall(RequestId),
    BalancerMoved(InstanceId),
    SheetTick(InstanceId, u32),
    Sheet(InstanceId, u32, RolloutEvent),
    LeaseTick(InstanceId, u32),
    LeaseCall(InstanceId, u32, LeaseAction),
    Lease(InstanceId, u32, LeaseEvent),
    OrderCall(InstanceId, u32, OrderAction),
    Order(InstanceId, u32, OrderEvent),
}

/// Everything that a trace takes place among.
#[derive(Debug)]
pub(crate) struct ReplayWorld {
    pub(crate) settings: TraceSettings,
    pub(crate) queue: EventQueue<WorldTask>,
    pub(crate) engines: BTreeMap<EndpointId, ReplayEngine>,
    pub(crate) services: BTreeMap<EndpointId, ReplayService>,
    pub(crate) instances: BTreeMap<InstanceId, ReplayInstance>,
    pub(crate) sessions: BTreeMap<RequestId, ReplaySession>,
    pub(crate) keyed: BTreeMap<RequestId, KeyedRequest>,
    pub(crate) store: ReplayStore,
    /// When each session was started at an engine.
    pub(crate) started: Vec<(EndpointId, RequestId, Duration)>,
    /// What operators were told.
    pub(crate) changes: BTreeMap<Arc<str>, SheetVerdict>,
    pub(crate) highest_fence: FencingNumber,
    /// What engines are to hold.
    pub(crate) desired: BTreeMap<EndpointId, DesiredState>,
    /// Revisions and fencing numbers that went back.
    pub(crate) reverts: Vec<ReplayMismatch>,
    pub(crate) index: PlanIndex,
    pub(crate) seen_leaving: BTreeSet<EndpointId>,
    clock: ManualClock,
    pub(crate) seed: u64,
}

impl ReplayWorld {
    pub(crate) fn new(trace: &Trace) -> Result<Self, TraceError> {
        let settings = trace.header.settings.clone();
        let clock = ManualClock::default();
        let mut world = Self {
            queue: EventQueue::default(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            sessions: BTreeMap::new(),
            keyed: BTreeMap::new(),
            store: ReplayStore::default(),
            started: Vec::new(),
            changes: BTreeMap::new(),
            highest_fence: 0,
            desired: BTreeMap::new(),
            reverts: Vec::new(),
            index: PlanIndex::new(PlanSettings::default()),
            seen_leaving: BTreeSet::new(),
            clock,
            seed: trace.header.seed,
            settings,
        };
        for spec in world.settings.engines.clone() {
            world.join(&spec);
        }
        for id in world.settings.instances.clone() {
            world.start_instance(1, &id)?;
        }
        Ok(world)
    }

    /// Starts an instance, in place of an earlier process of it.
    pub(crate) fn start_instance(
        &mut self,
        line: usize,
        id: &InstanceId,
    ) -> Result<(), TraceError> {
        let earlier = self.instances.get(id);
        let process = earlier.map_or(0, |instance| instance.process + 1);
        let is_rolling = self.instances.values().any(|instance| instance.is_rolling);
        let instance = ReplayInstance::new(line, id, process)?;
        self.instances.insert(Arc::clone(id), instance);
        if is_rolling {
            self.start_rollout();
        }
        Ok(())
    }

    pub(crate) fn clock(&self) -> &ManualClock {
        &self.clock
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.clock.elapsed()
    }

    pub(crate) fn link(&self) -> Duration {
        Duration::from_millis(self.settings.link_milliseconds)
    }

    /// Runs every task that is due by `limit`, then moves the clock there.
    pub(crate) fn run_until(&mut self, limit: Duration) {
        while let Some((at, task)) = self.queue.pop_due(limit) {
            self.move_clock(at);
            if let Some(task) = self.hold(task) {
                self.run(task);
            }
        }
        self.move_clock(limit);
    }

    pub(crate) fn after(&mut self, wait: Duration, task: WorldTask) {
        let at = self.elapsed() + wait;
        self.queue.push(at, task);
    }

    pub(crate) fn join(&mut self, spec: &EngineSpec) {
        let engine = ReplayEngine::new(spec, &self.settings);
        let entry = EndpointEntry {
            address: ([127, 0, 0, 1], 1).into(),
            target: EndpointTarget::Layers {
                model: Arc::clone(&self.settings.model),
                range: engine.range,
            },
            accelerator: "a".into(),
            failure_domain: "didube".into(),
            region: "tbilisi".into(),
            checks_fencing: true,
            capacity: 1,
        };
        self.index.insert(&spec.id, &entry);
        self.engines.insert(Arc::clone(&spec.id), engine);
    }

    /// The instance that the balancer gives a new request to.
    pub(crate) fn choose_instance(
        &self,
        line: usize,
        named: Option<&InstanceId>,
    ) -> Result<InstanceId, TraceError> {
        let open = |id: &InstanceId| {
            let instance = self.instances.get(id)?;
            instance.takes_requests().then(|| Arc::clone(id))
        };
        named
            .and_then(open)
            .or_else(|| self.instances.keys().find_map(open))
            .ok_or_else(|| TraceError::new(line, "no instance takes requests"))
    }

    fn move_clock(&mut self, at: Duration) {
        self.clock.advance(at.saturating_sub(self.clock.elapsed()));
    }

    fn run(&mut self, task: WorldTask) {
        match task {
            WorldTask::Arrive(endpoint, call) => self.arrive(&endpoint, call),
            WorldTask::Computed(endpoint, call, serial, process) => {
                self.computed(&endpoint, call, serial, process);
            }
            WorldTask::Session(request, event) => self.feed(&request, event),
            WorldTask::Timeout(request, attempt, endpoint) => {
                self.timed_out(&request, attempt, &endpoint);
            }
            WorldTask::Tick(request) => self.tick(&request),
            WorldTask::SeenLeaving(endpoint) => self.see_leaving(&endpoint),
            WorldTask::StoreCall(instance, process, action) => {
                self.store_call(&instance, process, action);
            }
            WorldTask::Shard(instance, process, event) => {
                self.shard_event(&instance, process, event);
            }
            WorldTask::LandLate => {
                self.store.objects.land_late();
            }
            WorldTask::ServiceCall(request) => self.service_call(&request),
            WorldTask::ServiceAnswer(request, answer) => self.service_answer(&request, answer),
            WorldTask::SettlementCall(request) => self.settlement_call(&request),
            WorldTask::BalancerMoved(instance) => self.balancer_moved(&instance),
            WorldTask::SheetTick(instance, process) => self.sheet_tick(&instance, process),
            WorldTask::Sheet(instance, process, event) => {
                self.sheet_event(&instance, process, event);
            }
            WorldTask::LeaseTick(instance, process) => self.lease_tick(&instance, process),
            WorldTask::LeaseCall(instance, process, action) => {
                self.lease_call(&instance, process, action);
            }
            WorldTask::Lease(instance, process, event) => {
                self.lease_event(&instance, process, event);
            }
            WorldTask::OrderCall(instance, process, action) => {
                self.order_call(&instance, process, action);
            }
            WorldTask::Order(instance, process, event) => {
                self.order_event(&instance, process, event);
            }
        }
    }

    /// Keeps a task while its instance stands still, and drops it if its process is gone.
    fn hold(&mut self, task: WorldTask) -> Option<WorldTask> {
        let (WorldTask::SheetTick(id, process)
        | WorldTask::Sheet(id, process, _)
        | WorldTask::LeaseTick(id, process)
        | WorldTask::Lease(id, process, _)
        | WorldTask::Order(id, process, _)) = &task
        else {
            return Some(task);
        };
        let instance = self.instances.get_mut(id)?;
        if instance.is_gone() || instance.process != *process {
            return None;
        }
        if instance.is_paused() {
            instance.held.push(task);
            return None;
        }
        Some(task)
    }
}
