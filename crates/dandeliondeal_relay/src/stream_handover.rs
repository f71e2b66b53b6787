//! Decides when a stream is handed over to another instance.

use dandeliondeal_types::{Clock, ServiceId};

use crate::dialect::{FleetDialect, RequestDialect};
use crate::handover_stream::HandoverStream;
use crate::link_monitor::{check_handover, wait_for_lost_links};
use crate::stream_relay::{StreamEnd, StreamRelay};
use crate::stream_run::StreamRun;

/// End of the runs that this instance has started.
#[derive(Debug)]
pub(crate) enum LocalEnd {
    /// The stream ends.
    Ended(StreamEnd),
    /// The links to the engines are lost; another instance may continue the stream.
    LinksLost,
}

impl From<StreamEnd> for LocalEnd {
    fn from(end: StreamEnd) -> Self {
        Self::Ended(end)
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Starts a run, unless the links are lost before a connection is made.
    pub(crate) async fn start_run_or_hand_over(
        &mut self,
    ) -> Result<StreamRun<Time, Dialect>, LocalEnd> {
        if self.is_handover_denied {
            return self.start_run().await;
        }
        let context = self.context.clone();
        let service = ServiceId::clone(&self.request.service);
        let lost = wait_for_lost_links(&context, &service, context.now());
        tokio::select! {
            biased;
            run = self.start_run() => run,
            // A repeat that was charged for the run is used by the other instance.
            () = lost => Err(LocalEnd::LinksLost),
        }
    }

    /// Returns whether the links turn out to be lost, and another instance may have them.
    pub(crate) async fn must_hand_over(&self) -> bool {
        !self.is_handover_denied && check_handover(&self.context, &self.request.service).await
    }

    /// Returns whether the runs, which are silent behind lost links, may be given up; charges the
    /// repeat budget for the run of another instance.
    pub(crate) fn acquire_handover(&mut self) -> bool {
        let is_acquired = self.run_count == 0 || self.acquire_resume("lost-links");
        self.is_handover_denied = !is_acquired;
        is_acquired
    }

    /// Gives up the runs and lets another instance relay the stream from its last event on.
    pub(crate) fn start_handover(&mut self) {
        self.runs.clear();
        self.pending_connection = None;
        self.link_use = None;
        self.request.sent_attempts = self.run_count;
        if self.run_count > 0 {
            self.request.lifecycle.mark_may_have_run();
        }
        let has_begun = self.response_headers.is_some();
        self.handover = Some(HandoverStream::new(self.last_event, has_begun));
    }
}
