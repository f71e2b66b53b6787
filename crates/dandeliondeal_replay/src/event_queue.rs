//! Tasks in order of time, and in order of entry at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Tasks that are due at some time.
#[derive(Debug)]
pub(crate) struct EventQueue<Task> {
    tasks: BTreeMap<(Duration, u64), Task>,
    entered: u64,
}

impl<Task> Default for EventQueue<Task> {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            entered: 0,
        }
    }
}

impl<Task> EventQueue<Task> {
    pub(crate) fn push(&mut self, at: Duration, task: Task) {
        self.entered += 1;
        self.tasks.insert((at, self.entered), task);
    }

    /// Takes the first task that is due by `limit`, with its time.
    pub(crate) fn pop_due(&mut self, limit: Duration) -> Option<(Duration, Task)> {
        let first = self.tasks.first_entry()?;
        if first.key().0 > limit {
            return None;
        }
        let at = first.key().0;
        Some((at, first.remove()))
    }
}
