//! Follows one kind of the store's objects, through outages and lost history.

use std::time::{Duration, Instant};

use dandeliondeal_types::{
    Clock, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, Version,
};

use crate::fleet_view::LAPSE_GRACE;
use crate::relay_context::RelayContext;

/// First and longest pause between two calls while the store does not answer. All instances
/// come back within the longest, at times of their own; each refused call is priced as well.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Shortest outage after which missing entries may have lapsed only. A watch that was cut is made
/// again within less; entries take several seconds of silence to lapse.
const OUTAGE_FLOOR: Duration = Duration::from_millis(700);

/// Pause after changes before the next watch. Changes that come meanwhile are told together; each
/// call is priced, and an endpoint that drains takes requests for seconds still.
const BATCH_PAUSE: Duration = Duration::from_millis(350);

/// What takes in the objects of a kind.
pub trait KindSink {
    /// Takes in all objects; those that are missing may have lapsed only, until `lapse_until`.
    fn replace(&self, snapshot: KindSnapshot, lapse_until: Option<Instant>);

    /// Takes in changes; deleted objects may have lapsed only, until `lapse_until`.
    fn change(&self, changes: KindChanges, lapse_until: Option<Instant>);
}

/// When the store was away, as far as calls tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageClock {
    away_since: Option<Instant>,
    lapse_until: Option<Instant>,
}

impl OutageClock {
    /// Notes that a call failed that was begun at `started` and could take `limit`; `true` if it
    /// is the first of an outage.
    pub fn begin(&mut self, started: Instant, now: Instant, limit: Duration) -> bool {
        if self.away_since.is_some() {
            return false;
        }
        // A call that was never answered does not tell when the store went away.
        let is_silent = now.saturating_duration_since(started) > limit;
        self.away_since = Some(if is_silent { started } else { now });
        self.lapse_until = None;
        true
    }

    /// Notes that a call was answered; tells how long the outage lasted that ends with it.
    pub fn end(&mut self, now: Instant) -> Option<Duration> {
        let lasted = now.saturating_duration_since(self.away_since.take()?);
        // The grace runs from the return, not from each deletion: one that is told later is a
        // planned leave, and its endpoint may be used no longer.
        self.lapse_until = (lasted >= OUTAGE_FLOOR).then(|| now + LAPSE_GRACE);
        Some(lasted)
    }

    /// Until when missing entries may have lapsed only; `None` if they are gone.
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
                // A watch that was cut may have missed changes whose history is dropped before
                // a next watch is told so; a new list shows them at once.
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
