//! Follows one kind of store objects through outages and lost change history.

use std::time::{Duration, Instant};

use dandeliondeal_config::{CHANGE_PAUSE, FIRST_BACKOFF};
use dandeliondeal_types::{
    Clock, KindChanges, KindSnapshot, KindStore, ReadFreshness, StoreEra, StoreError, StoreVersion,
};

use crate::fleet_view::LAPSE_GRACE;
use crate::relay_context::RelayContext;

/// Maximum delay between two calls while the store does not answer.
///
/// All instances reconnect within this time, but at different moments. Refused calls are charged
/// as well.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Minimum outage after which missing registrations may merely have expired.
///
/// A watch that was cut is restarted in less time, and registrations expire only after several
/// seconds without a renewal.
const MIN_OUTAGE: Duration = Duration::from_millis(700);

/// Maximum time after the last failed call of an outage for which missing registrations are kept.
///
/// The store may have returned right after that call, long before the next one. An endpoint that left
/// before or during the outage has to be given up before this instance counts as connected again.
const MAX_LAPSE_AFTER_FAILURE: Duration = Duration::from_millis(2_600);

/// Maximum time for which an endpoint is kept whose deletion is reported after the store's return.
///
/// Such a deletion may also be a leave without notice, after which the endpoint must soon get no
/// more requests. The report itself is up to half a second late.
const DELETION_GRACE: Duration = Duration::from_millis(1_300);

/// Mean delay between the first list after the start and the first watch.
///
/// Within it, the instances of a large fleet have counted one another, so that most of them ask
/// their hub instead of the store.
const FIRST_WATCH_DELAY: Duration = Duration::from_secs(1);

/// Receiver of the objects of a kind.
pub trait KindSink {
    /// Applies the full list of objects; missing ones may merely have expired if `lapse_until` is
    /// set.
    fn apply_snapshot(&self, snapshot: KindSnapshot, lapse_until: Option<Instant>);

    /// Applies changes; deleted objects may merely have expired if `lapse_until` is set.
    fn apply_changes(&self, changes: KindChanges, lapse_until: Option<Instant>);

    /// Records that an answer to a call was applied that started at `started`.
    fn record_answer(&self, _started: Instant) {}

    /// Waits until a new list has to be read before the call under way ends.
    fn wait_for_recheck(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
}

/// What a failed call shows about the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureEvidence {
    /// No response arrived; the connection alone may be dead.
    Connection,
    /// The store refused the call, or no connection to it could be made.
    Store,
}

impl FailureEvidence {
    fn of_error(error: &StoreError) -> Self {
        match error {
            StoreError::Unavailable { .. } => Self::Store,
            _ => Self::Connection,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Store => "store",
        }
    }
}

/// Time without answers from the store.
#[derive(Clone, Copy, Debug)]
struct StoreLoss {
    since: Instant,
    /// Start of the last failed call; the store did not answer then.
    failed_at: Instant,
    /// Whether a call failed that cannot have been lost with an old connection.
    is_outage: bool,
}

/// Tracks outages of the store from the results of calls.
///
/// A response that does not arrive may be due to a connection that stopped responding while the
/// store works. The client discards its connections then, so that only a second failure in a row, or
/// a refusal, shows an outage. Registrations do not expire because of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageTracker {
    loss: Option<StoreLoss>,
    lapse_until: Option<Instant>,
    era: StoreEra,
    /// Time until which registrations that a restored store lacks may be written again.
    restored_until: Option<Instant>,
}

impl OutageTracker {
    /// Records a failed call that started at `started` with the time limit `limit`; returns `true`
    /// if it is the first since the last answer.
    pub fn record_failure(
        &mut self,
        started: Instant,
        now: Instant,
        limit: Duration,
        evidence: FailureEvidence,
    ) -> bool {
        if let Some(loss) = &mut self.loss {
            loss.is_outage = true;
            loss.failed_at = started;
            return false;
        }
        // A call that timed out does not show when the outage began; assume the start of the call.
        let is_timed_out = now.saturating_duration_since(started) > limit;
        self.loss = Some(StoreLoss {
            since: if is_timed_out { started } else { now },
            failed_at: started,
            is_outage: evidence == FailureEvidence::Store,
        });
        true
    }

