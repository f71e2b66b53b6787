//! Orders to engines under the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_order::{
    DesiredState, EndpointOrder, EngineContent, OrderAction, OrderAnswer, OrderEvent, OrderTerm,
};
use dandeliondeal_store::LeaseTime;
use dandeliondeal_types::{EndpointId, InstanceId};

use crate::replay_engine::{ReplayEngine, take_one};
use crate::replay_world::{ReplayWorld, WorldTask};
use crate::{ReplayMismatch, TraceError};

/// Time after which an order without answer counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl ReplayWorld {
    /// Asks for a version of the weights at an engine.
    pub(crate) fn desire(
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
        self.desired.insert(Arc::clone(endpoint), state);
        Ok(())
    }

    /// Lets a contender compare what is desired with what is, if it holds the lease.
    pub(crate) fn order_tick(&mut self, id: &InstanceId, process: u32) {
        let desired: BTreeMap<_, _> = self.desired.clone();
        self.order_event(id, process, OrderEvent::Desired(desired));
    }

    /// Hands an event to the orders of an instance.
    pub(crate) fn order_event(&mut self, id: &InstanceId, process: u32, event: OrderEvent) {
        let (time, now) = (LeaseTime::of(self.clock()), self.now());
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let term = instance.order_term(time);
        let Ok(actions) = instance.reconciler.handle(event, term, now) else {
            self.reverts.push(ReplayMismatch {
                line: 0,
                expected: "only events that the order chart allows".into(),
                found: format!("one that it refuses, at {id}").into(),
            });
            return;
        };
        for action in actions {
            let (OrderAction::Read(endpoint) | OrderAction::Send(endpoint, _)) = &action;
            let wait = self.engines.get(endpoint).map(|engine| engine.faults.slow);
            let wait = wait.unwrap_or_default() + self.link();
            let task = WorldTask::OrderCall(Arc::clone(id), process, action);
            self.after(wait, task);
        }
    }

    /// Carries out a read or an order that has arrived at an engine.
    pub(crate) fn order_call(&mut self, id: &InstanceId, process: u32, action: OrderAction) {
        let (event, wait) = match action {
            OrderAction::Read(endpoint) => {
                let engine = self.engines.get(&endpoint).filter(|engine| !engine.is_dead);
                let content = engine.and_then(ReplayEngine::content);
                (OrderEvent::Read(endpoint, content), self.link())
            }
            OrderAction::Send(endpoint, order) => {
                let answer = self.take_order(&endpoint, &order);
                let wait = if answer == OrderAnswer::Lost {
                    ANSWER_TIMEOUT
                } else {
                    self.link()
                };
                (OrderEvent::Answered(endpoint, answer), wait)
            }
        };
        self.after(wait, WorldTask::Order(Arc::clone(id), process, event));
    }

    /// Lets an engine take an order; what took effect never goes back to an earlier holder's.
    fn take_order(&mut self, endpoint: &EndpointId, order: &EndpointOrder) -> OrderAnswer {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return OrderAnswer::Lost;
        };
        if engine.is_dead || !engine.take_order(order) {
            return OrderAnswer::Refused;
        }
        let highest = engine.highest_order;
        if order.fencing_number < highest {
            self.reverts.push(ReplayMismatch {
                line: 0,
                expected: format!("no order at {endpoint} below {highest}").into(),
                found: order.fencing_number.to_string().into(),
            });
        }
        engine.highest_order = highest.max(order.fencing_number);
        if take_one(&mut engine.faults.lose_answers) {
            return OrderAnswer::Lost;
        }
        OrderAnswer::Applied
    }
}

impl crate::replay_instance::ReplayInstance {
    /// The term as checked now; a lease that was not held in between begins another one.
    fn order_term(&mut self, time: LeaseTime) -> Option<OrderTerm> {
        let Some(fence) = self.lease.fence(time) else {
            self.is_holding = false;
            return None;
        };
        if !std::mem::replace(&mut self.is_holding, true) {
            self.terms += 1;
        }
        Some(OrderTerm {
            fence,
            number: self.terms,
        })
    }
}
