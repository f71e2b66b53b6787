//! Pauses of this process, as gaps between two looks at the clock.
//!
//! After a pause, what was known before may have ended meanwhile: the limits that endpoints state
//! would count as ended, the instances that share the repeat budget may be more, the configuration
//! may have been replaced, and processes may have ended under copies of the requests that wait.

use std::cell::Cell;
use std::time::{Duration, Instant};

use dandeliondeal_types::Clock;
use tokio::sync::{Notify, watch};

use crate::endpoint_limits::restate_limits;
use crate::relay_context::RelayContext;

/// Gap above which the process counts as having been paused.
///
/// The sweep looks at the clock four times a second. Known facts are used for 1.2 s anyway.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Time after a pause in which requests wait for the configuration and for a report of the fleet;
/// after it, what is known is used, as it is while the store or the hubs do not answer.
const MAX_RECHECK_TIME: Duration = Duration::from_secs(1);

/// What has been read since the last pause.
#[derive(Clone, Copy, Debug, Default)]
struct RecheckState {
    has_config: bool,
    /// Whether a hub, or as a hub other ones, reported what the fleet knows.
    has_report: bool,
}

impl RecheckState {
    fn is_complete(self) -> bool {
        self.has_config && self.has_report
    }
}

/// Last look at the clock, and what was read since the last pause.
#[derive(Debug, Default)]
pub(crate) struct ProcessPause {
    seen_at: Cell<Option<Instant>>,
    resumed_at: Cell<Option<Instant>>,
    /// Whether the instances have been counted since the pause.
    is_counted: Cell<bool>,
    reads: watch::Sender<RecheckState>,
    /// Asks for the configuration.
    recheck: Notify,
}

impl ProcessPause {
    /// Records a look at the clock; returns the last one before a pause that has just ended.
    fn record(&self, now: Instant) -> Option<Instant> {
        let seen_at = self.seen_at.replace(Some(now))?;
        if now.saturating_duration_since(seen_at) <= MAX_GAP {
            return None;
        }
        self.resumed_at.set(Some(now));
        self.is_counted.set(false);
        self.reads.send_replace(RecheckState::default());
        self.recheck.notify_one();
        Some(seen_at)
    }

    /// Records that the instances were counted.
    pub(crate) fn record_count(&self) {
        self.is_counted.set(true);
    }

    /// Returns whether the instances have been counted since the last pause.
    pub(crate) fn is_counted(&self) -> bool {
        self.resumed_at.get().is_none() || self.is_counted.get()
    }

    /// Records an answer to a call for the configuration that started at `started`.
    pub(crate) fn record_config_read(&self, started: Instant) {
        if self.is_after_pause(started) {
            self.reads.send_modify(|reads| reads.has_config = true);
        }
    }

    /// Records an exchange of reports with the fleet that started at `started`.
    pub(crate) fn record_report(&self, started: Instant) {
        if self.is_after_pause(started) {
            self.reads.send_modify(|reads| reads.has_report = true);
        }
    }

    fn is_after_pause(&self, started: Instant) -> bool {
        self.resumed_at.get().is_some_and(|at| started >= at)
    }

    /// Returns for how long requests still wait for what has to be read; `None` if they do not.
    pub(crate) fn recheck_time(&self, now: Instant) -> Option<Duration> {
        let resumed_at = self.resumed_at.get()?;
        let wait = MAX_RECHECK_TIME.checked_sub(now.saturating_duration_since(resumed_at))?;
        (!self.reads.borrow().is_complete()).then_some(wait)
    }

    /// Waits until everything has been read since the last pause.
    pub(crate) async fn wait_for_reads(&self) {
        let mut reads = self.reads.subscribe();
        // The sender lives as long as this state, so the wait does not fail.
        drop(reads.wait_for(|reads| reads.is_complete()).await);
    }

    /// Waits until the configuration has to be read because of a pause.
    pub(crate) async fn wait_for_recheck(&self) {
        self.recheck.notified().await;
    }
}

impl<Time, Dialect> RelayContext<Time, Dialect>
where
    Time: Clock,
{
    /// Looks at the clock; after a pause, what was known before it is no longer relied on.
    pub fn check_pause(&self) {
        let now = self.now();
        let Some(seen_at) = self.pauses().record(now) else {
            return;
        };
        let gap_ms = now.saturating_duration_since(seen_at).as_millis();
        tracing::warn!(%gap_ms, "process was paused");
        restate_limits(self, seen_at, now);
        self.share_slack();
        self.request_report();
    }
}
