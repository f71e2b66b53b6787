//! Weighted fair queueing of requests over organisations, with deadlines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::OrganisationId;

use crate::drain_rate::DrainRate;
use crate::organisation_queue::OrganisationQueue;

/// Names one request at the queue.
pub type TicketId = u64;

/// Shortest wait that a refused caller is told.
const LEAST_RETRY: Duration = Duration::from_secs(1);
/// Weight of the newest request in the measured time of a request.
const SERVICE_WEIGHT: f64 = 0.1;

/// Mean deviations of the measured time that a request's deadline must leave room for.
const DEVIATIONS: f64 = 3.0;

/// Settings of an admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that run at once.
    pub places: u32,
    /// Requests of one organisation that wait at once.
    pub organisation_waiting: usize,
    /// Requests that wait at once, of all organisations.
    pub waiting: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            places: 64,
            organisation_waiting: 128,
            waiting: 1024,
        }
    }
}

/// What the queue has to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Who asks.
    pub organisation: OrganisationId,
    /// Share of the organisation beside others, at least 1.
    pub weight: u32,
    /// Expected cost, in tokens or calls.
    pub cost: f64,
    /// Priority among the requests of the organisation, 0 the lowest.
    pub priority: u8,
    /// When the caller's wait is over.
    pub deadline: Instant,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Its turn would come too late.
    DeadlineMissed,
    /// Too many requests wait.
    QueueFull,
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Dispatch the request.
    Dispatch(TicketId),
    /// Refuse the request: nothing of it ran.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// A request that runs.
#[derive(Clone, Debug)]
struct RunningRequest {
    organisation: OrganisationId,
    weight: u32,
    cost: f64,
    started: Instant,
}

/// Shares the places of one instance among organisations.
///
/// Each organisation that waits gets places in proportion to its weight, counted in cost, so that
/// the burst of one leaves the wait of the others alone. A request that would miss its deadline
/// is refused when it arrives; none is dispatched after its deadline.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    queues: HashMap<OrganisationId, OrganisationQueue>,
    running: HashMap<TicketId, RunningRequest>,
    virtual_time: f64,
    waiting: usize,
    drain: DrainRate,
    service_seconds: f64,
    service_deviation: f64,
}

