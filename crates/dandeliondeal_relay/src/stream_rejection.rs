//! Handles rejections and failure responses of a stream's engines.

use actix_http::{Response, StatusCode};
use dandeliondeal_http::{ConnectionError, ResponseHead};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{FleetDialect, RequestDialect, ResponseFacts};
use crate::endpoint_exchange::MAX_RESPONSE_BYTES;
use crate::engine_check::{CheckCause, check_engine, estimated_fill};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_lifecycle::LifecycleEvent;
use crate::stream_relay::{BreakCause, StreamEnd, StreamLink, StreamRelay};

/// Maximum number of attempts for one request, including those that engines rejected.
const MAX_ATTEMPTS: u32 = 4;

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Handles a statement of the engines that the request was not executed.
    pub(crate) fn handle_rejection(
        &mut self,
        link: StreamLink<Time, Dialect>,
        head: &ResponseHead,
        facts: &ResponseFacts,
    ) -> Result<bool, StreamEnd> {
        self.request.lifecycle.apply(LifecycleEvent::Reject);
        self.runs -= 1;
        self.request.progress.record_rejection();
        let faulty_engine = self.find_faulty_engine(&link, head, facts);
        let may_repeat = self.attempts < MAX_ATTEMPTS
            && self
                .context
                .acquire_repeat(&self.request.service, "rejected");
        tracing::info!(
            request = %self.request.facts.request,
            status = head.status.as_u16(),
            engine = %faulty_engine,
            offers = self.attempts,
            believed_fill = estimated_fill(&self.context, &faulty_engine, self.context.now()),
            load_age_ms = self.load_age_ms(),
            repeated = may_repeat,
            "engine stated not run"
        );
        self.excluded.push(faulty_engine);
        drop(link);
        if may_repeat {
            Ok(false)
        } else {
            Err(self.refuse(RefusalCause::Rejected))
        }
    }

    /// Returns the engine that caused a rejection, and starts a check of it or excludes it.
    fn find_faulty_engine(
        &self,
        link: &StreamLink<Time, Dialect>,
        head: &ResponseHead,
        facts: &ResponseFacts,
    ) -> EndpointId {
        let now = self.context.now();
        let hops = &link.chain.hops;
        let named = facts
            .faulty_engine
            .and_then(|address| hops.iter().find(|hop| hop.address == address));
        let engine = EndpointId::clone(&named.unwrap_or(&hops[0]).id);
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            let mut fleet = self.context.fleet().borrow_mut();
            fleet.exclude_mismatched(&engine, now);
        } else {
            // The engine has failed, is leaving, gives up its layers or lacks memory; its report
            // shows which.
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

    /// Handles a failure response of the engine.
    pub(crate) async fn handle_failure(
        &mut self,
        mut link: StreamLink<Time, Dialect>,
        head: &ResponseHead,
    ) -> Result<bool, StreamEnd> {
        let body = link.connection.read_body(MAX_RESPONSE_BYTES).await;
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                self.link = Some(link);
                self.leave_chain(&BreakCause::Broken(error))?;
                return Ok(false);
            }
        };
        if self.response_headers.is_some() {
            // The response to the caller has begun, so the engine's failure can no longer be passed
            // on.
            let error = ConnectionError::after_write(&format!("status {}", head.status));
            self.link = Some(link);
            self.leave_chain(&BreakCause::Broken(error))?;
            return Ok(false);
        }
        let now = self.context.now();
        let first = &link.chain.hops[0].id;
        self.context.first_engines().record(first, false, now);
        let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, RelayBody::Complete(body));
        *response.headers_mut() = self.context.dialect().forwarded_headers(&head.headers);
        self.request.lifecycle.apply(LifecycleEvent::Start);
        self.request.lifecycle.apply(LifecycleEvent::Complete);
        Err(StreamEnd::Failure(response))
    }
}
