//! Replay of sessions that a daemon recorded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::session_record::{RecordedActions, RecordedEvent, format_action};
use dandeliondeal_pipeline::{SessionEvent, SessionMachine, SessionSpec};
use dandeliondeal_types::RequestId;

use crate::{ReplayMismatch, TraceError};

/// A recorded session and the actions that its latest event caused.
#[derive(Debug)]
struct RecordedSession {
    machine: SessionMachine,
    latest_actions: Vec<Arc<str>>,
}

/// The state machines of all sessions in a recorded trace.
#[derive(Debug)]
pub(crate) struct RecordedSessions {
    start: Instant,
    sessions: BTreeMap<RequestId, RecordedSession>,
}

impl RecordedSessions {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            start,
            sessions: BTreeMap::new(),
        }
    }

    /// Applies a recorded event to its session.
    pub(crate) fn apply_event(
        &mut self,
        line: usize,
        event: &RecordedEvent,
    ) -> Result<(), TraceError> {
        match event.clone() {
            RecordedEvent::SessionStart {
                request,
                model,
                layers,
                prompt,
                max_tokens,
                end_token,
                priority,
                repeatable,
                settings,
            } => {
                let spec = SessionSpec {
                    request: Arc::clone(&request),
                    model,
                    layers,
                    prompt,
                    max_tokens,
                    end_token,
                    priority,
                    repeatable,
                };
                let machine = SessionMachine::new(spec, settings)
                    .map_err(|error| TraceError::new(line, error.to_string()))?;
                let session = RecordedSession {
                    machine,
                    latest_actions: Vec::new(),
                };
                self.sessions.insert(request, session);
            }
            RecordedEvent::SessionInput {
                request,
                nanoseconds,
                input,
            } => {
                let now = self.start + Duration::from_nanos(nanoseconds);
                let session = self.session(line, &request)?;
                let actions = session.machine.handle(SessionEvent::from(input), now);
                session.latest_actions = actions
                    .iter()
                    .map(|action| format_action(action).into())
                    .collect();
            }
            RecordedEvent::SessionTrim { request, positions } => {
                self.session(line, &request)?.machine.trim_logs(positions);
            }
        }
        Ok(())
    }

    /// Returns a mismatch if the session's latest actions differ from the recorded ones.
    pub(crate) fn compare_actions(
        &mut self,
        line: usize,
        recorded: &RecordedActions,
    ) -> Result<Option<ReplayMismatch>, TraceError> {
        let RecordedActions::SessionActions { request, actions } = recorded;
        let found = &self.session(line, request)?.latest_actions;
        Ok((found != actions).then(|| ReplayMismatch {
            line,
            expected: format!("{actions:?}").into(),
            found: format!("{found:?}").into(),
        }))
    }

    fn session(
        &mut self,
        line: usize,
        request: &RequestId,
    ) -> Result<&mut RecordedSession, TraceError> {
        self.sessions
            .get_mut(request)
            .ok_or_else(|| TraceError::new(line, format!("unknown session {request}")))
    }
}
