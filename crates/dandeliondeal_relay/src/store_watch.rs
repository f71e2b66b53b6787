//! Follows one kind of store objects through outages and lost change history.

use std::time::{Duration, Instant};

use dandeliondeal_types::{
    Clock, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, Version,
};

use crate::fleet_view::LAPSE_GRACE;
use crate::relay_context::RelayContext;

/// First delay before the next call while the store does not answer; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum delay between two calls while the store does not answer.
///
/// All instances reconnect within this time, but at different moments. Refused calls are charged
/// as well.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Minimum outage after which missing registrations may merely have expired.
///
/// A watch that was cut is restarted in less time, and registrations expire only after several
/// seconds without a renewal.
const OUTAGE_FLOOR: Duration = Duration::from_millis(700);

/// Delay between received changes and the next watch, so that one call returns several changes.
///
/// Each call is charged, and a draining endpoint still accepts requests for seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(350);

/// Receiver of the objects of a kind.
pub trait KindSink {
    /// Applies the full list of objects; missing ones may merely have expired if `lapse_until` is
    /// set.
    fn replace(&self, snapshot: KindSnapshot, lapse_until: Option<Instant>);

    /// Applies changes; deleted objects may merely have expired if `lapse_until` is set.
    fn change(&self, changes: KindChanges, lapse_until: Option<Instant>);
}

/// Tracks outages of the store from the results of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageClock {
    away_since: Option<Instant>,
    lapse_until: Option<Instant>,
}

impl OutageClock {
    /// Records a failed call that started at `started` with the time limit `limit`; returns `true`
    /// if it is the first of an outage.
    pub fn begin(&mut self, started: Instant, now: Instant, limit: Duration) -> bool {
        if self.away_since.is_some() {
            return false;
        }
        // A call that timed out does not show when the outage began; assume the start of the call.
        let is_silent = now.saturating_duration_since(started) > limit;
        self.away_since = Some(if is_silent { started } else { now });
        self.lapse_until = None;
        true
    }

    /// Records a successful call; returns the duration of the outage that it ends.
    pub fn end(&mut self, now: Instant) -> Option<Duration> {
        let lasted = now.saturating_duration_since(self.away_since.take()?);
        // The grace period starts at the end of the outage, not at each deletion. A later deletion
        // is a planned leave, and its endpoint must not be used any longer.
        self.lapse_until = (lasted >= OUTAGE_FLOOR).then(|| now + LAPSE_GRACE);
        Some(lasted)
    }

    /// Returns the time until which missing registrations may merely have expired; `None` if they
    /// are gone.
    pub fn lapse_until(&self, now: Instant) -> Option<Instant> {
        self.lapse_until.filter(|until| now < *until)
    }
}

/// Follows `kind` until the task is dropped.
pub async fn follow<Time, Dialect, Store, Sink>(
    context: RelayContext<Time, Dialect>,
    store: Store,
    kind: &'static str,
    sink: Sink,
) where
    Time: Clock,
    Store: KindStore,
    Sink: KindSink,
{
    let limit = context.settings().store.watch_limit;
    let mut seen: Option<Version> = None;
    let mut outage = OutageClock::default();
    let mut pause = FIRST_PAUSE;
    loop {
        let started = context.now();
        let result = match seen {
            None => store
                .snapshot(kind, ReadFreshness::Latest)
                .await
                .map(Update::Whole),
            Some(version) => store.changes(kind, version, limit).await.map(Update::Part),
        };
        let now = context.now();
        match result {
            Ok(update) => {
                if let Some(lasted) = outage.end(now) {
                    tracing::info!(kind, lasted_ms = %lasted.as_millis(), "store regained");
                }
                let lapse_until = outage.lapse_until(now);
                pause = FIRST_PAUSE;
                seen = Some(update.version());
                match update {
                    Update::Whole(snapshot) => sink.replace(snapshot, lapse_until),
                    Update::Part(changes) if changes.events.is_empty() => {}
                    Update::Part(changes) => {
                        sink.change(changes, lapse_until);
                        actix_rt::time::sleep(BATCH_PAUSE).await;
                    }
                }
            }
            Err(StoreError::HistoryGone { .. }) => {
                tracing::info!(kind, seen, "history is gone; listing anew");
                seen = None;
            }
            Err(error) => {
                // Changes may have been missed while the call failed, and their history may be
                // dropped before the next watch reports that. A new list shows them at once.
                seen = None;
                if outage.begin(started, now, limit) {
                    tracing::warn!(kind, %error, "store lost");
                }
                let failures = &context.metrics().store_failures;
                failures.with_label_values(&[kind]).inc();
                actix_rt::time::sleep(context.jitter(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

enum Update {
    Whole(KindSnapshot),
    Part(KindChanges),
}

impl Update {
    fn version(&self) -> Version {
        match self {
            Self::Whole(snapshot) => snapshot.version,
            Self::Part(changes) => changes.version,
        }
    }
}
