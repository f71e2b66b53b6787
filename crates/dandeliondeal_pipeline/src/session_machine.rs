//! State machine that runs one request through a chain of endpoints.
//!
//! At most one step is in flight at a time. Each stage has its own lineage and a log of its inputs.
//! A stage whose endpoint is replaced restarts at position 0 under a higher lineage than any used
//! before, and its inputs are replayed from its log. The other stages do not rerun, unless that log
//! was trimmed.

use std::time::{Duration, Instant};

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::{
    EndpointId, ErrorKind, LayerRange, Lineage, Outcome, Position, RequestStep, RouteError,
    StepCall, StepName, Token,
};

use crate::session_move::MoveTarget;
use crate::session_state::session_table;
use crate::{
    AttemptNumber, SessionAction, SessionCounters, SessionEvent, SessionSettings, SessionSignal,
    SessionSpec, SessionStage, SessionState,
};

/// Maximum exponent of the backoff: the timeout of a resent step grows at most 64-fold.
const MAX_BACKOFF_SHIFT: u32 = 6;
/// Fraction of a session's lifetime, as a divisor, after which an idle session is renewed.
const RENEWAL_DIVISOR: u32 = 3;

/// The step that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingStep {
    /// Index of the stage that runs the step.
    pub(crate) stage: usize,
    pub(crate) call: StepCall,
    /// Attempt number and time of each send of this step.
    pub(crate) sent: Vec<(AttemptNumber, Instant)>,
}

impl PendingStep {
    /// Returns whether `attempt` is one of the calls that sent this step.
    pub(crate) fn includes_attempt(&self, attempt: AttemptNumber) -> bool {
        self.sent.iter().any(|(sent, _)| *sent == attempt)
    }
}

/// What a requested chain is used for; a number is the index of a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChainUse {
    /// The first chain of the request.
    Initial,
    /// A replacement for a stage whose endpoint or session was lost.
    ReplaceStage(usize),
    /// A replacement for a stage whose endpoint still answers.
    MoveStage(usize),
    /// A new chain over all layers, after no replacement for a single stage was found.
    Whole,
}

/// Runs one request: turns events into actions, without input or output of its own.
#[derive(Clone, Debug)]
pub struct SessionMachine {
    pub(crate) spec: SessionSpec,
    pub(crate) settings: SessionSettings,
    pub(crate) chart: ChartMachine<SessionState, SessionSignal>,
    /// Tokens of the prompt, followed by the generated tokens.
    pub(crate) tokens: Vec<Token>,
    pub(crate) stages: Vec<SessionStage>,
    pub(crate) pending: Option<PendingStep>,
    pub(crate) last_attempt: AttemptNumber,
    pub(crate) last_lineage: Lineage,
    /// Endpoints that failed during this request and are excluded from new chains.
    pub(crate) failed_endpoints: Vec<EndpointId>,
    /// Endpoints at which an unanswered call at position 0 may still arrive.
    ///
    /// If the session had been cancelled there, such a call would start it again and run a position
    /// twice in one lineage. These sessions are therefore not cancelled but expire by themselves.
    pub(crate) unanswered_starts: Vec<EndpointId>,
    pub(crate) chain_use: ChainUse,
    /// Index of the stage that is waiting for a replacement.
    pub(crate) lost_stage: Option<usize>,
    pub(crate) move_target: Option<MoveTarget>,
    /// Number of attempts to resume the pending step at its endpoint.
    pub(crate) resume_count: u32,
    /// Number of invalid answers to the pending step.
    pub(crate) bad_answer_count: u32,
    /// Number of replacements and placement pauses since the last token.
    pub(crate) replacement_count: u32,
    /// Step calls that may have run, as long as no step is confirmed to have run.
    pub(crate) uncertain_attempts: Vec<AttemptNumber>,
    /// Whether any step of this request is confirmed to have run.
    pub(crate) has_confirmed_step: bool,
    pub(crate) last_error: Option<RouteError>,
    pub(crate) counters: SessionCounters,
    /// Actions to return from the current call of [`Self::handle`].
    pub(crate) actions: Vec<SessionAction>,
}

