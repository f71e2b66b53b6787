//! Admission control: a request is rejected only before its first dispatch.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_limit::admission_queue::TicketId;
use dandeliondeal_limit::{
    AdmissionAction, AdmissionQueue, AdmissionSettings, QueuedRequest, RefusalReason,
};
use dandeliondeal_types::{Clock, ErrorKind, OrganisationId, RequestStep, RouteError, SheetModel};
use tokio::sync::oneshot;

use crate::admission_capacity::{AdmissionCapacity, AdmissionTarget};
use crate::organisation_limits::OrganisationLimits;

/// Receives the admission decision for a waiting request.
type DecisionReceiver = oneshot::Receiver<Result<(), RouteError>>;

/// Properties of a request that admission needs.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Target that has to have a free slot.
    pub target: AdmissionTarget,
    /// Expected cost in tokens; 0 for a call to a plain service.
    pub tokens: u64,
    /// Priority; 0 is the lowest.
    pub priority: u8,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Limits on the running and waiting requests of one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionBounds {
    /// Maximum number of requests of one organisation in flight, including waiting ones.
    pub organisation_requests: u64,
    /// Maximum number of requests that wait for one target.
    pub queued_requests: usize,
}

/// Admits requests within the limits of their organisations and the free slots of their targets.
#[derive(Clone, Debug)]
pub struct AdmissionController<ClockSource> {
    state: Rc<RefCell<ControllerState>>,
    clock: ClockSource,
}

/// Occupies the slot of a request until dropped.
#[derive(Debug)]
pub struct AdmissionPermit<ClockSource>
where
    ClockSource: Clock,
{
    controller: AdmissionController<ClockSource>,
    ticket: RequestTicket,
}

#[derive(Debug)]
struct ControllerState {
    bounds: AdmissionBounds,
    capacity: AdmissionCapacity,
    limits: OrganisationLimits,
    queues: HashMap<AdmissionTarget, AdmissionQueue>,
    waiters: HashMap<TicketId, oneshot::Sender<Result<(), RouteError>>>,
    next_ticket: TicketId,
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
struct RequestTicket {
    id: TicketId,
    organisation: OrganisationId,
    target: AdmissionTarget,
}

impl<ClockSource> AdmissionController<ClockSource>
where
    ClockSource: Clock,
{
    /// Creates a controller without a sheet.
    pub fn new(bounds: AdmissionBounds, clock: ClockSource) -> Self {
        Self {
            state: Rc::new(RefCell::new(ControllerState {
                bounds,
                capacity: AdmissionCapacity::default(),
                limits: OrganisationLimits::new(bounds.organisation_requests),
                queues: HashMap::new(),
                waiters: HashMap::new(),
                next_ticket: 0,
            })),
            clock,
        }
    }

    /// Applies the capacity, weights and limits of a sheet that `instances` entry instances share.
    pub fn install(&self, sheet: &SheetModel, instances: u32) {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        state.capacity = AdmissionCapacity::new(sheet, instances);
        state.limits.install(sheet, instances, now);
        let mut actions = Vec::new();
        for (target, queue) in &mut state.queues {
            actions.extend(queue.set_max_running(state.capacity.slots(target), now));
        }
        state.apply(actions);
    }

    /// Waits for a free slot.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Limited`] or [`ErrorKind::Overloaded`] with a retry delay. No part of
    /// the request has run.
    pub async fn admit(
        &self,
        request: AdmissionRequest,
    ) -> Result<AdmissionPermit<ClockSource>, RouteError> {
        let deadline = request.deadline;
        let (permit, receiver) = self.enqueue(&request)?;
        let remaining = deadline.saturating_duration_since(self.clock.now());
        match actix_rt::time::timeout(remaining, receiver).await {
            Ok(Ok(result)) => result.map(|()| permit),
            Ok(Err(_)) | Err(_) => Err(admission_error(
                ErrorKind::Overloaded,
                "no place became free before the deadline",
                remaining,
            )),
        }
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        let state = self.state.borrow();
        state.queues.values().map(AdmissionQueue::waiting).sum()
    }

    fn enqueue(
        &self,
        request: &AdmissionRequest,
    ) -> Result<(AdmissionPermit<ClockSource>, DecisionReceiver), RouteError> {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let state = &mut *self.state.borrow_mut();
        let organisation = &request.organisation;
        state
            .limits
            .admit(organisation, request.tokens, now)
            .map_err(|wait| {
                admission_error(ErrorKind::Limited, "a limit of the organisation", wait)
            })?;
        state.next_ticket += 1;
        let ticket = RequestTicket {
            id: state.next_ticket,
            organisation: Arc::clone(organisation),
            target: request.target.clone(),
        };
        state.waiters.insert(ticket.id, sender);
        state.enqueue(&ticket, request, now);
        let permit = AdmissionPermit {
            controller: self.clone(),
            ticket,
        };
        Ok((permit, receiver))
    }
}

impl ControllerState {
    fn enqueue(&mut self, ticket: &RequestTicket, request: &AdmissionRequest, now: Instant) {
        let queued = QueuedRequest {
            organisation: Arc::clone(&ticket.organisation),
            weight: self.capacity.weight(&ticket.organisation),
            cost: request.tokens.max(1) as f64,
            priority: request.priority,
            deadline: request.deadline,
        };
        let settings = AdmissionSettings {
            max_running: self.capacity.slots(&ticket.target),
            max_organisation_waiting: self.bounds.queued_requests,
            max_waiting: self.bounds.queued_requests,
        };
        let queue = self
            .queues
            .entry(ticket.target.clone())
            .or_insert_with(|| AdmissionQueue::new(settings, now));
        let actions = queue.submit(ticket.id, queued, now);
        self.apply(actions);
    }

    /// Frees the slot of a request, or removes the request from the queue if it still waits.
    fn release(&mut self, ticket: &RequestTicket, now: Instant) {
        self.waiters.remove(&ticket.id);
        self.limits.release(&ticket.organisation);
        let Some(queue) = self.queues.get_mut(&ticket.target) else {
            return;
        };
        queue.cancel(&ticket.organisation, ticket.id);
        let actions = queue.finish(ticket.id, None, now);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (ticket, result) = match action {
                AdmissionAction::Dispatch(ticket) => (ticket, Ok(())),
                AdmissionAction::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => (ticket, Err(rejection_error(reason, retry_after))),
            };
            if let Some(sender) = self.waiters.remove(&ticket) {
                // If the receiver is gone, dropping its permit frees the slot.
                drop(sender.send(result));
            }
        }
    }
}

impl<ClockSource> Drop for AdmissionPermit<ClockSource>
where
    ClockSource: Clock,
{
    fn drop(&mut self) {
        let now = self.controller.clock.now();
        self.controller
            .state
            .borrow_mut()
            .release(&self.ticket, now);
    }
}

fn rejection_error(reason: RefusalReason, wait: Duration) -> RouteError {
    let message = match reason {
        RefusalReason::DeadlineMissed => "the deadline would pass before a place is free",
        RefusalReason::QueueFull => "too many requests wait",
    };
    admission_error(ErrorKind::Overloaded, message, wait)
}

fn admission_error(kind: ErrorKind, message: &str, wait: Duration) -> RouteError {
    RouteError::new(kind, RequestStep::Admission, message).retry_after(wait)
}
