//! Controller that brings the engines' layers to the planned layout while this instance holds the
//! lease.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_layout::{EngineProfile, EngineState, LayoutMove, PlanCache};
use dandeliondeal_store::{LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime};
use dandeliondeal_types::{Clock, EndpointId, FencingNumber, LayerRange, ObjectStore, ServiceId};

use crate::dialect::{FleetDialect, LayerOrder, OrderReply};
use crate::engine_absence::EngineAbsence;
use crate::engine_calls::{request_report, send_order};
use crate::lease_contenders;
use crate::relay_context::RelayContext;
use crate::relay_error::RelayError;

/// Time after the start in which the lease is not polled, so that the instances can count one
/// another before they know which of them contend for it.
const START_DELAY: Duration = Duration::from_millis(1_200);
/// Time between two reconciliations.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the number of engines has to be unchanged before the first layout; engines
/// register within a second of one another.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Delay before a new order to an engine that refused one or did not reply; it doubles with each
/// further refusal, because engines refuse orders while requests still use their layers.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maximum delay before a new order.
const MAX_ORDER_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Factor on the loading time of a single engine after which an order counts as lost.
const LOAD_TIMEOUT_FACTOR: u32 = 3;
/// Minimum time before an accepted order counts as lost; registrations are up to a second late.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// The same for an engine that gives up other layers, whose requests it finishes first.
const MIN_MOVE_TIMEOUT: Duration = Duration::from_secs(12);

/// Order that was sent and is not yet confirmed by the engine's registration.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    range: LayerRange,
    until: Instant,
}

/// Pause after an engine refused an order or did not reply.
#[derive(Clone, Copy, Debug)]
struct OrderPause {
    until: Instant,
    delay: Duration,
}

#[derive(Debug)]
struct ControllerState {
    lease: LeaseMachine,
    pending: HashMap<EndpointId, PendingOrder>,
    pauses: HashMap<EndpointId, OrderPause>,
    /// Start time of each engine's process and the number of orders that it has started.
    order_counts: HashMap<EndpointId, (u64, u64)>,
    /// Fencing number that an engine rejected as outdated.
    rejected_fencing_number: Option<FencingNumber>,
    engine_count: Option<(usize, Instant)>,
    is_holder: bool,
    plans: HashMap<ServiceId, PlanCache>,
    absences: HashMap<ServiceId, EngineAbsence>,
}

/// Contends for the lease and, while holding it, sends orders to reach the planned layout.
///
/// Clones share their state.
#[derive(Debug)]
pub struct LayoutController<Time, Dialect, Store> {
    context: RelayContext<Time, Dialect>,
    store: Store,
    state: Rc<RefCell<ControllerState>>,
}

impl<Time, Dialect, Store> Clone for LayoutController<Time, Dialect, Store>
where
    Store: Clone,
{
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            store: self.store.clone(),
            state: Rc::clone(&self.state),
        }
    }
}

