//! The simulated system of a trace and the tasks scheduled in it.

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

/// A scheduled task.
///
/// The `u32` after an instance is its process number; events and ticks for an earlier process are
/// dropped.
#[derive(Debug)]
pub(crate) enum SimulationTask {
    EngineCall(EndpointId, EngineCall),
    /// The computation of a step has ended: the call, the step's serial number, and the engine's
    /// process number.
    StepComputed(EndpointId, EngineCall, u64, u32),
    SessionEvent(RequestId, SessionEvent),
    CallTimeout(RequestId, AttemptNumber, EndpointId),
    SessionTick(RequestId),
    /// The instance list shows the endpoint as leaving.
    SeenLeaving(EndpointId),
    StoreCall(InstanceId, u32, ShardAction),
    ShardEvent(InstanceId, u32, ShardEvent),
    ApplyLateWrites,
    ServiceCall(RequestId),
    ServiceAnswer(RequestId, ServiceAnswer),
    SettlementCall(RequestId),
    /// The load balancer has stopped routing to the instance.
    BalancerUpdated(InstanceId),
    SheetTick(InstanceId, u32),
    RolloutEvent(InstanceId, u32, RolloutEvent),
    LeaseTick(InstanceId, u32),
    LeaseCall(InstanceId, u32, LeaseAction),
    LeaseEvent(InstanceId, u32, LeaseEvent),
    OrderCall(InstanceId, u32, OrderAction),
    OrderEvent(InstanceId, u32, OrderEvent),
}

/// The complete state of a simulated system.
#[derive(Debug)]
pub(crate) struct ReplaySimulation {
    pub(crate) settings: TraceSettings,
    pub(crate) queue: EventQueue<SimulationTask>,
    pub(crate) engines: BTreeMap<EndpointId, ReplayEngine>,
    pub(crate) services: BTreeMap<EndpointId, ReplayService>,
    pub(crate) instances: BTreeMap<InstanceId, ReplayInstance>,
    pub(crate) sessions: BTreeMap<RequestId, ReplaySession>,
    pub(crate) keyed_requests: BTreeMap<RequestId, KeyedRequest>,
    pub(crate) store: ReplayStore,
    /// Endpoint, request and time of each session start at an engine.
    pub(crate) session_starts: Vec<(EndpointId, RequestId, Duration)>,
    /// Verdict of each sheet change, by the name of the change.
    pub(crate) sheet_verdicts: BTreeMap<Arc<str>, SheetVerdict>,
    /// Highest fencing number of a lease holder so far.
    pub(crate) highest_fencing_number: FencingNumber,
    /// Desired state of each engine.
    pub(crate) desired_states: BTreeMap<EndpointId, DesiredState>,
    /// Invariant violations observed so far, such as revisions or fencing numbers that decreased.
    pub(crate) observed_violations: Vec<ReplayMismatch>,
    pub(crate) plan_index: PlanIndex,
    /// Endpoints that the instance list shows as leaving.
    pub(crate) seen_leaving: BTreeSet<EndpointId>,
    clock: ManualClock,
    pub(crate) seed: u64,
}

