//! Keeps verdicts about prompts in the store, and tries refused prompts again after a while.
//!
//! Every instance reads the verdicts when it starts; later ones come with the load reports. The
//! holder of the layout lease writes them. An operator serves a part again by deleting its object.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{FeatureKey, FeatureVerdict, ProcessId};
use dandeliondeal_types::{
    Clock, FeatureId, KindStore, ObjectStore, ObjectValue, PutCondition, ReadFreshness, StoreEra,
    StoreError,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_watch::log_changes;
use crate::relay_context::RelayContext;

/// Kind of the store objects that hold verdicts.
const QUARANTINE_KIND: &str = "quarantine";
/// Time without a crash after which one request with a refused part is admitted as a trial.
pub(crate) const TRIAL_DELAY: Duration = Duration::from_mins(5);
/// Factor on this time for each earlier trial.
const TRIAL_BACKOFF: u32 = 4;
/// Maximum number of trials of all instances for one verdict; after them only an operator lifts it.
const MAX_TRIALS: u32 = 2;
/// Time between two looks at what has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the stored verdicts, in which deletions by an operator are noticed.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time until a failed first read is repeated; it doubles with each failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time until a failed first read is repeated.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Verdict as stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredVerdict {
    key: FeatureKey,
    companions: Vec<FeatureId>,
    processes: Vec<ProcessId>,
    /// Number of trials that were started.
    trials: u32,
}

impl StoredVerdict {
    fn new(verdict: &FeatureVerdict, trials: u32) -> Self {
        Self {
            key: verdict.key.clone(),
            companions: verdict.companions.clone(),
            processes: verdict.processes.clone(),
            trials,
        }
    }

    /// Returns the verdict; its age counts from `now`.
    fn to_verdict(&self, now: Instant) -> FeatureVerdict {
        FeatureVerdict {
            key: self.key.clone(),
            companions: self.companions.clone(),
            processes: self.processes.clone(),
            last_end: now,
            is_stored: true,
        }
    }

    fn body(&self) -> Arc<str> {
        // Encoding fails only for maps without text keys, of which there are none.
        serde_json::to_string(self).unwrap_or_default().into()
    }
}

/// Reads the stored verdicts, then keeps them up to date until the task is dropped.
pub async fn run_quarantine_store<Time, Dialect, Store>(
    context: RelayContext<Time, Dialect>,
    store: Store,
) where
    Time: Clock,
    Store: ObjectStore + KindStore,
{
    let mut keeper = VerdictKeeper {
        context,
        store,
        stored: HashMap::new(),
        read_at: None,
        era: None,
    };
    keeper.read_first().await;
    loop {
        actix_rt::time::sleep(keeper.context.jitter(CHECK_INTERVAL)).await;
        if !keeper.context.holds_lease() {
            keeper.read_at = None;
        } else if let Err(error) = keeper.synchronise().await {
            tracing::info!(%error, "verdicts about prompts could not be stored; tried again");
        }
    }
}

fn decode_verdict(object: &ObjectValue) -> Option<StoredVerdict> {
    serde_json::from_str(&object.body)
        .inspect_err(|error| tracing::warn!(object = %object.name, %error, "verdict skipped"))
        .ok()
}

/// Returns the name of a verdict's object; ids of parts may hold any character.
fn object_name(key: &FeatureKey) -> String {
    let hash = xxh3_64(format!("{}/{}", key.service, key.feature).as_bytes());
    format!("{QUARANTINE_KIND}/part-{hash:016x}")
}

/// Keeps the stored verdicts and those in force equal, and starts trials.
struct VerdictKeeper<Time, Dialect, Store> {
    context: RelayContext<Time, Dialect>,
    store: Store,
    /// Verdicts in the store at the last read, with the later writes of this instance.
    stored: HashMap<FeatureKey, StoredVerdict>,
    /// Time of the last read since this instance got the lease.
    read_at: Option<Instant>,
    /// Era of the last read.
    era: Option<StoreEra>,
}

