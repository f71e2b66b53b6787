//! The state machine of a stand-in engine, which performs no input or output.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{
    Layer, LayerRange, Lineage, ModelId, Position, RequestId, SessionStatus, StepAnswer, StepCall,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::EngineSettings;
use super::engine_order::{OrderFields, OrderState};
use super::engine_session::{EngineSession, ExportedCache};

/// Ledger entry for one position that ran in the layers `start..end` of an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Request that the session belongs to.
    pub request: RequestId,
    /// Lineage of the session, which distinguishes attempts of the request.
    pub lineage: Lineage,
    /// Position that ran.
    pub position: Position,
    /// First layer that ran.
    pub start: Layer,
    /// One past the last layer that ran.
    pub end: Layer,
}

/// The reason why an engine refused a call, with no effect.
#[derive(Clone, Debug)]
pub struct EngineRefusal {
    /// HTTP status code of the response.
    pub status: u16,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Error message.
    pub message: String,
    /// Value that the engine would have accepted, such as the next position.
    pub expected: Option<u64>,
}

/// The action that the caller of [`EngineCore::begin_step`] has to take for a step call.
#[derive(Debug)]
pub enum StepDecision {
    /// Wait for this duration, then call [`EngineCore::complete_step`] with this serial number.
    Run {
        /// Duration of the step.
        duration: Duration,
        /// Serial number of the session.
        serial: u64,
    },
    /// Retry when the step of this session that is now running has finished.
    Wait,
    /// Return this stored answer, because the step has already run.
    Repeat(StepAnswer),
}

/// Sessions, ledger and applied orders of one engine.
#[derive(Debug)]
pub struct EngineCore {
    pub(crate) settings: EngineSettings,
    pub(crate) orders: OrderState,
    pub(crate) ledger: Vec<EngineEntry>,
    sessions: HashMap<RequestId, EngineSession>,
    last_serial: u64,
}

