//! Outcome of a relayed request.

use actix_http::Response;

use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_lifecycle::LifecycleEvent;
use crate::request_intake::RelayRequest;

/// Outcome of a relayed request.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The caller gets an endpoint's response, or the start of it.
    Answered(Response<RelayBody>),
    /// The caller gets an error response of this instance.
    Refused(RefusalCause),
}

impl RelayRequest {
    /// Ends a request whose deadline has passed.
    pub fn end_timed_out(&mut self, failure: Option<Response<RelayBody>>) -> RelayOutcome {
        let cause = if self.lifecycle.is_proven_not_run() {
            RefusalCause::LateUnsent
        } else {
            RefusalCause::LateSent
        };
        self.end_unanswered(cause, failure)
    }

    /// Ends a request for which no further attempt is made.
    ///
    /// A failure response of an endpoint takes precedence over a response of this instance. `cause`
    /// is replaced where it contradicts what is known about the execution of the request.
    pub fn end_unanswered(
        &mut self,
        cause: RefusalCause,
        failure: Option<Response<RelayBody>>,
    ) -> RelayOutcome {
        if let Some(response) = failure {
            self.lifecycle.apply(LifecycleEvent::Complete);
            return RelayOutcome::Answered(response);
        }
        let is_proven_not_run = self.lifecycle.is_proven_not_run();
        let cause = match (is_proven_not_run, cause.states_not_run()) {
            (true, false) => RefusalCause::Rejected,
            (false, true) => RefusalCause::LostAnswer,
            _ => cause,
        };
        let event = if is_proven_not_run {
            LifecycleEvent::Refuse
        } else {
            LifecycleEvent::Fail
        };
        self.lifecycle.apply(event);
        RelayOutcome::Refused(cause)
    }
}
