//! Pauses of this process, as gaps between two looks at the clock.
//!
//! After a pause, what was known before may have ended meanwhile: the limits that endpoints state
//! would count as ended, the instances that share the repeat budget may be more, and the
//! configuration may have been replaced.

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
/// Time after a pause in which requests wait for the configuration; after it, the last known one is
/// used, as it is while the store does not answer.
const MAX_RECHECK_TIME: Duration = Duration::from_secs(1);

/// Last look at the clock, and what was read since the last pause.
#[derive(Debug, Default)]
pub(crate) struct ProcessPause {
    seen_at: Cell<Option<Instant>>,
    resumed_at: Cell<Option<Instant>>,
    /// Whether the instances have been counted since the pause.
    is_counted: Cell<bool>,
    /// Whether the configuration has been read since the pause.
    is_config_read: watch::Sender<bool>,
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
        self.is_config_read.send_replace(false);
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
        if self.resumed_at.get().is_some_and(|at| started >= at) {
            self.is_config_read.send_replace(true);
        }
    }

    /// Returns for how long requests still wait for the configuration; `None` if they do not.
    pub(crate) fn config_wait(&self, now: Instant) -> Option<Duration> {
        let resumed_at = self.resumed_at.get()?;
        let wait = MAX_RECHECK_TIME.checked_sub(now.saturating_duration_since(resumed_at))?;
        (!*self.is_config_read.borrow()).then_some(wait)
    }

    /// Waits until the configuration has been read since the last pause.
    pub(crate) async fn wait_for_config(&self) {
        let mut is_config_read = self.is_config_read.subscribe();
        // The sender lives as long as this state, so the wait does not fail.
        drop(is_config_read.wait_for(|is_read| *is_read).await);
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
    }
}
