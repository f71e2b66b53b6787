//! State of an admission gate, for logs, metrics and explanations.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::service_room::ServiceRoom;

/// State of an admission gate at one time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GateState {
    /// Share of each rank with demand; empty if the news is too old.
    pub shares: BTreeMap<u8, f64>,
    /// Work per second that can be admitted, according to the last news.
    pub supply: Option<f64>,
    /// Room of the service, according to the last news.
    pub room: Option<ServiceRoom>,
    /// Time since the last news.
    pub news_age: Option<Duration>,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Mean time for which a request of the service runs.
    pub mean_service_time: Duration,
}
