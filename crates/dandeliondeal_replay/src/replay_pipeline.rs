//! Sessions, their calls to engines, and what comes back.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::{AttemptNumber, PlanQuery, SessionEvent};
use dandeliondeal_types::{EndpointId, EndpointView, ErrorKind, RequestId};

use crate::StatedOutcome;
use crate::replay_engine::{EngineCall, EngineResult};
use crate::replay_session::{ReplaySession, SessionOrder};
use crate::replay_world::{ReplayWorld, WorldTask};

/// Time between two ticks of a session.
const TICK: Duration = Duration::from_secs(1);

/// What the instance list has told so far.
#[derive(Debug)]
struct ListView<'world>(&'world BTreeSet<EndpointId>);

impl EndpointView for ListView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        !self.0.contains(endpoint)
    }

    fn expected_wait(&self, _endpoint: &EndpointId) -> Duration {
        Duration::ZERO
    }
}

impl ReplayWorld {
    pub(crate) fn start_session(&mut self, request: &RequestId, session: ReplaySession) {
        self.sessions.insert(Arc::clone(request), session);
        self.feed(request, SessionEvent::Begin);
        self.after(TICK, WorldTask::Tick(Arc::clone(request)));
    }

    /// Hands an event to a session, or keeps it while its instance stands still.
    pub(crate) fn feed(&mut self, request: &RequestId, event: SessionEvent) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(request) else {
            return;
        };
        let Some(instance) = self.instances.get_mut(&session.instance) else {
            return;
        };
        if instance.is_gone() {
            return;
        }
        if instance.is_paused() {
            let task = WorldTask::Session(Arc::clone(request), event);
            instance.held.push(task);
            return;
        }
        if !session.is_expected(&event) {
            return;
        }
        for order in session.handle(event, now) {
            self.carry_out(request, order);
        }
    }

    pub(crate) fn leave(&mut self, endpoint: &EndpointId) {
        let now = self.elapsed();
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.leaving_since.get_or_insert(now);
        }
        let lag = Duration::from_millis(self.settings.list_lag_milliseconds);
        self.after(lag, WorldTask::SeenLeaving(Arc::clone(endpoint)));
    }

    pub(crate) fn apply_results(
        &mut self,
        endpoint: &EndpointId,
        results: Vec<(Duration, EngineResult)>,
    ) {
        for (wait, result) in results {
            let (wait, task) = match result {
                EngineResult::Reply(request, event) => {
                    (wait + self.link(), WorldTask::Session(request, event))
                }
                EngineResult::Again(call) => (wait, WorldTask::Arrive(Arc::clone(endpoint), call)),
                EngineResult::Complete(call, serial, process) => {
                    let endpoint = Arc::clone(endpoint);
                    (wait, WorldTask::Computed(endpoint, call, serial, process))
                }
            };
            self.after(wait, task);
        }
    }

    pub(crate) fn arrive(&mut self, endpoint: &EndpointId, call: EngineCall) {
        let (now, elapsed) = (self.now(), self.elapsed());
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let request = Arc::clone(&call.request);
        let before = engine.session_count(now);
        let results = engine.receive(call, now);
        if engine.session_count(now) > before {
            self.started.push((Arc::clone(endpoint), request, elapsed));
        }
        self.apply_results(endpoint, results);
    }

    pub(crate) fn computed(
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

    pub(crate) fn timed_out(
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
        if let Some(event) = session.and_then(|session| session.timed_out(attempt, error)) {
            self.feed(request, event);
        }
    }

    pub(crate) fn tick(&mut self, request: &RequestId) {
        let is_open = |session: &ReplaySession| session.end == StatedOutcome::Open;
        if self.sessions.get(request).is_some_and(is_open) {
            self.feed(request, SessionEvent::Tick);
            self.after(TICK, WorldTask::Tick(Arc::clone(request)));
        }
    }

    pub(crate) fn see_leaving(&mut self, endpoint: &EndpointId) {
        self.seen_leaving.insert(Arc::clone(endpoint));
        let requests: Vec<RequestId> = self.sessions.keys().cloned().collect();
        for request in requests {
            let endpoint = Arc::clone(endpoint);
            self.feed(&request, SessionEvent::Leaving { endpoint });
        }
    }

    fn carry_out(&mut self, request: &RequestId, order: SessionOrder) {
        match order {
            SessionOrder::Call {
                endpoint,
                attempt,
                kind,
                timeout,
                fresh,
            } => {
                let Some(engine) = self.engines.get_mut(&endpoint) else {
                    return;
                };
                let call = engine.call(request, attempt, kind, fresh);
                let way = engine.faults.slow;
                if let Some(timeout) = timeout {
                    let request = Arc::clone(request);
                    let task = WorldTask::Timeout(request, attempt, Arc::clone(&endpoint));
                    self.after(timeout, task);
                }
                self.after(way + self.link(), WorldTask::Arrive(endpoint, call));
            }
            SessionOrder::Place { range, avoid } => {
                let query = PlanQuery {
                    model: &self.settings.model,
                    range,
                    domains: &[],
                    home: &"didube".into(),
                    avoid: &avoid,
                    spread: self.seed,
                };
                let chain = self.index.plan(&query, &ListView(&self.seen_leaving));
                let event = SessionEvent::Placed { chain };
                let task = WorldTask::Session(Arc::clone(request), event);
                self.after(Duration::ZERO, task);
            }
            SessionOrder::Pause(wait) => {
                let task = WorldTask::Session(Arc::clone(request), SessionEvent::Resume);
                self.after(wait, task);
            }
        }
    }
}
