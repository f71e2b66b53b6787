//! States and events of the endpoint health chart.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// Health of one endpoint.
    pub enum HealthState {
        /// Takes its full share of the requests.
        InService = "in-service",
        /// Shows signs of failure and is used only if no better endpoint is available.
        Suspected = "suspected",
        /// Takes no requests.
        Failed = "failed",
        /// Takes one repeatable request, whose result decides the next state.
        Testing = "testing",
        /// Takes a share of the requests that grows with time.
        SlowStart = "slow-start",
        /// Takes no new requests and finishes its open ones.
        Leaving = "leaving",
    }
}

chart_labels! {
    /// Event that may change the health of one endpoint.
    pub enum HealthEvent {
        /// An answer arrived.
        Answer = "answer",
        /// The failed or overdue calls reached the suspicion threshold.
        Suspicion = "suspicion",
        /// The failed or overdue calls reached the failure threshold, or a test failed.
        Failure = "failure",
        /// The share of failed calls fell to the recovery threshold, or the window is almost empty.
        Recovery = "recovery",
        /// The wait before the next test has elapsed.
        TestDue = "retry-due",
        /// The slow start has ended.
        SlowStartDone = "ramp-done",
        /// The endpoint is leaving.
        Leave = "leave",
        /// The endpoint is no longer leaving.
        Return = "return",
    }
}

/// Transition table compiled from the health chart.
pub type HealthTable = ChartTable<HealthState, HealthEvent>;

const CHART_TEXT: &str = include_str!("../../../charts/endpoint-health.ini");

/// Compiles the health chart.
///
/// # Errors
///
/// Returns a [`ChartError`] if the chart file is invalid.
pub fn health_table() -> Result<Arc<HealthTable>, ChartError> {
    HealthTable::parse(CHART_TEXT).map(Arc::new)
}
