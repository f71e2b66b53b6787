//! Weighted fair queueing of requests across organisations, with deadlines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::OrganisationId;

use crate::drain_rate::DrainRate;
use crate::organisation_queue::OrganisationQueue;

/// Identifies one request in the queue.
pub type TicketId = u64;

/// Minimum retry delay that a refused caller receives.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Weight of the newest request in the average service time and its deviation.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Number of mean deviations added to the average service time in the deadline check on arrival.
const DEADLINE_DEVIATIONS: f64 = 3.0;

/// Settings of an admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of running requests.
    pub max_running: u32,
    /// Maximum number of waiting requests of one organisation.
    pub max_organisation_waiting: usize,
    /// Maximum number of waiting requests of all organisations.
    pub max_waiting: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_running: 64,
            max_organisation_waiting: 128,
            max_waiting: 1024,
        }
    }
}

/// Properties of a request that the queue needs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Weight of the organisation in the fair shares, at least 1.
    pub weight: u32,
    /// Expected cost, in tokens or calls.
    pub cost: f64,
    /// Priority among the requests of the organisation; 0 is the lowest.
    pub priority: u8,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request would be served after its deadline.
    DeadlineMissed,
    /// Too many requests are waiting.
    QueueFull,
}

/// Action for the caller of the queue to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Dispatch the request.
    Dispatch(TicketId),
    /// Refuse the request; no part of it has run.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A dispatched request that has not ended.
#[derive(Clone, Debug)]
struct RunningRequest {
    organisation: OrganisationId,
    weight: u32,
    cost: f64,
    started: Instant,
}

