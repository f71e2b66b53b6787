//! Runs a trace and compares what comes with what it states.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::SessionEvent;
use dandeliondeal_types::{EndpointId, InstanceId};

use crate::recorded_sessions::RecordedSessions;
use crate::replay_claims::KeyedRequest;
use crate::replay_engine::{CallFaults, ReplayEngine};
use crate::replay_instance::{InstanceRun, ReplayInstance};
use crate::replay_session::ReplaySession;
use crate::replay_sheets::SheetChange;
use crate::replay_world::{ReplayWorld, WorldTask};
use crate::{EngineSpec, ReplayReport, StatedOutcome, Trace, TraceError, TraceEvent, TraceStep};

/// Time that a trace runs on after its last line, so that everything late has come.
const REST: Duration = Duration::from_mins(2);
/// Time between two looks at an instance that stops.
const STOP_INTERVAL: Duration = Duration::from_millis(20);

/// Replays a trace.
///
/// # Errors
///
/// A line names something that the trace does not have.
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
    let mut world = ReplayWorld::new(trace)?;
    let mut recorded = RecordedSessions::new(world.now());
    let mut report = ReplayReport {
        trace: Arc::clone(&trace.header.trace),
        events: 0,
        outcomes: 0,
        mismatches: Vec::new(),
    };
    let mut end = Duration::ZERO;
    for line in &trace.lines {
        world.run_until(line.at);
        end = line.at;
        match &line.step {
            TraceStep::Event(event) => {
                report.events += 1;
                world.happen(line.number, event)?;
            }
            TraceStep::Recorded(event) => {
                report.events += 1;
                recorded.happen(line.number, event)?;
            }
            TraceStep::RecordedActions(actions) => {
                report.outcomes += 1;
                report
                    .mismatches
                    .extend(recorded.compare(line.number, actions)?);
            }
            TraceStep::Outcome(outcome) => {
                report.outcomes += 1;
                report.mismatches.extend(world.compare(line, outcome)?);
            }
        }
    }
    world.run_until(end + REST);
    report.mismatches.extend(world.breaches());
    Ok(report)
}

