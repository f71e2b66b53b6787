//! How a relayed request ends.

use actix_http::Response;

use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_life::LifeEvent;
use crate::request_intake::RelayRequest;

/// How a relayed request ends.
#[derive(Debug)]
pub enum RelayOutcome {
    /// With an endpoint's answer, or its beginning.
    Answered(Response<RelayBody>),
    /// Without one.
    Refused(RefusalCause),
}

impl RelayRequest {
    /// Ends a request whose time is over.
    pub fn end_late(&mut self, failure: Option<Response<RelayBody>>) -> RelayOutcome {
        let cause = if self.life.is_not_run() {
            RefusalCause::LateUnsent
        } else {
            RefusalCause::LateSent
        };
        self.end_without(cause, failure)
    }

    /// Ends a request that no further attempt is made for.
    ///
    /// An endpoint's own failure goes before an answer of this instance. `cause` is given to the
    /// caller as it is only if it agrees with what is proved of the request.
    pub fn end_without(
        &mut self,
        cause: RefusalCause,
        failure: Option<Response<RelayBody>>,
    ) -> RelayOutcome {
        if let Some(response) = failure {
            self.life.apply(LifeEvent::Complete);
            return RelayOutcome::Answered(response);
        }
        let is_not_run = self.life.is_not_run();
        let cause = match (is_not_run, cause.says_not_run()) {
            (true, false) => RefusalCause::Rejected,
            (false, true) => RefusalCause::LostAnswer,
            _ => cause,
        };
        let event = if is_not_run {
            LifeEvent::Refuse
        } else {
            LifeEvent::Fail
        };
        self.life.apply(event);
        RelayOutcome::Refused(cause)
    }
}
