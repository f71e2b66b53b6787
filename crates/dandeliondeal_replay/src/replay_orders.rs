//! Orders that the lease holder sends to engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_order::{
    DesiredState, EndpointOrder, EngineContent, OrderAction, OrderAnswer, OrderEvent, OrderTerm,
};
use dandeliondeal_store::LeaseTime;
use dandeliondeal_types::{EndpointId, InstanceId};

use crate::replay_engine::{ReplayEngine, consume_fault};
use crate::replay_simulation::{ReplaySimulation, SimulationTask};
use crate::{ReplayMismatch, TraceError};

/// Time after which an order whose answer was lost counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl ReplaySimulation {
    /// Sets the version of the weights that an engine is to have.
    pub(crate) fn set_desired_state(
        &mut self,
        line: usize,
        endpoint: &EndpointId,
        version: &Arc<str>,
    ) -> Result<(), TraceError> {
        let (model, layers) = (Arc::clone(&self.settings.model), self.settings.layers);
        let engine = self.engine(line, endpoint)?;
        let state = DesiredState {
            content: EngineContent {
                model,
                version: Arc::clone(version),
                start: engine.range.start,
                end: engine.range.end,
            },
            layers,
            checks_fencing: engine.checks_fencing(),
        };
        self.desired_states.insert(Arc::clone(endpoint), state);
        Ok(())
    }

    /// Compares the desired states with the actual ones if the instance holds the lease.
    pub(crate) fn reconcile_orders(&mut self, id: &InstanceId, process: u32) {
        let desired: BTreeMap<_, _> = self.desired_states.clone();
        self.handle_order_event(id, process, OrderEvent::Desired(desired));
    }

    /// Passes an event to the order reconciler of an instance.
    pub(crate) fn handle_order_event(&mut self, id: &InstanceId, process: u32, event: OrderEvent) {
        let (time, now) = (LeaseTime::of(self.clock()), self.now());
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let term = instance.order_term(time);
        let Ok(actions) = instance.reconciler.handle(event, term, now) else {
            self.observed_violations.push(ReplayMismatch {
                line: 0,
                expected: "only events that the order chart allows".into(),
                found: format!("one that it refuses, at {id}").into(),
            });
            return;
        };
        for action in actions {
            let (OrderAction::Read(endpoint) | OrderAction::Send(endpoint, _)) = &action;
            let delay = self
                .engines
                .get(endpoint)
                .map(|engine| engine.faults.added_latency);
            let delay = delay.unwrap_or_default() + self.link_delay();
            let task = SimulationTask::OrderCall(Arc::clone(id), process, action);
            self.schedule(delay, task);
        }
    }

    /// Executes a read or an order that has arrived at an engine.
    pub(crate) fn handle_order_call(&mut self, id: &InstanceId, process: u32, action: OrderAction) {
        let (event, delay) = match action {
            OrderAction::Read(endpoint) => {
                let engine = self
                    .engines
                    .get(&endpoint)
                    .filter(|engine| !engine.is_killed);
                let content = engine.and_then(ReplayEngine::loaded_content);
                (OrderEvent::Read(endpoint, content), self.link_delay())
            }
            OrderAction::Send(endpoint, order) => {
                let answer = self.apply_order(&endpoint, &order);
                let delay = if answer == OrderAnswer::Lost {
                    ANSWER_TIMEOUT
                } else {
                    self.link_delay()
                };
                (OrderEvent::Answered(endpoint, answer), delay)
            }
        };
        self.schedule(
            delay,
            SimulationTask::OrderEvent(Arc::clone(id), process, event),
        );
    }

    /// Applies an order at an engine, and checks that applied fencing numbers never decrease.
    fn apply_order(&mut self, endpoint: &EndpointId, order: &EndpointOrder) -> OrderAnswer {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return OrderAnswer::Lost;
        };
        if engine.is_killed || !engine.apply_order(order) {
            return OrderAnswer::Refused;
        }
        let highest = engine.highest_order;
        if order.fencing_number < highest {
            self.observed_violations.push(ReplayMismatch {
                line: 0,
                expected: format!("no order at {endpoint} below {highest}").into(),
                found: order.fencing_number.to_string().into(),
            });
        }
        engine.highest_order = highest.max(order.fencing_number);
        if consume_fault(&mut engine.faults.lose_answers) {
            return OrderAnswer::Lost;
        }
        OrderAnswer::Applied
    }
}

impl crate::replay_instance::ReplayInstance {
    /// Returns the current lease term.
    ///
    /// A new term starts if the lease was not held at the previous check.
    fn order_term(&mut self, time: LeaseTime) -> Option<OrderTerm> {
        let Some(fencing_number) = self.lease.fencing_number(time) else {
            self.was_lease_held = false;
            return None;
        };
        if !std::mem::replace(&mut self.was_lease_held, true) {
            self.lease_terms += 1;
        }
        Some(OrderTerm {
            fencing_number,
            number: self.lease_terms,
        })
    }
}
