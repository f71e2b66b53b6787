//! Controller that brings the engines' layers to the planned layout while this instance holds the
//! lease.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_layout::{EngineProfile, EngineState, LayoutMove, PlanCache};
use dandeliondeal_store::{LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime};
use dandeliondeal_types::rendezvous::preferred;
use dandeliondeal_types::{
    Clock, EndpointId, FencingNumber, InstanceId, LayerRange, ObjectStore, ServiceId,
};
use xxhash_rust::xxh3::Xxh3;

use crate::dialect::{FleetDialect, LayerOrder, OrderReply};
use crate::engine_calls::{ask, send_order};
use crate::relay_context::RelayContext;
use crate::relay_error::RelayError;

/// Number of instances that poll the lease continuously; each poll is a charged call to the store.
const CONTENDERS: usize = 3;
/// Key of the rendezvous hash that selects these instances.
const CONTENDER_KEY: &str = "layout";
/// Time between two polls of the lease by the other instances, in case all contenders are gone.
const OUTSIDER_INTERVAL: Duration = Duration::from_secs(9);
/// Time between two reconciliations.
const TICK: Duration = Duration::from_millis(200);
/// Time for which the number of engines has to be unchanged before the first layout; engines
/// register within a second of one another.
const STILL_TIME: Duration = Duration::from_millis(600);
/// Delay before a new order to an engine that refused one or did not reply.
const ORDER_PAUSE: Duration = Duration::from_millis(700);
/// Factor on the loading time of a single engine after which an order counts as lost.
const LOAD_FACTOR: u32 = 3;
/// Minimum time before an accepted order counts as lost; registrations are up to a second late.
const LOAD_FLOOR: Duration = Duration::from_secs(4);

/// Order that was sent and is not yet confirmed by the engine's registration.
#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    range: LayerRange,
    until: Instant,
}

#[derive(Debug)]
struct KeeperState {
    lease: LeaseMachine,
    open: HashMap<EndpointId, OpenOrder>,
    paused: HashMap<EndpointId, Instant>,
    /// Start time of each engine's process and the number of orders that it has started.
    counts: HashMap<EndpointId, (u64, u64)>,
    /// Fencing number that an engine rejected as outdated.
    fenced: Option<FencingNumber>,
    still: Option<(usize, Instant)>,
    was_holder: bool,
    plans: HashMap<ServiceId, PlanCache>,
}

/// Contends for the lease and, while holding it, sends orders to reach the planned layout.
///
/// Clones share their state.
#[derive(Debug)]
pub struct LayoutKeeper<Time, Dialect, Store> {
    context: RelayContext<Time, Dialect>,
    store: Store,
    state: Rc<RefCell<KeeperState>>,
}

impl<Time, Dialect, Store> Clone for LayoutKeeper<Time, Dialect, Store>
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

