//! Admission of streams to graded services.

use std::time::{Duration, Instant};

use dandeliondeal_limit::GateSettings;
use dandeliondeal_types::Clock;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::link_monitor::needs_handover;
use crate::refusal::RefusalCause;
use crate::request_admission::{
    AdmissionQuestion, AdmissionVerdict, RunningRequest, decide, needs_admission,
};
use crate::stream_handover::LocalEnd;
use crate::stream_relay::StreamRelay;

/// Maximum number of times that a stream waits for room.
const MAX_ROOM_WAITS: u32 = 8;

/// State of a stream's admission.
#[derive(Debug)]
pub(crate) struct StreamAdmission<Time, Dialect>
where
    Time: Clock,
{
    is_decided: bool,
    /// Number of waits for room, and the time at which the last one has to end.
    room_waits: u32,
    room_wait_end: Option<Instant>,
    running: Option<RunningRequest<Time, Dialect>>,
}

impl<Time, Dialect> Default for StreamAdmission<Time, Dialect>
where
    Time: Clock,
{
    fn default() -> Self {
        Self {
            is_decided: false,
            room_waits: 0,
            room_wait_end: None,
            running: None,
        }
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Asks for admission before the first attempt of a stream.
    ///
    /// A stream whose service is out of reach is not asked, because another instance may serve it.
    pub(crate) async fn ask_admission(&mut self, time_left: Duration) -> Result<(), LocalEnd> {
        let is_first = self.attempts == 0 && !self.admission.is_decided;
        let is_out_of_reach =
            !self.is_handover_denied && needs_handover(&self.context, &self.request.service);
        if !is_first || is_out_of_reach || !needs_admission(&self.request) {
            return Ok(());
        }
        let (question, work) = (AdmissionQuestion::New, self.demand.tokens());
        let verdict = decide(&self.context, &self.request, question, work, time_left).await;
        self.admission.is_decided = true;
        match verdict {
            None | Some(AdmissionVerdict::Admitted) => Ok(()),
            Some(AdmissionVerdict::TimedOut) => Err(self.end_timed_out().into()),
            Some(AdmissionVerdict::Refused(retry_delay)) => {
                if self.must_hand_over().await {
                    return Err(LocalEnd::LinksLost);
                }
                self.request.room_delay = retry_delay;
                Err(self.refuse(RefusalCause::Overloaded).into())
            }
        }
    }

    /// Waits for room after no chain was found; returns `false` if the stream may not wait.
    ///
    /// All waits of a stream together last for at most the share of its objective that one may last.
    pub(crate) async fn wait_for_room(&mut self, time_left: Duration) -> Result<bool, LocalEnd> {
        let may_wait = self.attempts == 0
            && self.admission.room_waits < MAX_ROOM_WAITS
            && needs_admission(&self.request);
        if !may_wait {
            return Ok(false);
        }
        let now = self.context.now();
        let end = *self.admission.room_wait_end.get_or_insert_with(|| {
            let objective = self.request.route_match.route.latency_objective;
            let used = now.saturating_duration_since(self.request.arrived);
            now + objective
                .saturating_sub(used)
                .mul_f64(GateSettings::default().wait_share)
        });
        let limit = end.saturating_duration_since(now).min(time_left);
        if self.admission.room_waits > 0 && limit.is_zero() {
            return Err(self.refuse(RefusalCause::Overloaded).into());
        }
        self.admission.room_waits += 1;
        let (question, work) = (AdmissionQuestion::NoRoom, self.demand.tokens());
        match decide(&self.context, &self.request, question, work, limit).await {
            None => Ok(false),
            Some(AdmissionVerdict::Admitted) => Ok(true),
            Some(AdmissionVerdict::TimedOut) => Err(self.refuse(RefusalCause::Overloaded).into()),
            Some(AdmissionVerdict::Refused(retry_delay)) => {
                self.request.room_delay = retry_delay;
                Err(self.refuse(RefusalCause::Overloaded).into())
            }
        }
    }

    /// Records that the stream is sent to engines.
    pub(crate) fn record_running(&mut self) {
        if self.admission.running.is_none() {
            let service = &self.request.service;
            self.admission.running = RunningRequest::start(&self.context, service, false);
        }
    }
}