impl SessionMachine {
    /// Creates a session that has not sent anything yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in state chart is invalid.
    pub fn new(spec: SessionSpec, settings: SessionSettings) -> Result<Self, ChartError> {
        Ok(Self {
            chart: ChartMachine::new(session_table()?),
            tokens: spec.prompt.to_vec(),
            spec,
            settings,
            stages: Vec::new(),
            pending: None,
            last_attempt: 0,
            last_lineage: 0,
            failed_endpoints: Vec::new(),
            unanswered_starts: Vec::new(),
            chain_use: ChainUse::Initial,
            lost_stage: None,
            move_target: None,
            resume_count: 0,
            bad_answer_count: 0,
            replacement_count: 0,
            uncertain_attempts: Vec::new(),
            has_confirmed_step: false,
            last_error: None,
            counters: SessionCounters::default(),
            actions: Vec::new(),
        })
    }

    /// Processes one event and returns the actions to perform, in order.
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
            SessionEvent::Deadline => self.fail_request(ErrorKind::Deadline, "the deadline passed"),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the current state of the session.
    pub fn state(&self) -> SessionState {
        self.chart.state()
    }

    /// Returns whether the session has ended, successfully or not.
    pub fn is_over(&self) -> bool {
        matches!(self.state(), SessionState::Done | SessionState::Failed)
    }

    /// Returns the stages of the current chain.
    pub fn stages(&self) -> &[SessionStage] {
        &self.stages
    }

    /// Returns the counters of this session.
    pub fn counters(&self) -> SessionCounters {
        self.counters
    }

    /// Returns the tokens generated so far.
    pub fn generated(&self) -> &[Token] {
        &self.tokens[self.spec.prompt.len()..]
    }

    /// Returns the number of inputs in the logs of all stages.
    pub fn logged_inputs(&self) -> usize {
        self.stages.iter().map(|stage| stage.log.len()).sum()
    }

    /// Trims the log of each stage to `limit` inputs; inputs that were not processed yet are kept.
    pub fn trim_logs(&mut self, limit: usize) {
        for stage in &mut self.stages {
            stage.log.trim(stage.next_position, limit);
        }
    }

    /// Returns the outcome to report if the request ended now without its complete output.
    pub fn outcome(&self) -> Outcome {
        if self.has_confirmed_step || !self.uncertain_attempts.is_empty() {
            Outcome::InDoubt
        } else {
            Outcome::NotRun
        }
    }

    pub(crate) fn model_range(&self) -> LayerRange {
        LayerRange::new(0, self.spec.layers)
    }

    /// Applies a signal to the state chart; returns `false` if the current state refuses it.
    pub(crate) fn apply_signal(&mut self, signal: SessionSignal) -> bool {
        self.chart.apply(signal).is_ok()
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptNumber {
        self.last_attempt += 1;
        self.last_attempt
    }

    pub(crate) fn next_lineage(&mut self) -> Lineage {
        self.last_lineage += 1;
        self.last_lineage
    }

    fn begin(&mut self) {
        if self.apply_signal(SessionSignal::Begun) {
            self.request_chain(ChainUse::Initial);
        }
    }

    /// Sends the next step, or finishes the request if its output is complete.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.pending = None;
        self.resume_count = 0;
        self.bad_answer_count = 0;
        if self.is_output_complete() {
            return self.finish_request();
        }
        if let Some(stage) = self.stage_to_move() {
            return self.start_move(stage);
        }
        // The last stage that has inputs runs first, so that logged inputs are consumed early.
        let next = (0..self.stages.len())
            .rev()
            .find(|stage| self.stages[*stage].next_position < self.input_end(*stage));
        if let Some(stage) = next {
            self.prepare_step(stage);
            self.send_step(false, now);
        }
    }

    /// Returns one past the last position whose input is available to a stage.
    fn input_end(&self, stage: usize) -> Position {
        match stage {
            0 => self.tokens.len() as Position,
            _ => self.stages[stage].log.end_position(),
        }
    }

