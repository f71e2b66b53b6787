//! Decides which order goes to which endpoint, and when; sends none.
//!
//! The holder of one lease reconciles every endpoint with the sheet: it reads an endpoint, orders
//! it to be as desired if it differs, and reads it back. Each endpoint has at most one order out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::{EndpointId, FencingNumber};

use crate::endpoint_order::{DesiredState, EndpointOrder, EngineContent};
use crate::order_settings::OrderSettings;
use crate::order_state::{OrderSight, OrderState, order_chart};

/// The lease under which orders are given, as checked at this moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderTerm {
    /// Fencing number; rises with each renewal.
    pub fence: FencingNumber,
    /// Counts the terms of this process; another number means that the lease was not held, or
    /// not known to be held, in between.
    pub number: u64,
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It took effect.
    Applied,
    /// It was refused and has no effect.
    Refused,
    /// No answer came; it may take effect within its life.
    Lost,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum OrderEvent {
    /// The sheet in force asks for this.
    Desired(BTreeMap<EndpointId, DesiredState>),
    /// Answer to [`OrderAction::Read`]; `None` if none came.
    Read(EndpointId, Option<EngineContent>),
    /// Answer to [`OrderAction::Send`].
    Answered(EndpointId, OrderAnswer),
    /// Time went by, or the lease changed.
    Tick,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Read what the endpoint holds.
    Read(EndpointId),
    /// Check the lease once more, then send the order.
    Send(EndpointId, EndpointOrder),
}

#[derive(Debug)]
struct EndpointLine {
    desired: DesiredState,
    machine: ChartMachine<OrderState, OrderSight>,
    /// When the next step is due.
    due: Instant,
    /// Until when an order that was sent may take effect; `None` once it is known to be over.
    order_end: Option<Instant>,
}

impl EndpointLine {
    fn may_take_effect(&self, now: Instant) -> bool {
        self.order_end.is_some_and(|end| now < end)
    }
}

/// The orders of one process.
#[derive(Debug)]
pub struct OrderReconciler {
    settings: OrderSettings,
    lines: BTreeMap<EndpointId, EndpointLine>,
    term: Option<OrderTerm>,
    term_start: Option<Instant>,
    last_load: Option<Instant>,
}

