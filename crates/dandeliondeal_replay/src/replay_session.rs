//! A completion request of a trace.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::{
    AttemptNumber, SessionAction, SessionCounters, SessionEvent, SessionMachine, SessionSettings,
    SessionSpec,
};
use dandeliondeal_standin::reference_answer;
use dandeliondeal_types::{InstanceId, Outcome, RequestId, Token};

use crate::replay_engine::CallKind;
use crate::{RequestOutcome, TraceError, TraceSettings};

/// An action of a session that has an effect outside it.
#[derive(Clone, Debug)]
pub(crate) enum SessionEffect {
    /// Calls an engine, with a timeout if an answer is expected.
    Call {
        endpoint: dandeliondeal_types::EndpointId,
        attempt: AttemptNumber,
        kind: CallKind,
        timeout: Option<Duration>,
        uses_new_connection: bool,
    },
    /// Requests a chain of engines for a range of layers.
    Place {
        range: dandeliondeal_types::LayerRange,
        avoid: Vec<dandeliondeal_types::EndpointId>,
    },
    /// Resumes the session after a pause.
    Pause(Duration),
}

/// Kind of a pending call, which decides the event that its timeout causes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PendingCall {
    Step,
    /// A status query, export or import.
    Control,
}

/// A completion request and the tokens that its caller has received.
#[derive(Debug)]
pub(crate) struct ReplaySession {
    pub(crate) instance: InstanceId,
    pub(crate) delivered: Vec<Token>,
    pub(crate) outcome: RequestOutcome,
    machine: SessionMachine,
    prompt: Vec<u64>,
    tokens: usize,
    pending_calls: BTreeMap<AttemptNumber, PendingCall>,
}

impl ReplaySession {
    pub(crate) fn new(
        line: usize,
        request: &RequestId,
        instance: InstanceId,
        prompt: &str,
        tokens: usize,
        settings: &TraceSettings,
    ) -> Result<Self, TraceError> {
        let spec = SessionSpec {
            request: Arc::clone(request),
            model: Arc::clone(&settings.model),
            layers: settings.layers,
            prompt: prompt.bytes().map(Token::from).collect(),
            max_tokens: tokens,
            end_token: None,
            priority: 0,
            repeatable: true,
        };
        let machine = SessionMachine::new(spec, SessionSettings::default())
            .map_err(|error| TraceError::new(line, error.to_string()))?;
        Ok(Self {
            instance,
            delivered: Vec::new(),
            outcome: RequestOutcome::Open,
            machine,
            prompt: prompt.bytes().map(u64::from).collect(),
            tokens,
            pending_calls: BTreeMap::new(),
        })
    }

    /// Passes an event to the state machine and returns the resulting effects.
    pub(crate) fn handle(&mut self, event: SessionEvent, now: Instant) -> Vec<SessionEffect> {
        self.close_pending_call(&event);
        let actions = self.machine.handle(event, now);
        actions
            .into_iter()
            .filter_map(|action| self.convert_action(action))
            .collect()
    }

    /// Returns the event that a timeout causes, or `None` if the call is no longer pending.
    pub(crate) fn timeout_event(
        &mut self,
        attempt: AttemptNumber,
        error: dandeliondeal_types::RouteError,
    ) -> Option<SessionEvent> {
        match self.pending_calls.get(&attempt)? {
            PendingCall::Step => Some(SessionEvent::Overdue { attempt }),
            PendingCall::Control => Some(SessionEvent::Failed { attempt, error }),
        }
    }

    /// Returns whether the state machine still accepts this event.
    ///
    /// Answers to control calls are dropped once the call is no longer pending.
    pub(crate) fn is_expected(&self, event: &SessionEvent) -> bool {
        match event {
            SessionEvent::Status { attempt, .. }
            | SessionEvent::Exported { attempt, .. }
            | SessionEvent::Imported { attempt, .. } => self.pending_calls.contains_key(attempt),
            _ => true,
        }
    }

