//! Past states of the instance list, which simulate a delayed list.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::InstanceRecord;

/// Time for which past states of the list are retained.
const HISTORY_RETENTION: Duration = Duration::from_mins(2);

/// The states of the list within [`HISTORY_RETENTION`], and the last one before that.
#[derive(Debug, Default)]
pub(crate) struct InstanceHistory {
    records: BTreeMap<Arc<str>, InstanceRecord>,
    snapshots: VecDeque<(Instant, Vec<InstanceRecord>)>,
}

impl InstanceHistory {
    pub(crate) fn put(&mut self, record: InstanceRecord, now: Instant) {
        self.records.insert(Arc::clone(&record.id), record);
        self.save_snapshot(now);
    }

    pub(crate) fn remove(&mut self, id: &str, now: Instant) -> bool {
        let is_removed = self.records.remove(id).is_some();
        self.save_snapshot(now);
        is_removed
    }

    /// Returns the list as it was `lag` before `now`.
    pub(crate) fn list(&self, lag: Duration, now: Instant) -> Vec<InstanceRecord> {
        let is_old_enough = |saved_at: &Instant| now.duration_since(*saved_at) >= lag;
        self.snapshots
            .iter()
            .rev()
            .find(|(saved_at, _)| is_old_enough(saved_at))
            .map(|(_, records)| records.clone())
            .unwrap_or_default()
    }

    fn save_snapshot(&mut self, now: Instant) {
        self.snapshots
            .push_back((now, self.records.values().cloned().collect()));
        let is_expired = |saved_at: &Instant| now.duration_since(*saved_at) > HISTORY_RETENTION;
        while self
            .snapshots
            .get(1)
            .is_some_and(|(saved_at, _)| is_expired(saved_at))
        {
            self.snapshots.pop_front();
        }
    }
}
