//! Decides which endpoint receives which order, and when. Sending is left to the caller.
//!
//! The holder of the order lease reconciles every endpoint with the sheet: it reads the endpoint,
//! sends an order if the endpoint differs from its desired state, and reads it again. Each
//! endpoint has at most one order in flight.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::{EndpointId, FencingNumber};

use crate::endpoint_order::{DesiredState, EndpointOrder, EngineContent};
use crate::order_settings::OrderSettings;
use crate::order_state::{EndpointEvent, OrderState, order_chart};

/// Lease under which orders are sent, as checked just before the current call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderTerm {
    /// Fencing number, which rises with each renewal.
    pub fencing_number: FencingNumber,
    /// Number of terms that this process has held.
    ///
    /// A changed number means that the lease was not held, or not known to be held, in between.
    pub number: u64,
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order took effect.
    Applied,
    /// The order was refused and has no effect.
    Refused,
    /// No answer arrived; the order may still take effect until its time limit has passed.
    Lost,
}

/// Input of the [`OrderReconciler`].
#[derive(Clone, Debug)]
pub enum OrderEvent {
    /// The sheet in force requires these states.
    Desired(BTreeMap<EndpointId, DesiredState>),
    /// Result of an [`OrderAction::Read`]; `None` if the endpoint did not answer.
    Read(EndpointId, Option<EngineContent>),
    /// Result of an [`OrderAction::Send`].
    Answered(EndpointId, OrderAnswer),
    /// Time has passed, or the lease has changed.
    Tick,
}

/// Action that the caller of the reconciler has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Read which layers the endpoint has loaded.
    Read(EndpointId),
    /// Check the lease again, then send the order.
    Send(EndpointId, EndpointOrder),
}

#[derive(Debug)]
struct EndpointRecord {
    desired: DesiredState,
    machine: ChartMachine<OrderState, EndpointEvent>,
    /// Earliest time of the next read or order.
    next_action: Instant,
    /// Time until which a sent order may take effect; `None` if no sent order is pending.
    order_expiry: Option<Instant>,
}

impl EndpointRecord {
    fn may_take_effect(&self, now: Instant) -> bool {
        self.order_expiry.is_some_and(|expiry| now < expiry)
    }
}

/// Decides the reads and orders of one process.
#[derive(Debug)]
pub struct OrderReconciler {
    settings: OrderSettings,
    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    term: Option<OrderTerm>,
    term_start: Option<Instant>,
    last_load_start: Option<Instant>,
}

