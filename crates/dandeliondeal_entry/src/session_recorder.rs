//! Writes what sessions are told and ask for to the log, in the form that `replay` reads.
//!
//! Lines go out under the target [`TRACE_TARGET`] at level `trace`, and only if the log takes
//! them. They hold prompts, so the log takes them only where an operator asks for it.

use std::sync::Arc;
use std::time::Instant;

use dandeliondeal_pipeline::session_record::{
    RecordedActions, RecordedEvent, RecordedInput, describe, nanoseconds,
};
use dandeliondeal_pipeline::{SessionAction, SessionEvent, SessionSettings, SessionSpec};
use dandeliondeal_types::RequestId;
use serde::Serialize;
use serde_json::Value;

/// Target of the lines in the log.
pub const TRACE_TARGET: &str = "dandeliondeal_trace";

/// Records one session.
#[derive(Clone, Debug)]
pub struct SessionRecorder {
    request: RequestId,
    start: Instant,
}

impl SessionRecorder {
    /// Starts to record, if the log takes it.
    pub fn start(spec: &SessionSpec, settings: &SessionSettings, now: Instant) -> Option<Self> {
        let is_taken = tracing::enabled!(target: TRACE_TARGET, tracing::Level::TRACE);
        let recorder = is_taken.then(|| Self {
            request: Arc::clone(&spec.request),
            start: now,
        })?;
        recorder.write(now, &RecordedEvent::start(spec, settings));
        Some(recorder)
    }

    /// Records an event that the session is about to be told.
    pub fn input(&self, event: &SessionEvent, now: Instant) {
        let input = RecordedEvent::SessionInput {
            request: Arc::clone(&self.request),
            nanoseconds: nanoseconds(now.duration_since(self.start)),
            input: RecordedInput::from(event),
        };
        self.write(now, &input);
    }

    /// Records what the session asked for.
    pub fn actions(&self, actions: &[SessionAction], now: Instant) {
        let actions = RecordedActions::SessionActions {
            request: Arc::clone(&self.request),
            actions: actions
                .iter()
                .map(|action| describe(action).into())
                .collect(),
        };
        self.write(now, &actions);
    }

    /// Records that the logs of inputs are cut.
    pub fn trim(&self, positions: usize, now: Instant) {
        let trim = RecordedEvent::SessionTrim {
            request: Arc::clone(&self.request),
            positions,
        };
        self.write(now, &trim);
    }

    fn write<Line>(&self, now: Instant, line: &Line)
    where
        Line: Serialize,
    {
        let Ok(mut line) = serde_json::to_value(line) else {
            return;
        };
        let at = now.duration_since(self.start).as_millis();
        line["at"] = Value::from(u64::try_from(at).unwrap_or(u64::MAX));
        tracing::trace!(target: TRACE_TARGET, %line, "recorded");
    }
}
