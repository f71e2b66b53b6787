//! A simulated engine and the connections to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_order::{EndpointOrder, EngineContent};
use dandeliondeal_pipeline::{AttemptNumber, SessionEvent};
use dandeliondeal_standin::{EngineCore, EngineEntry, EngineRefusal, EngineSettings, StepDecision};
use dandeliondeal_types::{
    EndpointId, ErrorKind, FencingNumber, LayerRange, Lineage, Outcome, RequestId, RequestStep,
    RouteError, StepAnswer, StepCall,
};

use crate::{EngineSpec, TraceSettings};

/// Time after which a step that cannot run or finish yet is tried again.
const STEP_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Operation that a call requests.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Step(StepCall),
    Status,
    Export,
    Import(Lineage, Arc<str>),
    Renew(Duration),
    Cancel,
}

/// A call that is in flight to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) kind: CallKind,
    /// Generation of the connection; a lower one than the engine's means that it is silent.
    connection_generation: u32,
}

/// Effect of a call, which takes place after a delay.
#[derive(Clone, Debug)]
pub(crate) enum EngineResult {
    /// Delivers an event to the session of this request.
    Reply(RequestId, SessionEvent),
    /// Processes the call again.
    Retry(EngineCall),
    /// Completes a step: the call, the step's serial number, and the engine's process number.
    Complete(EngineCall, u64, u32),
}

/// Faults that affect the next calls to an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallFaults {
    /// Remaining number of answers to lose.
    pub(crate) lose_answers: u32,
    /// Remaining number of calls to lose.
    pub(crate) lose_calls: u32,
    /// Remaining number of answers to delay.
    pub(crate) late_answers: u32,
    /// Delay of a late answer.
    pub(crate) late_delay: Duration,
    /// Latency added to the link, each way.
    pub(crate) added_latency: Duration,
    /// Whether the next two answers to different requests are exchanged.
    pub(crate) cross_answers: bool,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct ReplayEngine {
    pub(crate) id: EndpointId,
    pub(crate) range: LayerRange,
    pub(crate) faults: CallFaults,
    pub(crate) is_killed: bool,
    pub(crate) is_frozen: bool,
    pub(crate) leaving_since: Option<Duration>,
    /// Highest fencing number of the orders that were applied.
    pub(crate) highest_order: FencingNumber,
    /// Ledgers of the processes before the current one.
    pub(crate) previous_ledgers: Vec<Vec<EngineEntry>>,
    settings: EngineSettings,
    core: EngineCore,
    /// Number of the current process, which increases when the engine is killed.
    process: u32,
    /// Generation of connections opened now; connections of earlier ones are silent.
    connection_generation: u32,
    /// Generation of the open connection that calls reuse.
    reused_generation: u32,
    /// Calls that arrived while the engine was frozen.
    deferred_calls: Vec<EngineCall>,
    /// First of two answers to exchange, with its request and attempt.
    pending_crossed_answer: Option<(RequestId, AttemptNumber, StepAnswer)>,
}

impl ReplayEngine {
    pub(crate) fn new(spec: &EngineSpec, trace: &TraceSettings) -> Self {
        let range = LayerRange::new(spec.start, spec.end);
        let settings = EngineSettings {
            model: Arc::clone(&trace.model),
            layers: trace.layers,
            range,
            layer_microseconds: trace.layer_microseconds,
            checks_fencing: !spec.ignores_fencing,
            ..EngineSettings::default()
        };
        Self {
            id: Arc::clone(&spec.id),
            range,
            faults: CallFaults::default(),
            is_killed: false,
            is_frozen: false,
            leaving_since: None,
            highest_order: 0,
            previous_ledgers: Vec::new(),
            core: EngineCore::new(settings.clone()),
            settings,
            process: 0,
            connection_generation: 0,
            reused_generation: 0,
            deferred_calls: Vec::new(),
            pending_crossed_answer: None,
        }
    }

    /// Returns the ledger of each process, the current one last.
    pub(crate) fn ledgers(&self) -> impl Iterator<Item = &[EngineEntry]> {
        self.previous_ledgers
            .iter()
            .map(Vec::as_slice)
            .chain([self.core.ledger()])
    }

