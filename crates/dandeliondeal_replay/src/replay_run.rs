//! Replay of a trace: applies its events and checks its expected outcomes.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::SessionEvent;
use dandeliondeal_types::{EndpointId, InstanceId};

use crate::recorded_sessions::RecordedSessions;
use crate::replay_claims::KeyedRequest;
use crate::replay_engine::{CallFaults, ReplayEngine};
use crate::replay_instance::{InstanceState, ReplayInstance};
use crate::replay_session::ReplaySession;
use crate::replay_sheets::SheetChange;
use crate::replay_simulation::{ReplaySimulation, SimulationTask};
use crate::{EngineSpec, ReplayReport, RequestOutcome, Trace, TraceError, TraceEvent, TraceStep};

/// Time that the simulation continues after the last line, so that late tasks still run.
const DRAIN_DURATION: Duration = Duration::from_mins(2);
/// Interval at which a stopping instance is checked for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Replays a trace and reports mismatches with its expected outcomes and invariant violations.
///
/// # Errors
///
/// Returns an error for a line that refers to something the trace does not define, or that
/// cannot be applied.
///
/// # Examples
///
/// ```
/// use dandeliondeal_replay::{Trace, replay};
///
/// let trace = Trace::parse(r#"
/// {"trace":"plain","version":1,"seed":1,"settings":{"engines":[{"id":"e1","start":0,"end":6}]}}
/// {"at":0,"event":"request","request":"r1","prompt":"quote","tokens":3}
/// {"at":1000,"expect":"outcome","request":"r1","outcome":"answered"}
/// "#)?;
/// assert!(replay(&trace)?.is_match());
/// # Ok::<(), dandeliondeal_replay::TraceError>(())
/// ```
pub fn replay(trace: &Trace) -> Result<ReplayReport, TraceError> {
    let mut simulation = ReplaySimulation::new(trace)?;
    let mut recorded_sessions = RecordedSessions::new(simulation.now());
    let mut report = ReplayReport {
        trace: Arc::clone(&trace.header.trace),
        events: 0,
        outcomes: 0,
        mismatches: Vec::new(),
    };
    let mut last_time = Duration::ZERO;
    for line in &trace.lines {
        simulation.run_until(line.at);
        last_time = line.at;
        match &line.step {
            TraceStep::Event(event) => {
                report.events += 1;
                simulation.apply_event(line.number, event)?;
            }
            TraceStep::RecordedEvent(event) => {
                report.events += 1;
                recorded_sessions.apply_event(line.number, event)?;
            }
            TraceStep::RecordedActions(actions) => {
                report.outcomes += 1;
                report
                    .mismatches
                    .extend(recorded_sessions.compare_actions(line.number, actions)?);
            }
            TraceStep::Expectation(expectation) => {
                report.outcomes += 1;
                report
                    .mismatches
                    .extend(simulation.check_expectation(line, expectation)?);
            }
        }
    }
    simulation.run_until(last_time + DRAIN_DURATION);
    report.mismatches.extend(simulation.invariant_violations());
    Ok(report)
}

impl ReplaySimulation {
    fn apply_event(&mut self, line: usize, event: &TraceEvent) -> Result<(), TraceError> {
        match event {
            TraceEvent::Request {
                request,
                instance,
                prompt,
                tokens,
            } => {
                let instance = self.choose_instance(line, instance.as_ref())?;
                let settings = &self.settings;
                let session =
                    ReplaySession::new(line, request, instance, prompt, *tokens, settings)?;
                self.start_session(request, session);
            }
            TraceEvent::Keyed {
                request,
                instance,
                key,
                service,
            } => {
                let keyed = KeyedRequest {
                    instance: self.choose_instance(line, instance.as_ref())?,
                    key: Arc::clone(key),
                    service: Arc::clone(service),
                    outcome: RequestOutcome::Open,
                };
                self.start_keyed(request, keyed);
            }
            TraceEvent::CallerLeft { request } => {
                self.handle_session_event(request, SessionEvent::CallerLeft);
            }
            TraceEvent::Deadline { request } => {
                self.handle_session_event(request, SessionEvent::Deadline);
            }
            TraceEvent::Join {
                endpoint,
                start,
                end,
            } => self.add_engine(&EngineSpec {
                id: Arc::clone(endpoint),
                start: *start,
                end: *end,
                ignores_fencing: false,
            }),
            TraceEvent::Leave { endpoint } => self.start_leaving(endpoint),
            TraceEvent::StoreOutage { on } => self.store.is_unavailable = *on,
            TraceEvent::StoreSlow { milliseconds } => {
                self.store.added_latency = Duration::from_millis(*milliseconds);
            }
            TraceEvent::StoreLoseAnswers { count } => self.store.lose_answers = *count,
            TraceEvent::StoreLateWrites {
                count,
                milliseconds,
            } => {
                self.store.late_writes = *count;
                self.store.late_delay = Duration::from_millis(*milliseconds);
            }
            TraceEvent::Start { instance } => self.start_instance(line, instance)?,
            TraceEvent::Sheet {
                change,
                base,
                capacity,
            } => self.submit_sheet(
                line,
                &SheetChange {
                    change: Arc::clone(change),
                    base: *base,
                    capacity: Arc::clone(capacity),
                },
            )?,
            TraceEvent::Desire { endpoint, version } => {
                self.set_desired_state(line, endpoint, version)?;
            }
            TraceEvent::Contend { instance } => {
                let process = self.instance(line, instance)?.process;
                let task = SimulationTask::LeaseTick(Arc::clone(instance), process);
                self.schedule(Duration::ZERO, task);
            }
            TraceEvent::Pause { instance }
            | TraceEvent::Resume { instance }
            | TraceEvent::Stop { instance }
            | TraceEvent::Crash { instance } => self.apply_instance_event(line, event, instance)?,
            _ => self.apply_endpoint_event(line, event)?,
        }
        Ok(())
    }

