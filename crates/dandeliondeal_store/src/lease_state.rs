//! State chart of a lease.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// State of a lease from the point of view of one contender.
    pub enum LeaseState {
        /// The state of the lease object is not reliably known.
        Unknown = "unknown",
        /// The term of another holder may not have expired yet.
        Waiting = "waiting",
        /// The lease is free, and this process tries to acquire it.
        Contending = "contending",
        /// This process holds the lease.
        Held = "held",
        /// This process released the lease and will not acquire it again.
        Released = "released",
    }
}

chart_labels! {
    /// Event that changes the state of a lease.
    pub enum LeaseTrigger {
        /// The lease object is absent, released, or its term has expired.
        SeenFree = "seen-free",
        /// The term of another process may not have expired yet.
        SeenOther = "seen-other",
        /// The lease object carries the stamp of the write that this process sent last.
        SeenOwn = "seen-own",
        /// The term of this process has expired on its own clock.
        Lapse = "lapse",
        /// An answer was lost, or the clock shows that the process was paused.
        Doubt = "doubt",
        /// The process releases the lease.
        Release = "release",
    }
}

/// Returns the state table parsed from `charts/lease.ini`.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn lease_chart() -> Result<Arc<ChartTable<LeaseState, LeaseTrigger>>, ChartError> {
    static TABLE: OnceLock<Result<Arc<ChartTable<LeaseState, LeaseTrigger>>, ChartError>> =
        OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/lease.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}
