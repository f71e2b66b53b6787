//! The decisions of a stand-in engine, without sockets.

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

/// One position that ran through the layers `start..end` of an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub lineage: Lineage,
    /// The position.
    pub position: Position,
    /// First layer that ran.
    pub start: Layer,
    /// One past the last layer that ran.
    pub end: Layer,
}

/// Why nothing ran.
#[derive(Clone, Debug)]
pub struct EngineRefusal {
    /// HTTP status.
    pub status: u16,
    /// Code of the error.
    pub code: &'static str,
    /// What was refused.
    pub message: String,
    /// What would not have been refused.
    pub expected: Option<u64>,
}

/// What is to be done with a step call.
#[derive(Debug)]
pub enum StepDecision {
    /// Spend this time, then [`EngineCore::complete`] the session with this serial number.
    Run {
        /// Time that the step takes.
        duration: Duration,
        /// Serial number of the session.
        serial: u64,
    },
    /// Another step of the session is running; ask again after it.
    Wait,
    /// The step ran before; this is its answer.
    Repeat(StepAnswer),
}

/// Sessions, ledger and orders of one engine.
#[derive(Debug)]
pub struct EngineCore {
    pub(crate) settings: EngineSettings,
    pub(crate) orders: OrderState,
    pub(crate) ledger: Vec<EngineEntry>,
    sessions: HashMap<RequestId, EngineSession>,
    serial: u64,
}

