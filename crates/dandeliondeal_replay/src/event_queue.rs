//! A queue of tasks ordered by due time, first in first out at equal times.

use std::collections::BTreeMap;
use std::time::Duration;

/// Queue of tasks, each with the time at which it is due.
#[derive(Debug)]
pub(crate) struct EventQueue<Task> {
    /// Tasks by due time and sequence number, which keeps tasks with equal times in order.
    tasks: BTreeMap<(Duration, u64), Task>,
    /// Sequence number of the task added last.
    sequence: u64,
}

impl<Task> Default for EventQueue<Task> {
    fn default() -> Self {
        Self {
            tasks: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<Task> EventQueue<Task> {
    pub(crate) fn push(&mut self, at: Duration, task: Task) {
        self.sequence += 1;
        self.tasks.insert((at, self.sequence), task);
    }

    /// Removes and returns the earliest task due by `limit`, with its due time.
    pub(crate) fn pop_due(&mut self, limit: Duration) -> Option<(Duration, Task)> {
        let first = self.tasks.first_entry()?;
        if first.key().0 > limit {
            return None;
        }
        let at = first.key().0;
        Some((at, first.remove()))
    }
}
