//! Memory budget for the inputs that sessions store for recovery.

use std::cell::Cell;
use std::rc::Rc;

/// Size of one logged input in bytes.
const INPUT_BYTES: u64 = 8;

/// Number of logged inputs in all sessions of this instance; clones share the count.
#[derive(Clone, Debug)]
pub struct LogBudget {
    used: Rc<Cell<u64>>,
    limit: u64,
}

/// Share of the budget that one session uses; released on drop.
#[derive(Debug)]
pub struct LogShare {
    budget: LogBudget,
    inputs: u64,
}

impl LogBudget {
    /// Creates a budget of `bytes`, of which nothing is used.
    pub fn new(bytes: u64) -> Self {
        Self {
            used: Rc::default(),
            limit: bytes / INPUT_BYTES,
        }
    }

    /// Creates the share of one session, with no inputs yet.
    pub fn new_share(&self) -> LogShare {
        LogShare {
            budget: self.clone(),
            inputs: 0,
        }
    }

    /// Returns the number of inputs that all sessions store.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

impl LogShare {
    /// Sets the number of inputs of this session; returns whether the budget is exceeded.
    pub fn set(&mut self, inputs: u64) -> bool {
        let used = &self.budget.used;
        used.set(used.get() + inputs - self.inputs);
        self.inputs = inputs;
        used.get() > self.budget.limit
    }
}

impl Drop for LogShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
