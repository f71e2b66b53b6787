//! One request through a chain of endpoints.
//!
//! The machine keeps one step at an endpoint at a time. Each stage has a lineage of its own and a
//! log of its inputs. A stage whose endpoint is replaced starts again at position 0 under a higher
//! lineage than any used before, fed from its log, while the other stages run nothing again.

use std::time::{Duration, Instant};

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::{
    EndpointId, ErrorKind, LayerRange, Lineage, Outcome, Position, RequestStep, RouteError,
    StepCall, StepName, Token,
};

use crate::session_move::MoveTarget;
use crate::session_state::session_table;
use crate::{
    AttemptNumber, SessionAction, SessionCount, SessionEvent, SessionSettings, SessionSignal,
    SessionSpec, SessionStage, SessionState,
};

/// Largest power of two by which the timeout of a repeated step grows.
const BACKOFF_SHIFT: u32 = 6;
/// Part of the sessions' life after which it is prolonged.
const RENEWAL_PARTS: u32 = 3;

/// The step that is at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct PendingStep {
    pub(crate) stage: usize,
    pub(crate) call: StepCall,
    /// Each time that the step was sent.
    pub(crate) sent: Vec<(AttemptNumber, Instant)>,
}

impl PendingStep {
    /// Whether `attempt` is one of the calls that sent this step.
    pub(crate) fn was_sent_as(&self, attempt: AttemptNumber) -> bool {
        self.sent.iter().any(|(sent, _)| *sent == attempt)
    }
}

/// What a chain is sought for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlaceAim {
    /// The first chain of the request.
    First,
    /// Another endpoint for this stage, whose own has failed.
    Replace(usize),
    /// Another endpoint for this stage, whose own still answers.
    Move(usize),
    /// A chain over all layers in place of the one that cannot be mended.
    Whole,
}

/// Runs one request: takes events, gives actions.
#[derive(Clone, Debug)]
pub struct SessionMachine {
    pub(crate) spec: SessionSpec,
    pub(crate) settings: SessionSettings,
    pub(crate) chart: ChartMachine<SessionState, SessionSignal>,
    pub(crate) tokens: Vec<Token>,
    pub(crate) stages: Vec<SessionStage>,
    pub(crate) pending: Option<PendingStep>,
    pub(crate) attempt: AttemptNumber,
    pub(crate) lineage: Lineage,
    /// Endpoints that failed during this request.
    pub(crate) failed: Vec<EndpointId>,
    /// Endpoints at which an unanswered call at position 0 may still arrive.
    ///
    /// It would start the session again if that had been ended, and run a position twice in one
    /// lineage. So the session is not ended there but left to its time to live.
    pub(crate) open_starts: Vec<EndpointId>,
    pub(crate) aim: PlaceAim,
    pub(crate) lost: Option<usize>,
    pub(crate) target: Option<MoveTarget>,
    /// Times that the pending step was sent again.
    pub(crate) resumes: u32,
    /// Bad answers to the pending step.
    pub(crate) bad_answers: u32,
    /// Replacements since the last token.
    pub(crate) replaces: u32,
    /// Calls of which it is not known whether they ran, while no step is known to have run.
    pub(crate) unproved: Vec<AttemptNumber>,
    pub(crate) has_run: bool,
    pub(crate) cause: Option<RouteError>,
    pub(crate) count: SessionCount,
    pub(crate) actions: Vec<SessionAction>,
}

impl SessionMachine {
    /// Makes a session that has sent nothing.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the built-in state chart.
    pub fn new(spec: SessionSpec, settings: SessionSettings) -> Result<Self, ChartError> {
        Ok(Self {
            chart: ChartMachine::new(session_table()?),
            tokens: spec.prompt.to_vec(),
            spec,
            settings,
            stages: Vec::new(),
            pending: None,
            attempt: 0,
            lineage: 0,
            failed: Vec::new(),
            open_starts: Vec::new(),
            aim: PlaceAim::First,
            lost: None,
            target: None,
            resumes: 0,
            bad_answers: 0,
            replaces: 0,
            unproved: Vec::new(),
            has_run: false,
            cause: None,
            count: SessionCount::default(),
            actions: Vec::new(),
        })
    }