impl<Time, Dialect, Store> LayoutController<Time, Dialect, Store>
where
    Time: Clock,
    Dialect: FleetDialect,
    Store: ObjectStore + Clone,
{
    /// Creates a controller that does nothing until [`Self::run`].
    ///
    /// # Errors
    ///
    /// Returns [`RelayError`] if a state chart is invalid.
    pub fn new(
        context: RelayContext<Time, Dialect>,
        store: Store,
        lease: LeaseSettings,
    ) -> Result<Self, RelayError> {
        let state = ControllerState {
            lease: LeaseMachine::new(lease)?,
            pending: HashMap::new(),
            pauses: HashMap::new(),
            order_counts: HashMap::new(),
            rejected_fencing_number: None,
            engine_count: None,
            is_holder: false,
            plans: HashMap::new(),
            absences: HashMap::new(),
        };
        Ok(Self {
            context,
            store,
            state: Rc::new(RefCell::new(state)),
        })
    }

    /// Runs until the process is asked to stop, then releases the lease.
    pub async fn run(self) {
        actix_rt::time::sleep(START_DELAY).await;
        let started = self.context.now();
        while !self.context.is_stopping() {
            let is_contending = self.fencing_number().is_some() || self.is_contender(started);
            if is_contending {
                self.drive_lease(LeaseEvent::Tick);
            }
            self.update_holder();
            match self.fencing_number() {
                Some(fencing_number) => self.reconcile(fencing_number),
                None if is_contending => self.track_engines(),
                None => {}
            }
            actix_rt::time::sleep(TICK_INTERVAL).await;
        }
        self.drive_lease(LeaseEvent::Release);
    }

    /// Returns whether this instance contends for the lease; `started` is the start of polling.
    fn is_contender(&self, started: Instant) -> bool {
        let now = self.context.now();
        let seen = self.context.lease_holder_seen().unwrap_or(started);
        let silence = now.saturating_duration_since(seen);
        let own = &self.context.settings().instance.id;
        lease_contenders::is_contender(own, &self.context.peers(), silence)
    }

    fn drive_lease(&self, event: LeaseEvent) {
        let time = LeaseTime::of(self.context.clock());
        let action = self.state.borrow_mut().lease.handle(event, time);
        let Some(action) = action else {
            return;
        };
        let controller = self.clone();
        actix_rt::spawn(async move {
            let event = match action {
                LeaseAction::Get(name) => LeaseEvent::Read(controller.store.get(&name).await),
                LeaseAction::Put {
                    name,
                    condition,
                    body,
                } => LeaseEvent::Written(controller.store.put(&name, condition, body).await),
            };
            controller.drive_lease(event);
        });
    }

    fn update_holder(&self) {
        let fencing_number = self.fencing_number();
        let mut state = self.state.borrow_mut();
        self.context.set_holds_lease(fencing_number.is_some());
        if state.is_holder != fencing_number.is_some() {
            state.is_holder = fencing_number.is_some();
            state.pending.clear();
            state.pauses.clear();
            tracing::info!(
                fence = fencing_number,
                held = fencing_number.is_some(),
                "layout lease"
            );
        }
    }

    /// Returns the fencing number of the lease while this instance holds it.
    fn fencing_number(&self) -> Option<FencingNumber> {
        let time = LeaseTime::of(self.context.clock());
        let mut state = self.state.borrow_mut();
        state.lease.observe_era(self.context.store_era());
        let fencing_number = state.lease.fencing_number(time)?;
        let is_rejected = state
            .rejected_fencing_number
            .is_some_and(|rejected| fencing_number <= rejected);
        (!is_rejected).then_some(fencing_number)
    }

    /// Records which engines are present, so that this instance knows which ones were lost shortly
    /// before it gets the lease.
    fn track_engines(&self) {
        let now = self.context.now();
        let Some(table) = self.context.table() else {
            return;
        };
        for rule in table.services().filter(|rule| rule.engine.is_some()) {
            let engines = self.engines(&rule.id, now);
            self.absent_engines(&rule.id, &engines, now);
        }
    }

    fn reconcile(&self, fencing_number: FencingNumber) {
        let Some(table) = self.context.table() else {
            return;
        };
        for rule in table.services() {
            if let Some(profile) = &rule.engine {
                self.reconcile_service(&rule.id, profile, fencing_number);
            }
        }
    }

    fn reconcile_service(
        &self,
        service: &ServiceId,
        profile: &EngineProfile,
        fencing_number: FencingNumber,
    ) {
        let now = self.context.now();
        let engines = self.engines(service, now);
        let absent = self.absent_engines(service, &engines, now);
        let holders: HashSet<EndpointId> = engines
            .iter()
            .filter(|engine| engine.held_range.is_some())
            .map(|engine| EndpointId::clone(&engine.id))
            .collect();
        let holding = holders.len();
        if !self.is_settled(engines.len(), now) && holding == 0 {
            return;
        }
        let absent_ids: HashSet<EndpointId> = absent
            .iter()
            .map(|engine| EndpointId::clone(&engine.id))
            .collect();
        let engines = [engines, absent].concat();
        self.start_plan(service, profile, engines.clone());
        let mut moves = {
            let state = self.state.borrow();
            let plans = state.plans.get(service);
            plans
                .map(|plans| plans.current_moves(&engines))
                .unwrap_or_default()
        };
        moves.retain(|layout_move| !absent_ids.contains(&layout_move.engine));
        if holding > 0 {
            let mut state = self.state.borrow_mut();
            let absence = state.absences.entry(ServiceId::clone(service)).or_default();
            moves.retain(|layout_move| {
                holders.contains(&layout_move.engine) || absence.admit(&layout_move.engine, now)
            });
        }
        for layout_move in moves {
            let state = self.state.borrow();
            let is_paused = state
                .pauses
                .get(&layout_move.engine)
                .is_some_and(|pause| now < pause.until);
            let loading = state.pending.len();
            drop(state);
            if is_paused || (holding > 0 && loading >= profile.parallel_loads as usize) {
                continue;
            }
            self.start_order(layout_move, profile, fencing_number, now);
        }
    }

    /// Starts the computation of a new plan on another thread if the engines have changed.
    fn start_plan(&self, service: &ServiceId, profile: &EngineProfile, engines: Vec<EngineState>) {
        let job = {
            let mut state = self.state.borrow_mut();
            let plans = state.plans.entry(ServiceId::clone(service)).or_default();
            plans.start_job(self.context.planner(), profile, engines)
        };
        let Some(job) = job else {
            return;
        };
        let controller = self.clone();
        let service = ServiceId::clone(service);
        actix_rt::spawn(async move {
            let result = actix_rt::task::spawn_blocking(move || job.run()).await;
            let mut state = controller.state.borrow_mut();
            let plans = state.plans.entry(service).or_default();
            match result {
                Ok(plan) => plans.finish_job(plan),
                Err(error) => {
                    tracing::warn!(%error, "layout plan failed");
                    plans.abandon_job();
                }
            }
        });
    }

    /// Returns the engines of a service with the layers that they hold or were ordered to hold.
    fn engines(&self, service: &str, now: Instant) -> Vec<EngineState> {
        let fleet = self.context.fleet().borrow();
        let mut engines = fleet.engine_states(service);
        let mut state = self.state.borrow_mut();
        state.pending.retain(|_, order| now < order.until);
        let pending = &mut state.pending;
        engines.retain(|engine| fleet.is_usable(&engine.id) || pending.contains_key(&engine.id));
        for engine in &mut engines {
            match pending.get(&engine.id) {
                Some(order) if engine.held_range == Some(order.range) => {
                    pending.remove(&engine.id);
                }
                Some(order) => engine.held_range = Some(order.range),
                None => {}
            }
        }
        engines
    }

    /// Returns the engines of a service that are absent but may return soon.
    fn absent_engines(
        &self,
        service: &ServiceId,
        engines: &[EngineState],
        now: Instant,
    ) -> Vec<EngineState> {
        let fleet = self.context.fleet().borrow();
        let present: Vec<(EngineState, SocketAddr)> = engines
            .iter()
            .filter_map(|engine| Some((engine.clone(), fleet.record(&engine.id)?.address)))
            .collect();
        let is_leaving = |id: &EndpointId| {
            let record = fleet.record(id);
            record.is_some_and(|record| record.is_draining)
        };
        let mut state = self.state.borrow_mut();
        let absence = state.absences.entry(ServiceId::clone(service)).or_default();
        absence.update(&present, is_leaving, now)
    }

    fn is_settled(&self, count: usize, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        match state.engine_count {
            Some((last_count, since)) if last_count == count => {
                now.saturating_duration_since(since) >= SETTLE_TIME
            }
            _ => {
                state.engine_count = Some((count, now));
                false
            }
        }
    }

    fn start_order(
        &self,
        layout_move: LayoutMove,
        profile: &EngineProfile,
        fencing_number: FencingNumber,
        now: Instant,
    ) {
        let fleet = self.context.fleet().borrow();
        let Some(record) = fleet.record(&layout_move.engine) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let known_count = state.order_counts.get(&layout_move.engine);
        let known_count = known_count.filter(|(start, _)| *start == record.started_at_ms);
        let gives_up_layers = record.layers.is_some_and(|layers| !layers.is_empty());
        let is_count_unknown = known_count.is_none() && gives_up_layers;
        let order = LayerOrder {
            address: record.address,
            engine: EndpointId::clone(&layout_move.engine),
            range: layout_move.range,
            order_count: known_count.map_or(0, |(_, count)| *count),
            start_ms: record.started_at_ms,
            fencing_number,
        };
        let min_timeout = if gives_up_layers {
            MIN_MOVE_TIMEOUT
        } else {
            MIN_LOAD_TIMEOUT
        };
        let load_timeout = profile.loading_time(layout_move.range.len()) * LOAD_TIMEOUT_FACTOR;
        let pending = PendingOrder {
            range: layout_move.range,
            until: now + load_timeout.max(min_timeout),
        };
        state.pending.insert(layout_move.engine, pending);
        drop(state);
        let controller = self.clone();
        actix_rt::spawn(async move { controller.send_order(order, is_count_unknown).await });
    }

    /// Sends an order; first asks for the order count if it is unknown and the engine may have had
    /// orders before.
    async fn send_order(&self, mut order: LayerOrder, is_count_unknown: bool) {
        if is_count_unknown {
            self.refresh_order_count(&order).await;
            let state = self.state.borrow();
            let known_count = state.order_counts.get(&order.engine);
            order.order_count = known_count.map_or(0, |(_, count)| *count);
            drop(state);
            // The term may have ended while the engine was asked.
            let Some(fencing_number) = self.fencing_number() else {
                self.state.borrow_mut().pending.remove(&order.engine);
                return;
            };
            order.fencing_number = fencing_number;
        }
        let request = self.context.dialect().write_order(&order);
        let reply = send_order(&self.context, order.address, &request).await;
        let label = match &reply {
            Ok(reply) => reply.to_string(),
            Err(error) => format!("no answer: {error}"),
        };
        tracing::info!(
            engine = %order.engine,
            range = %order.range,
            fence = order.fencing_number,
            order_count = order.order_count,
            reply = label,
            "order"
        );
        let metric = match &reply {
            Ok(reply) => reply.to_string(),
            Err(_) => "no answer".to_owned(),
        };
        self.context
            .metrics()
            .orders
            .with_label_values(&[&metric])
            .inc();
        if self.record_reply(&order, reply.ok()) {
            self.refresh_order_count(&order).await;
        }
    }

    /// Records the reply to an order; returns `true` if the engine's order count is in doubt.
    ///
    /// An order without a reply may have been started, or may start later.
    fn record_reply(&self, order: &LayerOrder, reply: Option<OrderReply>) -> bool {
        let now = self.context.now();
        let engine = EndpointId::clone(&order.engine);
        let mut state = self.state.borrow_mut();
        match reply {
            Some(OrderReply::Started) => {
                let count = (order.start_ms, order.order_count + 1);
                state.pauses.remove(&engine);
                state.order_counts.insert(engine, count);
                false
            }
            Some(OrderReply::Done) => false,
            Some(OrderReply::Fenced) => {
                state.rejected_fencing_number = Some(order.fencing_number);
                state.pending.remove(&engine);
                false
            }
            Some(OrderReply::Conflict | OrderReply::Refused) | None => {
                state.pending.remove(&engine);
                let last_pause = state.pauses.get(&engine);
                let delay = last_pause.map_or(ORDER_RETRY_DELAY, |pause| {
                    (pause.delay * 2).min(MAX_ORDER_RETRY_DELAY)
                });
                let until = now + delay;
                state.pauses.insert(engine, OrderPause { until, delay });
                true
            }
        }
    }

    /// Asks an engine how many orders it has started.
    async fn refresh_order_count(&self, order: &LayerOrder) {
        match request_report(&self.context, &order.engine, order.address).await {
            Ok(report) => {
                let mut state = self.state.borrow_mut();
                state.order_counts.insert(
                    EndpointId::clone(&order.engine),
                    (order.start_ms, report.order_count),
                );
            }
            Err(error) => {
                tracing::info!(engine = %order.engine, %error, "engine report failed");
            }
        }
    }
}