impl EngineCore {
    /// An engine without sessions.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            orders: OrderState::new(&settings),
            settings,
            ledger: Vec::new(),
            sessions: HashMap::new(),
            serial: 0,
        }
    }

    /// Decides on a step call and reserves the session if it is to run.
    ///
    /// # Errors
    ///
    /// The refusal of a step that may not run.
    pub fn begin(
        &mut self,
        call: &StepCall,
        is_leaving: bool,
        now: Instant,
    ) -> Result<StepDecision, EngineRefusal> {
        self.check_range(&call.model, call.name.range)?;
        if call.inputs.is_empty() {
            return Err(refusal(400, "malformed", "`inputs` is empty"));
        }
        self.expire(now);
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

    /// Runs the step that [`EngineCore::begin`] reserved.
    ///
    /// # Errors
    ///
    /// The session is no longer there.
    pub fn complete(
        &mut self,
        call: &StepCall,
        serial: u64,
        now: Instant,
        overslept: Duration,
    ) -> Result<StepAnswer, EngineRefusal> {
        let life = self.life_of(call);
        let layers = self.orders.layers;
        let session = self
            .sessions
            .get_mut(&call.name.request)
            .filter(|session| session.serial == serial)
            .ok_or_else(|| refusal(410, "gone", "the session was cancelled"))?;
        session.is_running = false;
        session.credit = overslept;
        session.expires = now + life;
        let outputs = session.run(call, layers);
        self.record(call);
        Ok(answer(call, outputs))
    }

    /// Where a session stands.
    pub fn status(&mut self, request: &RequestId, now: Instant) -> Option<SessionStatus> {
        self.expire(now);
        Some(self.sessions.get(request)?.status(request))
    }

    pub(crate) fn export(&mut self, request: &RequestId, now: Instant) -> Option<ExportedCache> {
        self.expire(now);
        Some(self.sessions.get(request)?.export(&self.orders.model))
    }

    /// Every position that ran, in order.
    pub fn ledger(&self) -> &[EngineEntry] {
        &self.ledger
    }

    /// The exported cache of a session as text.
    pub fn export_text(&mut self, request: &RequestId, now: Instant) -> Option<String> {
        serde_json::to_string(&self.export(request, now)?).ok()
    }

    /// Starts a session from the text of an exported cache.
    ///
    /// # Errors
    ///
    /// The cache is malformed or may not be taken in.
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

    /// Starts a session from an exported cache; a repeat of the import changes nothing.
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
        self.expire(now);
        let serial = self.next_serial();
        let expires = now + self.settings.session_life;
        let session = EngineSession::import(exported, lineage, serial, expires)
            .ok_or_else(|| refusal(422, "range", "the cache does not have one cell a layer"))?;
        let status = session.status(request);
        match self.sessions.get(request) {
            Some(present) if present.status(request) == status => return Ok(status),
            Some(present) if present.lineage >= lineage => {
                return Err(lineage_refusal(present.lineage));
            }
            Some(_) if !is_leaving => {}
            _ => self.check_room(is_leaving)?,
        }
        self.sessions.insert(Arc::clone(request), session);
        Ok(status)
    }

    /// Prolongs a session's life; `false` if there is none.
    pub fn renew(&mut self, request: &RequestId, life: Duration, now: Instant) -> bool {
        self.expire(now);
        match self.sessions.get_mut(request) {
            None => false,
            Some(session) => {
                session.expires = now + life;
                true
            }
        }
    }

    /// Ends a session.
    pub fn cancel(&mut self, request: &RequestId) {
        self.sessions.remove(request);
    }

    /// Number of sessions.
    pub fn session_count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.sessions.len()
    }

    /// Undisturbed time of a step with so many positions.
    pub fn step_duration(&self, positions: usize) -> Duration {
        let batches = positions.div_ceil(self.settings.batch_positions.max(1)) as u64;
        let layers = u64::from(self.orders.range.len());
        let compute = self.settings.layer_microseconds * layers * batches;
        Duration::from_micros(compute + self.settings.link_microseconds)
    }

    /// Refuses an order of an earlier lease holder, if the engine checks that.
    pub(crate) fn check_fence(&self, order: &OrderFields) -> Result<(), EngineRefusal> {
        let highest = self.orders.highest_fence;
        if self.settings.checks_fencing && order.fencing_number < highest {
            let mut stale = refusal(409, "stale-fence", "the fencing number is not the highest");
            stale.expected = Some(highest);
            return Err(stale);
        }
        Ok(())
    }

    /// Applies an order that arrived some time ago.
    pub(crate) fn apply_order(
        &mut self,
        order: OrderFields,
        raw: Value,
        age: Duration,
    ) -> Result<(), EngineRefusal> {
        self.check_fence(&order)?;
        let life = order.life_milliseconds.map(Duration::from_millis);
        if life.is_some_and(|life| age > life + self.settings.weight_load) {
            return Err(refusal(409, "expired", "the order is older than its life"));
        }
        let is_other = |model: &ModelId| *model != self.orders.model;
        let is_new_model = order.model.as_ref().is_some_and(is_other);
        self.orders.apply(order, raw);
        self.drop_unserved(is_new_model);
        Ok(())
    }

    /// Applies an order given as JSON that arrived some time ago.
    ///
    /// # Errors
    ///
    /// The order is malformed, stale or expired.
    pub fn apply_order_text(&mut self, text: &str, age: Duration) -> Result<(), EngineRefusal> {
        let malformed = |error: serde_json::Error| refusal(400, "malformed", &error.to_string());
        let raw: Value = serde_json::from_str(text).map_err(malformed)?;
        let order = serde_json::from_value(raw.clone()).map_err(malformed)?;
        self.apply_order(order, raw, age)
    }

    /// What `GET /orders` gives.
    pub fn order_report(&self) -> Value {
        self.orders.report()
    }

    /// Drops the sessions that the present weights cannot serve any more.
    pub(crate) fn drop_unserved(&mut self, is_new_model: bool) {
        let range = self.orders.range;
        self.sessions
            .retain(|_, session| !is_new_model && range.contains(session.range));
    }

    fn continue_session(
        &mut self,
        call: &StepCall,
        now: Instant,
    ) -> Result<StepDecision, EngineRefusal> {
        let (duration, life) = (self.step_duration(call.inputs.len()), self.life_of(call));
        let Some(session) = self.sessions.get_mut(&call.name.request) else {
            return Err(refusal(410, "gone", "no such session"));
        };
        if session.lineage != call.name.lineage {
            return Err(lineage_refusal(session.lineage));
        }
        if session.range != call.name.range {
            return Err(refusal(422, "range", "the session has other layers"));
        }
        session.expires = now + life;
        if let Some(outputs) = session.repeated(call) {
            return Ok(StepDecision::Repeat(answer(call, outputs)));
        }
        if session.next_position != call.name.position {
            let mut wrong = refusal(409, "position", "not the next position");
            wrong.expected = Some(session.next_position);
            return Err(wrong);
        }
        session.is_running = true;
        Ok(StepDecision::Run {
            duration: duration.saturating_sub(session.credit),
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
            return Err(self.missing_session(call));
        }
        if is_leaving || !self.sessions.contains_key(&call.name.request) {
            self.check_room(is_leaving)?;
        }
        let serial = self.next_serial();
        let mut session = EngineSession::new(call, serial, now);
        session.is_running = true;
        self.sessions
            .insert(Arc::clone(&call.name.request), session);
        let duration = self.step_duration(call.inputs.len());
        Ok(StepDecision::Run { duration, serial })
    }

    fn missing_session(&self, call: &StepCall) -> EngineRefusal {
        match self.sessions.get(&call.name.request) {
            Some(session) => lineage_refusal(session.lineage),
            None => refusal(410, "gone", "no such session"),
        }
    }

    fn check_range(&self, model: &str, range: LayerRange) -> Result<(), EngineRefusal> {
        let is_held = *model == *self.orders.model && self.orders.range.contains(range);
        if is_held && !range.is_empty() {
            return Ok(());
        }
        let message = format!("holds {} of {}", self.orders.range, self.orders.model);
        Err(refusal(422, "range", &message))
    }

    fn check_room(&self, is_leaving: bool) -> Result<(), EngineRefusal> {
        if is_leaving {
            return Err(refusal(503, "leaving", "no new sessions"));
        }
        if self.sessions.len() >= self.settings.capacity {
            return Err(refusal(429, "busy", "no free session"));
        }
        Ok(())
    }

    fn expire(&mut self, now: Instant) {
        self.sessions
            .retain(|_, session| session.is_running || now < session.expires);
    }

    fn life_of(&self, call: &StepCall) -> Duration {
        match call.life_milliseconds {
            0 => self.settings.session_life,
            life => Duration::from_millis(life),
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn record(&mut self, call: &StepCall) {
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

fn lineage_refusal(present: Lineage) -> EngineRefusal {
    EngineRefusal {
        expected: Some(u64::from(present)),
        ..refusal(409, "lineage", "the session has another lineage")
    }
}

fn answer(call: &StepCall, outputs: Arc<[u64]>) -> StepAnswer {
    StepAnswer {
        name: call.name.clone(),
        outputs,
    }
}
