//! Checks of the engines of a failure domain after one of them, or one elsewhere, was lost.
//!
//! Losses have common causes: a power supply, a switch, a rack. An instance connects only to the first
//! engines of chains, so it finds the loss of another engine only by streams that fall silent. The hub
//! of each domain therefore connects once to each engine of its domain when it hears of a loss.

use std::cell::Cell;
use std::time::{Duration, Instant};

use dandeliondeal_types::{Clock, EndpointId, FailureDomain};
use futures_util::{StreamExt, stream};

use crate::dialect::FleetDialect;
use crate::engine_check::{CheckCause, check_engine};
use crate::fleet_view::FleetView;
use crate::loss_board::{ConnectionCheck, check_connection};
use crate::loss_notice::LossEvidence;
use crate::relay_context::RelayContext;

/// Minimum time between two sweeps of a hub; the losses of one cause are found by one.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of engines that a sweep connects to, which bounds its cost in large domains.
const MAX_SWEPT: usize = 128;
/// Number of connections that a sweep opens at the same time.
const CONCURRENCY: usize = 16;

/// Time of the last sweep of an instance.
#[derive(Debug, Default)]
pub struct SweepTimer {
    last: Cell<Option<Instant>>,
}

impl SweepTimer {
    /// Returns whether a sweep may start now, and counts it.
    pub fn try_start(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        let may_start = !self.last.get().is_some_and(is_recent);
        if may_start {
            self.last.set(Some(now));
        }
        may_start
    }
}

/// Returns the engines of a domain that a sweep after the loss of `lost` connects to: usable ones of
/// the same service.
pub fn swept_engines(view: &FleetView, domain: &FailureDomain, lost: &str) -> Vec<EndpointId> {
    let Some(service) = view.record(lost).map(|record| &record.service) else {
        return Vec::new();
    };
    let engines = view.records().filter(|record| {
        record.service == *service
            && record.failure_domain == *domain
            && *record.id != *lost
            && !record.is_draining
            && view.is_engine(record)
            && view.is_usable(&record.id)
    });
    let engines = engines.map(|record| EndpointId::clone(&record.id));
    engines.take(MAX_SWEPT).collect()
}

/// Connects to engines, and records the losses that it finds.
///
/// An engine that refuses the connection is lost. One that does not answer in time is checked by its
/// report.
pub(crate) async fn sweep_engines<Time, Dialect>(
    context: RelayContext<Time, Dialect>,
    engines: Vec<EndpointId>,
) where
    Time: Clock,
    Dialect: FleetDialect,
{
    let checks = stream::iter(engines);
    let context = &context;
    let checks = checks.for_each_concurrent(CONCURRENCY, |engine| async move {
        match check_connection(context, &engine, LossEvidence::Refused).await {
            ConnectionCheck::Lost | ConnectionCheck::Accepted => {}
            ConnectionCheck::Unanswered => {
                check_engine(context, &engine, CheckCause::Suspicion);
            }
        }
    });
    checks.await;
}