    /// Takes in one event and returns what to do, in order.
    pub fn handle(&mut self, event: SessionEvent, now: Instant) -> Vec<SessionAction> {
        match event {
            SessionEvent::Begin => self.begin(),
            SessionEvent::Answered { attempt, answer } => self.on_answer(attempt, &answer, now),
            SessionEvent::Failed { attempt, error } => self.on_failed(attempt, error, now),
            SessionEvent::Overdue { attempt } => self.on_overdue(attempt),
            SessionEvent::Status { attempt, status } => self.on_status(attempt, status, now),
            SessionEvent::Exported { attempt, cache } => self.on_exported(attempt, cache),
            SessionEvent::Imported { attempt, status } => self.on_imported(attempt, &status, now),
            SessionEvent::Placed { chain } => self.on_placed(chain, now),
            SessionEvent::Resume => self.on_resume(),
            SessionEvent::Leaving { endpoint } => self.on_leaving(&endpoint),
            SessionEvent::Tick => self.on_tick(now),
            SessionEvent::CallerLeft => self.on_caller_left(),
            SessionEvent::Deadline => self.give_up(ErrorKind::Deadline, "the deadline passed"),
        }
        std::mem::take(&mut self.actions)
    }

    /// Where the session stands.
    pub fn state(&self) -> SessionState {
        self.chart.state()
    }

    /// Whether the session is over.
    pub fn is_over(&self) -> bool {
        matches!(self.state(), SessionState::Done | SessionState::Failed)
    }

    /// The stages that run the request now.
    pub fn stages(&self) -> &[SessionStage] {
        &self.stages
    }

    /// What the session has met so far.
    pub fn count(&self) -> SessionCount {
        self.count
    }

    /// Tokens generated so far.
    pub fn generated(&self) -> &[Token] {
        &self.tokens[self.spec.prompt.len()..]
    }

    /// Inputs that the logs of all stages hold.
    pub fn logged(&self) -> usize {
        self.stages.iter().map(|stage| stage.log.len()).sum()
    }

    /// Lets the log of each stage keep at most `limit` inputs that have been used.
    pub fn trim_logs(&mut self, limit: usize) {
        for stage in &mut self.stages {
            stage.log.trim(stage.applied, limit);
        }
    }

    /// What can be said of the request if it ends without its whole answer now.
    pub fn outcome(&self) -> Outcome {
        if self.has_run || !self.unproved.is_empty() {
            Outcome::InDoubt
        } else {
            Outcome::NotRun
        }
    }

    pub(crate) fn layers(&self) -> LayerRange {
        LayerRange::new(0, self.spec.layers)
    }

    /// Moves the chart; `false` if it refuses, and then the event has no effect.
    pub(crate) fn signal(&mut self, signal: SessionSignal) -> bool {
        self.chart.apply(signal).is_ok()
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptNumber {
        self.attempt += 1;
        self.attempt
    }

    pub(crate) fn next_lineage(&mut self) -> Lineage {
        self.lineage += 1;
        self.lineage
    }

    fn begin(&mut self) {
        if self.signal(SessionSignal::Begun) {
            self.place(PlaceAim::First);
        }
    }

    /// Sends the next step, or ends the request.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.pending = None;
        self.resumes = 0;
        self.bad_answers = 0;
        if self.is_answer_whole() {
            return self.finish();
        }
        if let Some(stage) = self.stage_to_move() {
            return self.start_move(stage);
        }
        // The last stage that can run goes first, so that logged inputs are used up early.
        let next = (0..self.stages.len())
            .rev()
            .find(|stage| self.stages[*stage].applied < self.available(*stage));
        if let Some(stage) = next {
            self.prepare(stage);
            self.send(false, now);
        }
    }

    /// Positions whose inputs are at hand for a stage.
    fn available(&self, stage: usize) -> Position {
        match stage {
            0 => self.tokens.len() as Position,
            _ => self.stages[stage].log.end(),
        }
    }

    fn prepare(&mut self, index: usize) {
        let stage = &self.stages[index];
        let limit = self.settings.step_positions;
        let inputs = match index {
            0 => token_inputs(&self.tokens, stage.applied, limit),
            _ => stage.log.read(stage.applied, limit),
        };
        let call = StepCall {
            name: StepName {
                request: self.spec.request.clone(),
                lineage: stage.lineage,
                position: stage.applied,
                range: stage.range,
            },
            model: self.spec.model.clone(),
            inputs,
            life_milliseconds: u64::try_from(self.settings.life.as_millis()).unwrap_or(u64::MAX),
            priority: self.spec.priority,
        };
        self.pending = Some(PendingStep {
            stage: index,
            call,
            sent: Vec::new(),
        });
    }