impl ReplayWorld {
    fn happen(&mut self, line: usize, event: &TraceEvent) -> Result<(), TraceError> {
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
                    end: StatedOutcome::Open,
                };
                self.start_keyed(request, keyed);
            }
            TraceEvent::CallerLeft { request } => self.feed(request, SessionEvent::CallerLeft),
            TraceEvent::Deadline { request } => self.feed(request, SessionEvent::Deadline),
            TraceEvent::Join {
                endpoint,
                start,
                end,
            } => self.join(&EngineSpec {
                id: Arc::clone(endpoint),
                start: *start,
                end: *end,
                ignores_fencing: false,
            }),
            TraceEvent::Leave { endpoint } => self.leave(endpoint),
            TraceEvent::StoreOutage { on } => self.store.is_out = *on,
            TraceEvent::StoreSlow { milliseconds } => {
                self.store.slow = Duration::from_millis(*milliseconds);
            }
            TraceEvent::StoreLoseAnswers { count } => self.store.lose_answers = *count,
            TraceEvent::StoreLateWrites {
                count,
                milliseconds,
            } => {
                self.store.late_writes = *count;
                self.store.late = Duration::from_millis(*milliseconds);
            }
            TraceEvent::Start { instance } => self.start_instance(line, instance)?,
            TraceEvent::Sheet {
                change,
                base,
                capacity,
            } => self.give_sheet(
                line,
                &SheetChange {
                    change: Arc::clone(change),
                    base: *base,
                    capacity: Arc::clone(capacity),
                },
            )?,
            TraceEvent::Desire { endpoint, version } => self.desire(line, endpoint, version)?,
            TraceEvent::Contend { instance } => {
                let process = self.instance(line, instance)?.process;
                let task = WorldTask::LeaseTick(Arc::clone(instance), process);
                self.after(Duration::ZERO, task);
            }
            TraceEvent::Pause { instance }
            | TraceEvent::Resume { instance }
            | TraceEvent::Stop { instance }
            | TraceEvent::Crash { instance } => self.instance_event(line, event, instance)?,
            _ => self.endpoint_event(line, event)?,
        }
        Ok(())
    }

    fn instance_event(
        &mut self,
        line: usize,
        event: &TraceEvent,
        id: &InstanceId,
    ) -> Result<(), TraceError> {
        let now = self.elapsed();
        let instance = self.instance(line, id)?;
        match event {
            TraceEvent::Pause { .. } => instance.run = InstanceRun::Paused,
            TraceEvent::Resume { .. } => {
                instance.run = InstanceRun::Running;
                for task in std::mem::take(&mut instance.held) {
                    self.after(Duration::ZERO, task);
                }
            }
            TraceEvent::Stop { .. } => {
                instance.stopping = Some(now);
                let lag = Duration::from_millis(self.settings.balancer_lag_milliseconds);
                self.after(lag, WorldTask::BalancerMoved(Arc::clone(id)));
            }
            _ => {
                instance.run = InstanceRun::Gone;
                self.break_requests(id);
            }
        }
        Ok(())
    }

    /// An instance that stops takes nothing new any more; it ends once nothing is open.
    pub(crate) fn balancer_moved(&mut self, id: &InstanceId) {
        let is_busy = self.open_requests(id) > 0;
        if let Some(instance) = self.instances.get_mut(id) {
            instance.is_unlisted = true;
            if !is_busy {
                instance.run = InstanceRun::Gone;
            }
        }
        if is_busy {
            self.after(STOP_INTERVAL, WorldTask::BalancerMoved(Arc::clone(id)));
        }
    }

    fn open_requests(&self, id: &InstanceId) -> usize {
        let sessions = self
            .sessions
            .values()
            .map(|session| (&session.instance, session.end));
        let keyed = self
            .keyed
            .values()
            .map(|keyed| (&keyed.instance, keyed.end));
        sessions
            .chain(keyed)
            .filter(|(instance, end)| *instance == id && *end == StatedOutcome::Open)
            .count()
    }

    fn break_requests(&mut self, id: &InstanceId) {
        let sessions = self
            .sessions
            .values_mut()
            .map(|session| (&session.instance, &mut session.end));
        let keyed = self
            .keyed
            .values_mut()
            .map(|keyed| (&keyed.instance, &mut keyed.end));
        for (instance, end) in sessions.chain(keyed) {
            if instance == id && *end == StatedOutcome::Open {
                *end = StatedOutcome::Broken;
            }
        }
    }

    fn endpoint_event(&mut self, line: usize, event: &TraceEvent) -> Result<(), TraceError> {
        match event {
            TraceEvent::Kill { endpoint } => {
                if let Some(service) = self.services.get_mut(endpoint) {
                    service.is_dead = true;
                    return Ok(());
                }
                self.engine(line, endpoint)?.kill();
            }
            TraceEvent::Restart { endpoint } => {
                if let Some(service) = self.services.get_mut(endpoint) {
                    service.is_dead = false;
                    return Ok(());
                }
                self.engine(line, endpoint)?.is_dead = false;
            }
            TraceEvent::Silence { endpoint } => self.engine(line, endpoint)?.silence(),
            TraceEvent::Freeze { endpoint } => self.engine(line, endpoint)?.is_frozen = true,
            TraceEvent::Thaw { endpoint } => {
                for call in self.engine(line, endpoint)?.thaw() {
                    let task = WorldTask::Arrive(Arc::clone(endpoint), call);
                    self.after(Duration::ZERO, task);
                }
            }
            TraceEvent::Slow {
                endpoint,
                milliseconds,
            } => self.faults(line, endpoint)?.slow = Duration::from_millis(*milliseconds),
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
                faults.late = Duration::from_millis(*milliseconds);
            }
            TraceEvent::CrossAnswers { endpoint } => self.faults(line, endpoint)?.cross = true,
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
            .ok_or_else(|| TraceError::new(line, format!("no instance {id}")))
    }

    pub(crate) fn engine(
        &mut self,
        line: usize,
        id: &EndpointId,
    ) -> Result<&mut ReplayEngine, TraceError> {
        self.engines
            .get_mut(id)
            .ok_or_else(|| TraceError::new(line, format!("no engine {id}")))
    }

    /// The faults of an engine, or of a service, which comes into being with its first mention.
    fn faults(&mut self, line: usize, id: &EndpointId) -> Result<&mut CallFaults, TraceError> {
        if self.engines.contains_key(id) {
            return Ok(&mut self.engine(line, id)?.faults);
        }
        Ok(&mut self.services.entry(Arc::clone(id)).or_default().faults)
    }
}