    /// Records a successful call; returns the duration of the outage that it ends.
    ///
    /// A lost connection is no outage, and returns `None`.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        let loss = self.loss.take().filter(|loss| loss.is_outage)?;
        let duration = now.saturating_duration_since(loss.since);
        // The grace period starts at the end of the outage, not at each deletion. A later deletion
        // is a planned leave, and its endpoint must not be used any longer.
        let until = (now + LAPSE_GRACE).min(loss.failed_at + MAX_LAPSE_AFTER_FAILURE);
        self.lapse_until = (duration >= MIN_OUTAGE).then_some(until);
        Some(duration)
    }

    /// Records the era of an answer.
    ///
    /// A store that was restored from a copy lacks what was written after it.
    pub fn record_era(&mut self, era: StoreEra, now: Instant) {
        let previous = std::mem::replace(&mut self.era, era);
        if previous != era && previous != 0 {
            self.restored_until = Some(now + LAPSE_GRACE);
        }
    }

    /// Returns whether calls have failed since the last answer.
    pub fn is_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Returns the time until which an endpoint may merely have expired whose deletion is reported
    /// now, after the store's return; `None` if it is gone.
    pub fn deletion_lapse_until(&self, now: Instant) -> Option<Instant> {
        let until = self.lapse_until.filter(|until| now < *until)?;
        Some(until.min(now + DELETION_GRACE))
    }

    /// Returns the time until which missing registrations may merely have expired or been lost;
    /// `None` if they are gone.
    pub fn lapse_until(&self, now: Instant) -> Option<Instant> {
        let until = self.lapse_until.max(self.restored_until);
        until.filter(|until| now < *until)
    }
}

/// Follows `kind` until the task is dropped.
///
/// `first_read` is the freshness of the first list. The watch that follows it brings a relaxed one
/// up to date.
pub async fn follow_kind<Time, Dialect, Store, Sink>(
    context: RelayContext<Time, Dialect>,
    store: Store,
    kind: &'static str,
    first_read: ReadFreshness,
    sink: Sink,
) where
    Time: Clock,
    Store: KindStore,
    Sink: KindSink,
{
    let limit = context.settings().store.watch_limit;
    let mut seen: Option<StoreVersion> = None;
    let mut tracker = OutageTracker::default();
    let mut backoff = FIRST_BACKOFF;
    let mut is_first = true;
    loop {
        let started = context.now();
        let is_start = std::mem::take(&mut is_first);
        let call = async {
            match seen {
                None => {
                    let freshness = if is_start {
                        first_read
                    } else {
                        ReadFreshness::Latest
                    };
                    let snapshot = store.snapshot(kind, freshness).await;
                    snapshot.map(KindUpdate::Snapshot)
                }
                Some(version) => store
                    .changes(kind, version, limit)
                    .await
                    .map(KindUpdate::Changes),
            }
        };
        let result = tokio::select! {
            biased;
            () = sink.wait_for_recheck() => {
                seen = None;
                continue;
            }
            result = call => result,
        };
        let now = context.now();
        match result {
            Ok(update) => {
                let was_lost = tracker.is_lost();
                if let Some(duration) = tracker.record_success(now) {
                    tracing::info!(kind, lasted_ms = %duration.as_millis(), "store regained");
                } else if was_lost {
                    tracing::info!(kind, "store answers over a new connection");
                }
                tracker.record_era(update.version().era, now);
                let lapse_until = tracker.lapse_until(now);
                backoff = FIRST_BACKOFF;
                context.record_store_era(update.version().era);
                seen = Some(update.version());
                match update {
                    KindUpdate::Snapshot(snapshot) => {
                        sink.apply_snapshot(snapshot, lapse_until);
                        sink.record_answer(started);
                        if is_start {
                            actix_rt::time::sleep(context.jitter(FIRST_WATCH_DELAY)).await;
                        }
                    }
                    KindUpdate::Changes(changes) if changes.events.is_empty() => {}
                    KindUpdate::Changes(changes) => {
                        sink.apply_changes(changes, tracker.deletion_lapse_until(now));
                        actix_rt::time::sleep(CHANGE_PAUSE).await;
                    }
                }
            }
            Err(StoreError::HistoryExpired { .. }) => {
                let (revision, era) = seen.map_or((0, 0), |seen| (seen.revision, seen.era));
                tracing::info!(
                    kind,
                    seen = revision,
                    era,
                    "change history is gone; reading a new list"
                );
                seen = None;
            }
            Err(StoreError::OverBudget { wait }) => {
                tracing::debug!(kind, wait_ms = %wait.as_millis(), "store call delayed");
                actix_rt::time::sleep(wait).await;
            }
            Err(error) => {
                // Changes may have been missed while the call failed, and their history may be
                // dropped before the next watch reports that. A new list shows them at once.
                seen = None;
                let evidence = FailureEvidence::of_error(&error);
                let cause = evidence.label();
                let waited_ms = now.saturating_duration_since(started).as_millis();
                if tracker.record_failure(started, now, limit, evidence) {
                    tracing::warn!(kind, %error, cause, %waited_ms, "store lost");
                }
                let failures = &context.metrics().store_failures;
                failures.with_label_values(&[kind, cause]).inc();
                actix_rt::time::sleep(context.jitter(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

enum KindUpdate {
    Snapshot(KindSnapshot),
    Changes(KindChanges),
}

impl KindUpdate {
    fn version(&self) -> StoreVersion {
        match self {
            Self::Snapshot(snapshot) => snapshot.version,
            Self::Changes(changes) => changes.version,
        }
    }
}