impl ReplaySimulation {
    pub(crate) fn new(trace: &Trace) -> Result<Self, TraceError> {
        let settings = trace.header.settings.clone();
        let clock = ManualClock::default();
        let mut simulation = Self {
            queue: EventQueue::default(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            sessions: BTreeMap::new(),
            keyed_requests: BTreeMap::new(),
            store: ReplayStore::default(),
            session_starts: Vec::new(),
            sheet_verdicts: BTreeMap::new(),
            highest_fencing_number: 0,
            desired_states: BTreeMap::new(),
            observed_violations: Vec::new(),
            plan_index: PlanIndex::new(PlanSettings::default()),
            seen_leaving: BTreeSet::new(),
            clock,
            seed: trace.header.seed,
            settings,
        };
        for spec in simulation.settings.engines.clone() {
            simulation.add_engine(&spec);
        }
        for id in simulation.settings.instances.clone() {
            simulation.start_instance(1, &id)?;
        }
        Ok(simulation)
    }

    /// Starts an instance, replacing its earlier process if there was one.
    pub(crate) fn start_instance(
        &mut self,
        line: usize,
        id: &InstanceId,
    ) -> Result<(), TraceError> {
        let previous_instance = self.instances.get(id);
        let process = previous_instance.map_or(0, |instance| instance.process + 1);
        let is_rollout_started = self
            .instances
            .values()
            .any(|instance| instance.is_rollout_started);
        let instance = ReplayInstance::new(line, id, process)?;
        self.instances.insert(Arc::clone(id), instance);
        if is_rollout_started {
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

    pub(crate) fn link_delay(&self) -> Duration {
        Duration::from_millis(self.settings.link_milliseconds)
    }

    /// Executes all tasks due by `limit`, then advances the clock to `limit`.
    pub(crate) fn run_until(&mut self, limit: Duration) {
        while let Some((at, task)) = self.queue.pop_due(limit) {
            self.advance_clock(at);
            if let Some(task) = self.filter_task(task) {
                self.execute(task);
            }
        }
        self.advance_clock(limit);
    }

    pub(crate) fn schedule(&mut self, delay: Duration, task: SimulationTask) {
        let at = self.elapsed() + delay;
        self.queue.push(at, task);
    }

    pub(crate) fn add_engine(&mut self, spec: &EngineSpec) {
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
        self.plan_index.insert(&spec.id, &entry);
        self.engines.insert(Arc::clone(&spec.id), engine);
    }

    /// Selects the instance to which the load balancer routes a new request.
    pub(crate) fn choose_instance(
        &self,
        line: usize,
        preferred_instance: Option<&InstanceId>,
    ) -> Result<InstanceId, TraceError> {
        let available = |id: &InstanceId| {
            let instance = self.instances.get(id)?;
            instance.accepts_requests().then(|| Arc::clone(id))
        };
        preferred_instance
            .and_then(available)
            .or_else(|| self.instances.keys().find_map(available))
            .ok_or_else(|| TraceError::new(line, "no instance accepts requests"))
    }

    fn advance_clock(&mut self, at: Duration) {
        self.clock.advance(at.saturating_sub(self.clock.elapsed()));
    }

    fn execute(&mut self, task: SimulationTask) {
        match task {
            SimulationTask::EngineCall(endpoint, call) => self.handle_engine_call(&endpoint, call),
            SimulationTask::StepComputed(endpoint, call, serial, process) => {
                self.handle_step_computed(&endpoint, call, serial, process);
            }
            SimulationTask::SessionEvent(request, event) => {
                self.handle_session_event(&request, event);
            }
            SimulationTask::CallTimeout(request, attempt, endpoint) => {
                self.handle_call_timeout(&request, attempt, &endpoint);
            }
            SimulationTask::SessionTick(request) => self.handle_session_tick(&request),
            SimulationTask::SeenLeaving(endpoint) => self.handle_seen_leaving(&endpoint),
            SimulationTask::StoreCall(instance, process, action) => {
                self.handle_store_call(&instance, process, action);
            }
            SimulationTask::ShardEvent(instance, process, event) => {
                self.handle_shard_event(&instance, process, event);
            }
            SimulationTask::ApplyLateWrites => {
                self.store.objects.apply_late_writes();
            }
            SimulationTask::ServiceCall(request) => self.handle_service_call(&request),
            SimulationTask::ServiceAnswer(request, answer) => {
                self.handle_service_answer(&request, answer);
            }
            SimulationTask::SettlementCall(request) => self.handle_settlement_call(&request),
            SimulationTask::BalancerUpdated(instance) => self.handle_balancer_update(&instance),
            SimulationTask::SheetTick(instance, process) => {
                self.handle_sheet_tick(&instance, process);
            }
            SimulationTask::RolloutEvent(instance, process, event) => {
                self.handle_rollout_event(&instance, process, event);
            }
            SimulationTask::LeaseTick(instance, process) => {
                self.handle_lease_tick(&instance, process);
            }
            SimulationTask::LeaseCall(instance, process, action) => {
                self.handle_lease_call(&instance, process, action);
            }
            SimulationTask::LeaseEvent(instance, process, event) => {
                self.handle_lease_event(&instance, process, event);
            }
            SimulationTask::OrderCall(instance, process, action) => {
                self.handle_order_call(&instance, process, action);
            }
            SimulationTask::OrderEvent(instance, process, event) => {
                self.handle_order_event(&instance, process, event);
            }
        }
    }

    /// Returns the task if it may run now.
    ///
    /// Defers the task of a paused instance, and drops that of a process that no longer runs.
    fn filter_task(&mut self, task: SimulationTask) -> Option<SimulationTask> {
        let (SimulationTask::SheetTick(id, process)
        | SimulationTask::RolloutEvent(id, process, _)
        | SimulationTask::LeaseTick(id, process)
        | SimulationTask::LeaseEvent(id, process, _)
        | SimulationTask::OrderEvent(id, process, _)) = &task
        else {
            return Some(task);
        };
        let instance = self.instances.get_mut(id)?;
        if instance.is_terminated() || instance.process != *process {
            return None;
        }
        if instance.is_paused() {
            instance.deferred_tasks.push(task);
            return None;
        }
        Some(task)
    }
}
