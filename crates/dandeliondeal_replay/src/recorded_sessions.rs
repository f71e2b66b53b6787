//! Sessions that were recorded by a daemon, run again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::session_record::{RecordedActions, RecordedEvent, describe};
use dandeliondeal_pipeline::{SessionEvent, SessionMachine, SessionSpec};
use dandeliondeal_types::RequestId;

use crate::{ReplayMismatch, TraceError};

/// One session and what it asked for last.
#[derive(Debug)]
struct RecordedSession {
    machine: SessionMachine,
    actions: Vec<Arc<str>>,
}

/// The sessions of a recorded trace.
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

    /// Tells a session what it was told.
    pub(crate) fn happen(&mut self, line: usize, event: &RecordedEvent) -> Result<(), TraceError> {
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
                    actions: Vec::new(),
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
                session.actions = actions
                    .iter()
                    .map(|action| describe(action).into())
                    .collect();
            }
            RecordedEvent::SessionTrim { request, positions } => {
                self.session(line, &request)?.machine.trim_logs(positions);
            }
        }
        Ok(())
    }

    /// The mismatch, if a session asked for something else than it did.
    pub(crate) fn compare(
        &mut self,
        line: usize,
        recorded: &RecordedActions,
    ) -> Result<Option<ReplayMismatch>, TraceError> {
        let RecordedActions::SessionActions { request, actions } = recorded;
        let found = &self.session(line, request)?.actions;
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
            .ok_or_else(|| TraceError::new(line, format!("no session of {request}")))
    }
}
