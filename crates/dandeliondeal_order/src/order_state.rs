//! The state chart of one endpoint's orders.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// What is known of an endpoint.
    pub enum OrderState {
        /// Nothing that may be relied on.
        Unknown = "unknown",
        /// Its state is being read.
        Reading = "reading",
        /// It is as desired.
        Settled = "settled",
        /// It is not as desired.
        Differing = "differing",
        /// An order is out.
        Ordered = "ordered",
    }
}

chart_labels! {
    /// What happens with an endpoint.
    pub enum OrderSight {
        /// Its state is asked for.
        Read = "read",
        /// It is as desired.
        Match = "match",
        /// It is not as desired.
        Differ = "differ",
        /// An order is sent.
        Send = "send",
        /// The order was answered.
        Answer = "answer",
        /// No answer came.
        Lose = "lose",
        /// A new term of the lease began.
        Reset = "reset",
    }
}

/// The table of `charts/order.ini`.
///
/// # Errors
///
/// The chart file is not sound.
pub fn order_chart() -> Result<Arc<ChartTable<OrderState, OrderSight>>, ChartError> {
    static TABLE: OnceLock<Result<Arc<ChartTable<OrderState, OrderSight>>, ChartError>> =
        OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/order.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}
