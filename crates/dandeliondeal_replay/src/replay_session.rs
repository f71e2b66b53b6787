//! One completion request of a trace.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::{
    AttemptNumber, SessionAction, SessionCount, SessionEvent, SessionMachine, SessionSettings,
    SessionSpec,
};
use dandeliondeal_standin::reference_answer;
use dandeliondeal_types::{InstanceId, Outcome, RequestId, Token};

use crate::replay_engine::CallKind;
use crate::{StatedOutcome, TraceError, TraceSettings};

/// The part of a session's actions that leaves the instance.
#[derive(Clone, Debug)]
pub(crate) enum SessionOrder {
    /// A call to an engine; with a timeout if it is answered.
    Call {
        endpoint: dandeliondeal_types::EndpointId,
        attempt: AttemptNumber,
        kind: CallKind,
        timeout: Option<Duration>,
        fresh: bool,
    },
    /// A chain is sought.
    Place {
        range: dandeliondeal_types::LayerRange,
        avoid: Vec<dandeliondeal_types::EndpointId>,
    },
    /// The session goes on after a pause.
    Pause(Duration),
}

/// What a timeout does to a call that is open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OpenCall {
    Step,
    Other,
}

/// A request and what its caller has received.
#[derive(Debug)]
pub(crate) struct ReplaySession {
    pub(crate) instance: InstanceId,
    pub(crate) delivered: Vec<Token>,
    pub(crate) end: StatedOutcome,
    machine: SessionMachine,
    prompt: Vec<u64>,
    tokens: usize,
    open: BTreeMap<AttemptNumber, OpenCall>,
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
            end: StatedOutcome::Open,
            machine,
            prompt: prompt.bytes().map(u64::from).collect(),
            tokens,
            open: BTreeMap::new(),
        })
    }

    /// Hands an event to the core; what leaves the instance is returned.
    pub(crate) fn handle(&mut self, event: SessionEvent, now: Instant) -> Vec<SessionOrder> {
        self.settle(&event);
        let actions = self.machine.handle(event, now);
        actions
            .into_iter()
            .filter_map(|action| self.act(action))
            .collect()
    }

    /// The event that a timeout stands for; `None` if the call was answered before.
    pub(crate) fn timed_out(
        &mut self,
        attempt: AttemptNumber,
        error: dandeliondeal_types::RouteError,
    ) -> Option<SessionEvent> {
        match self.open.get(&attempt)? {
            OpenCall::Step => Some(SessionEvent::Overdue { attempt }),
            OpenCall::Other => Some(SessionEvent::Failed { attempt, error }),
        }
    }

    /// Whether an answer that comes now still reaches the core.
    pub(crate) fn is_expected(&self, event: &SessionEvent) -> bool {
        match event {
            SessionEvent::Status { attempt, .. }
            | SessionEvent::Exported { attempt, .. }
            | SessionEvent::Imported { attempt, .. } => self.open.contains_key(attempt),
            _ => true,
        }
    }

    /// The answer that an undisturbed run gives.
    pub(crate) fn reference(&self, settings: &TraceSettings) -> Vec<Token> {
        reference_answer(&settings.model, settings.layers, &self.prompt, self.tokens)
            .into_iter()
            .filter_map(|token| Token::try_from(token).ok())
            .collect()
    }

    /// Positions that have to run for the whole answer.
    pub(crate) fn positions(&self) -> u64 {
        (self.prompt.len() + self.tokens) as u64 - 1
    }

    pub(crate) fn count(&self) -> SessionCount {
        self.machine.count()
    }

    fn settle(&mut self, event: &SessionEvent) {
        match event {
            SessionEvent::Answered { attempt, .. }
            | SessionEvent::Failed { attempt, .. }
            | SessionEvent::Status { attempt, .. }
            | SessionEvent::Exported { attempt, .. }
            | SessionEvent::Imported { attempt, .. } => {
                self.open.remove(attempt);
            }
            _ => {}
        }
    }

    fn act(&mut self, action: SessionAction) -> Option<SessionOrder> {
        match action {
            SessionAction::Step {
                attempt,
                endpoint,
                call,
                timeout,
                fresh,
            } => {
                self.open.insert(attempt, OpenCall::Step);
                Some(SessionOrder::Call {
                    endpoint,
                    attempt,
                    kind: CallKind::Step(call),
                    timeout: Some(timeout),
                    fresh,
                })
            }
            SessionAction::Ask {
                attempt,
                endpoint,
                timeout,
            } => Some(self.other_call(endpoint, attempt, CallKind::Ask, timeout)),
            SessionAction::Export {
                attempt,
                endpoint,
                timeout,
            } => Some(self.other_call(endpoint, attempt, CallKind::Export, timeout)),
            SessionAction::Import {
                attempt,
                endpoint,
                lineage,
                cache,
                timeout,
            } => {
                let kind = CallKind::Import(lineage, cache);
                Some(self.other_call(endpoint, attempt, kind, timeout))
            }
            SessionAction::Place { range, avoid } => Some(SessionOrder::Place { range, avoid }),
            SessionAction::Pause { wait } => Some(SessionOrder::Pause(wait)),
            SessionAction::Renew { endpoint, life } => {
                Some(unanswered(endpoint, CallKind::Renew(life)))
            }
            SessionAction::Cancel { endpoint } => Some(unanswered(endpoint, CallKind::Cancel)),
            SessionAction::Deliver { token, .. } => {
                self.delivered.push(token);
                None
            }
            SessionAction::Finish => {
                self.end = StatedOutcome::Answered;
                None
            }
            SessionAction::Fail { error } => {
                self.end = error.outcome().into();
                None
            }
        }
    }

    fn other_call(
        &mut self,
        endpoint: dandeliondeal_types::EndpointId,
        attempt: AttemptNumber,
        kind: CallKind,
        timeout: Duration,
    ) -> SessionOrder {
        self.open.insert(attempt, OpenCall::Other);
        SessionOrder::Call {
            endpoint,
            attempt,
            kind,
            timeout: Some(timeout),
            fresh: true,
        }
    }
}

impl From<Outcome> for StatedOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::NotRun => Self::NotRun,
            Outcome::InDoubt => Self::InDoubt,
        }
    }
}

fn unanswered(endpoint: dandeliondeal_types::EndpointId, kind: CallKind) -> SessionOrder {
    SessionOrder::Call {
        endpoint,
        attempt: 0,
        kind,
        timeout: None,
        fresh: false,
    }
}
