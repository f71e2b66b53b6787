//! Admission of requests to graded services: gates, waiting requests and their timer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_config::GradingMode;
use dandeliondeal_limit::admission_queue::TicketId;
use dandeliondeal_limit::{AdmissionRank, GateAction, GateRequest, GateSettings};
use dandeliondeal_route::{RouteMatch, RouteTable};
use dandeliondeal_types::{Clock, ServiceId};
use rand::Rng;
use tokio::sync::oneshot::{self, error::TryRecvError};

use crate::graded_service::graded_services;
use crate::load_exchange::LoadSummary;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;
use crate::service_gate::ServiceGate;

/// Minimum time between two calls of a gate for the end of waits.
const MIN_TICK_PAUSE: Duration = Duration::from_millis(1);

/// What a gate is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionQuestion {
    /// Whether a new request starts.
    New,
    /// Whether an admitted request, for which no endpoint has room, waits for some.
    NoRoom,
}

impl AdmissionQuestion {
    /// Returns what the decision depends on, for logs.
    fn name(self) -> &'static str {
        match self {
            Self::New => "share",
            Self::NoRoom => "room",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionVerdict {
    /// The request starts, or looks for room again.
    Admitted,
    /// The request is refused, with the time after which the caller may retry, if it is known.
    Refused(Option<Duration>),
    /// The time for which the request could wait is over.
    TimedOut,
}

/// Gates of the graded services.
#[derive(Debug, Default)]
pub struct RequestAdmission {
    pub(crate) services: RefCell<HashMap<ServiceId, ServiceGate>>,
    last_ticket: Cell<TicketId>,
}

impl RequestAdmission {
    /// Sets the graded services of a configuration; the gates of the other ones are removed, and
    /// requests that wait at them are admitted.
    pub(crate) fn set_services(&self, table: &RouteTable, mode: GradingMode, now: Instant) {
        let graded = graded_services(table, mode);
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| graded.contains(service));
        for service in graded {
            let rule = table.service(&service);
            let is_model = rule.is_some_and(|rule| rule.engine.is_some());
            let urgencies = table.urgency_scale(&service);
            let routes = table.routes_of(&service);
            let objective = routes.map(|route| route.latency_objective).min();
            let new_gate = || ServiceGate::new(is_model, now);
            let entry = services.entry(service).or_insert_with(new_gate);
            entry.urgencies = urgencies;
            if !is_model {
                entry.gate.set_queue_objective(objective);
            }
        }
    }

    /// Returns whether a service is graded.
    pub fn is_graded(&self, service: &str) -> bool {
        self.services.borrow().contains_key(service)
    }

    /// Returns the effective urgency of a request to a graded service, or the urgency of a request to
    /// another one.
    pub(crate) fn urgency(&self, service: &str, route_match: &RouteMatch) -> u8 {
        let services = self.services.borrow();
        let entry = services.get(service);
        entry.map_or(route_match.urgency, |entry| {
            entry.urgencies.level(route_match.urgency_pair())
        })
    }

    /// Writes the demand for graded services and their open plain requests into a report.
    pub(crate) fn write_report(&self, report: &mut LoadSummary, now: Instant) {
        for (service, entry) in self.services.borrow_mut().iter_mut() {
            let demand = entry.gate.local_demand(now);
            if !demand.is_empty() {
                report.demand.insert(ServiceId::clone(service), demand);
            }
            if entry.open_calls > 0 {
                let open_calls = f64::from(entry.open_calls);
                report
                    .open_calls
                    .insert(ServiceId::clone(service), open_calls);
            }
        }
    }

    /// Returns the ticket of a new request.
    pub(crate) fn new_ticket(&self) -> TicketId {
        let ticket = self.last_ticket.get().wrapping_add(1);
        self.last_ticket.set(ticket);
        ticket
    }

    /// Calls `call` with the gate of a service; `None` if the service is not graded.
    pub(crate) fn with_gate<Result, Use>(&self, service: &str, call: Use) -> Option<Result>
    where
        Use: FnOnce(&mut ServiceGate) -> Result,
    {
        self.services.borrow_mut().get_mut(service).map(call)
    }
}

/// Returns whether the first attempt of a request needs a decision.
///
/// A request of another instance was admitted there, and a stream that the caller resumes has begun.
pub(crate) fn needs_admission(request: &RelayRequest) -> bool {
    !request.is_handed_over() && request.facts.last_event.is_none()
}

/// Asks the gate of a request's service, and waits for its decision for at most `limit`.
///
/// A request keeps its ticket, so that its waits together last no longer than one may.
///
/// Returns `None` if no gate decides: the service is not graded, or it has no usable endpoints and
/// is refused for that.
pub(crate) async fn decide<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    question: AdmissionQuestion,
    (ticket, work): (TicketId, f64),
    limit: Duration,
) -> Option<AdmissionVerdict>
where
    Time: Clock,
    Dialect: 'static,
{
    let mut pending = PendingRequest::submit(context, request, question, (ticket, work))?;
    let action = match pending.receiver.try_recv() {
        Ok(action) => action,
        Err(TryRecvError::Closed) => GateAction::Admit(pending.ticket),
        Err(TryRecvError::Empty) => {
            pending.record_decision("wait", None);
            start_ticker(context, &request.service);
            match actix_rt::time::timeout(limit, &mut pending.receiver).await {
                Ok(action) => action.unwrap_or(GateAction::Admit(pending.ticket)),
                Err(_elapsed) => {
                    context.admission().with_gate(&request.service, |entry| {
                        entry.cancel(ticket);
                    });
                    pending.finish("refuse", None);
                    return Some(AdmissionVerdict::TimedOut);
                }
            }
        }
    };
    let verdict = match action {
        GateAction::Admit(_) | GateAction::Wait(_) => {
            pending.finish("admit", None);
            AdmissionVerdict::Admitted
        }
        GateAction::Refuse { retry_after, .. } => {
            pending.finish("refuse", Some(retry_after));
            AdmissionVerdict::Refused(Some(retry_after))
        }
    };
    Some(verdict)
}

