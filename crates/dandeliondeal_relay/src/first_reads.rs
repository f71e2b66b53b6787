//! Waits of requests for what has to be read from the store first.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_route::RouteTable;
use dandeliondeal_types::Clock;

use crate::relay_context::RelayContext;

/// What a new process has read from the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstReads {
    pub(crate) has_config: bool,
    pub(crate) has_endpoints: bool,
}

impl<Time, Dialect> RelayContext<Time, Dialect>
where
    Time: Clock,
{
    /// Records that the list of endpoints has been read.
    pub fn record_endpoint_list(&self) {
        self.first_reads()
            .send_if_modified(|reads| !std::mem::replace(&mut reads.has_endpoints, true));
    }

    /// Returns the active configuration as soon as there is one and the list of endpoints has been
    /// read, but not later than after `limit`.
    ///
    /// The two are read independently: a configuration without the list refuses each request for
    /// want of an endpoint. After a pause of the process, the configuration and a report of the
    /// fleet are read first: the configuration may have been replaced meanwhile, and copies of the
    /// request may have ended endpoints.
    pub async fn wait_for_table(&self, limit: Duration) -> Option<Arc<RouteTable>> {
        self.check_pause();
        if self.table().is_none() || self.fleet().borrow().is_empty() {
            let mut first_reads = self.first_reads().subscribe();
            let complete = first_reads.wait_for(|reads| reads.has_config && reads.has_endpoints);
            tokio::select! {
                // The sender lives as long as this context, so the wait does not fail.
                _ = actix_rt::time::timeout(limit, complete) => {}
                () = self.wait_for_final_responses() => {}
            }
        } else if let Some(wait) = self.pauses().recheck_time(self.now()) {
            let complete = self.pauses().wait_for_reads();
            tokio::select! {
                _ = actix_rt::time::timeout(limit.min(wait), complete) => {}
                () = self.wait_for_final_responses() => {}
            }
        }
        self.table()
    }
}