    pub(crate) fn session_count(&mut self, now: Instant) -> usize {
        self.core.session_count(now)
    }

    pub(crate) fn checks_fencing(&self) -> bool {
        self.settings.checks_fencing
    }

    /// Returns the content that the engine reports as loaded.
    pub(crate) fn loaded_content(&self) -> Option<EngineContent> {
        serde_json::from_value(self.core.order_report()).ok()
    }

    /// Applies an order, and returns `false` if the engine refuses it.
    pub(crate) fn apply_order(&mut self, order: &EndpointOrder) -> bool {
        let text = serde_json::to_string(order).unwrap_or_default();
        self.core.apply_order_text(&text, Duration::ZERO).is_ok()
    }

    pub(crate) fn kill(&mut self) {
        self.is_killed = true;
        self.is_frozen = false;
        self.deferred_calls.clear();
        self.pending_crossed_answer = None;
        self.process += 1;
        let core = EngineCore::new(self.settings.clone());
        let previous_core = std::mem::replace(&mut self.core, core);
        self.previous_ledgers.push(previous_core.ledger().to_vec());
    }

    /// Makes all connections that are open now silent.
    pub(crate) fn silence(&mut self) {
        self.connection_generation += 1;
    }

    /// Ends a freeze and returns the calls that arrived during it.
    pub(crate) fn thaw(&mut self) -> Vec<EngineCall> {
        self.is_frozen = false;
        std::mem::take(&mut self.deferred_calls)
    }

    /// Creates a call over the open connection, or over a new one.
    pub(crate) fn call(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        kind: CallKind,
        uses_new_connection: bool,
    ) -> EngineCall {
        if uses_new_connection {
            self.reused_generation = self.connection_generation;
        }
        EngineCall {
            request: Arc::clone(request),
            attempt,
            kind,
            connection_generation: self.reused_generation,
        }
    }

    /// Processes a call that has arrived.
    pub(crate) fn receive(
        &mut self,
        call: EngineCall,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        if self.is_killed {
            return self.refuse_connection(&call);
        }
        if self.is_silent(&call) || consume_fault(&mut self.faults.lose_calls) {
            return Vec::new();
        }
        if self.is_frozen {
            self.deferred_calls.push(call);
            return Vec::new();
        }
        match call.kind.clone() {
            CallKind::Step(step) => self.begin_step(call, &step, now),
            CallKind::Status => {
                let status = self.core.status(&call.request, now);
                let attempt = call.attempt;
                self.reply(&call, SessionEvent::Status { attempt, status })
            }
            CallKind::Export => self.export(&call, now),
            CallKind::Import(lineage, cache) => self.import(&call, lineage, &cache, now),
            CallKind::Renew(lifetime) => {
                self.core.renew(&call.request, lifetime, now);
                Vec::new()
            }
            CallKind::Cancel => {
                self.core.cancel(&call.request);
                Vec::new()
            }
        }
    }

    /// Completes a step whose computation time has passed.
    pub(crate) fn complete(
        &mut self,
        call: EngineCall,
        serial: u64,
        process: u32,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        if self.is_killed || process != self.process {
            let error = self.error(ErrorKind::NoAnswer, "connection reset");
            return self.reply(&call, failed_event(&call, error));
        }
        if self.is_frozen {
            return vec![(
                STEP_RETRY_DELAY,
                EngineResult::Complete(call, serial, process),
            )];
        }
        let CallKind::Step(step) = &call.kind else {
            return Vec::new();
        };
        match self.core.complete_step(step, serial, now, Duration::ZERO) {
            Err(refusal) => self.reply(&call, failed_event(&call, self.refusal_error(&refusal))),
            Ok(answer) => self.answer(&call, answer),
        }
    }

    pub(crate) fn error(&self, kind: ErrorKind, message: &str) -> RouteError {
        RouteError::new(kind, RequestStep::Decode, message).at(Arc::clone(&self.id))
    }

