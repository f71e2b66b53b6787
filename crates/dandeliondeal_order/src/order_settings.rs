//! Settings of orders.

use std::time::Duration;

/// Settings of orders to endpoints.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Time after its arrival in which an order may take effect.
    pub order_life: Duration,
    /// Time after which an order without answer no longer takes effect: its life and its time on
    /// the way. After a change of holder, an endpoint that ignores fencing numbers is ordered
    /// only once this has gone by.
    pub grace: Duration,
    /// Time between two reads of an endpoint that is as desired.
    pub read_interval: Duration,
    /// Wait after an endpoint did not answer, or an order did not do what it should.
    pub retry_pause: Duration,
    /// Orders at once that make endpoints load weights.
    pub loads_at_once: usize,
    /// Time between the starts of two loads.
    pub load_interval: Duration,
    /// Reads at once.
    pub reads_at_once: usize,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            order_life: Duration::from_secs(30),
            grace: Duration::from_secs(45),
            read_interval: Duration::from_mins(1),
            retry_pause: Duration::from_secs(5),
            loads_at_once: 4,
            load_interval: Duration::from_secs(1),
            reads_at_once: 16,
        }
    }
}