impl EngineCore {
    /// Creates an engine without sessions.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            orders: OrderState::new(&settings),
            settings,
            ledger: Vec::new(),
            sessions: HashMap::new(),
            last_serial: 0,
        }
    }

    /// Checks a step call and, if it may run, marks its session as running.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a step that may not run.
    pub fn begin_step(
        &mut self,
        call: &StepCall,
        is_leaving: bool,
        now: Instant,
    ) -> Result<StepDecision, EngineRefusal> {
        self.check_range(&call.model, call.name.range)?;
        if call.inputs.is_empty() {
            return Err(refusal(400, "malformed", "`inputs` is empty"));
        }
        self.remove_expired_sessions(now);
        if let Some(session) = self.sessions.get(&call.name.request) {
            if session.is_running {
                return Ok(StepDecision::Wait);
            }
            if session.lineage >= call.name.lineage {
                return self.continue_session(call, now);
            }
        }
        self.start_session(call, is_leaving, now)
    }

    /// Runs a step that [`EngineCore::begin_step`] accepted, after its duration has passed.
    ///
    /// `overrun` is the excess time that the step took; the next step is shortened by it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the session no longer exists.
    pub fn complete_step(
        &mut self,
        call: &StepCall,
        serial: u64,
        now: Instant,
        overrun: Duration,
    ) -> Result<StepAnswer, EngineRefusal> {
        let lifetime = self.session_lifetime(call);
        let layers = self.orders.layers;
        let session = self
            .sessions
            .get_mut(&call.name.request)
            .filter(|session| session.serial == serial)
            .ok_or_else(|| refusal(410, "gone", "the session was cancelled"))?;
        session.is_running = false;
        session.time_credit = overrun;
        session.expires_at = now + lifetime;
        let outputs = session.run(call, layers);
        self.append_to_ledger(call);
        Ok(step_answer(call, outputs))
    }

    /// Returns the status of a session, or `None` if there is no such session.
    pub fn status(&mut self, request: &RequestId, now: Instant) -> Option<SessionStatus> {
        self.remove_expired_sessions(now);
        Some(self.sessions.get(request)?.status(request))
    }

    pub(crate) fn export(&mut self, request: &RequestId, now: Instant) -> Option<ExportedCache> {
        self.remove_expired_sessions(now);
        Some(self.sessions.get(request)?.export(&self.orders.model))
    }

    /// Returns every position that ran, in order.
    pub fn ledger(&self) -> &[EngineEntry] {
        &self.ledger
    }

    /// Exports the cache of a session as JSON.
    pub fn export_text(&mut self, request: &RequestId, now: Instant) -> Option<String> {
        serde_json::to_string(&self.export(request, now)?).ok()
    }

    /// Starts a session from an exported cache in JSON.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the cache is malformed or the engine cannot accept it.
    pub fn import_text(
        &mut self,
        request: &RequestId,
        lineage: Lineage,
        text: &str,
        is_leaving: bool,
        now: Instant,
    ) -> Result<SessionStatus, EngineRefusal> {
        let exported = serde_json::from_str(text)
            .map_err(|error| refusal(400, "malformed", &error.to_string()))?;
        self.import(request, lineage, exported, is_leaving, now)
    }

    /// Starts a session from an exported cache; a repeated import has no effect.
    pub(crate) fn import(
        &mut self,
        request: &RequestId,
        lineage: Lineage,
        exported: ExportedCache,
        is_leaving: bool,
        now: Instant,
    ) -> Result<SessionStatus, EngineRefusal> {
        let range = LayerRange::new(exported.start, exported.end);
        self.check_range(&exported.model, range)?;
        self.remove_expired_sessions(now);
        let serial = self.next_serial();
        let expires_at = now + self.settings.session_lifetime;
        let session = EngineSession::import(exported, lineage, serial, expires_at)
            .ok_or_else(|| refusal(422, "range", "the cache does not have one cell a layer"))?;
        let status = session.status(request);
        match self.sessions.get(request) {
            Some(existing) if existing.status(request) == status => return Ok(status),
            Some(existing) if existing.lineage >= lineage => {
                return Err(lineage_refusal(existing.lineage));
            }
            Some(_) if !is_leaving => {}
            _ => self.check_capacity(is_leaving)?,
        }
        self.sessions.insert(Arc::clone(request), session);
        Ok(status)
    }

    /// Extends the lifetime of a session; returns `false` if there is no such session.
    pub fn renew(&mut self, request: &RequestId, lifetime: Duration, now: Instant) -> bool {
        self.remove_expired_sessions(now);
        match self.sessions.get_mut(request) {
            None => false,
            Some(session) => {
                session.expires_at = now + lifetime;
                true
            }
        }
    }

    /// Cancels a session.
    pub fn cancel(&mut self, request: &RequestId) {
        self.sessions.remove(request);
    }

    /// Returns the number of sessions that have not expired.
    pub fn session_count(&mut self, now: Instant) -> usize {
        self.remove_expired_sessions(now);
        self.sessions.len()
    }

    /// Returns the duration of a step with this number of positions.
    pub fn step_duration(&self, positions: usize) -> Duration {
        let batches = positions.div_ceil(self.settings.batch_positions.max(1)) as u64;
        let layers = u64::from(self.orders.range.len());
        let compute = self.settings.layer_microseconds * layers * batches;
        Duration::from_micros(compute + self.settings.link_microseconds)
    }

    /// Refuses an order of a previous lease holder, if the engine checks fencing numbers.
    pub(crate) fn check_fencing_number(&self, order: &OrderFields) -> Result<(), EngineRefusal> {
        let highest_number = self.orders.highest_fencing_number;
        if self.settings.checks_fencing && order.fencing_number < highest_number {
            let mut stale_refusal =
                refusal(409, "stale-fence", "the fencing number is not the highest");
            stale_refusal.expected = Some(highest_number);
            return Err(stale_refusal);
        }
        Ok(())
    }

    /// Applies an order; `age` is the time since it arrived.
    pub(crate) fn apply_order(
        &mut self,
        order: OrderFields,
        raw: Value,
        age: Duration,
    ) -> Result<(), EngineRefusal> {
        self.check_fencing_number(&order)?;
        let lifetime = order.life_milliseconds.map(Duration::from_millis);
        if lifetime.is_some_and(|lifetime| age > lifetime + self.settings.weight_load_duration) {
            return Err(refusal(409, "expired", "the order is older than its life"));
        }
        let is_different = |model: &ModelId| *model != self.orders.model;
        let is_new_model = order.model.as_ref().is_some_and(is_different);
        self.orders.apply(order, raw);
        self.remove_unservable_sessions(is_new_model);
        Ok(())
    }

    /// Applies an order in JSON; `age` is the time since it arrived.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the order is malformed, expired or has an outdated fencing number.
    pub fn apply_order_text(&mut self, text: &str, age: Duration) -> Result<(), EngineRefusal> {
        let malformed = |error: serde_json::Error| refusal(400, "malformed", &error.to_string());
        let raw: Value = serde_json::from_str(text).map_err(malformed)?;
        let order = serde_json::from_value(raw.clone()).map_err(malformed)?;
        self.apply_order(order, raw, age)
    }

    /// Returns the body of the response to `GET /orders`.
    pub fn order_report(&self) -> Value {
        self.orders.report()
    }

    /// Removes the sessions that the loaded weights can no longer serve.
    pub(crate) fn remove_unservable_sessions(&mut self, is_new_model: bool) {
        let range = self.orders.range;
        self.sessions
            .retain(|_, session| !is_new_model && range.contains(session.range));
    }

    fn continue_session(
        &mut self,
        call: &StepCall,
        now: Instant,
    ) -> Result<StepDecision, EngineRefusal> {
        let (duration, lifetime) = (
            self.step_duration(call.inputs.len()),
            self.session_lifetime(call),
        );
        let Some(session) = self.sessions.get_mut(&call.name.request) else {
            return Err(refusal(410, "gone", "no such session"));
        };
        if session.lineage != call.name.lineage {
            return Err(lineage_refusal(session.lineage));
        }
        if session.range != call.name.range {
            return Err(refusal(422, "range", "the session has other layers"));
        }
        session.expires_at = now + lifetime;
        if let Some(outputs) = session.repeated_outputs(call) {
            return Ok(StepDecision::Repeat(step_answer(call, outputs)));
        }
        if session.next_position != call.name.position {
            let mut position_refusal = refusal(409, "position", "not the next position");
            position_refusal.expected = Some(session.next_position);
            return Err(position_refusal);
        }
        session.is_running = true;
        Ok(StepDecision::Run {
            duration: duration.saturating_sub(session.time_credit),
            serial: session.serial,
        })
    }

    fn start_session(
        &mut self,
        call: &StepCall,
        is_leaving: bool,
        now: Instant,
    ) -> Result<StepDecision, EngineRefusal> {
        if call.name.position != 0 {
            return Err(self.missing_session_refusal(call));
        }
        if is_leaving || !self.sessions.contains_key(&call.name.request) {
            self.check_capacity(is_leaving)?;
        }
        let serial = self.next_serial();
        let mut session = EngineSession::new(call, serial, now);
        session.is_running = true;
        self.sessions
            .insert(Arc::clone(&call.name.request), session);
        let duration = self.step_duration(call.inputs.len());
        Ok(StepDecision::Run { duration, serial })
    }

    fn missing_session_refusal(&self, call: &StepCall) -> EngineRefusal {
        match self.sessions.get(&call.name.request) {
            Some(session) => lineage_refusal(session.lineage),
            None => refusal(410, "gone", "no such session"),
        }
    }

    fn check_range(&self, model: &str, range: LayerRange) -> Result<(), EngineRefusal> {
        let is_loaded = *model == *self.orders.model && self.orders.range.contains(range);
        if is_loaded && !range.is_empty() {
            return Ok(());
        }
        let message = format!("holds {} of {}", self.orders.range, self.orders.model);
        Err(refusal(422, "range", &message))
    }

    fn check_capacity(&self, is_leaving: bool) -> Result<(), EngineRefusal> {
        if is_leaving {
            return Err(refusal(503, "leaving", "no new sessions"));
        }
        if self.sessions.len() >= self.settings.capacity {
            return Err(refusal(429, "busy", "no free session"));
        }
        Ok(())
    }

    fn remove_expired_sessions(&mut self, now: Instant) {
        self.sessions
            .retain(|_, session| session.is_running || now < session.expires_at);
    }

    fn session_lifetime(&self, call: &StepCall) -> Duration {
        match call.life_milliseconds {
            0 => self.settings.session_lifetime,
            lifetime => Duration::from_millis(lifetime),
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    fn append_to_ledger(&mut self, call: &StepCall) {
        let positions = call.name.position..call.name.position + call.inputs.len() as u64;
        self.ledger.extend(positions.map(|position| EngineEntry {
            request: Arc::clone(&call.name.request),
            lineage: call.name.lineage,
            position,
            start: call.name.range.start,
            end: call.name.range.end,
        }));
    }
}

pub(crate) fn refusal(status: u16, code: &'static str, message: &str) -> EngineRefusal {
    EngineRefusal {
        status,
        code,
        message: message.to_owned(),
        expected: None,
    }
}

fn lineage_refusal(existing: Lineage) -> EngineRefusal {
    EngineRefusal {
        expected: Some(u64::from(existing)),
        ..refusal(409, "lineage", "the session has another lineage")
    }
}

fn step_answer(call: &StepCall, outputs: Arc<[u64]>) -> StepAnswer {
    StepAnswer {
        name: call.name.clone(),
        outputs,
    }
}
