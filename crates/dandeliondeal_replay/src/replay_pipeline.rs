//! Sessions, their calls to engines, and the results of these calls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::{AttemptNumber, PlanQuery, SessionEvent};
use dandeliondeal_types::{EndpointId, EndpointView, ErrorKind, RequestId};

use crate::RequestOutcome;
use crate::replay_engine::{EngineCall, EngineResult};
use crate::replay_session::{ReplaySession, SessionEffect};
use crate::replay_simulation::{ReplaySimulation, SimulationTask};

/// Interval between ticks of a session.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Endpoint view that excludes the endpoints shown as leaving by the instance list.
#[derive(Debug)]
struct LeavingView<'a>(&'a BTreeSet<EndpointId>);

impl EndpointView for LeavingView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        !self.0.contains(endpoint)
    }

    fn expected_wait(&self, _endpoint: &EndpointId) -> Duration {
        Duration::ZERO
    }
}

impl ReplaySimulation {
    pub(crate) fn start_session(&mut self, request: &RequestId, session: ReplaySession) {
        self.sessions.insert(Arc::clone(request), session);
        self.handle_session_event(request, SessionEvent::Begin);
        self.schedule(
            TICK_INTERVAL,
            SimulationTask::SessionTick(Arc::clone(request)),
        );
    }

    /// Passes an event to a session, or defers it while its instance is paused.
    pub(crate) fn handle_session_event(&mut self, request: &RequestId, event: SessionEvent) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(request) else {
            return;
        };
        let Some(instance) = self.instances.get_mut(&session.instance) else {
            return;
        };
        if instance.is_terminated() {
            return;
        }
        if instance.is_paused() {
            let task = SimulationTask::SessionEvent(Arc::clone(request), event);
            instance.deferred_tasks.push(task);
            return;
        }
        if !session.is_expected(&event) {
            return;
        }
        for effect in session.handle(event, now) {
            self.apply_effect(request, effect);
        }
    }

    /// Marks an engine as leaving; the instance list shows this after its lag.
    pub(crate) fn start_leaving(&mut self, endpoint: &EndpointId) {
        let now = self.elapsed();
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.leaving_since.get_or_insert(now);
        }
        let list_lag = Duration::from_millis(self.settings.list_lag_milliseconds);
        self.schedule(list_lag, SimulationTask::SeenLeaving(Arc::clone(endpoint)));
    }

    pub(crate) fn apply_results(
        &mut self,
        endpoint: &EndpointId,
        results: Vec<(Duration, EngineResult)>,
    ) {
        for (delay, result) in results {
            let (delay, task) = match result {
                EngineResult::Reply(request, event) => (
                    delay + self.link_delay(),
                    SimulationTask::SessionEvent(request, event),
                ),
                EngineResult::Retry(call) => (
                    delay,
                    SimulationTask::EngineCall(Arc::clone(endpoint), call),
                ),
                EngineResult::Complete(call, serial, process) => {
                    let endpoint = Arc::clone(endpoint);
                    (
                        delay,
                        SimulationTask::StepComputed(endpoint, call, serial, process),
                    )
                }
            };
            self.schedule(delay, task);
        }
    }

    pub(crate) fn handle_engine_call(&mut self, endpoint: &EndpointId, call: EngineCall) {
        let (now, elapsed) = (self.now(), self.elapsed());
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let request = Arc::clone(&call.request);
        let count_before = engine.session_count(now);
        let results = engine.receive(call, now);
        if engine.session_count(now) > count_before {
            self.session_starts
                .push((Arc::clone(endpoint), request, elapsed));
        }
        self.apply_results(endpoint, results);
    }

    pub(crate) fn handle_step_computed(
        &mut self,
        endpoint: &EndpointId,
        call: EngineCall,
        serial: u64,
        process: u32,
    ) {
        let now = self.now();
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let results = engine.complete(call, serial, process, now);
        self.apply_results(endpoint, results);
    }

    pub(crate) fn handle_call_timeout(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        endpoint: &EndpointId,
    ) {
        let Some(engine) = self.engines.get(endpoint) else {
            return;
        };
        let error = engine.error(ErrorKind::NoAnswer, "no answer in time");
        let session = self.sessions.get_mut(request);
        if let Some(event) = session.and_then(|session| session.timeout_event(attempt, error)) {
            self.handle_session_event(request, event);
        }
    }

    pub(crate) fn handle_session_tick(&mut self, request: &RequestId) {
        let is_open = |session: &ReplaySession| session.outcome == RequestOutcome::Open;
        if self.sessions.get(request).is_some_and(is_open) {
            self.handle_session_event(request, SessionEvent::Tick);
            self.schedule(
                TICK_INTERVAL,
                SimulationTask::SessionTick(Arc::clone(request)),
            );
        }
    }

    pub(crate) fn handle_seen_leaving(&mut self, endpoint: &EndpointId) {
        self.seen_leaving.insert(Arc::clone(endpoint));
        let requests: Vec<RequestId> = self.sessions.keys().cloned().collect();
        for request in requests {
            let endpoint = Arc::clone(endpoint);
            self.handle_session_event(&request, SessionEvent::Leaving { endpoint });
        }
    }

    fn apply_effect(&mut self, request: &RequestId, effect: SessionEffect) {
        match effect {
            SessionEffect::Call {
                endpoint,
                attempt,
                kind,
                timeout,
                uses_new_connection,
            } => {
                let Some(engine) = self.engines.get_mut(&endpoint) else {
                    return;
                };
                let call = engine.call(request, attempt, kind, uses_new_connection);
                let added_latency = engine.faults.added_latency;
                if let Some(timeout) = timeout {
                    let request = Arc::clone(request);
                    let task = SimulationTask::CallTimeout(request, attempt, Arc::clone(&endpoint));
                    self.schedule(timeout, task);
                }
                self.schedule(
                    added_latency + self.link_delay(),
                    SimulationTask::EngineCall(endpoint, call),
                );
            }
            SessionEffect::Place { range, avoid } => {
                let query = PlanQuery {
                    model: &self.settings.model,
                    range,
                    failure_domains: &[],
                    instance_domain: &"didube".into(),
                    avoid: &avoid,
                    tie_breaker: self.seed,
                };
                let chain = self
                    .plan_index
                    .plan(&query, &LeavingView(&self.seen_leaving));
                let event = SessionEvent::Placed { chain };
                let task = SimulationTask::SessionEvent(Arc::clone(request), event);
                self.schedule(Duration::ZERO, task);
            }
            SessionEffect::Pause(wait) => {
                let task = SimulationTask::SessionEvent(Arc::clone(request), SessionEvent::Resume);
                self.schedule(wait, task);
            }
        }
    }
}
