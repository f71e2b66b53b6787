//! Decides how a stream is treated, by what is known of its features and by how far it has come.

use std::time::{Duration, Instant};

use dandeliondeal_quarantine::RequestStanding;
use dandeliondeal_types::Clock;

use crate::crash_watch::find_end;
use crate::dialect::{FleetDialect, RequestDialect};
use crate::stream_relay::StreamRelay;
use crate::stream_run::StreamRun;

/// Time of events after which a stream is not the one that ends engines as they begin to answer.
const WRITING_TIME: Duration = Duration::from_millis(250);

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamStanding {
    /// Time of the first event.
    writing_since: Option<Instant>,
    /// Whether events came for [`WRITING_TIME`].
    is_writing: bool,
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Returns how the request is treated by now.
    pub(crate) fn request_standing(&self) -> RequestStanding {
        let standing = self.request.standing(&self.context);
        if standing == RequestStanding::Suspect
            && self.standing.is_writing
            && !self.request.is_suspect_copy(&self.context)
        {
            return RequestStanding::Sound;
        }
        standing
    }

    /// Returns whether the request may be sent to an engine.
    pub(crate) fn is_admitted(&self) -> bool {
        self.request.is_admitted(&self.context)
    }

    /// Records that events arrived.
    pub(crate) fn record_writing(&mut self) {
        let now = self.context.now();
        let since = *self.standing.writing_since.get_or_insert(now);
        self.standing.is_writing |= now.saturating_duration_since(since) >= WRITING_TIME;
    }

    /// Records that the request was answered completely.
    pub(crate) fn record_sound(&mut self) {
        if let Some(run) = self.runs.first() {
            self.request.record_sound(&self.context);
            run.record_contact();
        }
    }

    /// Records the end of the engine's process if that is why a run broke.
    pub(crate) async fn record_end(&mut self, run: &StreamRun<Time, Dialect>) {
        if find_end(&self.context, run.first_engine()).await.is_some() && !self.standing.is_writing
        {
            // A later run has to show anew that the request does not end engines as they begin.
            self.standing.writing_since = None;
        }
    }
}
