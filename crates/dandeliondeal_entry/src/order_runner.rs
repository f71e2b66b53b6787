//! Runs the decisions about leases and orders against the platform and the engines.

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

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Instances that contend for the lease; more would only read the platform.
const CONTENDERS: usize = 3;
/// What the contenders are chosen by.
const CONTENDER_KEY: &str = "orders";

/// Contends for the lease of orders and, while it holds it, brings engines to what the sheet says.
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
    /// A runner that does nothing until it is ticked.
    ///
    /// # Errors
    ///
    /// A chart file is not sound.
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

    /// Ticks from now on.
    pub fn start(&self) -> JoinHandle<()> {
        let runner = self.clone();
        actix_rt::spawn(async move {
            loop {
                runner.tick();
                actix_rt::time::sleep(TICK).await;
            }
        })
    }

    /// Does what is due.
    pub fn tick(&self) {
        if self.is_holder() || self.is_contender() {
            self.lease_event(LeaseEvent::Tick);
        }
        self.take_sheet();
        self.order_event(OrderEvent::Tick);
    }

    /// Whether this instance holds the lease now.
    pub fn is_holder(&self) -> bool {
        self.term().is_some()
    }

    /// Number of engines that are not known to be as desired.
    pub fn unsettled(&self) -> usize {
        self.state.borrow().reconciler.unsettled()
    }

    /// Gives the lease back.
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
            tracing::warn!(%error, "lease not given back; it ends with its term");
        }
    }

    fn is_contender(&self) -> bool {
        let own = &self.context.settings().instance.id;
        let route = self.context.claims().route();
        route.is_among(CONTENDER_KEY, own, CONTENDERS)
    }

    /// The lease as checked at this moment.
    fn term(&self) -> Option<OrderTerm> {
        let time = LeaseTime::of(self.context.clock());
        let mut state = self.state.borrow_mut();
        let fence = state.lease.fence(time)?;
        let number = state.lease.terms();
        Some(OrderTerm { fence, number })
    }

    fn lease_event(&self, event: LeaseEvent) {
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
            runner.lease_event(event);
        });
    }

    /// Tells the reconciler of a new sheet.
    fn take_sheet(&self) {
        let table = self.context.table().current();
        let revision = Some(table.sheet.revision);
        if self.state.borrow().revision == revision {
            return;
        }
        self.state.borrow_mut().revision = revision;
        self.order_event(OrderEvent::Desired(desired_states(&table.sheet)));
    }

    fn order_event(&self, event: OrderEvent) {
        let term = self.term();
        let now = self.context.clock().now();
        let result = self.state.borrow_mut().reconciler.handle(event, term, now);
        match result {
            Ok(actions) => {
                for action in actions {
                    self.perform(action);
                }
            }
            Err(error) => tracing::error!(%error, "order event refused"),
        }
    }

    fn perform(&self, action: OrderAction) {
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
                    // The lease is checked again just before the order leaves.
                    let answer = match (runner.term(), runner.address(&endpoint)) {
                        (Some(term), Some(address)) => {
                            order.fencing_number = term.fence;
                            tracing::info!(endpoint = &*endpoint, fence = term.fence, "order");
                            send_order(runner.context.pool(), address, &order).await
                        }
                        _ => OrderAnswer::Refused,
                    };
                    OrderEvent::Answered(endpoint, answer)
                }
            };
            runner.order_event(event);
        });
    }

    fn address(&self, endpoint: &EndpointId) -> Option<std::net::SocketAddr> {
        let table = self.context.table().current();
        let entry = table.sheet.endpoints.get(endpoint)?;
        Some(entry.address)
    }
}
