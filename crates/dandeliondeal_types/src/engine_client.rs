//! A model engine as an interface.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use crate::RouteError;
use crate::id::{EndpointId, Lineage, RequestId};
use crate::token_step::{SessionStatus, StepAnswer, StepCall};

/// Talks to model engines.
///
/// Each method makes one call and never repeats it; what a lost answer means is for the session
/// to decide. `fresh` asks for a new connection in place of a kept one.
pub trait EngineClient: Debug + Clone + 'static {
    /// Runs one step at `endpoint`, or gets its kept answer if it already ran.
    fn step(
        &self,
        endpoint: &EndpointId,
        call: StepCall,
        timeout: Duration,
        fresh: bool,
    ) -> impl Future<Output = Result<StepAnswer, RouteError>>;

    /// Asks, over a new connection, where a session stands; `None` if the engine has none.
    fn status(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<SessionStatus>, RouteError>>;

    /// Exports the KV cache of a session as text that [`EngineClient::import`] takes.
    fn export(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> impl Future<Output = Result<Arc<str>, RouteError>>;

    /// Starts a session from an exported KV cache, under a lineage of its own.
    fn import(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lineage: Lineage,
        cache: Arc<str>,
        timeout: Duration,
    ) -> impl Future<Output = Result<SessionStatus, RouteError>>;

    /// Prolongs the life of a session by `life` from now.
    fn renew(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        life: Duration,
    ) -> impl Future<Output = Result<(), RouteError>>;

    /// Ends a session and frees its memory.
    fn cancel(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
    ) -> impl Future<Output = Result<(), RouteError>>;
}
