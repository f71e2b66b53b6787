//! The HTTP interface of a stand-in engine.

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
use crate::server::{CallHandler, HandlerAnswer, StandinCall, StandinReply, StandinServer};

/// Size of the body of a [`BadAnswer::Oversized`] response.
const OVERSIZED_BYTES: usize = 64 * 1024 * 1024;

/// Handles the HTTP calls to a stand-in engine.
#[derive(Debug)]
pub(crate) struct EngineHandler {
    pub(crate) core: RefCell<EngineCore>,
    step_finished: Notify,
    step_slots: Semaphore,
    cached_load: RefCell<Option<(Instant, Value)>>,
}

#[derive(Debug, Deserialize)]
struct RenewalBody {
    life_milliseconds: u64,
}

impl EngineHandler {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let slots = match settings.max_concurrent_steps {
            0 => Semaphore::MAX_PERMITS,
            slots => slots,
        };
        Self {
            step_slots: Semaphore::new(slots),
            core: RefCell::new(EngineCore::new(settings)),
            step_finished: Notify::new(),
            cached_load: RefCell::new(None),
        }
    }

    async fn route(&self, call: &StandinCall, server: &StandinServer) -> StandinReply {
        let path: Vec<&str> = call.path.trim_start_matches('/').split('/').collect();
        match (call.method.as_str(), path.as_slice()) {
            ("POST", ["steps"]) => self.step_reply(call, server).await,
            ("GET", ["sessions", request]) => self.status_reply(request),
            ("DELETE", ["sessions", request]) => self.cancel_reply(request),
            ("GET", ["sessions", request, "cache"]) => self.export_reply(request),
            ("PUT", ["sessions", request, "cache"]) => self.import_reply(request, call, server),
            ("POST", ["sessions", request, "renewal"]) => self.renewal_reply(request, call),
            ("GET", ["load"]) => self.load_reply(),
            ("GET", ["orders"]) => StandinReply::json(200, &self.core.borrow().orders.report()),
            ("POST", ["orders"]) => self.order_reply(call).await,
            _ => StandinReply::path_not_found(call),
        }
    }

    async fn step_reply(&self, call: &StandinCall, server: &StandinServer) -> StandinReply {
        let step = match call.json::<StepCall>() {
            Ok(step) => step,
            Err(reply) => return reply,
        };
        match self.run_step(&step, server).await {
            Err(refusal) => refusal_reply(&refusal),
            Ok(answer) => match server.faults_mut().take_bad_answer() {
                None => StandinReply::json(200, &answer),
                Some(kind) => bad_reply(answer, kind),
            },
        }
    }

    async fn run_step(
        &self,
        step: &StepCall,
        server: &StandinServer,
    ) -> Result<StepAnswer, EngineRefusal> {
        let (duration, serial) = loop {
            let is_leaving = server.faults().leaving;
            let decision = self
                .core
                .borrow_mut()
                .begin_step(step, is_leaving, Instant::now())?;
            match decision {
                StepDecision::Repeat(answer) => return Ok(answer),
                StepDecision::Wait => self.step_finished.notified().await,
                StepDecision::Run { duration, serial } => break (duration, serial),
            }
        };
        let slot = self.step_slots.acquire().await;
        let overrun = simulate_step(duration).await;
        drop(slot);
        server.wait_while_frozen().await;
        let now = Instant::now();
        let answer = self
            .core
            .borrow_mut()
            .complete_step(step, serial, now, overrun);
        self.step_finished.notify_waiters();
        answer
    }

    fn status_reply(&self, request: &str) -> StandinReply {
        let id = RequestId::from(request);
        match self.core.borrow_mut().status(&id, Instant::now()) {
            None => session_not_found_reply(request),
            Some(status) => StandinReply::json(200, &status),
        }
    }

    fn cancel_reply(&self, request: &str) -> StandinReply {
        self.core.borrow_mut().cancel(&RequestId::from(request));
        self.step_finished.notify_waiters();
        StandinReply::empty(204)
    }

    fn export_reply(&self, request: &str) -> StandinReply {
        let id = RequestId::from(request);
        match self.core.borrow_mut().export(&id, Instant::now()) {
            None => session_not_found_reply(request),
            Some(exported) => StandinReply::json(200, &exported),
        }
    }

    fn import_reply(
        &self,
        request: &str,
        call: &StandinCall,
        server: &StandinServer,
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
        let is_leaving = server.faults().leaving;
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
        let lifetime = match call.json::<RenewalBody>() {
            Ok(body) => Duration::from_millis(body.life_milliseconds),
            Err(reply) => return reply,
        };
        let id = RequestId::from(request);
        let is_renewed = self.core.borrow_mut().renew(&id, lifetime, Instant::now());
        if is_renewed {
            StandinReply::empty(204)
        } else {
            session_not_found_reply(request)
        }
    }

    fn load_reply(&self) -> StandinReply {
        let now = Instant::now();
        let mut core = self.core.borrow_mut();
        let max_age = core.settings.load_report_max_age;
        let mut cached_load = self.cached_load.borrow_mut();
        let is_fresh = |reported_at: &Instant| now.duration_since(*reported_at) < max_age;
        if let Some((_, value)) = cached_load
            .as_ref()
            .filter(|(reported_at, _)| is_fresh(reported_at))
        {
            return StandinReply::json(200, value);
        }
        let step_microseconds =
            u64::try_from(core.step_duration(1).as_micros()).unwrap_or(u64::MAX);
        let value = json!({
            "sessions": core.session_count(now),
            "capacity": core.settings.capacity,
            "step_microseconds": step_microseconds,
        });
        let reply = StandinReply::json(200, &value);
        *cached_load = Some((now, value));
        reply
    }

    async fn order_reply(&self, call: &StandinCall) -> StandinReply {
        let (order, raw) = match (call.json::<OrderFields>(), call.json::<Value>()) {
            (Ok(order), Ok(raw)) => (order, raw),
            (Err(reply), _) | (_, Err(reply)) => return reply,
        };
        let requires_load = self.core.borrow().orders.requires_load(&order);
        let load_duration = self.core.borrow().settings.weight_load_duration;
        if let Err(refusal) = self.core.borrow().check_fencing_number(&order) {
            return refusal_reply(&refusal);
        }
        if requires_load && !load_duration.is_zero() {
            sleep(load_duration).await;
        }
        match self.apply_order(order, raw, call.received_at) {
            Err(refusal) => refusal_reply(&refusal),
            Ok(()) => StandinReply::json(200, &json!({"applied": true})),
        }
    }

    fn apply_order(
        &self,
        order: OrderFields,
        raw: Value,
        received_at: Instant,
    ) -> Result<(), EngineRefusal> {
        let mut core = self.core.borrow_mut();
        // An order of a new lease holder may have been applied while the weights were loading, so
        // that the fencing number is checked again.
        core.apply_order(order, raw, received_at.elapsed())
    }
}

impl CallHandler for EngineHandler {
    async fn handle(self: Rc<Self>, call: StandinCall, server: Rc<StandinServer>) -> HandlerAnswer {
        HandlerAnswer::Reply(self.route(&call, &server).await)
    }

    fn ledger_lines(&self) -> String {
        crate::server::standin_call::json_lines(&self.core.borrow().ledger)
    }
}

/// Sleeps for the duration of a step and returns the excess time that the sleep took.
async fn simulate_step(duration: Duration) -> Duration {
    if duration.is_zero() {
        return Duration::ZERO;
    }
    let start = Instant::now();
    sleep(duration).await;
    start.elapsed().saturating_sub(duration)
}

fn session_not_found_reply(request: &str) -> StandinReply {
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
