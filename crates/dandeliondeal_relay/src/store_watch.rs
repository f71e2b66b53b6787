//! Follows one kind of the store's objects, through outages and lost history.

use std::time::{Duration, Instant};

use dandeliondeal_types::{
    Clock, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreError, Version,
};

use crate::relay_context::RelayContext;

/// First and longest pause between two calls while the store does not answer. All instances
/// come back within the longest, at times of their own; each refused call is priced as well.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// For this long after a failed call the store counts as just back: entries that lapsed
/// meanwhile return within two seconds.
pub const OUTAGE_MEMORY: Duration = Duration::from_millis(2_500);

/// Pause after changes before the next watch. Changes that come meanwhile are told together; each
/// call is priced, and an endpoint that drains takes requests for seconds still.
const BATCH_PAUSE: Duration = Duration::from_millis(350);

/// What takes in the objects of a kind.
pub trait KindSink {
    /// Takes in all objects.
    fn replace(&self, snapshot: KindSnapshot, is_after_outage: bool);

    /// Takes in changes.
    fn change(&self, changes: KindChanges, is_after_outage: bool);
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
    let mut last_failure: Option<Instant> = None;
    let mut outage_start: Option<Instant> = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let result = match seen {
            None => store
                .snapshot(kind, ReadFreshness::Latest)
                .await
                .map(Update::Whole),
            Some(version) => store.changes(kind, version, limit).await.map(Update::Part),
        };
        let now = context.now();
        let is_after_outage = last_failure
            .is_some_and(|failure| now.saturating_duration_since(failure) < OUTAGE_MEMORY);
        match result {
            Ok(update) => {
                if let Some(start) = outage_start.take() {
                    let lasted = now.saturating_duration_since(start).as_millis();
                    tracing::info!(kind, lasted_ms = %lasted, "store regained");
                }
                pause = FIRST_PAUSE;
                seen = Some(update.version());
                match update {
                    Update::Whole(snapshot) => sink.replace(snapshot, is_after_outage),
                    Update::Part(changes) if changes.events.is_empty() => {}
                    Update::Part(changes) => {
                        sink.change(changes, is_after_outage);
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
                if outage_start.is_none() {
                    tracing::warn!(kind, %error, "store lost");
                    outage_start = Some(now);
                }
                let failures = &context.metrics().store_failures;
                failures.with_label_values(&[kind]).inc();
                last_failure = Some(now);
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