impl AdmissionQueue {
    /// Makes an empty queue.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        Self {
            settings,
            queues: HashMap::new(),
            running: HashMap::new(),
            virtual_time: 0.0,
            waiting: 0,
            drain: DrainRate::new(now),
            service_seconds: 0.0,
            service_deviation: 0.0,
        }
    }

    /// Changes the number of places; what runs beyond them runs on.
    pub fn set_places(&mut self, places: u32, now: Instant) -> Vec<AdmissionAction> {
        self.settings.places = places;
        self.dispatch(now)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes in a request under a new ticket.
    pub fn arrive(
        &mut self,
        ticket: TicketId,
        request: QueuedRequest,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        if self.waiting == 0 && self.has_place() && request.deadline > now {
            // What runs at once also keeps the measured times true after a slow spell.
            if self.running.is_empty() {
                self.drain.skip(now);
            }
            self.push(ticket, request);
            return self.dispatch(now);
        }
        let wait = self.predicted_wait(&request);
        if now + wait + self.usual_service(DEVIATIONS) > request.deadline {
            return vec![refusal(ticket, RefusalReason::DeadlineMissed, wait)];
        }
        let own = self.queues.get(&request.organisation);
        if own.map_or(0, OrganisationQueue::len) >= self.settings.organisation_waiting {
            return vec![refusal(ticket, RefusalReason::QueueFull, wait)];
        }
        self.push(ticket, request);
        let mut actions = Vec::new();
        if self.waiting > self.settings.waiting {
            actions.extend(self.push_out(wait));
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Notes that a dispatched request ended at `cost`, where it is known.
    pub fn finish(
        &mut self,
        ticket: TicketId,
        cost: Option<f64>,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        let Some(run) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        let actual = cost.unwrap_or(run.cost);
        self.drain.finished(actual, now);
        let elapsed = now.saturating_duration_since(run.started).as_secs_f64();
        let is_first = self.service_seconds == 0.0;
        let weight = if is_first { 1.0 } else { SERVICE_WEIGHT };
        let error = elapsed - self.service_seconds;
        self.service_seconds += error * weight;
        self.service_deviation += (error.abs() - self.service_deviation) * SERVICE_WEIGHT;
        if let Some(queue) = self.queues.get_mut(&run.organisation) {
            queue.running -= 1;
            queue.start += (actual - run.cost) / f64::from(run.weight.max(1));
        }
        self.forget_idle(&run.organisation);
        self.dispatch(now)
    }

    /// Takes out a request whose caller left while it waited.
    pub fn cancel(&mut self, organisation: &OrganisationId, ticket: TicketId) {
        if let Some(queue) = self.queues.get_mut(organisation)
            && queue.remove(ticket).is_some()
        {
            self.waiting -= 1;
            self.forget_idle(organisation);
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for queue in self.queues.values_mut() {
            for ticket in queue.take_expired(now) {
                self.waiting -= 1;
                actions.push(refusal(ticket, RefusalReason::DeadlineMissed, LEAST_RETRY));
            }
        }
        self.queues.retain(|_, queue| !queue.is_idle());
        actions
    }

    /// Expected wait of a request that arrives now.
    ///
    /// Under fair shares an organisation waits for its own backlog at its share of the drain rate,
    /// and never longer than for the backlog of all.
    pub fn predicted_wait(&self, request: &QueuedRequest) -> Duration {
        if self.has_place() {
            return Duration::ZERO;
        }
        let Some(rate) = self.drain.per_second() else {
            return Duration::ZERO;
        };
        let all: f64 = self.queues.values().map(|queue| queue.backlog).sum();
        let own = self
            .queues
            .get(&request.organisation)
            .map_or(0.0, |queue| queue.backlog);
        let others = self
            .queues
            .iter()
            .filter(|(id, queue)| queue.len() > 0 && **id != request.organisation)
            .count();
        let fair = (own + request.cost) * (others + 1) as f64;
        Duration::from_secs_f64(fair.min(all + request.cost) / rate)
    }

    /// Time of a request, that many mean deviations above its mean.
    fn usual_service(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.service_seconds + deviations * self.service_deviation)
    }

    fn has_place(&self) -> bool {
        self.running.len() < self.settings.places as usize
    }

    fn push(&mut self, ticket: TicketId, request: QueuedRequest) {
        let queue = self
            .queues
            .entry(Arc::clone(&request.organisation))
            .or_default();
        if queue.len() == 0 {
            // An organisation that was idle gets no credit for the time it did not use.
            queue.start = queue.start.max(self.virtual_time);
        }
        queue.push(ticket, request);
        self.waiting += 1;
    }

    /// Refuses the last request of the organisation with the longest queue.
    fn push_out(&mut self, wait: Duration) -> Option<AdmissionAction> {
        let longest = self.queues.values_mut().max_by_key(|queue| queue.len())?;
        let (ticket, _) = longest.pop_last()?;
        self.waiting -= 1;
        Some(refusal(ticket, RefusalReason::QueueFull, wait))
    }

    fn dispatch(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.has_place() {
            let Some((ticket, request)) = self.pop_next() else {
                break;
            };
            let has_waited = self.waiting > 0 || !actions.is_empty();
            let service = if has_waited {
                self.usual_service(1.0)
            } else {
                Duration::ZERO
            };
            if request.deadline <= now + service {
                let wait = self.predicted_wait(&request);
                actions.push(refusal(ticket, RefusalReason::DeadlineMissed, wait));
                continue;
            }
            self.start(ticket, &request, now);
            actions.push(AdmissionAction::Dispatch(ticket));
        }
        actions
    }

    /// Takes the next request of the organisation that is furthest back in virtual time.
    fn pop_next(&mut self) -> Option<(TicketId, QueuedRequest)> {
        let (_, queue) = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| queue.len() > 0)
            .min_by(|(left_id, left), (right_id, right)| {
                let by_start = left.start.total_cmp(&right.start);
                by_start.then_with(|| left_id.cmp(right_id))
            })?;
        self.virtual_time = self.virtual_time.max(queue.start);
        self.waiting -= 1;
        queue.pop_first()
    }

    fn start(&mut self, ticket: TicketId, request: &QueuedRequest, now: Instant) {
        if let Some(queue) = self.queues.get_mut(&request.organisation) {
            queue.start += request.cost / f64::from(request.weight.max(1));
            queue.running += 1;
        }
        self.running.insert(
            ticket,
            RunningRequest {
                organisation: Arc::clone(&request.organisation),
                weight: request.weight,
                cost: request.cost,
                started: now,
            },
        );
    }

    fn forget_idle(&mut self, organisation: &OrganisationId) {
        if self
            .queues
            .get(organisation)
            .is_some_and(|queue| queue.is_idle() && queue.start <= self.virtual_time)
        {
            self.queues.remove(organisation);
        }
    }
}

fn refusal(ticket: TicketId, reason: RefusalReason, wait: Duration) -> AdmissionAction {
    AdmissionAction::Refuse {
        ticket,
        reason,
        retry_after: wait.max(LEAST_RETRY),
    }
}
