//! The fakes of a trace and the tasks between them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_claim::{ShardAction, ShardEvent};
use dandeliondeal_config::RolloutEvent;
use dandeliondeal_order::{DesiredState, OrderAction, OrderEvent};
use dandeliondeal_pipeline::{AttemptNumber, PlanIndex, PlanQuery, PlanSettings, SessionEvent};
use dandeliondeal_platform::{LeaseAction, LeaseEvent};
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget};
use dandeliondeal_types::{
    Clock, EndpointId, EndpointView, ErrorKind, FencingNumber, InstanceId, ManualClock, RequestId,
};

use crate::event_queue::EventQueue;
use crate::replay_claims::{KeyedRequest, ReplayService, ServiceAnswer};
use crate::replay_engine::{EngineCall, EngineResult, ReplayEngine};
use crate::replay_instance::ReplayInstance;
use crate::replay_session::{ReplaySession, SessionOrder};
use crate::replay_store::ReplayStore;
use crate::{
    EngineSpec, ReplayMismatch, SheetVerdict, StatedOutcome, Trace, TraceError, TraceSettings,
};

/// Time between two ticks of a session.
const TICK: Duration = Duration::from_secs(1);

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
    index: PlanIndex,
    seen_leaving: BTreeSet<EndpointId>,
    clock: ManualClock,
    seed: u64,
}

/// What the instance list has told so far.
#[derive(Debug)]
struct ListView<'world>(&'world BTreeSet<EndpointId>);

impl EndpointView for ListView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        !self.0.contains(endpoint)
    }

    fn expected_wait(&self, _endpoint: &EndpointId) -> Duration {
        Duration::ZERO
    }
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

    pub(crate) fn start_session(&mut self, request: &RequestId, session: ReplaySession) {
        self.sessions.insert(Arc::clone(request), session);
        self.feed(request, SessionEvent::Begin);
        self.after(TICK, WorldTask::Tick(Arc::clone(request)));
    }

    /// Hands an event to a session, or keeps it while its instance stands still.
    pub(crate) fn feed(&mut self, request: &RequestId, event: SessionEvent) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(request) else {
            return;
        };
        let Some(instance) = self.instances.get_mut(&session.instance) else {
            return;
        };
        if instance.is_gone() {
            return;
        }
        if instance.is_paused() {
            let task = WorldTask::Session(Arc::clone(request), event);
            instance.held.push(task);
            return;
        }
        if !session.is_expected(&event) {
            return;
        }
        for order in session.handle(event, now) {
            self.carry_out(request, order);
        }
    }

    pub(crate) fn leave(&mut self, endpoint: &EndpointId) {
        let now = self.elapsed();
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.leaving_since.get_or_insert(now);
        }
        let lag = Duration::from_millis(self.settings.list_lag_milliseconds);
        self.after(lag, WorldTask::SeenLeaving(Arc::clone(endpoint)));
    }

    pub(crate) fn apply_results(
        &mut self,
        endpoint: &EndpointId,
        results: Vec<(Duration, EngineResult)>,
    ) {
        for (wait, result) in results {
            let (wait, task) = match result {
                EngineResult::Reply(request, event) => {
                    (wait + self.link(), WorldTask::Session(request, event))
                }
                EngineResult::Again(call) => (wait, WorldTask::Arrive(Arc::clone(endpoint), call)),
                EngineResult::Complete(call, serial, process) => {
                    let endpoint = Arc::clone(endpoint);
                    (wait, WorldTask::Computed(endpoint, call, serial, process))
                }
            };
            self.after(wait, task);
        }
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

    fn arrive(&mut self, endpoint: &EndpointId, call: EngineCall) {
        let (now, elapsed) = (self.now(), self.elapsed());
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let request = Arc::clone(&call.request);
        let before = engine.session_count(now);
        let results = engine.receive(call, now);
        if engine.session_count(now) > before {
            self.started.push((Arc::clone(endpoint), request, elapsed));
        }
        self.apply_results(endpoint, results);
    }

    fn computed(&mut self, endpoint: &EndpointId, call: EngineCall, serial: u64, process: u32) {
        let now = self.now();
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let results = engine.complete(call, serial, process, now);
        self.apply_results(endpoint, results);
    }

    fn timed_out(&mut self, request: &RequestId, attempt: AttemptNumber, endpoint: &EndpointId) {
        let Some(engine) = self.engines.get(endpoint) else {
            return;
        };
        let error = engine.error(ErrorKind::NoAnswer, "no answer in time");
        let session = self.sessions.get_mut(request);
        if let Some(event) = session.and_then(|session| session.timed_out(attempt, error)) {
            self.feed(request, event);
        }
    }

    fn tick(&mut self, request: &RequestId) {
        let is_open = |session: &ReplaySession| session.end == StatedOutcome::Open;
        if self.sessions.get(request).is_some_and(is_open) {
            self.feed(request, SessionEvent::Tick);
            self.after(TICK, WorldTask::Tick(Arc::clone(request)));
        }
    }

    fn see_leaving(&mut self, endpoint: &EndpointId) {
        self.seen_leaving.insert(Arc::clone(endpoint));
        let requests: Vec<RequestId> = self.sessions.keys().cloned().collect();
        for request in requests {
            let endpoint = Arc::clone(endpoint);
            self.feed(&request, SessionEvent::Leaving { endpoint });
        }
    }

    fn carry_out(&mut self, request: &RequestId, order: SessionOrder) {
        match order {
            SessionOrder::Call {
                endpoint,
                attempt,
                kind,
                timeout,
                fresh,
            } => {
                let Some(engine) = self.engines.get_mut(&endpoint) else {
                    return;
                };
                let call = engine.call(request, attempt, kind, fresh);
                let way = engine.faults.slow;
                if let Some(timeout) = timeout {
                    let request = Arc::clone(request);
                    let task = WorldTask::Timeout(request, attempt, Arc::clone(&endpoint));
                    self.after(timeout, task);
                }
                self.after(way + self.link(), WorldTask::Arrive(endpoint, call));
            }
            SessionOrder::Place { range, avoid } => {
                let query = PlanQuery {
                    model: &self.settings.model,
                    range,
                    domains: &[],
                    home: &"didube".into(),
                    avoid: &avoid,
                    spread: self.seed,
                };
                let chain = self.index.plan(&query, &ListView(&self.seen_leaving));
                let event = SessionEvent::Placed { chain };
                let task = WorldTask::Session(Arc::clone(request), event);
                self.after(Duration::ZERO, task);
            }
            SessionOrder::Pause(wait) => {
                let task = WorldTask::Session(Arc::clone(request), SessionEvent::Resume);
                self.after(wait, task);
            }
        }
    }
}