/// Request that waits for a decision; dropping it before the decision cancels it.
struct PendingRequest<'request, Time, Dialect>
where
    Time: Clock,
{
    context: &'request RelayContext<Time, Dialect>,
    request: &'request RelayRequest,
    question: AdmissionQuestion,
    gate_request: GateRequest,
    ticket: TicketId,
    receiver: oneshot::Receiver<GateAction>,
    started: Instant,
    has_waited: bool,
    is_decided: bool,
}

impl<'request, Time, Dialect> PendingRequest<'request, Time, Dialect>
where
    Time: Clock,
{
    fn submit(
        context: &'request RelayContext<Time, Dialect>,
        request: &'request RelayRequest,
        question: AdmissionQuestion,
        (ticket, work): (TicketId, f64),
    ) -> Option<Self> {
        let admission = context.admission();
        if !admission.is_graded(&request.service) {
            return None;
        }
        let now = context.now();
        let urgency = admission.urgency(&request.service, &request.route_match);
        let gate_request = build_gate_request(request, (work, urgency), now);
        let draw = context.with_rng(Rng::random::<f64>);
        let submitted = gate_request.clone();
        let receiver = admission.with_gate(&request.service, |entry| {
            if !entry.has_capacity {
                return None;
            }
            let receiver = entry.add_waiting(ticket);
            let actions = match question {
                AdmissionQuestion::New => entry.gate.submit(ticket, submitted, draw, now),
                AdmissionQuestion::NoRoom => vec![entry.gate.wait_for_room(ticket, submitted, now)],
            };
            entry.dispatch(&actions);
            Some(receiver)
        })??;
        Some(Self {
            context,
            request,
            question,
            gate_request,
            ticket,
            receiver,
            started: now,
            has_waited: false,
            is_decided: false,
        })
    }

    /// Records the decision that ends the request's wait.
    fn finish(&mut self, decision: &str, retry_after: Option<Duration>) {
        if !self.is_decided {
            self.record_decision(decision, retry_after);
        }
    }

    /// Counts a decision, and logs it unless the request was admitted at once.
    fn record_decision(&mut self, decision: &str, retry_after: Option<Duration>) {
        let (request, service) = (self.request, &self.request.service);
        let metrics = &self.context.metrics().admission;
        let urgency = self.gate_request.rank.urgency().to_string();
        let labels = [&**service, &*urgency, decision];
        metrics.decisions.with_label_values(&labels).inc();
        let now = self.context.now();
        let waited = now.saturating_duration_since(self.started);
        let is_plain_admission = decision == "admit" && !self.has_waited;
        if decision == "wait" {
            self.has_waited = true;
        } else {
            self.is_decided = true;
            if self.has_waited {
                metrics.wait.observe(waited.as_secs_f64());
            }
        }
        if is_plain_admission {
            return;
        }
        let (rank, organisation) = (self.gate_request.rank, &self.gate_request.organisation);
        let admission = self.context.admission();
        let state = admission.with_gate(service, |entry| {
            let share = entry.gate.share(rank, organisation.as_ref(), now);
            (share, entry.gate.describe(now))
        });
        let (share, state) = state.unzip();
        let room = state.as_ref().and_then(|state| state.room);
        let news_age = state.as_ref().and_then(|state| state.news_age);
        tracing::info!(
            request = %request.facts.request,
            service = %service,
            organisation = organisation.as_deref(),
            urgency = request.route_match.urgency,
            route_urgency = request.route_match.route.urgency,
            rank = rank.value(),
            work = self.gate_request.work,
            objective_left_ms = milliseconds(self.gate_request.objective_left),
            share,
            fill = room.map(|room| room.fill()),
            news_age_ms = news_age.map(milliseconds),
            cause = self.question.name(),
            decision,
            waited_ms = milliseconds(waited),
            retry_after_ms = retry_after.map(milliseconds),
            "request admission"
        );
    }
}