impl OrderReconciler {
    /// A reconciler without endpoints.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            lines: BTreeMap::new(),
            term: None,
            term_start: None,
            last_load: None,
        }
    }

    /// The state of an endpoint.
    pub fn state(&self, endpoint: &EndpointId) -> Option<OrderState> {
        self.lines.get(endpoint).map(|line| line.machine.state())
    }

    /// Number of endpoints that are not known to be as desired.
    pub fn unsettled(&self) -> usize {
        let states = self.lines.values().map(|line| line.machine.state());
        states.filter(|state| *state != OrderState::Settled).count()
    }

    /// Takes an event and tells what to do; `term` is the lease as checked just now.
    ///
    /// # Errors
    ///
    /// The chart file is not sound, or an answer came that was not asked for.
    pub fn handle(
        &mut self,
        event: OrderEvent,
        term: Option<OrderTerm>,
        now: Instant,
    ) -> Result<Vec<OrderAction>, ChartError> {
        self.enter_term(term, now)?;
        match event {
            OrderEvent::Desired(states) => self.desire(states, now)?,
            OrderEvent::Read(endpoint, content) => self.read(&endpoint, content.as_ref(), now)?,
            OrderEvent::Answered(endpoint, answer) => self.answered(&endpoint, answer, now)?,
            OrderEvent::Tick => {}
        }
        match term {
            None => Ok(Vec::new()),
            Some(term) => self.next_actions(term, now),
        }
    }

    /// Forgets what was known of the endpoints when a new term begins.
    fn enter_term(&mut self, term: Option<OrderTerm>, now: Instant) -> Result<(), ChartError> {
        let before = self.term.map(|term| term.number);
        self.term = term;
        let Some(number) = term.map(|term| term.number) else {
            return Ok(());
        };
        if before == Some(number) {
            return Ok(());
        }
        self.term_start = Some(now);
        for line in self.lines.values_mut() {
            line.machine.apply(OrderSight::Reset)?;
            line.due = now;
        }
        Ok(())
    }

    fn desire(
        &mut self,
        states: BTreeMap<EndpointId, DesiredState>,
        now: Instant,
    ) -> Result<(), ChartError> {
        self.lines
            .retain(|endpoint, _line| states.contains_key(endpoint));
        for (endpoint, desired) in states {
            if let Some(line) = self.lines.get_mut(&endpoint) {
                if line.desired != desired {
                    line.desired = desired;
                    line.due = line.order_end.unwrap_or(now).max(now);
                }
                continue;
            }
            let line = EndpointLine {
                desired,
                machine: ChartMachine::new(order_chart()?),
                due: now,
                order_end: None,
            };
            self.lines.insert(endpoint, line);
        }
        Ok(())
    }

    fn read(
        &mut self,
        endpoint: &EndpointId,
        content: Option<&EngineContent>,
        now: Instant,
    ) -> Result<(), ChartError> {
        let Some(line) = self.lines.get_mut(endpoint) else {
            return Ok(());
        };
        if line.machine.state() != OrderState::Reading {
            // The answer to a read of an earlier term.
            return Ok(());
        }
        let Some(content) = content else {
            line.due = now + self.settings.retry_pause;
            line.machine.apply(OrderSight::Lose)?;
            return Ok(());
        };
        if *content == line.desired.content {
            line.order_end = None;
            line.due = now + self.settings.read_interval;
            line.machine.apply(OrderSight::Match)?;
        } else {
            // An order that may still take effect is waited for.
            line.due = line.order_end.unwrap_or(now).max(now);
            line.machine.apply(OrderSight::Differ)?;
        }
        Ok(())
    }

    fn answered(
        &mut self,
        endpoint: &EndpointId,
        answer: OrderAnswer,
        now: Instant,
    ) -> Result<(), ChartError> {
        let Some(line) = self.lines.get_mut(endpoint) else {
            return Ok(());
        };
        if answer != OrderAnswer::Lost {
            line.order_end = None;
        }
        if line.machine.state() != OrderState::Ordered {
            return Ok(());
        }
        line.due = match answer {
            OrderAnswer::Applied => now,
            OrderAnswer::Refused | OrderAnswer::Lost => now + self.settings.retry_pause,
        };
        line.machine.apply(OrderSight::Answer)?;
        Ok(())
    }

    fn next_actions(
        &mut self,
        term: OrderTerm,
        now: Instant,
    ) -> Result<Vec<OrderAction>, ChartError> {
        let mut actions = Vec::new();
        let mut reads = self.count(OrderState::Reading);
        let endpoints: Vec<EndpointId> = self
            .lines
            .iter()
            .filter(|(_endpoint, line)| line.due <= now)
            .map(|(endpoint, _line)| Arc::clone(endpoint))
            .collect();
        for endpoint in endpoints {
            match self.state(&endpoint) {
                Some(OrderState::Unknown | OrderState::Settled)
                    if reads < self.settings.reads_at_once =>
                {
                    reads += 1;
                    self.apply(&endpoint, OrderSight::Read)?;
                    actions.push(OrderAction::Read(endpoint));
                }
                Some(OrderState::Differing) => {
                    actions.extend(self.order(&endpoint, term, now)?);
                }
                _ => {}
            }
        }
        Ok(actions)
    }

    fn order(
        &mut self,
        endpoint: &EndpointId,
        term: OrderTerm,
        now: Instant,
    ) -> Result<Option<OrderAction>, ChartError> {
        let is_paced = self
            .last_load
            .is_some_and(|last| now < last + self.settings.load_interval);
        let loads = self
            .lines
            .values()
            .filter(|line| line.may_take_effect(now))
            .count();
        let grace_end = self.term_start.map(|start| start + self.settings.grace);
        let Some(line) = self.lines.get_mut(endpoint) else {
            return Ok(None);
        };
        let in_grace = grace_end.is_some_and(|end| now < end);
        if is_paced
            || loads >= self.settings.loads_at_once
            || (in_grace && !line.desired.checks_fencing)
        {
            return Ok(None);
        }
        self.last_load = Some(now);
        line.order_end = Some(now + self.settings.grace);
        line.machine.apply(OrderSight::Send)?;
        let order = EndpointOrder {
            fencing_number: term.fence,
            life_milliseconds: milliseconds(self.settings.order_life),
            layers: line.desired.layers,
            content: line.desired.content.clone(),
        };
        Ok(Some(OrderAction::Send(Arc::clone(endpoint), order)))
    }

    fn apply(&mut self, endpoint: &EndpointId, sight: OrderSight) -> Result<(), ChartError> {
        if let Some(line) = self.lines.get_mut(endpoint) {
            line.machine.apply(sight)?;
        }
        Ok(())
    }

    fn count(&self, state: OrderState) -> usize {
        let states = self.lines.values().map(|line| line.machine.state());
        states.filter(|found| *found == state).count()
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
