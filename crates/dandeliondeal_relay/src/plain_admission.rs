//! Admission of requests to graded plain services.

use dandeliondeal_types::Clock;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::link_monitor::{check_handover, needs_handover, wait_for_lost_links};
use crate::refusal::RefusalCause;
use crate::relay_context::RelayContext;
use crate::relay_outcome::RelayOutcome;
use crate::request_admission::{AdmissionQuestion, AdmissionVerdict, decide, needs_admission};
use crate::request_intake::RelayRequest;

/// Work of a request to a plain service: one place.
pub(crate) const CALL_WORK: f64 = 1.0;

/// Asks for admission before the first attempt; returns how the request ends if it is not admitted.
///
/// A request whose service is out of reach goes on, because another instance may serve it.
pub(crate) async fn admit_call<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &mut RelayRequest,
) -> Option<RelayOutcome>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    if !needs_admission(request) || needs_handover(context, &request.service) {
        return None;
    }
    let now = context.now();
    let limit = request.time_left(now);
    let place = (context.admission().new_ticket(), CALL_WORK);
    let verdict = tokio::select! {
        biased;
        verdict = decide(context, request, AdmissionQuestion::New, place, limit) => verdict?,
        () = context.wait_for_final_responses() => AdmissionVerdict::TimedOut,
        () = wait_for_lost_links(context, &request.service, now) => return None,
    };
    match verdict {
        AdmissionVerdict::Admitted => None,
        AdmissionVerdict::TimedOut => Some(request.end_timed_out(None)),
        AdmissionVerdict::Refused(_) if check_handover(context, &request.service).await => None,
        AdmissionVerdict::Refused(retry_delay) => {
            request.room_delay = retry_delay;
            Some(request.end_unanswered(RefusalCause::Overloaded, None))
        }
    }
}