    /// Returns the tokens that a run without faults generates.
    pub(crate) fn reference_tokens(&self, settings: &TraceSettings) -> Vec<Token> {
        reference_answer(&settings.model, settings.layers, &self.prompt, self.tokens)
            .into_iter()
            .filter_map(|token| Token::try_from(token).ok())
            .collect()
    }

    /// Returns the number of positions that have to run for a complete answer.
    pub(crate) fn expected_positions(&self) -> u64 {
        (self.prompt.len() + self.tokens) as u64 - 1
    }

    pub(crate) fn counters(&self) -> SessionCounters {
        self.machine.counters()
    }

    /// Removes the call that this event answers from the pending calls.
    fn close_pending_call(&mut self, event: &SessionEvent) {
        match event {
            SessionEvent::Answered { attempt, .. }
            | SessionEvent::Failed { attempt, .. }
            | SessionEvent::Status { attempt, .. }
            | SessionEvent::Exported { attempt, .. }
            | SessionEvent::Imported { attempt, .. } => {
                self.pending_calls.remove(attempt);
            }
            _ => {}
        }
    }

    /// Converts an action to its external effect, or applies it to this session.
    fn convert_action(&mut self, action: SessionAction) -> Option<SessionEffect> {
        match action {
            SessionAction::Step {
                attempt,
                endpoint,
                call,
                timeout,
                fresh,
            } => {
                self.pending_calls.insert(attempt, PendingCall::Step);
                Some(SessionEffect::Call {
                    endpoint,
                    attempt,
                    kind: CallKind::Step(call),
                    timeout: Some(timeout),
                    uses_new_connection: fresh,
                })
            }
            SessionAction::Ask {
                attempt,
                endpoint,
                timeout,
            } => Some(self.control_call(endpoint, attempt, CallKind::Status, timeout)),
            SessionAction::Export {
                attempt,
                endpoint,
                timeout,
            } => Some(self.control_call(endpoint, attempt, CallKind::Export, timeout)),
            SessionAction::Import {
                attempt,
                endpoint,
                lineage,
                cache,
                timeout,
            } => {
                let kind = CallKind::Import(lineage, cache);
                Some(self.control_call(endpoint, attempt, kind, timeout))
            }
            SessionAction::Place { range, avoid } => Some(SessionEffect::Place { range, avoid }),
            SessionAction::Pause { wait } => Some(SessionEffect::Pause(wait)),
            SessionAction::Renew { endpoint, life } => {
                Some(one_way_call(endpoint, CallKind::Renew(life)))
            }
            SessionAction::Cancel { endpoint } => Some(one_way_call(endpoint, CallKind::Cancel)),
            SessionAction::Deliver { token, .. } => {
                self.delivered.push(token);
                None
            }
            SessionAction::Finish => {
                self.outcome = RequestOutcome::Answered;
                None
            }
            SessionAction::Fail { error } => {
                self.outcome = error.outcome().into();
                None
            }
        }
    }

    /// Creates a status, export or import call and adds it to the pending calls.
    fn control_call(
        &mut self,
        endpoint: dandeliondeal_types::EndpointId,
        attempt: AttemptNumber,
        kind: CallKind,
        timeout: Duration,
    ) -> SessionEffect {
        self.pending_calls.insert(attempt, PendingCall::Control);
        SessionEffect::Call {
            endpoint,
            attempt,
            kind,
            timeout: Some(timeout),
            uses_new_connection: true,
        }
    }
}

impl From<Outcome> for RequestOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::NotRun => Self::NotRun,
            Outcome::InDoubt => Self::InDoubt,
        }
    }
}

/// Creates a call without an answer.
fn one_way_call(endpoint: dandeliondeal_types::EndpointId, kind: CallKind) -> SessionEffect {
    SessionEffect::Call {
        endpoint,
        attempt: 0,
        kind,
        timeout: None,
        uses_new_connection: false,
    }
}
