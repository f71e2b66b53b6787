//! Records the events and actions of sessions in the log, in the format that `replay` reads.
//!
//! Lines have the target [`TRACE_TARGET`] and the level `trace`, and are written only if the log
//! enables both. They contain prompts, so only an operator's explicit setting enables them.

use std::sync::Arc;
use std::time::Instant;

use dandeliondeal_pipeline::session_record::{
    RecordedActions, RecordedEvent, RecordedInput, format_action, nanoseconds,
};
use dandeliondeal_pipeline::{SessionAction, SessionEvent, SessionSettings, SessionSpec};
use dandeliondeal_types::RequestId;
use serde::Serialize;
use serde_json::Value;

/// Log target of the recorded lines.
pub const TRACE_TARGET: &str = "dandeliondeal_trace";

/// Records one session.
#[derive(Clone, Debug)]
pub struct SessionRecorder {
    request: RequestId,
    start: Instant,
}

impl SessionRecorder {
    /// Starts recording a session if the log enables it.
    pub fn start(spec: &SessionSpec, settings: &SessionSettings, now: Instant) -> Option<Self> {
        let is_enabled = tracing::enabled!(target: TRACE_TARGET, tracing::Level::TRACE);
        let recorder = is_enabled.then(|| Self {
            request: Arc::clone(&spec.request),
            start: now,
        })?;
        recorder.write(now, &RecordedEvent::start(spec, settings));
        Some(recorder)
    }

    /// Records an event immediately before the session handles it.
    pub fn input(&self, event: &SessionEvent, now: Instant) {
        let input = RecordedEvent::SessionInput {
            request: Arc::clone(&self.request),
            nanoseconds: nanoseconds(now.duration_since(self.start)),
            input: RecordedInput::from(event),
        };
        self.write(now, &input);
    }

    /// Records the actions that the session requested.
    pub fn actions(&self, actions: &[SessionAction], now: Instant) {
        let actions = RecordedActions::SessionActions {
            request: Arc::clone(&self.request),
            actions: actions
                .iter()
                .map(|action| format_action(action).into())
                .collect(),
        };
        self.write(now, &actions);
    }

    /// Records that the logs of inputs are trimmed to `positions`.
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
