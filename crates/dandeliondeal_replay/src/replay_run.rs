//! Runs a trace and compares what comes with what it states.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::SessionEvent;
use dandeliondeal_types::{EndpointId, InstanceId};

use crate::replay_claims::KeyedRequest;
use crate::replay_engine::{CallFaults, ReplayEngine};
use crate::replay_session::ReplaySession;
use crate::replay_world::{ReplayWorld, WorldTask};
use crate::{
    EngineSpec, ReplayMismatch, ReplayReport, StatedOutcome, Trace, TraceError, TraceEvent,
    TraceLine, TraceOutcome, TraceStep,
};

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
    let mut world = ReplayWorld::new(trace);
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
                    is_repeat: false,
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
        let instance = self
            .instances
            .get_mut(id)
            .ok_or_else(|| TraceError::new(line, format!("no instance {id}")))?;
        match event {
            TraceEvent::Pause { .. } => instance.is_paused = true,
            TraceEvent::Resume { .. } => {
                instance.is_paused = false;
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
                instance.is_gone = true;
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
            instance.is_gone |= !is_busy;
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

    fn engine(&mut self, line: usize, id: &EndpointId) -> Result<&mut ReplayEngine, TraceError> {
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

    fn compare(
        &mut self,
        line: &TraceLine,
        outcome: &TraceOutcome,
    ) -> Result<Option<ReplayMismatch>, TraceError> {
        let number = line.number;
        let (expected, found) = match outcome {
            TraceOutcome::Outcome { request, outcome } => {
                let session = self.sessions.get(request).map(|session| session.end);
                let keyed = self.keyed.get(request).map(|keyed| keyed.end);
                let end = session
                    .or(keyed)
                    .ok_or_else(|| TraceError::new(number, format!("no request {request}")))?;
                (format!("{outcome:?}"), format!("{end:?}"))
            }
            TraceOutcome::Delivered { request, tokens } => {
                let delivered = self.session(number, request)?.delivered.len();
                (tokens.to_string(), delivered.to_string())
            }
            TraceOutcome::Runs { key, count } => {
                let ledgers = self.services.values().flat_map(|service| &service.ledger);
                let runs = ledgers.filter(|(ran, _)| ran == key).count();
                (count.to_string(), runs.to_string())
            }
            TraceOutcome::Sessions { endpoint, count } => {
                let now = self.now();
                let sessions = self.engine(number, endpoint)?.session_count(now);
                (count.to_string(), sessions.to_string())
            }
            TraceOutcome::Met {
                request,
                count,
                least,
            } => {
                let met = self.met(number, request, count)?;
                (least.to_string(), met.min(*least).to_string())
            }
            TraceOutcome::Ran { endpoint, least } => {
                let ran = self.engine(number, endpoint)?.ledgers().flatten().count();
                (least.to_string(), ran.min(*least).to_string())
            }
            TraceOutcome::Stopped { instance } => {
                let is_gone = self
                    .instances
                    .get(instance)
                    .is_some_and(|found| found.is_gone);
                (true.to_string(), is_gone.to_string())
            }
        };
        let is_same = expected == found;
        Ok((!is_same).then(|| ReplayMismatch {
            line: number,
            expected: format!("{outcome:?}").into(),
            found: found.into(),
        }))
    }

    fn session(&self, line: usize, request: &str) -> Result<&ReplaySession, TraceError> {
        self.sessions
            .get(request)
            .ok_or_else(|| TraceError::new(line, format!("no request {request}")))
    }

    fn met(&self, line: usize, request: &str, name: &str) -> Result<u64, TraceError> {
        let count = self.session(line, request)?.count();
        match name {
            "resumed" => Ok(count.resumed),
            "imported" => Ok(count.imported),
            "fed" => Ok(count.fed),
            "rerun" => Ok(count.rerun),
            "restarted" => Ok(count.restarted),
            "crossed" => Ok(count.crossed),
            "stale" => Ok(count.stale),
            "bad" => Ok(count.bad),
            _ => Err(TraceError::new(line, format!("no count {name}"))),
        }
    }
}
