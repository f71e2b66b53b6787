//! A pool of idle connections to endpoints.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{Clock, EndpointId};

use crate::endpoint_connection::EndpointConnection;

/// Limits of a [`ConnectionPool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Maximum time that a connection may be idle and still be reused.
    ///
    /// Endpoints use idle timeouts of whole seconds. A limit below one second keeps a request from
    /// racing with the close of its connection.
    pub max_idle_time: Duration,
    /// Maximum number of idle connections per endpoint.
    pub max_idle_per_endpoint: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_idle_time: Duration::from_millis(900),
            max_idle_per_endpoint: 16,
        }
    }
}

/// Idle connections by endpoint; the most recently used one is reused first.
#[derive(Debug)]
pub struct ConnectionPool<Time> {
    settings: PoolSettings,
    clock: Time,
    idle_connections: HashMap<EndpointId, Vec<EndpointConnection>>,
}

impl<Time> ConnectionPool<Time>
where
    Time: Clock,
{
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings, clock: Time) -> Self {
        Self {
            settings,
            clock,
            idle_connections: HashMap::new(),
        }
    }

    /// Removes and returns an idle connection that is not expired, closed or holding unread data.
    pub fn take(&mut self, endpoint: &str) -> Option<EndpointConnection> {
        let now = self.clock.now();
        let connections = self.idle_connections.get_mut(endpoint)?;
        while let Some(connection) = connections.pop() {
            if is_within_idle_time(&connection, self.settings.max_idle_time, now)
                && connection.has_nothing_to_read()
            {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection if it can carry another request and the endpoint's limit is not reached.
    pub fn put(&mut self, endpoint: &EndpointId, mut connection: EndpointConnection) {
        if !connection.is_reusable() {
            return;
        }
        connection.mark_idle(&self.clock);
        let connections = self
            .idle_connections
            .entry(EndpointId::clone(endpoint))
            .or_default();
        if connections.len() < self.settings.max_idle_per_endpoint {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_endpoint(&mut self, endpoint: &str) {
        self.idle_connections.remove(endpoint);
    }

    /// Closes all idle connections, for example if they may have stopped working without notice.
    pub fn clear(&mut self) {
        self.idle_connections.clear();
    }

    /// Closes connections that have been idle for longer than the limit.
    pub fn close_expired(&mut self) {
        let now = self.clock.now();
        let max_idle_time = self.settings.max_idle_time;
        self.idle_connections.retain(|_, connections| {
            connections.retain(|connection| is_within_idle_time(connection, max_idle_time, now));
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle_connections.values().map(Vec::len).sum()
    }

    /// Returns whether the pool has no idle connections.
    pub fn is_empty(&self) -> bool {
        self.idle_connections.is_empty()
    }
}

fn is_within_idle_time(
    connection: &EndpointConnection,
    max_idle_time: Duration,
    now: Instant,
) -> bool {
    now.saturating_duration_since(connection.idle_since()) <= max_idle_time
}
