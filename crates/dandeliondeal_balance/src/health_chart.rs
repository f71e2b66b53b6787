//! States and events of the endpoint health chart.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// Health of one endpoint.
    pub enum HealthState {
        /// Takes its full share of the work.
        InService = "in-service",
        /// Shows signs of failure; used only where nothing better is at hand.
        Suspected = "suspected",
        /// Takes no work.
        Failed = "failed",
        /// Takes one repeatable request, whose answer decides.
        Testing = "testing",
        /// Takes a share of the work that grows with time.
        SlowStart = "slow-start",
        /// Takes no new work and finishes what it has.
        Leaving = "leaving",
    }
}

chart_labels! {
    /// What moves the health of one endpoint.
    pub enum HealthEvent {
        /// An answer arrived.
        Answer = "answer",
        /// The signals passed the level of suspicion.
        Suspicion = "suspicion",
        /// The signals passed the level of failure.
        Failure = "failure",
        /// The signals fell below the level of recovery.
        Recovery = "recovery",
        /// The wait before the next test is over.
        RetryDue = "retry-due",
        /// The slow start is over.
        RampDone = "ramp-done",
        /// The endpoint is leaving.
        Leave = "leave",
        /// The endpoint is live again after it had been leaving.
        Return = "return",
    }
}

/// The compiled chart.
pub type HealthTable = ChartTable<HealthState, HealthEvent>;

const CHART_TEXT: &str = include_str!("../../../charts/endpoint-health.ini");

/// Compiles the health chart.
///
/// # Errors
///
/// [`ChartError`] if the chart file is unsound.
pub fn health_table() -> Result<Arc<HealthTable>, ChartError> {
    HealthTable::parse(CHART_TEXT).map(Arc::new)
}
