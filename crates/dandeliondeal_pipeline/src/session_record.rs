//! Serialisable events and actions of a session, for recording and replay.
//!
//! [`SessionMachine`](crate::SessionMachine) is deterministic, so its events and their times are
//! all that a replay needs. docs/TRACES.md describes the format.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    EndpointId, ErrorKind, LayerRange, ModelId, Outcome, RequestId, RequestStep, RouteError,
    SessionStatus, StepAnswer, Token,
};
use serde::{Deserialize, Serialize};

use crate::{
    AttemptNumber, PlanChain, PlanStage, SessionAction, SessionEvent, SessionSettings, SessionSpec,
};

/// Error kinds that may occur in an event.
const ERROR_KINDS: [ErrorKind; 9] = [
    ErrorKind::Overloaded,
    ErrorKind::Refused,
    ErrorKind::NoAnswer,
    ErrorKind::BadAnswer,
    ErrorKind::Gone,
    ErrorKind::Leaving,
    ErrorKind::Deadline,
    ErrorKind::NotFound,
    ErrorKind::CallerLeft,
];
/// Request steps at which such an error may occur.
const ERROR_STEPS: [RequestStep; 5] = [
    RequestStep::Planning,
    RequestStep::Dispatch,
    RequestStep::FirstStep,
    RequestStep::Decode,
    RequestStep::Recovery,
];
/// The 64-bit FNV prime, used for the checksum of inputs.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A recorded input of a session: its start, an event, or a trim of its input logs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum RecordedEvent {
    /// A session was created.
    SessionStart {
        /// Id of the request.
        request: RequestId,
        /// Id of the model.
        model: ModelId,
        /// Number of layers of the model.
        layers: u32,
        /// Tokens of the prompt.
        prompt: Arc<[Token]>,
        /// Maximum number of tokens to generate.
        max_tokens: usize,
        /// Token that ends the output.
        end_token: Option<Token>,
        /// Priority of the request.
        priority: u8,
        /// Whether the session ends when the caller leaves.
        repeatable: bool,
        /// Settings of the session.
        settings: SessionSettings,
    },
    /// The session received an event.
    SessionInput {
        /// Id of the request.
        request: RequestId,
        /// Time since the session was created, in nanoseconds.
        nanoseconds: u64,
        /// The event.
        input: RecordedInput,
    },
    /// The input logs were trimmed.
    SessionTrim {
        /// Id of the request.
        request: RequestId,
        /// Maximum number of processed positions left in the log of each stage.
        positions: usize,
    },
}

/// The actions that a session returned for the preceding event.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "expect", rename_all = "kebab-case")]
pub enum RecordedActions {
    /// The actions in order.
    SessionActions {
        /// Id of the request.
        request: RequestId,
        /// Each action as formatted by [`format_action`].
        actions: Vec<Arc<str>>,
    },
}

/// A [`SessionEvent`] in serialisable form.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
#[expect(missing_docs, reason = "the fields are those of `SessionEvent`")]
pub enum RecordedInput {
    Begin,
    Answered {
        attempt: AttemptNumber,
        answer: StepAnswer,
    },
    Failed {
        attempt: AttemptNumber,
        error: RecordedError,
    },
    Overdue {
        attempt: AttemptNumber,
    },
    Status {
        attempt: AttemptNumber,
        status: Option<SessionStatus>,
    },
    Exported {
        attempt: AttemptNumber,
        cache: Arc<str>,
    },
    Imported {
        attempt: AttemptNumber,
        status: SessionStatus,
    },
    Placed {
        chain: Option<RecordedChain>,
    },
    Resume,
    Leaving {
        endpoint: EndpointId,
    },
    Tick,
    CallerLeft,
    Deadline,
}

/// A [`PlanChain`] in serialisable form.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordedChain {
    stages: Vec<(EndpointId, LayerRange)>,
    cost_nanoseconds: u64,
}

/// A [`RouteError`] in serialisable form.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordedError {
    kind: Arc<str>,
    step: Arc<str>,
    peer: Arc<str>,
    message: Arc<str>,
    outcome: Outcome,
}

impl RecordedEvent {
    /// Creates the record of a new session.
    pub fn start(spec: &SessionSpec, settings: &SessionSettings) -> Self {
        Self::SessionStart {
            request: Arc::clone(&spec.request),
            model: Arc::clone(&spec.model),
            layers: spec.layers,
            prompt: Arc::clone(&spec.prompt),
            max_tokens: spec.max_tokens,
            end_token: spec.end_token,
            priority: spec.priority,
            repeatable: spec.repeatable,
            settings: settings.clone(),
        }
    }
}

