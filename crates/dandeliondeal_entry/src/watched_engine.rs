//! An engine client that reports the results of its steps to the endpoint monitor.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    Clock, EndpointId, EngineClient, Lineage, RequestId, RouteError, SessionStatus, StepAnswer,
    StepCall,
};

use crate::shared_monitor::SharedMonitor;

/// Forwards calls to `Engine` and reports the results of steps to the monitor.
#[derive(Clone, Debug)]
pub struct WatchedEngine<Engine, ClockSource> {
    engine: Engine,
    monitor: SharedMonitor<ClockSource>,
}

impl<Engine, ClockSource> WatchedEngine<Engine, ClockSource> {
    /// Wraps `engine` to report to `monitor`.
    pub fn new(engine: Engine, monitor: SharedMonitor<ClockSource>) -> Self {
        Self { engine, monitor }
    }
}

impl<Engine, ClockSource> EngineClient for WatchedEngine<Engine, ClockSource>
where
    Engine: EngineClient,
    ClockSource: Clock,
{
    async fn step(
        &self,
        endpoint: &EndpointId,
        call: StepCall,
        timeout: Duration,
        new_connection: bool,
    ) -> Result<StepAnswer, RouteError> {
        let monitored_call = self.monitor.start(endpoint);
        let result = self
            .engine
            .step(endpoint, call, timeout, new_connection)
            .await;
        monitored_call.end(&result);
        result
    }

    async fn status(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<Option<SessionStatus>, RouteError> {
        self.engine.status(endpoint, request, timeout).await
    }

    async fn export(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<Arc<str>, RouteError> {
        self.engine.export(endpoint, request, timeout).await
    }

    async fn import(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lineage: Lineage,
        cache: Arc<str>,
        timeout: Duration,
    ) -> Result<SessionStatus, RouteError> {
        self.engine
            .import(endpoint, request, lineage, cache, timeout)
            .await
    }

    async fn renew(
        &self,
        endpoint: &EndpointId,
        request: &RequestId,
        lifetime: Duration,
    ) -> Result<(), RouteError> {
        self.engine.renew(endpoint, request, lifetime).await
    }

    async fn cancel(&self, endpoint: &EndpointId, request: &RequestId) -> Result<(), RouteError> {
        self.engine.cancel(endpoint, request).await
    }
}