impl<Time, Dialect> Drop for PendingRequest<'_, Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.record_decision("left", None);
        let admission = self.context.admission();
        let ticket = self.ticket;
        admission.with_gate(&self.request.service, |entry| entry.cancel(ticket));
    }
}

pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn build_gate_request(
    request: &RelayRequest,
    (work, urgency): (f64, u8),
    now: Instant,
) -> GateRequest {
    let route = &request.route_match.route;
    // Callers choose their deadlines, so a shorter one does not show that a caller has returned.
    let used = now.saturating_duration_since(request.arrived);
    let objective_left = route.latency_objective.saturating_sub(used);
    let max_retry_delay = GateSettings::default().max_retry_delay;
    GateRequest {
        organisation: request.route_match.organisation.clone(),
        rank: AdmissionRank::new(urgency, objective_left.is_zero()),
        work,
        objective_left: objective_left.min(request.time_left(now)),
        max_retry_delay: max_retry_delay.min(request.max_retry_delay(now)),
    }
}

/// Starts the task that ends waits at a service's gate, unless it runs.
pub(crate) fn start_ticker<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
) where
    Time: Clock,
    Dialect: 'static,
{
    let admission = context.admission();
    let is_running = admission.with_gate(service, |entry| {
        std::mem::replace(&mut entry.has_ticker, true)
    });
    if is_running == Some(false) {
        actix_rt::spawn(run_ticks(context.clone(), ServiceId::clone(service)));
    }
}

/// Calls a gate at the times that it names, until no request waits at it.
async fn run_ticks<Time, Dialect>(context: RelayContext<Time, Dialect>, service: ServiceId)
where
    Time: Clock,
{
    loop {
        let next = context.admission().with_gate(&service, |entry| {
            let due = entry.gate.next_tick();
            entry.has_ticker = due.is_some();
            due.map(|due| (due, Rc::clone(&entry.changed)))
        });
        let Some((due, changed)) = next.flatten() else {
            return;
        };
        let pause = due.saturating_duration_since(context.now());
        tokio::select! {
            () = actix_rt::time::sleep(pause.max(MIN_TICK_PAUSE)) => {}
            () = changed.notified() => continue,
        }
        let now = context.now();
        context.admission().with_gate(&service, |entry| {
            let actions = entry
                .gate
                .tick(|| context.with_rng(Rng::random::<f64>), now);
            entry.dispatch(&actions);
        });
    }
}
