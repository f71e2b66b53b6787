//! The interface to model engines.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use crate::RouteError;
use crate::id::{EndpointId, Lineage, RequestId};
use crate::token_step::{SessionStatus, StepAnswer, StepCall};

/// Sends calls to model engines.
///
/// Each method makes one call and never retries it; the session decides how to handle a missing
/// response.
pub trait EngineClient: Debug + Clone + 'static {
    /// Runs one step at `endpoint`, or returns its stored answer if it already ran.
    ///
    /// `new_connection` opens a new connection instead of reusing an idle one.
    fn step(
        &self,
        endpoint: &EndpointId,
        call: StepCall,
        timeout: Duration,
        new_connection: bool,
    ) -> impl Future<Output = Result<StepAnswer, RouteError>>;

    /// Queries the progress of a session over a new connection.
    ///
    /// Returns `None` if the engine does not have the session.
    fn status(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<SessionStatus>, RouteError>>;

    /// Exports the KV cache of a session as text for [`EngineClient::import`].
    fn export(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> impl Future<Output = Result<Arc<str>, RouteError>>;

    /// Starts a session from an exported KV cache, with its own `lineage`.
    fn import(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lineage: Lineage,
        cache: Arc<str>,
        timeout: Duration,
    ) -> impl Future<Output = Result<SessionStatus, RouteError>>;

    /// Extends the session so that it expires `lifetime` from now.
    fn renew(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lifetime: Duration,
    ) -> impl Future<Output = Result<(), RouteError>>;

    /// Ends a session and frees its memory.
    fn cancel(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
    ) -> impl Future<Output = Result<(), RouteError>>;
}
