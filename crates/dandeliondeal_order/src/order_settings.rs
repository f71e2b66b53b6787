//! Settings of orders to endpoints.

use std::time::Duration;

/// Timing and concurrency limits of orders to endpoints.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Time after arrival within which an endpoint may apply an order.
    pub order_ttl: Duration,
    /// Time after sending until an unanswered order can no longer take effect.
    ///
    /// Covers the delivery time as well as [`OrderSettings::order_ttl`]. After the lease has
    /// passed to another holder, endpoints that ignore fencing numbers receive no order until this
    /// has elapsed.
    pub grace: Duration,
    /// Time between two reads of an endpoint that is in its desired state.
    pub read_interval: Duration,
    /// Delay before the next attempt after an unanswered read, or a refused or unanswered order.
    pub retry_delay: Duration,
    /// Maximum number of concurrent orders, since each can make an endpoint load weights.
    pub loads_at_once: usize,
    /// Minimum time between the starts of two loads.
    pub load_interval: Duration,
    /// Maximum number of concurrent reads.
    pub reads_at_once: usize,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            order_ttl: Duration::from_secs(30),
            grace: Duration::from_secs(45),
            read_interval: Duration::from_mins(1),
            retry_delay: Duration::from_secs(5),
            loads_at_once: 4,
            load_interval: Duration::from_secs(1),
            reads_at_once: 16,
        }
    }
}