    /// Makes the next step of a stage the pending one.
    fn prepare_step(&mut self, index: usize) {
        let stage = &self.stages[index];
        let limit = self.settings.step_positions;
        let inputs = match index {
            0 => token_inputs(&self.tokens, stage.next_position, limit),
            _ => stage.log.read(stage.next_position, limit),
        };
        let call = StepCall {
            name: StepName {
                request: self.spec.request.clone(),
                lineage: stage.lineage,
                position: stage.next_position,
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

    /// Sends the pending step, over a new connection if `fresh` is set.
    pub(crate) fn send_step(&mut self, fresh: bool, now: Instant) {
        if self.resume_count > 0 {
            self.record_unanswered_start();
        }
        let attempt = self.next_attempt();
        let timeout = self.step_timeout();
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.sent.push((attempt, now));
        let stage = &mut self.stages[pending.stage];
        stage.last_contact = Some(now);
        if !self.has_confirmed_step {
            self.uncertain_attempts.push(attempt);
        }
        self.counters.steps += 1;
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
        let positions = pending.call.inputs.len();
        let allowance =
            self.settings.position_allowance * u32::try_from(positions).unwrap_or(u32::MAX);
        let base = match (positions, self.stages[pending.stage].estimate.timeout()) {
            (1, Some(timeout)) => timeout,
            _ => self.settings.first_timeout + allowance,
        };
        base.max(self.settings.least_timeout)
            .saturating_mul(1 << self.resume_count.min(MAX_BACKOFF_SHIFT))
            .min(self.settings.most_timeout.max(allowance))
    }

    fn is_output_complete(&self) -> bool {
        let generated = self.generated();
        let has_end_token =
            self.spec.end_token.is_some() && generated.last() == self.spec.end_token.as_ref();
        has_end_token || generated.len() >= self.spec.max_tokens.max(1)
    }

    fn finish_request(&mut self) {
        if self.apply_signal(SessionSignal::Finished) {
            self.actions.push(SessionAction::Finish);
            self.cancel_all();
        }
    }

    /// Ends the request without its complete output.
    pub(crate) fn fail_request(&mut self, kind: ErrorKind, reason: &str) {
        if self.is_over() || !self.apply_signal(SessionSignal::GaveUp) {
            return;
        }
        let message = match &self.last_error {
            Some(cause) => format!("{reason}; last error: {cause}"),
            None => reason.to_owned(),
        };
        let error = RouteError::new(kind, self.request_step(), message)
            .with_outcome(self.outcome())
            .retry_after(self.settings.retry_after);
        let error = match &self.last_error {
            Some(cause) => error.at(cause.peer().clone()),
            None => error,
        };
        self.actions.push(SessionAction::Fail { error });
        self.cancel_all();
    }

    /// Returns the step of the request to report in an error.
    fn request_step(&self) -> RequestStep {
        if self.stages.is_empty() {
            RequestStep::Planning
        } else if self.replacement_count > 0 {
            RequestStep::Recovery
        } else if self.generated().is_empty() {
            RequestStep::FirstStep
        } else {
            RequestStep::Decode
        }
    }

    fn cancel_all(&mut self) {
        self.record_unanswered_start();
        for index in 0..self.stages.len() {
            self.cancel_stage(index);
        }
        if let Some(target) = self.move_target.take() {
            self.cancel_endpoint(target.endpoint);
        }
    }

    /// Records that a pending step at position 0 may still arrive at its endpoint.
    pub(crate) fn record_unanswered_start(&mut self) {
        if let Some(pending) = &self.pending
            && pending.call.name.position == 0
        {
            let endpoint = self.stages[pending.stage].endpoint.clone();
            self.unanswered_starts.push(endpoint);
        }
    }

    /// Cancels a stage's session at its endpoint, unless a late call could start it again.
    pub(crate) fn cancel_stage(&mut self, index: usize) {
        let endpoint = self.stages[index].endpoint.clone();
        self.cancel_endpoint(endpoint);
    }

    fn cancel_endpoint(&mut self, endpoint: EndpointId) {
        if !self.unanswered_starts.contains(&endpoint) {
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
                .last_contact
                .is_some_and(|contact| now.duration_since(contact) >= life / RENEWAL_DIVISOR);
            if is_due {
                stage.last_contact = Some(now);
                self.actions.push(SessionAction::Renew {
                    endpoint: stage.endpoint.clone(),
                    life,
                });
            }
        }
    }

    fn on_caller_left(&mut self) {
        if self.spec.repeatable {
            self.fail_request(ErrorKind::CallerLeft, "the caller closed the connection");
        }
    }
}

/// Returns at most `limit` tokens from `position` on, as inputs of the first stage.
fn token_inputs(tokens: &[Token], position: Position, limit: usize) -> std::sync::Arc<[u64]> {
    let first = usize::try_from(position).unwrap_or(usize::MAX);
    tokens
        .iter()
        .skip(first)
        .take(limit)
        .map(|token| u64::from(*token))
        .collect()
}
