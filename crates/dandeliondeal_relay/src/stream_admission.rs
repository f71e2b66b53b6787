//! Admission of streams to graded services.

use std::time::Duration;

use dandeliondeal_limit::admission_queue::TicketId;
use dandeliondeal_types::Clock;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::link_monitor::needs_handover;
use crate::refusal::RefusalCause;
use crate::request_admission::{AdmissionQuestion, AdmissionVerdict, decide, needs_admission};
use crate::running_request::RunningRequest;
use crate::stream_handover::LocalEnd;
use crate::stream_relay::StreamRelay;

/// State of a stream's admission.
#[derive(Debug)]
pub(crate) struct StreamAdmission<Time, Dialect>
where
    Time: Clock,
{
    is_decided: bool,
    ticket: Option<TicketId>,
    running: Option<RunningRequest<Time, Dialect>>,
}

impl<Time, Dialect> Default for StreamAdmission<Time, Dialect>
where
    Time: Clock,
{
    fn default() -> Self {
        Self {
            is_decided: false,
            ticket: None,
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
        let verdict = self
            .decide_admission(AdmissionQuestion::New, time_left)
            .await;
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
    /// The gate ends the wait within the share of its objective that a request may wait.
    pub(crate) async fn wait_for_room(&mut self, time_left: Duration) -> Result<bool, LocalEnd> {
        if self.attempts > 0 || !needs_admission(&self.request) {
            return Ok(false);
        }
        let question = AdmissionQuestion::NoRoom;
        match self.decide_admission(question, time_left).await {
            None => Ok(false),
            Some(AdmissionVerdict::Admitted) => Ok(true),
            Some(AdmissionVerdict::TimedOut) => Err(self.end_timed_out().into()),
            Some(AdmissionVerdict::Refused(retry_delay)) => {
                self.request.room_delay = retry_delay;
                Err(self.refuse(RefusalCause::Overloaded).into())
            }
        }
    }

    async fn decide_admission(
        &mut self,
        question: AdmissionQuestion,
        limit: Duration,
    ) -> Option<AdmissionVerdict> {
        let admission = self.context.admission();
        let new_ticket = || admission.new_ticket();
        let ticket = *self.admission.ticket.get_or_insert_with(new_ticket);
        let work = (ticket, self.demand.tokens());
        decide(&self.context, &self.request, question, work, limit).await
    }

    /// Records that the stream is sent to engines.
    pub(crate) fn record_running(&mut self) {
        if self.admission.running.is_none() {
            let service = &self.request.service;
            self.admission.running = RunningRequest::start(&self.context, service, false);
        }
    }
}
