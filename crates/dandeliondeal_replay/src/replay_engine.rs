//! An engine of a trace and the connections to it.

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

/// Time until a step that waits for another one asks again.
const WAIT: Duration = Duration::from_millis(1);

/// What a call asks for.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Step(StepCall),
    Ask,
    Export,
    Import(Lineage, Arc<str>),
    Renew(Duration),
    Cancel,
}

/// A call on its way to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) kind: CallKind,
    /// Connections made before the last silence have a lower number.
    connection: u32,
}

/// What comes of a call, after a delay.
#[derive(Clone, Debug)]
pub(crate) enum EngineResult {
    /// Reaches the session that called.
    Reply(RequestId, SessionEvent),
    /// The call is looked at again.
    Again(EngineCall),
    /// A step's time has been spent at the process with this number.
    Complete(EngineCall, u64, u32),
}

/// Faults that hit the calls to come.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallFaults {
    pub(crate) lose_answers: u32,
    pub(crate) lose_calls: u32,
    pub(crate) late_answers: u32,
    pub(crate) late: Duration,
    pub(crate) slow: Duration,
    pub(crate) cross: bool,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct ReplayEngine {
    pub(crate) id: EndpointId,
    pub(crate) range: LayerRange,
    pub(crate) faults: CallFaults,
    pub(crate) is_dead: bool,
    pub(crate) is_frozen: bool,
    pub(crate) leaving_since: Option<Duration>,
    /// Highest fencing number of an order that took effect.
    pub(crate) highest_order: FencingNumber,
    /// Ledgers of the processes before the present one.
    pub(crate) earlier: Vec<Vec<EngineEntry>>,
    settings: EngineSettings,
    core: EngineCore,
    process: u32,
    connection: u32,
    kept_connection: u32,
    held: Vec<EngineCall>,
    crossed: Option<(RequestId, AttemptNumber, StepAnswer)>,
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
            is_dead: false,
            is_frozen: false,
            leaving_since: None,
            highest_order: 0,
            earlier: Vec::new(),
            core: EngineCore::new(settings.clone()),
            settings,
            process: 0,
            connection: 0,
            kept_connection: 0,
            held: Vec::new(),
            crossed: None,
        }
    }

    /// Every ledger, one a process.
    pub(crate) fn ledgers(&self) -> impl Iterator<Item = &[EngineEntry]> {
        self.earlier
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

    /// What the engine says that it holds.
    pub(crate) fn content(&self) -> Option<EngineContent> {
        serde_json::from_value(self.core.order_report()).ok()
    }

    /// Takes an order that has just arrived; `false` if it is refused.
    pub(crate) fn take_order(&mut self, order: &EndpointOrder) -> bool {
        let text = serde_json::to_string(order).unwrap_or_default();
        self.core.apply_order_text(&text, Duration::ZERO).is_ok()
    }

    pub(crate) fn kill(&mut self) {
        self.is_dead = true;
        self.is_frozen = false;
        self.held.clear();
        self.crossed = None;
        self.process += 1;
        let core = EngineCore::new(self.settings.clone());
        let dead = std::mem::replace(&mut self.core, core);
        self.earlier.push(dead.ledger().to_vec());
    }

    pub(crate) fn silence(&mut self) {
        self.connection += 1;
    }

    /// Ends a freeze and gives back the calls that came meanwhile.
    pub(crate) fn thaw(&mut self) -> Vec<EngineCall> {
        self.is_frozen = false;
        std::mem::take(&mut self.held)
    }

    /// A call over a kept connection, or a new one.
    pub(crate) fn call(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        kind: CallKind,
        fresh: bool,
    ) -> EngineCall {
        if fresh {
            self.kept_connection = self.connection;
        }
        EngineCall {
            request: Arc::clone(request),
            attempt,
            kind,
            connection: self.kept_connection,
        }
    }

    /// Carries out a call that has arrived.
    pub(crate) fn receive(
        &mut self,
        call: EngineCall,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        if self.is_dead {
            return self.refuse(&call);
        }
        if self.is_silent(&call) || take_one(&mut self.faults.lose_calls) {
            return Vec::new();
        }
        if self.is_frozen {
            self.held.push(call);
            return Vec::new();
        }
        match call.kind.clone() {
            CallKind::Step(step) => self.begin(call, &step, now),
            CallKind::Ask => {
                let status = self.core.status(&call.request, now);
                let attempt = call.attempt;
                self.reply(&call, SessionEvent::Status { attempt, status })
            }
            CallKind::Export => self.export(&call, now),
            CallKind::Import(lineage, cache) => self.import(&call, lineage, &cache, now),
            CallKind::Renew(life) => {
                self.core.renew(&call.request, life, now);
                Vec::new()
            }
            CallKind::Cancel => {
                self.core.cancel(&call.request);
                Vec::new()
            }
        }
    }

    /// Runs a step whose time has been spent.
    pub(crate) fn complete(
        &mut self,
        call: EngineCall,
        serial: u64,
        process: u32,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        if self.is_dead || process != self.process {
            let error = self.error(ErrorKind::NoAnswer, "connection reset");
            return self.reply(&call, failed(&call, error));
        }
        if self.is_frozen {
            return vec![(WAIT, EngineResult::Complete(call, serial, process))];
        }
        let CallKind::Step(step) = &call.kind else {
            return Vec::new();
        };
        match self.core.complete(step, serial, now, Duration::ZERO) {
            Err(refusal) => self.reply(&call, failed(&call, self.refused(&refusal))),
            Ok(answer) => self.answer(&call, answer),
        }
    }

    pub(crate) fn error(&self, kind: ErrorKind, message: &str) -> RouteError {
        RouteError::new(kind, RequestStep::Decode, message).at(Arc::clone(&self.id))
    }

    fn begin(
        &mut self,
        call: EngineCall,
        step: &StepCall,
        now: Instant,
    ) -> Vec<(Duration, EngineResult)> {
        let is_leaving = self.leaving_since.is_some();
        match self.core.begin(step, is_leaving, now) {
            Err(refusal) => self.reply(&call, failed(&call, self.refused(&refusal))),
            Ok(StepDecision::Repeat(answer)) => self.answer(&call, answer),
            Ok(StepDecision::Wait) => vec![(WAIT, EngineResult::Again(call))],
            Ok(StepDecision::Run { duration, serial }) => {
                let result = EngineResult::Complete(call, serial, self.process);
                vec![(duration, result)]
            }
        }
    }

    fn export(&mut self, call: &EngineCall, now: Instant) -> Vec<(Duration, EngineResult)> {
        let event = match self.core.export_text(&call.request, now) {
            None => failed(call, self.error(ErrorKind::Gone, "no such session")),
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
            Err(refusal) => failed(call, self.refused(&refusal)),
            Ok(status) => SessionEvent::Imported {
                attempt: call.attempt,
                status,
            },
        };
        self.reply(call, event)
    }

    fn answer(&mut self, call: &EngineCall, answer: StepAnswer) -> Vec<(Duration, EngineResult)> {
        if !self.faults.cross {
            let attempt = call.attempt;
            return self.reply(call, SessionEvent::Answered { attempt, answer });
        }
        match self.crossed.take() {
            Some((request, attempt, other)) if request != call.request => {
                self.faults.cross = false;
                let own = SessionEvent::Answered {
                    attempt: call.attempt,
                    answer: other,
                };
                let theirs = SessionEvent::Answered { attempt, answer };
                let mut results = self.reply(call, own);
                results.push((self.faults.slow, EngineResult::Reply(request, theirs)));
                results
            }
            _ => {
                self.crossed = Some((Arc::clone(&call.request), call.attempt, answer));
                Vec::new()
            }
        }
    }

    fn reply(&mut self, call: &EngineCall, event: SessionEvent) -> Vec<(Duration, EngineResult)> {
        if self.is_silent(call) || take_one(&mut self.faults.lose_answers) {
            return Vec::new();
        }
        let late = if take_one(&mut self.faults.late_answers) {
            self.faults.late
        } else {
            Duration::ZERO
        };
        let result = EngineResult::Reply(Arc::clone(&call.request), event);
        vec![(self.faults.slow + late, result)]
    }

    fn refuse(&self, call: &EngineCall) -> Vec<(Duration, EngineResult)> {
        let error = self.error(ErrorKind::Refused, "connection refused");
        let event = failed(call, error);
        vec![(
            Duration::ZERO,
            EngineResult::Reply(Arc::clone(&call.request), event),
        )]
    }

    fn is_silent(&self, call: &EngineCall) -> bool {
        call.connection < self.connection
    }

    /// A refusal is proof that the call did not run.
    fn refused(&self, refusal: &EngineRefusal) -> RouteError {
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

fn failed(call: &EngineCall, error: RouteError) -> SessionEvent {
    SessionEvent::Failed {
        attempt: call.attempt,
        error,
    }
}

pub(crate) fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