    fn apply_instance_event(
        &mut self,
        line: usize,
        event: &TraceEvent,
        id: &InstanceId,
    ) -> Result<(), TraceError> {
        let now = self.elapsed();
        let instance = self.instance(line, id)?;
        match event {
            TraceEvent::Pause { .. } => instance.state = InstanceState::Paused,
            TraceEvent::Resume { .. } => {
                instance.state = InstanceState::Running;
                for task in std::mem::take(&mut instance.deferred_tasks) {
                    self.schedule(Duration::ZERO, task);
                }
            }
            TraceEvent::Stop { .. } => {
                instance.stop_started = Some(now);
                let delay = Duration::from_millis(self.settings.balancer_lag_milliseconds);
                self.schedule(delay, SimulationTask::BalancerUpdated(Arc::clone(id)));
            }
            _ => {
                instance.state = InstanceState::Terminated;
                self.break_open_requests(id);
            }
        }
        Ok(())
    }

    /// Stops routing to a stopping instance, and terminates it once it has no open requests.
    pub(crate) fn handle_balancer_update(&mut self, id: &InstanceId) {
        let is_busy = self.open_request_count(id) > 0;
        if let Some(instance) = self.instances.get_mut(id) {
            instance.is_deregistered = true;
            if !is_busy {
                instance.state = InstanceState::Terminated;
            }
        }
        if is_busy {
            self.schedule(
                STOP_POLL_INTERVAL,
                SimulationTask::BalancerUpdated(Arc::clone(id)),
            );
        }
    }

    /// Returns the number of open requests at an instance.
    fn open_request_count(&self, id: &InstanceId) -> usize {
        let sessions = self
            .sessions
            .values()
            .map(|session| (&session.instance, session.outcome));
        let keyed = self
            .keyed_requests
            .values()
            .map(|keyed| (&keyed.instance, keyed.outcome));
        sessions
            .chain(keyed)
            .filter(|(instance, outcome)| *instance == id && *outcome == RequestOutcome::Open)
            .count()
    }

    /// Marks the open requests of a crashed instance as broken.
    fn break_open_requests(&mut self, id: &InstanceId) {
        let sessions = self
            .sessions
            .values_mut()
            .map(|session| (&session.instance, &mut session.outcome));
        let keyed = self
            .keyed_requests
            .values_mut()
            .map(|keyed| (&keyed.instance, &mut keyed.outcome));
        for (instance, outcome) in sessions.chain(keyed) {
            if instance == id && *outcome == RequestOutcome::Open {
                *outcome = RequestOutcome::Broken;
            }
        }
    }

    fn apply_endpoint_event(&mut self, line: usize, event: &TraceEvent) -> Result<(), TraceError> {
        match event {
            TraceEvent::Kill { endpoint } => {
                if let Some(service) = self.services.get_mut(endpoint) {
                    service.is_killed = true;
                    return Ok(());
                }
                self.engine(line, endpoint)?.kill();
            }
            TraceEvent::Restart { endpoint } => {
                if let Some(service) = self.services.get_mut(endpoint) {
                    service.is_killed = false;
                    return Ok(());
                }
                self.engine(line, endpoint)?.is_killed = false;
            }
            TraceEvent::Silence { endpoint } => self.engine(line, endpoint)?.silence(),
            TraceEvent::Freeze { endpoint } => self.engine(line, endpoint)?.is_frozen = true,
            TraceEvent::Thaw { endpoint } => {
                for call in self.engine(line, endpoint)?.thaw() {
                    let task = SimulationTask::EngineCall(Arc::clone(endpoint), call);
                    self.schedule(Duration::ZERO, task);
                }
            }
            TraceEvent::Slow {
                endpoint,
                milliseconds,
            } => self.faults(line, endpoint)?.added_latency = Duration::from_millis(*milliseconds),
            TraceEvent::LoseAnswers { endpoint, count } => {
                self.faults(line, endpoint)?.lose_answers = *count;
            }
            TraceEvent::LoseCalls { endpoint, count } => {
                self.faults(line, endpoint)?.lose_calls = *count;
            }
            TraceEvent::LateAnswers {
                endpoint,
                count,
                milliseconds,
            } => {
                let faults = self.faults(line, endpoint)?;
                faults.late_answers = *count;
                faults.late_delay = Duration::from_millis(*milliseconds);
            }
            TraceEvent::CrossAnswers { endpoint } => {
                self.faults(line, endpoint)?.cross_answers = true;
            }
            _ => {}
        }
        Ok(())
    }

    pub(crate) fn instance(
        &mut self,
        line: usize,
        id: &InstanceId,
    ) -> Result<&mut ReplayInstance, TraceError> {
        self.instances
            .get_mut(id)
            .ok_or_else(|| TraceError::new(line, format!("unknown instance {id}")))
    }

    pub(crate) fn engine(
        &mut self,
        line: usize,
        id: &EndpointId,
    ) -> Result<&mut ReplayEngine, TraceError> {
        self.engines
            .get_mut(id)
            .ok_or_else(|| TraceError::new(line, format!("unknown engine {id}")))
    }

    /// Returns the faults of an engine or, if there is no such engine, of a service.
    ///
    /// A service is created when it is first used.
    fn faults(&mut self, line: usize, id: &EndpointId) -> Result<&mut CallFaults, TraceError> {
        if self.engines.contains_key(id) {
            return Ok(&mut self.engine(line, id)?.faults);
        }
        Ok(&mut self.services.entry(Arc::clone(id)).or_default().faults)
    }
}