impl From<&SessionEvent> for RecordedInput {
    fn from(event: &SessionEvent) -> Self {
        match event.clone() {
            SessionEvent::Begin => Self::Begin,
            SessionEvent::Answered { attempt, answer } => Self::Answered { attempt, answer },
            SessionEvent::Failed { attempt, error } => Self::Failed {
                attempt,
                error: RecordedError::from(&error),
            },
            SessionEvent::Overdue { attempt } => Self::Overdue { attempt },
            SessionEvent::Status { attempt, status } => Self::Status { attempt, status },
            SessionEvent::Exported { attempt, cache } => Self::Exported { attempt, cache },
            SessionEvent::Imported { attempt, status } => Self::Imported { attempt, status },
            SessionEvent::Placed { chain } => Self::Placed {
                chain: chain.as_ref().map(RecordedChain::from),
            },
            SessionEvent::Resume => Self::Resume,
            SessionEvent::Leaving { endpoint } => Self::Leaving { endpoint },
            SessionEvent::Tick => Self::Tick,
            SessionEvent::CallerLeft => Self::CallerLeft,
            SessionEvent::Deadline => Self::Deadline,
        }
    }
}

impl From<RecordedInput> for SessionEvent {
    fn from(input: RecordedInput) -> Self {
        match input {
            RecordedInput::Begin => Self::Begin,
            RecordedInput::Answered { attempt, answer } => Self::Answered { attempt, answer },
            RecordedInput::Failed { attempt, error } => Self::Failed {
                attempt,
                error: error.into(),
            },
            RecordedInput::Overdue { attempt } => Self::Overdue { attempt },
            RecordedInput::Status { attempt, status } => Self::Status { attempt, status },
            RecordedInput::Exported { attempt, cache } => Self::Exported { attempt, cache },
            RecordedInput::Imported { attempt, status } => Self::Imported { attempt, status },
            RecordedInput::Placed { chain } => Self::Placed {
                chain: chain.map(PlanChain::from),
            },
            RecordedInput::Resume => Self::Resume,
            RecordedInput::Leaving { endpoint } => Self::Leaving { endpoint },
            RecordedInput::Tick => Self::Tick,
            RecordedInput::CallerLeft => Self::CallerLeft,
            RecordedInput::Deadline => Self::Deadline,
        }
    }
}

impl From<&PlanChain> for RecordedChain {
    fn from(chain: &PlanChain) -> Self {
        let stages = chain.stages.iter();
        Self {
            stages: stages
                .map(|stage| (Arc::clone(&stage.endpoint), stage.range))
                .collect(),
            cost_nanoseconds: nanoseconds(chain.cost),
        }
    }
}

impl From<RecordedChain> for PlanChain {
    fn from(chain: RecordedChain) -> Self {
        let stages = chain.stages.into_iter();
        Self {
            stages: stages
                .map(|(endpoint, range)| PlanStage { endpoint, range })
                .collect(),
            cost: Duration::from_nanos(chain.cost_nanoseconds),
        }
    }
}

impl From<&RouteError> for RecordedError {
    fn from(error: &RouteError) -> Self {
        Self {
            kind: error.kind().to_string().into(),
            step: error.step().to_string().into(),
            peer: Arc::clone(error.peer()),
            message: Arc::clone(error.message()),
            outcome: error.outcome(),
        }
    }
}

impl From<RecordedError> for RouteError {
    /// An unknown kind becomes `NoAnswer`, and an unknown step becomes `Decode`.
    fn from(error: RecordedError) -> Self {
        let kind = ERROR_KINDS
            .into_iter()
            .find(|kind| *kind.to_string() == *error.kind);
        let step = ERROR_STEPS
            .into_iter()
            .find(|step| *step.to_string() == *error.step);
        Self::new(
            kind.unwrap_or(ErrorKind::NoAnswer),
            step.unwrap_or(RequestStep::Decode),
            error.message,
        )
        .at(error.peer)
        .with_outcome(error.outcome)
    }
}

/// Formats an action as one line, with a checksum or a size in place of long contents.
pub fn format_action(action: &SessionAction) -> String {
    match action {
        SessionAction::Step {
            attempt,
            endpoint,
            call,
            timeout,
            fresh,
        } => format!(
            "step {attempt} at {endpoint}: {}, {} inputs {:016x}, {} ns, fresh {fresh}",
            call.name,
            call.inputs.len(),
            checksum(&call.inputs),
            timeout.as_nanos(),
        ),
        SessionAction::Import {
            attempt,
            endpoint,
            lineage,
            cache,
            ..
        } => {
            let bytes = cache.len();
            format!("import {attempt} at {endpoint}: lineage {lineage}, {bytes} bytes")
        }
        SessionAction::Fail { error } => format!("fail {}: {error}", error.outcome()),
        other => format!("{other:?}"),
    }
}

fn checksum(inputs: &[u64]) -> u64 {
    inputs
        .iter()
        .fold(0, |hash, input| (hash ^ input).wrapping_mul(FNV_PRIME))
}

/// Converts a time to whole nanoseconds, at most `u64::MAX`.
pub fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
