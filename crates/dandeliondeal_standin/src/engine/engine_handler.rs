//! The HTTP calls of a stand-in engine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use dandeliondeal_types::{RequestId, StepAnswer, StepCall};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore};

use super::EngineSettings;
use super::engine_core::{EngineCore, EngineRefusal, StepDecision};
use super::engine_order::OrderFields;
use super::engine_session::ExportedCache;
use crate::BadAnswer;
use crate::shell::{CallHandler, HandlerAnswer, StandinCall, StandinReply, StandinShell};

/// Length of an oversized answer.
const OVERSIZED_BYTES: usize = 64 * 1024 * 1024;

/// An engine behind its socket.
#[derive(Debug)]
pub(crate) struct EngineHandler {
    pub(crate) core: RefCell<EngineCore>,
    step_ended: Notify,
    step_slots: Semaphore,
    load_report: RefCell<Option<(Instant, Value)>>,
}

#[derive(Debug, Deserialize)]
struct RenewalBody {
    life_milliseconds: u64,
}

impl EngineHandler {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let slots = match settings.step_slots {
            0 => Semaphore::MAX_PERMITS,
            slots => slots,
        };
        Self {
            step_slots: Semaphore::new(slots),
            core: RefCell::new(EngineCore::new(settings)),
            step_ended: Notify::new(),
            load_report: RefCell::new(None),
        }
    }

    async fn route(&self, call: &StandinCall, shell: &StandinShell) -> StandinReply {
        let path: Vec<&str> = call.path.trim_start_matches('/').split('/').collect();
        match (call.method.as_str(), path.as_slice()) {
            ("POST", ["steps"]) => self.step_reply(call, shell).await,
            ("GET", ["sessions", request]) => self.status_reply(request),
            ("DELETE", ["sessions", request]) => self.cancel_reply(request),
            ("GET", ["sessions", request, "cache"]) => self.export_reply(request),
            ("PUT", ["sessions", request, "cache"]) => self.import_reply(request, call, shell),
            ("POST", ["sessions", request, "renewal"]) => self.renewal_reply(request, call),
            ("GET", ["load"]) => self.load_reply(),
            ("GET", ["orders"]) => StandinReply::json(200, &self.core.borrow().orders.report()),
            ("POST", ["orders"]) => self.order_reply(call).await,
            _ => StandinReply::no_such_path(call),
        }
    }

    async fn step_reply(&self, call: &StandinCall, shell: &StandinShell) -> StandinReply {
        let step = match call.json::<StepCall>() {
            Ok(step) => step,
            Err(reply) => return reply,
        };
        match self.run_step(&step, shell).await {
            Err(refusal) => refusal_reply(&refusal),
            Ok(answer) => match shell.faults_mut().take_bad_answer() {
                None => StandinReply::json(200, &answer),
                Some(kind) => bad_reply(answer, kind),
            },
        }
    }

    async fn run_step(
        &self,
        step: &StepCall,
        shell: &StandinShell,
    ) -> Result<StepAnswer, EngineRefusal> {
        let (duration, serial) = loop {
            let is_leaving = shell.faults().leaving;
            let decision = self
                .core
                .borrow_mut()
                .begin(step, is_leaving, Instant::now())?;
            match decision {
                StepDecision::Repeat(answer) => return Ok(answer),
                StepDecision::Wait => self.step_ended.notified().await,
                StepDecision::Run { duration, serial } => break (duration, serial),
            }
        };
        let slot = self.step_slots.acquire().await;
        let overslept = compute(duration).await;
        drop(slot);
        shell.wait_thaw().await;
        let now = Instant::now();
        let answer = self
            .core
            .borrow_mut()
            .complete(step, serial, now, overslept);
        self.step_ended.notify_waiters();
        answer
    }

    fn status_reply(&self, request: &str) -> StandinReply {
        let id = RequestId::from(request);
        match self.core.borrow_mut().status(&id, Instant::now()) {
            None => no_session(request),
            Some(status) => StandinReply::json(200, &status),
        }
    }

    fn cancel_reply(&self, request: &str) -> StandinReply {
        self.core.borrow_mut().cancel(&RequestId::from(request));
        self.step_ended.notify_waiters();
        StandinReply::empty(204)
    }

    fn export_reply(&self, request: &str) -> StandinReply {
        let id = RequestId::from(request);
        match self.core.borrow_mut().export(&id, Instant::now()) {
            None => no_session(request),
            Some(exported) => StandinReply::json(200, &exported),
        }
    }

    fn import_reply(
        &self,
        request: &str,
        call: &StandinCall,
        shell: &StandinShell,
    ) -> StandinReply {
        let Some(lineage) = call
            .number("lineage")
            .and_then(|number| number.try_into().ok())
        else {
            return StandinReply::error(400, "malformed", "`lineage` is missing", None);
        };
        let exported = match call.json::<ExportedCache>() {
            Ok(exported) => exported,
            Err(reply) => return reply,
        };
        let is_leaving = shell.faults().leaving;
        let id = RequestId::from(request);
        let imported =
            self.core
                .borrow_mut()
                .import(&id, lineage, exported, is_leaving, Instant::now());
        match imported {
            Err(refusal) => refusal_reply(&refusal),
            Ok(status) => StandinReply::json(200, &status),
        }
    }

    fn renewal_reply(&self, request: &str, call: &StandinCall) -> StandinReply {
        let life = match call.json::<RenewalBody>() {
            Ok(body) => Duration::from_millis(body.life_milliseconds),
            Err(reply) => return reply,
        };
        let id = RequestId::from(request);
        let is_known = self.core.borrow_mut().renew(&id, life, Instant::now());
        if is_known {
            StandinReply::empty(204)
        } else {
            no_session(request)
        }
    }

    fn load_reply(&self) -> StandinReply {
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        let lag = core.settings.load_lag;
        let mut report = self.load_report.borrow_mut();
        let is_fresh = |taken: &Instant| now.duration_since(*taken) < lag;
        if let Some((_, value)) = report.as_ref().filter(|(taken, _)| is_fresh(taken)) {
            return StandinReply::json(200, value);
        }
        let step = u64::try_from(core.step_duration(1).as_micros()).unwrap_or(u64::MAX);
        let value = json!({
            "sessions": core.session_count(now),
            "capacity": core.settings.capacity,
            "step_microseconds": step,
        });
        let reply = StandinReply::json(200, &value);
        *report = Some((now, value));
        reply
    }

    async fn order_reply(&self, call: &StandinCall) -> StandinReply {
        let (order, raw) = match (call.json::<OrderFields>(), call.json::<Value>()) {
            (Ok(order), Ok(raw)) => (order, raw),
            (Err(reply), _) | (_, Err(reply)) => return reply,
        };
        let is_load = self.core.borrow().orders.is_load(&order);
        let load = self.core.borrow().settings.weight_load;
        if let Err(refusal) = self.core.borrow().check_fence(&order) {
            return refusal_reply(&refusal);
        }
        if is_load && !load.is_zero() {
            sleep(load).await;
        }
        match self.apply_order(order, raw, call.arrived) {
            Err(refusal) => refusal_reply(&refusal),
            Ok(()) => StandinReply::json(200, &json!({"applied": true})),
        }
    }

    fn apply_order(
        &self,
        order: OrderFields,
        raw: Value,
        arrived: Instant,
    ) -> Result<(), EngineRefusal> {
        let mut core = self.core.borrow_mut();
        // Another holder's order may have come while the weights were loading.
        core.apply_order(order, raw, arrived.elapsed())
    }
}

