//! Carries out the actions of the lease and order state machines: platform and engine calls.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_chart::ChartError;
use dandeliondeal_order::{
    OrderAction, OrderAnswer, OrderEvent, OrderReconciler, OrderSettings, OrderTerm, desired_states,
};
use dandeliondeal_store::{
    CallClass, LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime, PlatformClient,
};
use dandeliondeal_types::{Clock, EndpointId, ObjectStore, Revision};
use tokio::task::JoinHandle;

use crate::entry_context::EntryContext;
use crate::order_call::{read_content, send_order};

/// Time between ticks of the lease and the reconciler.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of instances that contend for the lease; more would only add platform reads.
const MAX_CONTENDERS: usize = 3;
/// Key by which the contending instances are selected.
const CONTENDER_KEY: &str = "orders";

/// Contends for the order lease and, while holding it, brings engines to the state in the sheet.
///
/// Clones share their state.
#[derive(Debug)]
pub struct OrderRunner<ClockSource> {
    context: EntryContext<ClockSource>,
    platform: PlatformClient<ClockSource>,
    state: Rc<RefCell<RunnerState>>,
}

#[derive(Debug)]
struct RunnerState {
    lease: LeaseMachine,
    reconciler: OrderReconciler,
    revision: Option<Revision>,
}

impl<ClockSource> Clone for OrderRunner<ClockSource>
where
    ClockSource: Clock,
{
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            platform: self.platform.clone(),
            state: Rc::clone(&self.state),
        }
    }
}

impl<ClockSource> OrderRunner<ClockSource>
where
    ClockSource: Clock,
{
    /// Creates a runner that does nothing until it is ticked.
    ///
    /// # Errors
    ///
    /// Returns an error if a chart is invalid.
    pub fn new(
        context: EntryContext<ClockSource>,
        lease: LeaseSettings,
        orders: OrderSettings,
    ) -> Result<Self, ChartError> {
        let lease = LeaseSettings {
            instance: Arc::clone(&context.settings().instance.id),
            incarnation: context.incarnation(),
            ..lease
        };
        let state = RunnerState {
            lease: LeaseMachine::new(lease)?,
            reconciler: OrderReconciler::new(orders),
            revision: None,
        };
        Ok(Self {
            platform: context.platform().with_class(CallClass::Leases),
            context,
            state: Rc::new(RefCell::new(state)),
        })
    }

    /// Spawns a task that ticks the runner.
    pub fn start(&self) -> JoinHandle<()> {
        let runner = self.clone();
        actix_rt::spawn(async move {
            loop {
                runner.tick();
                actix_rt::time::sleep(TICK_INTERVAL).await;
            }
        })
    }

    /// Performs the lease and order actions that are due.
    pub fn tick(&self) {
        if self.is_holder() || self.is_contender() {
            self.apply_lease(LeaseEvent::Tick);
        }
        self.update_desired();
        self.apply_order(OrderEvent::Tick);
    }

    /// Returns whether this instance holds the lease now.
    pub fn is_holder(&self) -> bool {
        self.term().is_some()
    }

    /// Returns the number of engines that are not confirmed to be in their desired state.
    pub fn unconfirmed_count(&self) -> usize {
        self.state.borrow().reconciler.unconfirmed_count()
    }

    /// Releases the lease.
    pub async fn stop(&self) {
        let time = LeaseTime::of(self.context.clock());
        let action = {
            let mut state = self.state.borrow_mut();
            state.lease.handle(LeaseEvent::Release, time)
        };
        if let Some(LeaseAction::Put {
            name,
            condition,
            body,
        }) = action
            && let Err(error) = self.platform.put(&name, condition, body).await
        {
            tracing::warn!(%error, "lease could not be released; it ends with its term");
        }
    }

    fn is_contender(&self) -> bool {
        let own = &self.context.settings().instance.id;
        let route = self.context.claims().route();
        route.is_among_preferred(CONTENDER_KEY, own, MAX_CONTENDERS)
    }

    /// Returns the lease term after checking that it is still valid.
    fn term(&self) -> Option<OrderTerm> {
        let time = LeaseTime::of(self.context.clock());
        let mut state = self.state.borrow_mut();
        let fencing_number = state.lease.fencing_number(time)?;
        let number = state.lease.term_count();
        Some(OrderTerm {
            fencing_number,
            number,
        })
    }

    fn apply_lease(&self, event: LeaseEvent) {
        let time = LeaseTime::of(self.context.clock());
        let action = self.state.borrow_mut().lease.handle(event, time);
        let Some(action) = action else {
            return;
        };
        let runner = self.clone();
        actix_rt::spawn(async move {
            let event = match action {
                LeaseAction::Get(name) => LeaseEvent::Read(runner.platform.get(&name).await),
                LeaseAction::Put {
                    name,
                    condition,
                    body,
                } => LeaseEvent::Written(runner.platform.put(&name, condition, body).await),
            };
            runner.apply_lease(event);
        });
    }

    /// Passes the desired states of a new sheet to the reconciler.
    fn update_desired(&self) {
        let table = self.context.table().current();
        let revision = Some(table.sheet.revision);
        if self.state.borrow().revision == revision {
            return;
        }
        self.state.borrow_mut().revision = revision;
        self.apply_order(OrderEvent::Desired(desired_states(&table.sheet)));
    }

    fn apply_order(&self, event: OrderEvent) {
        let term = self.term();
        let now = self.context.clock().now();
        let result = self.state.borrow_mut().reconciler.handle(event, term, now);
        match result {
            Ok(actions) => {
                for action in actions {
                    self.perform_action(action);
                }
            }
            Err(error) => tracing::error!(%error, "chart refused order event"),
        }
    }

    fn perform_action(&self, action: OrderAction) {
        let runner = self.clone();
        actix_rt::spawn(async move {
            let event = match action {
                OrderAction::Read(endpoint) => {
                    let content = match runner.address(&endpoint) {
                        Some(address) => read_content(runner.context.pool(), address).await,
                        None => None,
                    };
                    OrderEvent::Read(endpoint, content)
                }
                OrderAction::Send(endpoint, mut order) => {
                    // The lease is checked again immediately before the order is sent.
                    let answer = match (runner.term(), runner.address(&endpoint)) {
                        (Some(term), Some(address)) => {
                            order.fencing_number = term.fencing_number;
                            tracing::info!(
                                endpoint = &*endpoint,
                                fence = term.fencing_number,
                                "order"
                            );
                            send_order(runner.context.pool(), address, &order).await
                        }
                        _ => OrderAnswer::Refused,
                    };
                    OrderEvent::Answered(endpoint, answer)
                }
            };
            runner.apply_order(event);
        });
    }

    fn address(&self, endpoint: &EndpointId) -> Option<std::net::SocketAddr> {
        let table = self.context.table().current();
        let entry = table.sheet.endpoints.get(endpoint)?;
        Some(entry.address)
    }
}
