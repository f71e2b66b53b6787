//! Admission: every refusal comes before the first dispatch.

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

use crate::admission_sites::{AdmissionSites, AdmissionTarget};
use crate::organisation_limits::OrganisationLimits;

/// Tells a waiting request whether it is admitted.
type VerdictReceiver = oneshot::Receiver<Result<(), RouteError>>;

/// What admission has to know of a request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Who asks.
    pub organisation: OrganisationId,
    /// What the request needs a place at.
    pub target: AdmissionTarget,
    /// Expected cost in tokens; 0 for a call of a plain service.
    pub tokens: u64,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// When the wait is over.
    pub deadline: Instant,
}

/// Requests that one instance lets run and wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionBounds {
    /// Requests of one organisation in flight, waiting ones included.
    pub organisation_requests: u64,
    /// Requests that wait for one target.
    pub queued_requests: usize,
}

/// Admits requests within the limits of their organisations and the places of their targets.
#[derive(Clone, Debug)]
pub struct AdmissionGate<ClockSource> {
    state: Rc<RefCell<GateState>>,
    clock: ClockSource,
}

/// Holds the place of an admitted request until it is dropped.
#[derive(Debug)]
pub struct AdmissionPermit<ClockSource>
where
    ClockSource: Clock,
{
    gate: AdmissionGate<ClockSource>,
    entry: WaitingEntry,
}

#[derive(Debug)]
struct GateState {
    bounds: AdmissionBounds,
    sites: AdmissionSites,
    limits: OrganisationLimits,
    queues: HashMap<AdmissionTarget, AdmissionQueue>,
    waiters: HashMap<TicketId, oneshot::Sender<Result<(), RouteError>>>,
    next_ticket: TicketId,
}

/// One request at the gate.
#[derive(Clone, Debug)]
struct WaitingEntry {
    ticket: TicketId,
    organisation: OrganisationId,
    target: AdmissionTarget,
}

impl<ClockSource> AdmissionGate<ClockSource>
where
    ClockSource: Clock,
{
    /// Makes a gate that knows no sheet yet.
    pub fn new(bounds: AdmissionBounds, clock: ClockSource) -> Self {
        Self {
            state: Rc::new(RefCell::new(GateState {
                bounds,
                sites: AdmissionSites::default(),
                limits: OrganisationLimits::new(bounds.organisation_requests),
                queues: HashMap::new(),
                waiters: HashMap::new(),
                next_ticket: 0,
            })),
            clock,
        }
    }

    /// Takes places, weights and limits from a sheet that `instances` entry instances share.
    pub fn install(&self, sheet: &SheetModel, instances: u32) {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        state.sites = AdmissionSites::new(sheet, instances);
        state.limits.install(sheet, instances, now);
        let mut actions = Vec::new();
        for (target, queue) in &mut state.queues {
            actions.extend(queue.set_places(state.sites.places(target), now));
        }
        state.apply(actions);
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Limited`] or [`ErrorKind::Overloaded`] with the time to come back. Nothing of
    /// the request ran.
    pub async fn admit(
        &self,
        request: AdmissionRequest,
    ) -> Result<AdmissionPermit<ClockSource>, RouteError> {
        let deadline = request.deadline;
        let (permit, received) = self.enter(&request)?;
        let left = deadline.saturating_duration_since(self.clock.now());
        match actix_rt::time::timeout(left, received).await {
            Ok(Ok(result)) => result.map(|()| permit),
            Ok(Err(_)) | Err(_) => Err(refused(
                ErrorKind::Overloaded,
                "no place became free before the deadline",
                left,
            )),
        }
    }

    /// Requests that wait at the gate.
    pub fn waiting(&self) -> usize {
        let state = self.state.borrow();
        state.queues.values().map(AdmissionQueue::waiting).sum()
    }

    fn enter(
        &self,
        request: &AdmissionRequest,
    ) -> Result<(AdmissionPermit<ClockSource>, VerdictReceiver), RouteError> {
        let now = self.clock.now();
        let (sender, received) = oneshot::channel();
        let state = &mut *self.state.borrow_mut();
        let organisation = &request.organisation;
        state
            .limits
            .enter(organisation, request.tokens, now)
            .map_err(|wait| refused(ErrorKind::Limited, "a limit of the organisation", wait))?;
        state.next_ticket += 1;
        let entry = WaitingEntry {
            ticket: state.next_ticket,
            organisation: Arc::clone(organisation),
            target: request.target.clone(),
        };
        state.waiters.insert(entry.ticket, sender);
        state.arrive(&entry, request, now);
        let permit = AdmissionPermit {
            gate: self.clone(),
            entry,
        };
        Ok((permit, received))
    }
}

impl GateState {
    fn arrive(&mut self, entry: &WaitingEntry, request: &AdmissionRequest, now: Instant) {
        let queued = QueuedRequest {
            organisation: Arc::clone(&entry.organisation),
            weight: self.sites.weight(&entry.organisation),
            cost: request.tokens.max(1) as f64,
            priority: request.priority,
            deadline: request.deadline,
        };
        let settings = AdmissionSettings {
            places: self.sites.places(&entry.target),
            organisation_waiting: self.bounds.queued_requests,
            waiting: self.bounds.queued_requests,
        };
        let queue = self
            .queues
            .entry(entry.target.clone())
            .or_insert_with(|| AdmissionQueue::new(settings, now));
        let actions = queue.arrive(entry.ticket, queued, now);
        self.apply(actions);
    }

    /// Ends a request, or takes it out of the queue if it still waits.
    fn leave(&mut self, entry: &WaitingEntry, now: Instant) {
        self.waiters.remove(&entry.ticket);
        self.limits.leave(&entry.organisation);
        let Some(queue) = self.queues.get_mut(&entry.target) else {
            return;
        };
        queue.cancel(&entry.organisation, entry.ticket);
        let actions = queue.finish(entry.ticket, None, now);
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
                } => (ticket, Err(refusal(reason, retry_after))),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A receiver that is gone gives its place back as its permit is dropped.
                drop(waiter.send(result));
            }
        }
    }
}

impl<ClockSource> Drop for AdmissionPermit<ClockSource>
where
    ClockSource: Clock,
{
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        self.gate.state.borrow_mut().leave(&self.entry, now);
    }
}

fn refusal(reason: RefusalReason, wait: Duration) -> RouteError {
    let message = match reason {
        RefusalReason::DeadlineMissed => "the deadline would pass before a place is free",
        RefusalReason::QueueFull => "too many requests wait",
    };
    refused(ErrorKind::Overloaded, message, wait)
}

fn refused(kind: ErrorKind, message: &str, wait: Duration) -> RouteError {
    RouteError::new(kind, RequestStep::Admission, message).retry_after(wait)
}
