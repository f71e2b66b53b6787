//! Decides which runs of a stream tell something about its features.

use std::time::{Duration, Instant};

use dandeliondeal_quarantine::RequestStanding;
use dandeliondeal_types::Clock;

use crate::crash_watch::find_end;
use crate::dialect::{FleetDialect, RequestDialect};
use crate::stream_relay::StreamRelay;
use crate::stream_run::StreamRun;

/// Time for which an engine has to send events before its answer counts as proof that the prompt
/// does not crash engines.
const SOUND_TIME: Duration = Duration::from_millis(250);

/// What the runs of a stream have shown of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamStanding {
    /// Time of the first event.
    writing_since: Option<Instant>,
    /// Whether an engine has answered long enough.
    is_sound: bool,
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Returns how the request is treated by now.
    pub(crate) fn request_standing(&self) -> RequestStanding {
        if self.standing.is_sound {
            return RequestStanding::Sound;
        }
        self.request.standing(&self.context)
    }

    /// Returns whether the request may be sent to an engine.
    pub(crate) fn is_admitted(&self) -> bool {
        self.standing.is_sound || self.request.is_admitted(&self.context)
    }

    /// Records that events arrived.
    pub(crate) fn record_writing(&mut self) {
        let now = self.context.now();
        let since = *self.standing.writing_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= SOUND_TIME {
            self.record_sound();
        }
    }

    /// Records that the request was answered without harm.
    pub(crate) fn record_sound(&mut self) {
        if self.standing.is_sound {
            return;
        }
        if let Some(run) = self.runs.first() {
            self.standing.is_sound = true;
            self.request.record_sound(&self.context, run.first_engine());
        }
    }

    /// Records the end of the engine's process if that is why a run broke.
    pub(crate) async fn record_end(&mut self, run: &StreamRun<Time, Dialect>) {
        if self.standing.is_sound {
            return;
        }
        if find_end(&self.context, run.first_engine()).await.is_some() {
            // A later run has to show anew that the request is harmless.
            self.standing.writing_since = None;
        }
    }
}