/// Shares the capacity of one instance among organisations.
///
/// Each organisation with waiting requests gets capacity in proportion to its weight, measured in
/// cost, so a burst from one organisation doesn't delay the others. A request that would miss its
/// deadline is refused on arrival, and no request is dispatched after its deadline.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    queues: HashMap<OrganisationId, OrganisationQueue>,
    running: HashMap<TicketId, RunningRequest>,
    virtual_time: f64,
    waiting: usize,
    drain_rate: DrainRate,
    service_seconds: f64,
    service_deviation: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        Self {
            settings,
            queues: HashMap::new(),
            running: HashMap::new(),
            virtual_time: 0.0,
            waiting: 0,
            drain_rate: DrainRate::new(now),
            service_seconds: 0.0,
            service_deviation: 0.0,
        }
    }

    /// Changes the maximum number of running requests. Requests that already run beyond it
    /// continue.
    pub fn set_max_running(&mut self, max_running: u32, now: Instant) -> Vec<AdmissionAction> {
        self.settings.max_running = max_running;
        self.dispatch(now)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Queues, dispatches or refuses a request under a new ticket.
    pub fn submit(
        &mut self,
        ticket: TicketId,
        request: QueuedRequest,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        if self.waiting == 0 && self.has_capacity() && request.deadline > now {
            // A request that can start at once isn't checked against the average service time.
            // Otherwise a slow period could leave an average that refuses every request and so is
            // never corrected.
            if self.running.is_empty() {
                // Idle time doesn't count towards the drain rate.
                self.drain_rate.skip(now);
            }
            self.push(ticket, request);
            return self.dispatch(now);
        }
        let wait = self.predicted_wait(&request);
        if now + wait + self.service_time_bound(DEADLINE_DEVIATIONS) > request.deadline {
            return vec![refusal(ticket, RefusalReason::DeadlineMissed, wait)];
        }
        let own_queue = self.queues.get(&request.organisation);
        if own_queue.map_or(0, OrganisationQueue::len) >= self.settings.max_organisation_waiting {
            return vec![refusal(ticket, RefusalReason::QueueFull, wait)];
        }
        self.push(ticket, request);
        let mut actions = Vec::new();
        if self.waiting > self.settings.max_waiting {
            actions.extend(self.evict_last(wait));
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Records the end of a dispatched request, with its actual `cost` if known.
    pub fn finish(
        &mut self,
        ticket: TicketId,
        cost: Option<f64>,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        let Some(request) = self.running.remove(&ticket) else {
            return Vec::new();
        };
        let actual_cost = cost.unwrap_or(request.cost);
        self.drain_rate.record_finished(actual_cost, now);
        let service_seconds = now.saturating_duration_since(request.started).as_secs_f64();
        let is_first_sample = self.service_seconds == 0.0;
        let weight = if is_first_sample {
            1.0
        } else {
            SERVICE_TIME_WEIGHT
        };
        let deviation = service_seconds - self.service_seconds;
        self.service_seconds += deviation * weight;
        self.service_deviation += (deviation.abs() - self.service_deviation) * SERVICE_TIME_WEIGHT;
        if let Some(queue) = self.queues.get_mut(&request.organisation) {
            queue.running -= 1;
            queue.virtual_start += (actual_cost - request.cost) / f64::from(request.weight.max(1));
        }
        self.remove_if_idle(&request.organisation);
        self.dispatch(now)
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel(&mut self, organisation: &OrganisationId, ticket: TicketId) {
        if let Some(queue) = self.queues.get_mut(organisation)
            && queue.remove(ticket).is_some()
        {
            self.waiting -= 1;
            self.remove_if_idle(organisation);
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for queue in self.queues.values_mut() {
            for ticket in queue.take_expired(now) {
                self.waiting -= 1;
                actions.push(refusal(
                    ticket,
                    RefusalReason::DeadlineMissed,
                    MIN_RETRY_AFTER,
                ));
            }
        }
        self.queues.retain(|_, queue| !queue.is_idle());
        actions
    }

    /// Returns the expected wait of a request that arrives now.
    ///
    /// Assumes equal weights: an organisation waits for its own backlog at an equal share of the
    /// drain rate, and never longer than for the backlog of all organisations.
    pub fn predicted_wait(&self, request: &QueuedRequest) -> Duration {
        if self.has_capacity() {
            return Duration::ZERO;
        }
        let Some(rate) = self.drain_rate.per_second() else {
            return Duration::ZERO;
        };
        let total_backlog: f64 = self.queues.values().map(|queue| queue.backlog).sum();
        let own_backlog = self
            .queues
            .get(&request.organisation)
            .map_or(0.0, |queue| queue.backlog);
        let other_queues = self
            .queues
            .iter()
            .filter(|(id, queue)| queue.len() > 0 && **id != request.organisation)
            .count();
        let fair_work = (own_backlog + request.cost) * (other_queues + 1) as f64;
        Duration::from_secs_f64(fair_work.min(total_backlog + request.cost) / rate)
    }

    /// Returns the average service time plus `deviations` mean deviations.
    fn service_time_bound(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.service_seconds + deviations * self.service_deviation)
    }

    fn has_capacity(&self) -> bool {
        self.running.len() < self.settings.max_running as usize
    }

    fn push(&mut self, ticket: TicketId, request: QueuedRequest) {
        let queue = self
            .queues
            .entry(Arc::clone(&request.organisation))
            .or_default();
        if queue.len() == 0 {
            // An idle organisation gets no credit for the time that it didn't use.
            queue.virtual_start = queue.virtual_start.max(self.virtual_time);
        }
        queue.push(ticket, request);
        self.waiting += 1;
    }

    /// Refuses the last request of the organisation with the longest queue.
    fn evict_last(&mut self, wait: Duration) -> Option<AdmissionAction> {
        let longest = self.queues.values_mut().max_by_key(|queue| queue.len())?;
        let (ticket, _) = longest.pop_last()?;
        self.waiting -= 1;
        Some(refusal(ticket, RefusalReason::QueueFull, wait))
    }

    fn dispatch(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.has_capacity() {
            let Some((ticket, request)) = self.pop_next() else {
                break;
            };
            // The only request in the queue may have just arrived at an idle queue, and such a
            // request isn't checked against the average service time; see `submit`. A request that
            // waited alone cannot be distinguished from it and is not checked either.
            let was_with_others = self.waiting > 0 || !actions.is_empty();
            let service_time = if was_with_others {
                self.service_time_bound(1.0)
            } else {
                Duration::ZERO
            };
            if request.deadline <= now + service_time {
                let wait = self.predicted_wait(&request);
                actions.push(refusal(ticket, RefusalReason::DeadlineMissed, wait));
                continue;
            }
            self.start_request(ticket, &request, now);
            actions.push(AdmissionAction::Dispatch(ticket));
        }
        actions
    }

    /// Removes the next request of the organisation with the lowest virtual start time.
    fn pop_next(&mut self) -> Option<(TicketId, QueuedRequest)> {
        let (_, queue) = self
            .queues
            .iter_mut()
            .filter(|(_, queue)| queue.len() > 0)
            .min_by(|(left_id, left), (right_id, right)| {
                let start_order = left.virtual_start.total_cmp(&right.virtual_start);
                start_order.then_with(|| left_id.cmp(right_id))
            })?;
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        self.waiting -= 1;
        queue.pop_first()
    }

    fn start_request(&mut self, ticket: TicketId, request: &QueuedRequest, now: Instant) {
        if let Some(queue) = self.queues.get_mut(&request.organisation) {
            queue.virtual_start += request.cost / f64::from(request.weight.max(1));
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

    fn remove_if_idle(&mut self, organisation: &OrganisationId) {
        if self
            .queues
            .get(organisation)
            .is_some_and(|queue| queue.is_idle() && queue.virtual_start <= self.virtual_time)
        {
            self.queues.remove(organisation);
        }
    }
}

fn refusal(ticket: TicketId, reason: RefusalReason, wait: Duration) -> AdmissionAction {
    AdmissionAction::Refuse {
        ticket,
        reason,
        retry_after: wait.max(MIN_RETRY_AFTER),
    }
}
