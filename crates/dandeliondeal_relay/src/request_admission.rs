//! Admission of requests to graded services: gates, waiting requests and their timer.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_config::GradingMode;
use dandeliondeal_limit::admission_queue::TicketId;
use dandeliondeal_limit::{AdmissionRank, DemandReport, GateAction, GateRequest, GateSettings};
use dandeliondeal_route::RouteTable;
use dandeliondeal_types::{Clock, RouteId, ServiceId};
use rand::Rng;
use tokio::sync::oneshot::{self, error::TryRecvError};

use crate::graded_service::graded_services;
use crate::load_exchange::LoadSummary;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;
use crate::route_deadlines::RouteDeadlines;
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
    services: RefCell<HashMap<ServiceId, ServiceGate>>,
    deadlines: RefCell<RouteDeadlines>,
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
            let new_gate = || ServiceGate::new(is_model, now);
            services.entry(service).or_insert_with(new_gate);
        }
        let routes: HashSet<&RouteId> = table.routes().map(|route| &route.id).collect();
        self.deadlines
            .borrow_mut()
            .retain(|route| routes.contains(route));
    }

    /// Returns whether a service is graded.
    pub fn is_graded(&self, service: &str) -> bool {
        self.services.borrow().contains_key(service)
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

    fn with_gate<Result, Use>(&self, service: &str, call: Use) -> Option<Result>
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
/// Returns `None` if no gate decides: the service is not graded, or it has no usable endpoints and
/// is refused for that.
pub(crate) async fn decide<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    question: AdmissionQuestion,
    work: f64,
    limit: Duration,
) -> Option<AdmissionVerdict>
where
    Time: Clock,
    Dialect: 'static,
{
    let mut pending = PendingRequest::submit(context, request, question, work)?;
    let action = match pending.receiver.try_recv() {
        Ok(action) => action,
        Err(TryRecvError::Closed) => GateAction::Admit(pending.ticket),
        Err(TryRecvError::Empty) => {
            pending.record_decision("wait", None);
            start_ticker(context, &request.service);
            match actix_rt::time::timeout(limit, &mut pending.receiver).await {
                Ok(action) => action.unwrap_or(GateAction::Admit(pending.ticket)),
                Err(_elapsed) => {
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
        work: f64,
    ) -> Option<Self> {
        let admission = context.admission();
        if !admission.is_graded(&request.service) {
            return None;
        }
        let now = context.now();
        let gate_request = build_gate_request(context, request, work, now);
        let ticket = admission.last_ticket.get().wrapping_add(1);
        admission.last_ticket.set(ticket);
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
        let metrics = self.context.metrics();
        let urgency = request.route_match.urgency.to_string();
        let labels = [&**service, &*urgency, decision];
        metrics.admission_decisions.with_label_values(&labels).inc();
        let now = self.context.now();
        let waited = now.saturating_duration_since(self.started);
        let is_plain_admission = decision == "admit" && !self.has_waited;
        if decision == "wait" {
            self.has_waited = true;
        } else {
            self.is_decided = true;
            if self.has_waited {
                metrics.admission_wait.observe(waited.as_secs_f64());
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
            rank = rank.value(),
            work = self.gate_request.work,
            objective_left_ms = milliseconds(self.gate_request.objective_left),
            share,
            fill = room.map(|room| room.fill()),
            news_age_ms = news_age.map(milliseconds),
            is_admitted = self.question == AdmissionQuestion::NoRoom,
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
        let admission = self.context.admission();
        let ticket = self.ticket;
        if !self.is_decided {
            self.record_decision("left", None);
        }
        // A gate ignores the ticket of a request that does not wait.
        if self.has_waited {
            admission.with_gate(&self.request.service, |entry| entry.cancel(ticket));
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn build_gate_request<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    work: f64,
    now: Instant,
) -> GateRequest
where
    Time: Clock,
{
    let route = &request.route_match.route;
    let mut deadlines = context.admission().deadlines.borrow_mut();
    let deadline = request.facts.deadline;
    let used_before =
        deadline.map(|deadline| deadlines.record(&route.id, deadline, request.arrived));
    let used = now.saturating_duration_since(request.arrived) + used_before.unwrap_or_default();
    let objective_left = route.latency_objective.saturating_sub(used);
    let max_retry_delay = GateSettings::default().max_retry_delay;
    GateRequest {
        organisation: request.route_match.organisation.clone(),
        rank: AdmissionRank::new(request.route_match.urgency, objective_left.is_zero()),
        work,
        objective_left: objective_left.min(request.time_left(now)),
        max_retry_delay: max_retry_delay.min(request.max_retry_delay(now)),
    }
}

/// Starts the task that ends waits at a service's gate, unless it runs.
fn start_ticker<Time, Dialect>(context: &RelayContext<Time, Dialect>, service: &ServiceId)
where
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

/// Passes the totals of all instances on to the gates; `local` is the part of this instance in them.
pub(crate) fn apply_news<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    fleet: &LoadSummary,
    local: &LoadSummary,
) where
    Time: Clock,
    Dialect: 'static,
{
    let Some(table) = context.table() else {
        return;
    };
    let now = context.now();
    let no_demand = DemandReport::default();
    let mut waiting_services = Vec::new();
    for (service, entry) in context.admission().services.borrow_mut().iter_mut() {
        let demand = fleet.demand.get(service);
        // A hub of an earlier version drops the demand: there is no news of it.
        if demand.is_none() && local.demand.contains_key(service) {
            continue;
        }
        let view = context.fleet().borrow();
        let rule = table.service(service);
        let room = match rule.and_then(|rule| rule.engine.as_ref()) {
            Some(profile) => {
                let instance_count = context.instance_count();
                view.model_room(service, profile, context.tracker(), instance_count, now)
            }
            None => {
                let open_calls = fleet.open_calls.get(service).copied();
                view.plain_room(service, open_calls.unwrap_or_default())
            }
        };
        drop(view);
        entry.has_capacity = room.capacity > 0.0;
        let demand = demand.unwrap_or(&no_demand);
        let draws = || context.with_rng(Rng::random::<f64>);
        let actions = entry.gate.set_news(demand, room, draws, now);
        entry.dispatch(&actions);
        if entry.gate.next_tick().is_some() {
            waiting_services.push(ServiceId::clone(service));
        }
    }
    for service in waiting_services {
        start_ticker(context, &service);
    }
}

/// Updates the metrics of the gates, and logs the shares that changed.
pub(crate) fn publish_shares<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let now = context.now();
    let metrics = context.metrics();
    for (service, entry) in context.admission().services.borrow_mut().iter_mut() {
        let state = entry.gate.describe(now);
        let fill = state.room.map(|room| room.fill());
        if let Some(fill) = fill {
            let gauge = metrics.service_fill.with_label_values(&[&**service]);
            gauge.set(fill);
        }
        let (previous, changes) = (entry.ranks(), entry.record_shares(&state));
        for rank in previous.into_iter().chain(state.shares.keys().copied()) {
            let share = state.shares.get(&rank).copied().unwrap_or(1.0);
            let labels = [&**service, &*rank.to_string()];
            metrics
                .admission_share
                .with_label_values(&labels)
                .set(share);
        }
        for change in changes {
            tracing::info!(
                service = %service,
                rank = change.rank,
                from = change.from,
                share = change.to,
                fill,
                supply = state.supply,
                news_age_ms = state.news_age.map(milliseconds),
                "admission share changed"
            );
        }
    }
}

/// Request of a graded service that runs; its end is recorded when it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    service: ServiceId,
    started: Instant,
    is_call: bool,
    /// Whether its duration counts.
    pub(crate) has_run: bool,
}

impl<Time, Dialect> RunningRequest<Time, Dialect>
where
    Time: Clock,
{
    /// Records the start of a request; `None` if its service is not graded. A request to a plain
    /// service, `is_call`, is counted as open.
    pub(crate) fn start(
        context: &RelayContext<Time, Dialect>,
        service: &ServiceId,
        is_call: bool,
    ) -> Option<Self> {
        context.admission().with_gate(service, |entry| {
            entry.open_calls += u32::from(is_call);
        })?;
        Some(Self {
            context: context.clone(),
            service: ServiceId::clone(service),
            started: context.now(),
            is_call,
            has_run: true,
        })
    }
}

impl<Time, Dialect> Drop for RunningRequest<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        let now = self.context.now();
        let service_time = now.saturating_duration_since(self.started);
        self.context.admission().with_gate(&self.service, |entry| {
            entry.open_calls = entry.open_calls.saturating_sub(u32::from(self.is_call));
            if self.has_run {
                entry.gate.record_finished(service_time, now);
            }
        });
    }
}
