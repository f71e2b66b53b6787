//! Idle connections by endpoint.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{Clock, EndpointId};

use crate::endpoint_connection::EndpointConnection;

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Longest time that an idle connection is used again. Endpoints close idle connections
    /// after whole seconds; below a second such a close does not cross a request.
    pub idle_limit: Duration,
    /// Idle connections kept for each endpoint.
    pub endpoint_limit: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            idle_limit: Duration::from_millis(900),
            endpoint_limit: 16,
        }
    }
}

/// Idle connections by endpoint; the last used comes out first.
#[derive(Debug)]
pub struct ConnectionPool<Time> {
    settings: PoolSettings,
    clock: Time,
    idle: HashMap<EndpointId, Vec<EndpointConnection>>,
}

impl<Time> ConnectionPool<Time>
where
    Time: Clock,
{
    /// Makes an empty pool.
    pub fn new(settings: PoolSettings, clock: Time) -> Self {
        Self {
            settings,
            clock,
            idle: HashMap::new(),
        }
    }

    /// Takes an idle connection on which nothing arrived since.
    pub fn take(&mut self, endpoint: &str) -> Option<EndpointConnection> {
        let now = self.clock.now();
        let idle = self.idle.get_mut(endpoint)?;
        while let Some(connection) = idle.pop() {
            if is_fresh(&connection, self.settings.idle_limit, now) && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection if it may carry another request.
    pub fn put(&mut self, endpoint: &EndpointId, mut connection: EndpointConnection) {
        if !connection.is_reusable() {
            return;
        }
        connection.rest(&self.clock);
        let idle = self.idle.entry(EndpointId::clone(endpoint)).or_default();
        if idle.len() < self.settings.endpoint_limit {
            idle.push(connection);
        }
    }

    /// Closes the idle connections of an endpoint.
    pub fn forget(&mut self, endpoint: &str) {
        self.idle.remove(endpoint);
    }

    /// Closes all idle connections, which may have gone silent.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes connections that are idle for too long.
    pub fn sweep(&mut self) {
        let now = self.clock.now();
        let limit = self.settings.idle_limit;
        self.idle.retain(|_, idle| {
            idle.retain(|connection| is_fresh(connection, limit, now));
            !idle.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

fn is_fresh(connection: &EndpointConnection, limit: Duration, now: Instant) -> bool {
    now.saturating_duration_since(connection.idle_since()) <= limit
}