impl<Time, Dialect, Store> VerdictKeeper<Time, Dialect, Store>
where
    Time: Clock,
    Store: ObjectStore + KindStore,
{
    /// Reads the verdicts of an earlier time, until the store answers.
    async fn read_first(&mut self) {
        let mut delay = INITIAL_RETRY_DELAY;
        while let Err(error) = self.read().await {
            tracing::info!(%error, "verdicts about prompts cannot be read");
            actix_rt::time::sleep(self.context.jitter(delay)).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Puts the stored verdicts in force, and lifts those that an operator deleted.
    ///
    /// Only verdicts that were known to be stored before the call are lifted: one that is written
    /// meanwhile may be missing in the answer, although a report already says that it is stored. After
    /// a restore of the store from a copy, missing verdicts are lost ones.
    async fn read(&mut self) -> Result<(), StoreError> {
        let held = self.context.crashes().borrow().verdicts();
        let held = held.into_iter().filter(|verdict| verdict.is_stored);
        let earlier: Vec<FeatureKey> = held.map(|verdict| verdict.key).collect();
        let freshness = ReadFreshness::Latest;
        let snapshot = self.store.snapshot(QUARANTINE_KIND, freshness).await?;
        let stored = snapshot.objects.iter().filter_map(decode_verdict);
        self.stored = stored.map(|stored| (stored.key.clone(), stored)).collect();
        let now = self.context.now();
        let mut crashes = self.context.crashes().borrow_mut();
        for stored in self.stored.values() {
            crashes.add_verdict(stored.to_verdict(now));
            crashes.mark_stored(&stored.key);
        }
        let era = snapshot.version.era;
        let is_restored = self.era.replace(era).is_some_and(|known| known != era);
        for key in earlier.into_iter().filter(|_| !is_restored) {
            if !self.stored.contains_key(&key) {
                tracing::info!(part = %key.feature, "verdict was deleted from the store");
                crashes.lift(&key, now);
            }
        }
        drop(crashes);
        log_changes(&self.context);
        Ok(())
    }

    async fn synchronise(&mut self) -> Result<(), StoreError> {
        let now = self.context.now();
        let has_verdicts = !self.context.crashes().borrow().verdicts().is_empty();
        if !has_verdicts && self.stored.is_empty() {
            return Ok(());
        }
        let read_age = self.read_at.map(|at| now.saturating_duration_since(at));
        let is_outdated = self.era.is_some_and(|era| era < self.context.store_era());
        if is_outdated || read_age.is_none_or(|age| age >= READ_INTERVAL) {
            self.read().await?;
            self.read_at = Some(now);
        }
        let verdicts = self.context.crashes().borrow().verdicts();
        for verdict in &verdicts {
            let stored = self.stored.get(&verdict.key);
            if stored.is_none_or(|stored| stored.companions != verdict.companions) {
                self.write(verdict, 0).await?;
            }
            self.start_trial(verdict).await?;
        }
        let held: HashSet<&FeatureKey> = verdicts.iter().map(|verdict| &verdict.key).collect();
        let keys = self.stored.keys();
        let lifted: Vec<FeatureKey> = keys.filter(|key| !held.contains(key)).cloned().collect();
        for key in lifted {
            self.delete(&key).await?;
        }
        Ok(())
    }

    /// Writes a verdict with at least `trials` started trials.
    async fn write(&mut self, verdict: &FeatureVerdict, trials: u32) -> Result<(), StoreError> {
        let name = object_name(&verdict.key);
        let object = self.store.get(&name).await?;
        let earlier = object.as_ref().and_then(decode_verdict);
        let earlier_trials = earlier.map_or(0, |earlier| earlier.trials);
        let entry = StoredVerdict::new(verdict, trials.max(earlier_trials));
        let condition = object.map_or(PutCondition::Absent, |object| {
            PutCondition::Version(object.version)
        });
        self.store.put(&name, condition, entry.body()).await?;
        self.context
            .crashes()
            .borrow_mut()
            .mark_stored(&verdict.key);
        tracing::info!(part = %verdict.key.feature, trials = entry.trials, "verdict stored");
        self.stored.insert(verdict.key.clone(), entry);
        Ok(())
    }

    async fn delete(&mut self, key: &FeatureKey) -> Result<(), StoreError> {
        let name = object_name(key);
        if let Some(object) = self.store.get(&name).await? {
            self.store.delete(&name, object.version).await?;
        }
        self.stored.remove(key);
        tracing::info!(part = %key.feature, "verdict deleted");
        Ok(())
    }

    /// Starts the trial of a verdict if one is due.
    async fn start_trial(&mut self, verdict: &FeatureVerdict) -> Result<(), StoreError> {
        let trials = self
            .stored
            .get(&verdict.key)
            .map_or(MAX_TRIALS, |stored| stored.trials);
        let now = self.context.now();
        let quiet_time = now.saturating_duration_since(verdict.last_end);
        if trials >= MAX_TRIALS || quiet_time < TRIAL_DELAY * TRIAL_BACKOFF.pow(trials) {
            return Ok(());
        }
        // The trial is counted before it is started, so that instances together start no more.
        self.write(verdict, trials + 1).await?;
        self.context.crashes().borrow_mut().open_trial(&verdict.key);
        tracing::info!(part = %verdict.key.feature, trial = trials + 1, "trial opened");
        Ok(())
    }
}
