//! Entrance for requests that other instances hand over because they have lost their links.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_types::Clock;

use crate::dialect::{FleetDialect, RequestDialect};
use crate::handover_wire::{HandoverFacts, HandoverRefusal};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::request_handler::handle_request;
use crate::request_intake::RequestOrigin;

/// Maximum number of handed-over requests that are open at a time; it bounds their memory.
const MAX_OPEN_REQUESTS: usize = 256;

/// Serves handed-over requests; clones share the count of open ones.
#[derive(Debug)]
pub struct HandoverEntrance<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    open_requests: Rc<Cell<usize>>,
}

impl<Time, Dialect> Clone for HandoverEntrance<Time, Dialect> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            open_requests: Rc::clone(&self.open_requests),
        }
    }
}

impl<Time, Dialect> HandoverEntrance<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Creates an entrance.
    pub fn new(context: RelayContext<Time, Dialect>) -> Self {
        Self {
            context,
            open_requests: Rc::default(),
        }
    }

    /// Serves one request, or states that this instance does not take it.
    pub async fn serve(self, mut request: Request) -> Response<RelayBody> {
        let secret = self.context.peer_secret();
        let facts = HandoverFacts::take(secret.reveal(), &mut request.head_mut().headers);
        let Some(facts) = facts else {
            tracing::warn!("handed-over request without the peers' secret");
            return Response::with_body(StatusCode::FORBIDDEN, RelayBody::Complete(Bytes::new()));
        };
        let version = self.context.table().map_or(0, |table| table.version());
        let is_full = self.open_requests.get() >= MAX_OPEN_REQUESTS;
        if version < facts.config_version || is_full || self.context.is_stopping() {
            tracing::info!(
                version,
                required_version = facts.config_version,
                is_full,
                is_stopping = self.context.is_stopping(),
                "handed-over request not taken"
            );
            return refuse(HandoverRefusal::NotTaken);
        }
        let open = OpenCount::start(&self.open_requests);
        let origin = RequestOrigin::Instance { facts, open };
        let mut response = handle_request(self.context.clone(), request, origin).await;
        let cause = response.extensions().get::<RefusalCause>().copied();
        match cause {
            // Endpoints without room are no reason to ask yet another instance.
            Some(RefusalCause::NoEndpoint) if self.context.links().has_lost() => {
                refuse(HandoverRefusal::NotTaken)
            }
            Some(RefusalCause::NoConfig | RefusalCause::Stopping) => {
                refuse(HandoverRefusal::NotTaken)
            }
            Some(cause) => {
                HandoverRefusal::Ended(cause).write(response.headers_mut());
                response
            }
            None => response,
        }
    }
}

fn refuse(refusal: HandoverRefusal) -> Response<RelayBody> {
    let body = RelayBody::Complete(Bytes::new());
    let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, body);
    refusal.write(response.headers_mut());
    response
}

/// Counts a handed-over request as open until it is dropped.
#[derive(Debug)]
pub struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn start(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