    /// Sends the pending step.
    pub(crate) fn send(&mut self, fresh: bool, now: Instant) {
        if self.resumes > 0 {
            self.keep_open_start();
        }
        let attempt = self.next_attempt();
        let timeout = self.step_timeout();
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.sent.push((attempt, now));
        let stage = &mut self.stages[pending.stage];
        stage.touched = Some(now);
        if !self.has_run {
            self.unproved.push(attempt);
        }
        self.count.steps += 1;
        self.actions.push(SessionAction::Step {
            attempt,
            endpoint: stage.endpoint.clone(),
            call: pending.call.clone(),
            timeout,
            fresh,
        });
    }

    fn step_timeout(&self) -> Duration {
        let Some(pending) = &self.pending else {
            return self.settings.first_timeout;
        };
        let count = pending.call.inputs.len();
        let extra = self.settings.position_allowance * u32::try_from(count).unwrap_or(u32::MAX);
        let usual = match (count, self.stages[pending.stage].estimate.timeout()) {
            (1, Some(timeout)) => timeout,
            _ => self.settings.first_timeout + extra,
        };
        usual
            .max(self.settings.least_timeout)
            .saturating_mul(1 << self.resumes.min(BACKOFF_SHIFT))
            .min(self.settings.most_timeout.max(extra))
    }

    fn is_answer_whole(&self) -> bool {
        let generated = self.generated();
        let is_ended =
            self.spec.end_token.is_some() && generated.last() == self.spec.end_token.as_ref();
        is_ended || generated.len() >= self.spec.max_tokens.max(1)
    }

    fn finish(&mut self) {
        if self.signal(SessionSignal::Finished) {
            self.actions.push(SessionAction::Finish);
            self.cancel_all();
        }
    }

    /// Ends the request without its whole answer.
    pub(crate) fn give_up(&mut self, kind: ErrorKind, reason: &str) {
        if self.is_over() || !self.signal(SessionSignal::GaveUp) {
            return;
        }
        let message = match &self.cause {
            Some(cause) => format!("{reason}; last error: {cause}"),
            None => reason.to_owned(),
        };
        let error = RouteError::new(kind, self.request_step(), message)
            .with_outcome(self.outcome())
            .retry_after(self.settings.retry_after);
        let error = match &self.cause {
            Some(cause) => error.at(cause.peer().clone()),
            None => error,
        };
        self.actions.push(SessionAction::Fail { error });
        self.cancel_all();
    }

    fn request_step(&self) -> RequestStep {
        if self.stages.is_empty() {
            RequestStep::Planning
        } else if self.replaces > 0 {
            RequestStep::Recovery
        } else if self.generated().is_empty() {
            RequestStep::FirstStep
        } else {
            RequestStep::Decode
        }
    }

    fn cancel_all(&mut self) {
        self.keep_open_start();
        for index in 0..self.stages.len() {
            self.cancel(index);
        }
        if let Some(target) = self.target.take() {
            self.cancel_at(target.endpoint);
        }
    }

    /// Notes that an unanswered first step of the pending stage may still arrive.
    pub(crate) fn keep_open_start(&mut self) {
        if let Some(pending) = &self.pending
            && pending.call.name.position == 0
        {
            let endpoint = self.stages[pending.stage].endpoint.clone();
            self.open_starts.push(endpoint);
        }
    }

    /// Ends a stage's session at its endpoint, unless a late call could start it again.
    pub(crate) fn cancel(&mut self, index: usize) {
        let endpoint = self.stages[index].endpoint.clone();
        self.cancel_at(endpoint);
    }

    fn cancel_at(&mut self, endpoint: EndpointId) {
        if !self.open_starts.contains(&endpoint) {
            self.actions.push(SessionAction::Cancel { endpoint });
        }
    }

    fn on_tick(&mut self, now: Instant) {
        if self.is_over() {
            return;
        }
        let life = self.settings.life;
        for stage in &mut self.stages {
            let is_due = stage
                .touched
                .is_some_and(|touched| now.duration_since(touched) >= life / RENEWAL_PARTS);
            if is_due {
                stage.touched = Some(now);
                self.actions.push(SessionAction::Renew {
                    endpoint: stage.endpoint.clone(),
                    life,
                });
            }
        }
    }

    fn on_caller_left(&mut self) {
        if self.spec.repeatable {
            self.give_up(ErrorKind::CallerLeft, "the caller closed the connection");
        }
    }
}

fn token_inputs(tokens: &[Token], position: Position, limit: usize) -> std::sync::Arc<[u64]> {
    let first = usize::try_from(position).unwrap_or(usize::MAX);
    tokens
        .iter()
        .skip(first)
        .take(limit)
        .map(|token| u64::from(*token))
        .collect()
}
