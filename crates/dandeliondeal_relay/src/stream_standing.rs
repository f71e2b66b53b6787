//! Ties a stream's answers, and the ends of engines under it, to the parts of its prompt.

use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{RequestStanding, SuspectRequest};
use dandeliondeal_types::Clock;
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_watch::{ended_process, log_changes};
use crate::dialect::{FleetDialect, RequestDialect};
use crate::stream_relay::StreamRelay;
use crate::stream_run::{ResponseStage, StreamRun};

/// Time for which an engine has to send events before its answer counts as proof that the prompt
/// does not crash engines.
const SOUND_TIME: Duration = Duration::from_millis(250);

/// What the runs of a stream have shown of its prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamStanding {
    /// Time of the first event.
    writing_since: Option<Instant>,
    /// Whether an engine has answered long enough.
    is_sound: bool,
    /// Whether the request was admitted to find out whether its prompt still crashes engines.
    is_trial: bool,
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Returns how the prompt is treated by now.
    pub(crate) fn request_standing(&self) -> RequestStanding {
        if self.standing.is_sound {
            return RequestStanding::Sound;
        }
        let crashes = self.context.crashes().borrow();
        crashes.standing(&self.request.service, &self.request.facts.shared_parts)
    }

    /// Returns whether the request may be sent to an engine.
    pub(crate) fn is_admitted(&mut self) -> bool {
        if self.standing.is_trial || self.request_standing() != RequestStanding::Quarantined {
            return true;
        }
        let parts = &self.request.facts.shared_parts;
        let mut crashes = self.context.crashes().borrow_mut();
        self.standing.is_trial = crashes.take_trial(&self.request.service, parts);
        if self.standing.is_trial {
            tracing::info!(
                request = %self.request.facts.request, parts = parts.join(","),
                "request admitted as trial of a quarantined prompt"
            );
        }
        self.standing.is_trial
    }

    /// Records that events arrived.
    pub(crate) fn record_writing(&mut self) {
        let now = self.context.now();
        let since = *self.standing.writing_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= SOUND_TIME {
            self.record_sound();
        }
    }

    /// Records that the prompt was answered without harm.
    pub(crate) fn record_sound(&mut self) {
        if self.standing.is_sound {
            return;
        }
        self.standing.is_sound = true;
        let now = self.context.now();
        let parts = &self.request.facts.shared_parts;
        let mut crashes = self.context.crashes().borrow_mut();
        crashes.record_answer(&self.request.service, parts, now);
        drop(crashes);
        log_changes(&self.context);
    }

    /// Records the end of the engine's process if that is why a run broke.
    pub(crate) async fn record_end(&mut self, run: &StreamRun<Time, Dialect>) {
        let facts = &self.request.facts;
        if self.standing.is_sound || facts.shared_parts.is_empty() {
            return;
        }
        let hop = &run.chain().hops[0];
        let Some(process) = ended_process(&self.context, &hop.id, hop.address).await else {
            return;
        };
        let own_part = facts.own_part.as_ref().unwrap_or(&facts.request);
        // An engine that had sent events was not about to begin, so that others are blamed first.
        let has_begun = run.stage() == ResponseStage::Head;
        let prompt = SuspectRequest {
            service: &self.request.service,
            features: &facts.shared_parts,
            session: xxh3_64(own_part.as_bytes()),
            has_begun,
        };
        tracing::info!(
            request = %facts.request, process = &*process, has_begun,
            parts = facts.shared_parts.join(","), "engine ended under a prompt"
        );
        let now = self.context.now();
        self.context
            .crashes()
            .borrow_mut()
            .record_end(&process, prompt, now);
        log_changes(&self.context);
        self.context.request_report();
        // A later run has to show anew that the prompt is harmless.
        self.standing.writing_since = None;
    }
}