impl OrderReconciler {
    /// Creates a reconciler without endpoints.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
            term: None,
            term_start: None,
            last_load_start: None,
        }
    }

    /// Returns the state of an endpoint, or `None` if no state is desired of it.
    pub fn state(&self, endpoint: &EndpointId) -> Option<OrderState> {
        self.endpoints
            .get(endpoint)
            .map(|record| record.machine.state())
    }

    /// Returns the number of endpoints that are not known to be in their desired state.
    pub fn unconfirmed_count(&self) -> usize {
        let states = self.endpoints.values().map(|record| record.machine.state());
        states.filter(|state| *state != OrderState::Settled).count()
    }

    /// Handles an event and returns the actions to perform.
    ///
    /// `term` is the lease as checked just before the call, or `None` if it is not held.
    ///
    /// # Errors
    ///
    /// Returns an error if the chart file is invalid, or if the chart refuses the event.
    pub fn handle(
        &mut self,
        event: OrderEvent,
        term: Option<OrderTerm>,
        now: Instant,
    ) -> Result<Vec<OrderAction>, ChartError> {
        self.enter_term(term, now)?;
        match event {
            OrderEvent::Desired(states) => self.set_desired(states, now)?,
            OrderEvent::Read(id, content) => self.handle_read(&id, content.as_ref(), now)?,
            OrderEvent::Answered(id, answer) => self.handle_answer(&id, answer, now)?,
            OrderEvent::Tick => {}
        }
        match term {
            None => Ok(Vec::new()),
            Some(term) => self.next_actions(term, now),
        }
    }

    /// Discards the known states of all endpoints when a new term begins.
    ///
    /// Another holder may have sent orders in between.
    fn enter_term(&mut self, term: Option<OrderTerm>, now: Instant) -> Result<(), ChartError> {
        let previous = self.term.map(|term| term.number);
        self.term = term;
        let Some(number) = term.map(|term| term.number) else {
            return Ok(());
        };
        if previous == Some(number) {
            return Ok(());
        }
        self.term_start = Some(now);
        for record in self.endpoints.values_mut() {
            record.machine.apply(EndpointEvent::Reset)?;
            record.next_action = now;
        }
        Ok(())
    }

    fn set_desired(
        &mut self,
        states: BTreeMap<EndpointId, DesiredState>,
        now: Instant,
    ) -> Result<(), ChartError> {
        self.endpoints
            .retain(|endpoint, _record| states.contains_key(endpoint));
        for (endpoint, desired) in states {
            if let Some(record) = self.endpoints.get_mut(&endpoint) {
                if record.desired != desired {
                    record.desired = desired;
                    record.next_action = record.order_expiry.unwrap_or(now).max(now);
                }
                continue;
            }
            let record = EndpointRecord {
                desired,
                machine: ChartMachine::new(order_chart()?),
                next_action: now,
                order_expiry: None,
            };
            self.endpoints.insert(endpoint, record);
        }
        Ok(())
    }

    fn handle_read(
        &mut self,
        endpoint: &EndpointId,
        content: Option<&EngineContent>,
        now: Instant,
    ) -> Result<(), ChartError> {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return Ok(());
        };
        if record.machine.state() != OrderState::Reading {
            // This read was sent in an earlier term.
            return Ok(());
        }
        let Some(content) = content else {
            record.next_action = now + self.settings.retry_delay;
            record.machine.apply(EndpointEvent::Unanswered)?;
            return Ok(());
        };
        if *content == record.desired.content {
            record.order_expiry = None;
            record.next_action = now + self.settings.read_interval;
            record.machine.apply(EndpointEvent::Match)?;
        } else {
            // An order that may still take effect has to end before the next one is sent.
            record.next_action = record.order_expiry.unwrap_or(now).max(now);
            record.machine.apply(EndpointEvent::Differ)?;
        }
        Ok(())
    }

    fn handle_answer(
        &mut self,
        endpoint: &EndpointId,
        answer: OrderAnswer,
        now: Instant,
    ) -> Result<(), ChartError> {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return Ok(());
        };
        if answer != OrderAnswer::Lost {
            record.order_expiry = None;
        }
        if record.machine.state() != OrderState::Ordered {
            return Ok(());
        }
        record.next_action = match answer {
            OrderAnswer::Applied => now,
            OrderAnswer::Refused | OrderAnswer::Lost => now + self.settings.retry_delay,
        };
        record.machine.apply(EndpointEvent::Answer)?;
        Ok(())
    }

    fn next_actions(
        &mut self,
        term: OrderTerm,
        now: Instant,
    ) -> Result<Vec<OrderAction>, ChartError> {
        let mut actions = Vec::new();
        let mut open_reads = self.count_in_state(OrderState::Reading);
        let due_endpoints: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_endpoint, record)| record.next_action <= now)
            .map(|(endpoint, _record)| Arc::clone(endpoint))
            .collect();
        for endpoint in due_endpoints {
            match self.state(&endpoint) {
                Some(OrderState::Unknown | OrderState::Settled)
                    if open_reads < self.settings.reads_at_once =>
                {
                    open_reads += 1;
                    self.apply_event(&endpoint, EndpointEvent::Read)?;
                    actions.push(OrderAction::Read(endpoint));
                }
                Some(OrderState::Differing) => {
                    actions.extend(self.try_order(&endpoint, term, now)?);
                }
                _ => {}
            }
        }
        Ok(actions)
    }

    fn try_order(
        &mut self,
        endpoint: &EndpointId,
        term: OrderTerm,
        now: Instant,
    ) -> Result<Option<OrderAction>, ChartError> {
        let is_rate_limited = self
            .last_load_start
            .is_some_and(|start| now < start + self.settings.load_interval);
        let open_orders = self
            .endpoints
            .values()
            .filter(|record| record.may_take_effect(now))
            .count();
        let grace_end = self.term_start.map(|start| start + self.settings.grace);
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return Ok(None);
        };
        let in_grace = grace_end.is_some_and(|end| now < end);
        if is_rate_limited
            || open_orders >= self.settings.loads_at_once
            || (in_grace && !record.desired.checks_fencing)
        {
            return Ok(None);
        }
        self.last_load_start = Some(now);
        record.order_expiry = Some(now + self.settings.grace);
        record.machine.apply(EndpointEvent::Send)?;
        let order = EndpointOrder {
            fencing_number: term.fencing_number,
            life_milliseconds: milliseconds(self.settings.order_ttl),
            layers: record.desired.layers,
            content: record.desired.content.clone(),
        };
        Ok(Some(OrderAction::Send(Arc::clone(endpoint), order)))
    }

    fn apply_event(
        &mut self,
        endpoint: &EndpointId,
        event: EndpointEvent,
    ) -> Result<(), ChartError> {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.machine.apply(event)?;
        }
        Ok(())
    }

    fn count_in_state(&self, state: OrderState) -> usize {
        let states = self.endpoints.values().map(|record| record.machine.state());
        states.filter(|other| *other == state).count()
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