impl CallHandler for EngineHandler {
    async fn handle(self: Rc<Self>, call: StandinCall, shell: Rc<StandinShell>) -> HandlerAnswer {
        HandlerAnswer::Reply(self.route(&call, &shell).await)
    }

    fn ledger_lines(&self) -> String {
        crate::shell::standin_call::json_lines(&self.core.borrow().ledger)
    }
}

/// Spends the time of a step and returns by how much it took longer.
async fn compute(duration: Duration) -> Duration {
    if duration.is_zero() {
        return Duration::ZERO;
    }
    let start = Instant::now();
    sleep(duration).await;
    start.elapsed().saturating_sub(duration)
}

fn no_session(request: &str) -> StandinReply {
    StandinReply::error(404, "gone", &format!("no session {request}"), None)
}

fn refusal_reply(refusal: &EngineRefusal) -> StandinReply {
    StandinReply::error(
        refusal.status,
        refusal.code,
        &refusal.message,
        refusal.expected,
    )
}

fn bad_reply(mut answer: StepAnswer, kind: BadAnswer) -> StandinReply {
    match kind {
        BadAnswer::Range => answer.name.range.end += 1,
        BadAnswer::Position => answer.name.position += 1,
        BadAnswer::Request => answer.name.request = "another-request".into(),
        BadAnswer::Malformed => {
            return StandinReply::text(200, "application/json", "{\"request\":");
        }
        BadAnswer::Oversized => {
            return StandinReply::text(200, "application/json", vec![b' '; OVERSIZED_BYTES]);
        }
    }
    StandinReply::json(200, &answer)
}
