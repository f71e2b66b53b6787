//! Controller that brings the engines' layers to the planned layout while this instance holds the
//! lease.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_layout::{EngineProfile, EngineState, LayoutMove, PlanCache};
use dandeliondeal_store::{LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime};
use dandeliondeal_types::rendezvous::preferred_member;
use dandeliondeal_types::{
    Clock, EndpointId, FencingNumber, InstanceId, LayerRange, ObjectStore, ServiceId,
};
use xxhash_rust::xxh3::Xxh3;

use crate::dialect::{FleetDialect, LayerOrder, OrderReply};
use crate::engine_calls::{request_report, send_order};
use crate::relay_context::RelayContext;
use crate::relay_error::RelayError;

/// Number of instances that poll the lease continuously; each poll is a charged call to the store.
const LEASE_CONTENDERS: usize = 3;
/// Key of the rendezvous hash that selects these instances.
const CONTENDER_KEY: &str = "layout";
/// Time between two polls of the lease by the other instances, in case all contenders are gone.
const NON_CONTENDER_INTERVAL: Duration = Duration::from_secs(9);
/// Time between two reconciliations.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the number of engines has to be unchanged before the first layout; engines
/// register within a second of one another.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Delay before a new order to an engine that refused one or did not reply.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Factor on the loading time of a single engine after which an order counts as lost.
const LOAD_TIMEOUT_FACTOR: u32 = 3;
/// Minimum time before an accepted order counts as lost; registrations are up to a second late.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Order that was sent and is not yet confirmed by the engine's registration.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    range: LayerRange,
    until: Instant,
}

#[derive(Debug)]
struct ControllerState {
    lease: LeaseMachine,
    pending: HashMap<EndpointId, PendingOrder>,
    retry_after: HashMap<EndpointId, Instant>,
    /// Start time of each engine's process and the number of orders that it has started.
    order_counts: HashMap<EndpointId, (u64, u64)>,
    /// Fencing number that an engine rejected as outdated.
    rejected_fencing_number: Option<FencingNumber>,
    engine_count: Option<(usize, Instant)>,
    is_holder: bool,
    plans: HashMap<ServiceId, PlanCache>,
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
            retry_after: HashMap::new(),
            order_counts: HashMap::new(),
            rejected_fencing_number: None,
            engine_count: None,
            is_holder: false,
            plans: HashMap::new(),
        };
        Ok(Self {
            context,
            store,
            state: Rc::new(RefCell::new(state)),
        })
    }

    /// Runs until the process is asked to stop, then releases the lease.
    pub async fn run(self) {
        let mut next_poll = self.context.now();
        while !self.context.is_stopping() {
            let now = self.context.now();
            if self.fencing_number().is_some() || self.is_contender() || now >= next_poll {
                self.drive_lease(LeaseEvent::Tick);
                next_poll = now + self.context.jitter(NON_CONTENDER_INTERVAL);
            }
            self.update_holder();
            self.reconcile();
            actix_rt::time::sleep(TICK_INTERVAL).await;
        }
        self.drive_lease(LeaseEvent::Release);
    }

    /// Returns whether this instance is one of those that poll the lease continuously.
    fn is_contender(&self) -> bool {
        let peers = self.context.peers();
        let mut candidates: Vec<&InstanceId> = peers.iter().map(|peer| &peer.id).collect();
        for _ in 0..LEASE_CONTENDERS {
            match preferred_member(CONTENDER_KEY, &candidates, Xxh3::new) {
                None => return true,
                Some(index) if *candidates[index] == self.context.settings().instance.id => {
                    return true;
                }
                Some(index) => {
                    candidates.swap_remove(index);
                }
            }
        }
        false
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
        if state.is_holder != fencing_number.is_some() {
            state.is_holder = fencing_number.is_some();
            state.pending.clear();
            state.retry_after.clear();
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
        let fencing_number = state.lease.fencing_number(time)?;
        let is_rejected = state
            .rejected_fencing_number
            .is_some_and(|rejected| fencing_number <= rejected);
        (!is_rejected).then_some(fencing_number)
    }

    fn reconcile(&self) {
        let Some(fencing_number) = self.fencing_number() else {
            return;
        };
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
        let holding = engines
            .iter()
            .filter(|engine| engine.held_range.is_some())
            .count();
        if !self.is_settled(engines.len(), now) && holding == 0 {
            return;
        }
        let moves = {
            let mut state = self.state.borrow_mut();
            let plans = state.plans.entry(ServiceId::clone(service)).or_default();
            plans.plan(self.context.planner(), profile, engines)
        };
        for layout_move in moves {
            let state = self.state.borrow();
            let is_paused = state
                .retry_after
                .get(&layout_move.engine)
                .is_some_and(|until| now < *until);
            let loading = state.pending.len();
            drop(state);
            if is_paused || (holding > 0 && loading >= profile.parallel_loads as usize) {
                continue;
            }
            self.start_order(layout_move, profile, fencing_number, now);
        }
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
        let is_count_unknown =
            known_count.is_none() && record.layers.is_some_and(|layers| !layers.is_empty());
        let order = LayerOrder {
            address: record.address,
            engine: EndpointId::clone(&layout_move.engine),
            range: layout_move.range,
            order_count: known_count.map_or(0, |(_, count)| *count),
            start_ms: record.started_at_ms,
            fencing_number,
        };
        let load_timeout = profile.loading_time(layout_move.range.len()) * LOAD_TIMEOUT_FACTOR;
        let pending = PendingOrder {
            range: layout_move.range,
            until: now + load_timeout.max(MIN_LOAD_TIMEOUT),
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
        let until = self.context.now() + ORDER_RETRY_DELAY;
        let engine = EndpointId::clone(&order.engine);
        let mut state = self.state.borrow_mut();
        match reply {
            Some(OrderReply::Started) => {
                let count = (order.start_ms, order.order_count + 1);
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
                state.retry_after.insert(engine, until);
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
