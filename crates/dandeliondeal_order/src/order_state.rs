//! The state chart of the orders to one endpoint.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// State of one endpoint, as known to the lease holder.
    pub enum OrderState {
        /// The endpoint's state is not known, or may have changed.
        Unknown = "unknown",
        /// The endpoint is being read.
        Reading = "reading",
        /// The endpoint is in its desired state.
        Settled = "settled",
        /// The endpoint is not in its desired state.
        Differing = "differing",
        /// An order is in flight.
        Ordered = "ordered",
    }
}

chart_labels! {
    /// Event in the state chart of one endpoint.
    pub enum EndpointEvent {
        /// A read is sent.
        Read = "read",
        /// A read found the endpoint in its desired state.
        Match = "match",
        /// A read found the endpoint in another state.
        Differ = "differ",
        /// An order is sent.
        Send = "send",
        /// The order was answered, or its answer was lost.
        Answer = "answer",
        /// The endpoint did not answer.
        Unanswered = "lose",
        /// A new term of the lease began.
        Reset = "reset",
    }
}

/// Returns the transition table of `charts/order.ini`, which is parsed once.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn order_chart() -> Result<Arc<ChartTable<OrderState, EndpointEvent>>, ChartError> {
    static TABLE: OnceLock<Result<Arc<ChartTable<OrderState, EndpointEvent>>, ChartError>> =
        OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/order.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}