impl<Time, Dialect, Store> LayoutKeeper<Time, Dialect, Store>
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
        let state = KeeperState {
            lease: LeaseMachine::new(lease)?,
            open: HashMap::new(),
            paused: HashMap::new(),
            counts: HashMap::new(),
            fenced: None,
            still: None,
            was_holder: false,
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
        let mut next_look = self.context.now();
        while !self.context.is_stopping() {
            let now = self.context.now();
            if self.fence().is_some() || self.is_contender() || now >= next_look {
                self.drive_lease(LeaseEvent::Tick);
                next_look = now + self.context.jitter(OUTSIDER_INTERVAL);
            }
            self.note_holder();
            self.keep();
            actix_rt::time::sleep(TICK).await;
        }
        self.drive_lease(LeaseEvent::Release);
    }

    /// Returns whether this instance is one of those that poll the lease continuously.
    fn is_contender(&self) -> bool {
        let peers = self.context.peers();
        let mut names: Vec<&InstanceId> = peers.iter().map(|peer| &peer.id).collect();
        for _ in 0..CONTENDERS {
            match preferred(CONTENDER_KEY, &names, Xxh3::new) {
                None => return true,
                Some(index) if *names[index] == self.context.settings().instance.id => return true,
                Some(index) => {
                    names.swap_remove(index);
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
        let keeper = self.clone();
        actix_rt::spawn(async move {
            let event = match action {
                LeaseAction::Get(name) => LeaseEvent::Read(keeper.store.get(&name).await),
                LeaseAction::Put {
                    name,
                    condition,
                    body,
                } => LeaseEvent::Written(keeper.store.put(&name, condition, body).await),
            };
            keeper.drive_lease(event);
        });
    }

    fn note_holder(&self) {
        let fence = self.fence();
        let mut state = self.state.borrow_mut();
        if state.was_holder != fence.is_some() {
            state.was_holder = fence.is_some();
            state.open.clear();
            state.paused.clear();
            tracing::info!(fence, held = fence.is_some(), "layout lease");
        }
    }

    /// Returns the fencing number of the lease while this instance holds it.
    fn fence(&self) -> Option<FencingNumber> {
        let time = LeaseTime::of(self.context.clock());
        let mut state = self.state.borrow_mut();
        let fence = state.lease.fence(time)?;
        let is_refused = state.fenced.is_some_and(|refused| fence <= refused);
        (!is_refused).then_some(fence)
    }

    fn keep(&self) {
        let Some(fence) = self.fence() else {
            return;
        };
        let Some(table) = self.context.table() else {
            return;
        };
        for rule in table.services() {
            if let Some(profile) = &rule.engine {
                self.keep_service(&rule.id, profile, fence);
            }
        }
    }

    fn keep_service(&self, service: &ServiceId, profile: &EngineProfile, fence: FencingNumber) {
        let now = self.context.now();
        let engines = self.engines(service, now);
        let held = engines
            .iter()
            .filter(|engine| engine.held.is_some())
            .count();
        if !self.is_still(engines.len(), now) && held == 0 {
            return;
        }
        let moves = {
            let mut state = self.state.borrow_mut();
            let plans = state.plans.entry(ServiceId::clone(service)).or_default();
            plans.plan(self.context.planner(), profile, engines)
        };
        for step in moves {
            let state = self.state.borrow();
            let is_paused = state
                .paused
                .get(&step.engine)
                .is_some_and(|until| now < *until);
            let loads = state.open.len();
            drop(state);
            if is_paused || (held > 0 && loads >= profile.parallel_loads as usize) {
                continue;
            }
            self.start(step, profile, fence, now);
        }
    }

    /// Returns the engines of a service with the layers that they hold or were ordered to hold.
    fn engines(&self, service: &str, now: Instant) -> Vec<EngineState> {
        let fleet = self.context.fleet().borrow();
        let mut engines = fleet.engine_states(service);
        let mut state = self.state.borrow_mut();
        state.open.retain(|_, order| now < order.until);
        let open = &mut state.open;
        engines.retain(|engine| fleet.is_sound(&engine.id) || open.contains_key(&engine.id));
        for engine in &mut engines {
            match open.get(&engine.id) {
                Some(order) if engine.held == Some(order.range) => {
                    open.remove(&engine.id);
                }
                Some(order) => engine.held = Some(order.range),
                None => {}
            }
        }
        engines
    }

    fn is_still(&self, count: usize, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        match state.still {
            Some((known, since)) if known == count => {
                now.saturating_duration_since(since) >= STILL_TIME
            }
            _ => {
                state.still = Some((count, now));
                false
            }
        }
    }

    fn start(&self, step: LayoutMove, profile: &EngineProfile, fence: FencingNumber, now: Instant) {
        let fleet = self.context.fleet().borrow();
        let Some(record) = fleet.record(&step.engine) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let known = state.counts.get(&step.engine);
        let known = known.filter(|(start, _)| *start == record.start_ms);
        let is_unknown = known.is_none() && record.layers.is_some_and(|layers| !layers.is_empty());
        let order = LayerOrder {
            address: record.address,
            engine: EndpointId::clone(&step.engine),
            range: step.range,
            order_count: known.map_or(0, |(_, count)| *count),
            start_ms: record.start_ms,
            fence,
        };
        let load = profile.loading_time(step.range.len()) * LOAD_FACTOR;
        let open = OpenOrder {
            range: step.range,
            until: now + load.max(LOAD_FLOOR),
        };
        state.open.insert(step.engine, open);
        drop(state);
        let keeper = self.clone();
        actix_rt::spawn(async move { keeper.send(order, is_unknown).await });
    }

    /// Sends an order; first asks for the order count if it is unknown and the engine may have had
    /// orders before.
    async fn send(&self, mut order: LayerOrder, is_unknown: bool) {
        if is_unknown {
            self.refresh(&order).await;
            let state = self.state.borrow();
            let known = state.counts.get(&order.engine);
            order.order_count = known.map_or(0, |(_, count)| *count);
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
            fence = order.fence,
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
        if self.settle(&order, reply.ok()) {
            self.refresh(&order).await;
        }
    }

    /// Records the reply to an order; returns `true` if the engine's order count is in doubt.
    ///
    /// An order without a reply may have been started, or may start later.
    fn settle(&self, order: &LayerOrder, reply: Option<OrderReply>) -> bool {
        let until = self.context.now() + ORDER_PAUSE;
        let engine = EndpointId::clone(&order.engine);
        let mut state = self.state.borrow_mut();
        match reply {
            Some(OrderReply::Begun) => {
                let count = (order.start_ms, order.order_count + 1);
                state.counts.insert(engine, count);
                false
            }
            Some(OrderReply::Done) => false,
            Some(OrderReply::Fenced) => {
                state.fenced = Some(order.fence);
                state.open.remove(&engine);
                false
            }
            Some(OrderReply::Conflict | OrderReply::Refused) | None => {
                state.open.remove(&engine);
                state.paused.insert(engine, until);
                true
            }
        }
    }

    /// Asks an engine how many orders it has started.
    async fn refresh(&self, order: &LayerOrder) {
        match ask(&self.context, &order.engine, order.address).await {
            Ok(report) => {
                let mut state = self.state.borrow_mut();
                state.counts.insert(
                    EndpointId::clone(&order.engine),
                    (order.start_ms, report.order_count),
                );
            }
            Err(error) => {
                tracing::info!(engine = %order.engine, %error, "engine does not report");
            }
        }
    }
}
