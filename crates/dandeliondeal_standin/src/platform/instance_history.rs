//! The instance list as it was some time ago.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::InstanceRecord;

/// Age beyond which older lists are forgotten.
const KEPT: Duration = Duration::from_mins(2);

/// Every state of the list within [`KEPT`], and the last one before.
#[derive(Debug, Default)]
pub(crate) struct InstanceHistory {
    now: BTreeMap<Arc<str>, InstanceRecord>,
    lists: VecDeque<(Instant, Vec<InstanceRecord>)>,
}

impl InstanceHistory {
    pub(crate) fn put(&mut self, record: InstanceRecord, now: Instant) {
        self.now.insert(Arc::clone(&record.id), record);
        self.save(now);
    }

    pub(crate) fn remove(&mut self, id: &str, now: Instant) -> bool {
        let is_known = self.now.remove(id).is_some();
        self.save(now);
        is_known
    }

    /// The list as it was `lag` before `now`.
    pub(crate) fn list(&self, lag: Duration, now: Instant) -> Vec<InstanceRecord> {
        let is_old_enough = |taken: &Instant| now.duration_since(*taken) >= lag;
        self.lists
            .iter()
            .rev()
            .find(|(taken, _)| is_old_enough(taken))
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn save(&mut self, now: Instant) {
        self.lists
            .push_back((now, self.now.values().cloned().collect()));
        let is_forgotten = |taken: &Instant| now.duration_since(*taken) > KEPT;
        while self
            .lists
            .get(1)
            .is_some_and(|(taken, _)| is_forgotten(taken))
        {
            self.lists.pop_front();
        }
    }
}
