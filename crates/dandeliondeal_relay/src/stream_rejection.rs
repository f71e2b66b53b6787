//! What follows when a chain does not run a stream, or its engine fails it.

use actix_http::{Response, StatusCode};
use dandeliondeal_http::{AnswerHead, LinkError};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{AnswerFacts, FleetDialect, RequestDialect};
use crate::endpoint_link::ANSWER_LIMIT;
use crate::engine_check::{CheckCause, believed_fill, check_engine};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_life::LifeEvent;
use crate::stream_relay::{BreakCause, StreamEnd, StreamLink, StreamRelay};

/// Offers of one request at most, counting those that engines stated not to have run.
const OFFER_LIMIT: u32 = 4;

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// The engines stated that the request did not run.
    pub(crate) fn rejected(
        &mut self,
        link: StreamLink<Time, Dialect>,
        head: &AnswerHead,
        facts: &AnswerFacts,
    ) -> Result<bool, StreamEnd> {
        self.request.life.apply(LifeEvent::Reject);
        self.runs -= 1;
        let faulty = self.fault(&link, head, facts);
        let may_repeat = self.offers < OFFER_LIMIT
            && self.context.take_repeat(&self.request.service, "rejected");
        tracing::info!(
            request = %self.request.facts.request,
            status = head.status.as_u16(),
            engine = %faulty,
            offers = self.offers,
            believed_fill = believed_fill(&self.context, &faulty, self.context.now()),
            load_age_ms = self.load_age_ms(),
            repeated = may_repeat,
            "engine stated not run"
        );
        self.avoided.push(faulty);
        drop(link);
        if may_repeat {
            Ok(false)
        } else {
            Err(self.refused(RefusalCause::Rejected))
        }
    }

    /// The engine that is at fault for a rejection; it is left out until it is checked.
    fn fault(
        &self,
        link: &StreamLink<Time, Dialect>,
        head: &AnswerHead,
        facts: &AnswerFacts,
    ) -> EndpointId {
        let now = self.context.now();
        let hops = &link.chain.hops;
        let named = facts
            .faulty
            .and_then(|address| hops.iter().find(|hop| hop.address == address));
        let engine = EndpointId::clone(&named.unwrap_or(&hops[0]).id);
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            let mut fleet = self.context.fleet().borrow_mut();
            fleet.doubt_layers(&engine, now);
        } else {
            // It is lost, leaves, gives up its layers or lacks memory; its report tells which.
            check_engine(&self.context, &engine, CheckCause::Rejection);
        }
        engine
    }

    /// Age of what the other instances told of their load; `None` if it counts no more.
    fn load_age_ms(&self) -> Option<u64> {
        let age = self.context.book().told_age(self.context.now())?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// The engine answered with a failure of its own.
    pub(crate) async fn failed(
        &mut self,
        mut link: StreamLink<Time, Dialect>,
        head: &AnswerHead,
    ) -> Result<bool, StreamEnd> {
        let body = link.connection.read_body(ANSWER_LIMIT).await;
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                self.link = Some(link);
                self.break_link(&BreakCause::Broken(error))?;
                return Ok(false);
            }
        };
        if self.head.is_some() {
            // The answer has begun; an engine's failure cannot follow in it.
            let error = LinkError::written(&format!("status {}", head.status));
            self.link = Some(link);
            self.break_link(&BreakCause::Broken(error))?;
            return Ok(false);
        }
        let now = self.context.now();
        let first = &link.chain.hops[0].id;
        self.context.firsts().note(first, false, now);
        let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, RelayBody::Whole(body));
        *response.headers_mut() = self.context.dialect().answer_headers(&head.headers);
        self.request.life.apply(LifeEvent::Start);
        self.request.life.apply(LifeEvent::Complete);
        Err(StreamEnd::Failure(response))
    }
}