    fn begin_step(
        &mut self,
        call: EngineCall,
        step: &StepCall,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        let is_leaving = self.leaving_since.is_some();
        match self.core.begin_step(step, is_leaving, now) {
            Err(refusal) => self.reply(&call, failed_event(&call, self.refusal_error(&refusal))),
            Ok(StepDecision::Repeat(answer)) => self.answer(&call, answer),
            Ok(StepDecision::Wait) => vec![(STEP_RETRY_DELAY, EngineResult::Retry(call))],
            Ok(StepDecision::Run { duration, serial }) => {
                let result = EngineResult::Complete(call, serial, self.process);
                vec![(duration, result)]
            }
        }
    }

    fn export(&mut self, call: &EngineCall, now: Instant) -> Vec<(Duration, EngineResult)> {
        let event = match self.core.export_text(&call.request, now) {
            None => failed_event(call, self.error(ErrorKind::Gone, "no such session")),
            Some(cache) => SessionEvent::Exported {
                attempt: call.attempt,
                cache: cache.into(),
            },
        };
        self.reply(call, event)
    }

    fn import(
        &mut self,
        call: &EngineCall,
        lineage: Lineage,
        cache: &str,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        let is_leaving = self.leaving_since.is_some();
        let imported = self
            .core
            .import_text(&call.request, lineage, cache, is_leaving, now);
        let event = match imported {
            Err(refusal) => failed_event(call, self.refusal_error(&refusal)),
            Ok(status) => SessionEvent::Imported {
                attempt: call.attempt,
                status,
            },
        };
        self.reply(call, event)
    }

    /// Sends the answer of a step, or exchanges it with that of another request.
    fn answer(&mut self, call: &EngineCall, answer: StepAnswer) -> Vec<(Duration, EngineResult)> {
        if !self.faults.cross_answers {
            let attempt = call.attempt;
            return self.reply(call, SessionEvent::Answered { attempt, answer });
        }
        match self.pending_crossed_answer.take() {
            Some((request, attempt, other_answer)) if request != call.request => {
                self.faults.cross_answers = false;
                let own_event = SessionEvent::Answered {
                    attempt: call.attempt,
                    answer: other_answer,
                };
                let other_event = SessionEvent::Answered { attempt, answer };
                let mut results = self.reply(call, own_event);
                results.push((
                    self.faults.added_latency,
                    EngineResult::Reply(request, other_event),
                ));
                results
            }
            _ => {
                self.pending_crossed_answer =
                    Some((Arc::clone(&call.request), call.attempt, answer));
                Vec::new()
            }
        }
    }

    /// Returns the event as a reply, subject to the faults that affect answers.
    fn reply(&mut self, call: &EngineCall, event: SessionEvent) -> Vec<(Duration, EngineResult)> {
        if self.is_silent(call) || consume_fault(&mut self.faults.lose_answers) {
            return Vec::new();
        }
        let late_delay = if consume_fault(&mut self.faults.late_answers) {
            self.faults.late_delay
        } else {
            Duration::ZERO
        };
        let result = EngineResult::Reply(Arc::clone(&call.request), event);
        vec![(self.faults.added_latency + late_delay, result)]
    }

    fn refuse_connection(&self, call: &EngineCall) -> Vec<(Duration, EngineResult)> {
        let error = self.error(ErrorKind::Refused, "connection refused");
        let event = failed_event(call, error);
        vec![(
            Duration::ZERO,
            EngineResult::Reply(Arc::clone(&call.request), event),
        )]
    }

    fn is_silent(&self, call: &EngineCall) -> bool {
        call.connection_generation < self.connection_generation
    }

    /// Converts a refusal to an error with the outcome `NotRun`, since a refused call did not run.
    fn refusal_error(&self, refusal: &EngineRefusal) -> RouteError {
        let kind = match refusal.code {
            "gone" => ErrorKind::Gone,
            "leaving" => ErrorKind::Leaving,
            "busy" => ErrorKind::Overloaded,
            _ => ErrorKind::BadAnswer,
        };
        self.error(kind, &refusal.message)
            .with_outcome(Outcome::NotRun)
    }
}

/// Creates the event that reports an error to the calling session.
fn failed_event(call: &EngineCall, error: RouteError) -> SessionEvent {
    SessionEvent::Failed {
        attempt: call.attempt,
        error,
    }
}

/// Uses up one of the remaining faults, and returns whether there was one.
pub(crate) fn consume_fault(remaining: &mut u32) -> bool {
    let is_active = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_active
}
