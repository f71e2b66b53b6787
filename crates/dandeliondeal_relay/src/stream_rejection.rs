//! Handles rejections and failure responses of a stream's engines.

use actix_http::{Response, StatusCode};
use dandeliondeal_http::{ConnectionError, ResponseHead};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{FleetDialect, RequestDialect, ResponseFacts};
use crate::endpoint_backoff::record_backoff;
use crate::endpoint_exchange::MAX_RESPONSE_BYTES;
use crate::engine_check::{CheckCause, check_engine, estimated_fill};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_lifecycle::LifecycleEvent;
use crate::stream_relay::{StreamEnd, StreamRelay};
use crate::stream_run::StreamRun;

/// Maximum number of attempts for one request, including those that engines rejected.
pub(crate) const MAX_ATTEMPTS: u32 = 4;

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Handles the rejection of a run; returns an error if the request is refused.
    pub(crate) fn handle_rejection(
        &mut self,
        index: usize,
        head: &ResponseHead,
        facts: &ResponseFacts,
    ) -> Result<(), StreamEnd> {
        let run = self.runs.remove(index);
        run.settle();
        let may_repeat = self.has_other_run()
            || (self.attempts < MAX_ATTEMPTS && self.acquire_repeat("rejected"));
        self.record_rejection(&run, head, facts, may_repeat);
        if may_repeat {
            Ok(())
        } else {
            Err(self.refuse(RefusalCause::Rejected))
        }
    }

    /// Records that a run was rejected, and excludes the engine at fault.
    fn record_rejection(
        &mut self,
        run: &StreamRun<Time, Dialect>,
        head: &ResponseHead,
        facts: &ResponseFacts,
        is_repeated: bool,
    ) {
        self.run_count -= 1;
        self.request.progress.record_rejection();
        // Another run that is open or ended otherwise may have executed the request.
        if self.run_count == 0 {
            self.request.lifecycle.apply(LifecycleEvent::Reject);
        }
        self.record_wait();
        let faulty_engine = self.find_faulty_engine(run, head, facts);
        tracing::info!(
            request = %self.request.facts.request,
            status = head.status.as_u16(),
            engine = %faulty_engine,
            offers = self.attempts,
            believed_fill = estimated_fill(&self.context, &faulty_engine, self.context.now()),
            load_age_ms = self.load_age_ms(),
            repeated = is_repeated,
            "engine stated not run"
        );
        self.excluded.push(faulty_engine);
    }

    /// Returns the engine that caused a rejection, and starts a check of it or excludes it.
    fn find_faulty_engine(
        &self,
        run: &StreamRun<Time, Dialect>,
        head: &ResponseHead,
        facts: &ResponseFacts,
    ) -> EndpointId {
        let now = self.context.now();
        let hops = &run.chain().hops;
        let named = facts
            .faulty_engine
            .and_then(|address| hops.iter().find(|hop| hop.address == address));
        let engine = EndpointId::clone(&named.unwrap_or(&hops[0]).id);
        let is_first = engine == hops[0].id;
        if facts.backoff.is_some() && !is_first {
            // The first engine speaks for the one at fault, whose pause is kept as well.
            let request = &self.request.facts.request;
            record_backoff(&self.context, request, &engine, facts.backoff);
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            let mut fleet = self.context.fleet().borrow_mut();
            fleet.exclude_mismatched(&engine, now);
        } else if facts.backoff.is_none() || !is_first {
            // The engine has failed, is leaving, gives up its layers or lacks memory; its report
            // shows which. An engine that answers for itself and asks for a pause is not asked.
            check_engine(&self.context, &engine, CheckCause::Rejection);
        }
        engine
    }

    /// Returns the age of the other instances' load in milliseconds; `None` if it is unknown or too
    /// old.
    fn load_age_ms(&self) -> Option<u64> {
        let age = self.context.tracker().peer_load_age(self.context.now())?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Handles a failure response of a run; returns an error if it ends the request.
    pub(crate) async fn handle_failure(
        &mut self,
        index: usize,
        head: &ResponseHead,
    ) -> Result<(), StreamEnd> {
        // Once the response to the caller has begun, the failure cannot be passed on.
        let is_passed_on = self.response_headers.is_none()
            && self.runs.len() == 1
            && self.pending_connection.is_none();
        if !is_passed_on {
            let error = ConnectionError::after_write(&format!("status {}", head.status));
            return self.leave_run(index, &error).await;
        }
        let time_left = self.request.time_left(self.context.now());
        let run = &mut self.runs[index];
        let body = run.read_body(MAX_RESPONSE_BYTES);
        let body = match actix_rt::time::timeout(time_left, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return self.leave_run(index, &error).await,
            Err(_elapsed) => return Err(self.end_timed_out()),
        };
        let now = self.context.now();
        let first_engines = self.context.first_engines();
        first_engines.record(run.first_engine(), false, now);
        let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, RelayBody::Complete(body));
        *response.headers_mut() = self.context.dialect().forwarded_headers(&head.headers);
        self.request.lifecycle.apply(LifecycleEvent::Start);
        self.request.lifecycle.apply(LifecycleEvent::Complete);
        Err(StreamEnd::Failure(response))
    }
}
