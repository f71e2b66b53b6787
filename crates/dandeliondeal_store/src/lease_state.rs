//! The state chart of a lease.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// Where a contender stands with a lease.
    pub enum LeaseState {
        /// Nothing is known that may be relied on.
        Unknown = "unknown",
        /// Another holder's term may still run.
        Waiting = "waiting",
        /// The lease is free to be written.
        Contending = "contending",
        /// This process holds it.
        Held = "held",
        /// This process gave it back for good.
        Released = "released",
    }
}

chart_labels! {
    /// What is learned of a lease.
    pub enum LeaseSight {
        /// The object is absent, given back, or its term is over.
        Free = "seen-free",
        /// Another process's term may run.
        Other = "seen-other",
        /// The object carries the stamp of the write that was sent last.
        Own = "seen-own",
        /// This process's term is over on its own clock.
        Lapse = "lapse",
        /// An answer was lost, or the clock shows a gap.
        Doubt = "doubt",
        /// The process gives the lease back.
        Release = "release",
    }
}

/// The table of `charts/lease.ini`.
///
/// # Errors
///
/// The chart file is not sound.
pub fn lease_chart() -> Result<Arc<ChartTable<LeaseState, LeaseSight>>, ChartError> {
    static TABLE: OnceLock<Result<Arc<ChartTable<LeaseState, LeaseSight>>, ChartError>> =
        OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/lease.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}
