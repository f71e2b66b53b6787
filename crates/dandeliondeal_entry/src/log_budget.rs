//! Memory of the inputs that sessions keep for recovery.

use std::cell::Cell;
use std::rc::Rc;

/// Size of one logged input in bytes.
const INPUT_BYTES: u64 = 8;

/// Counts the logged inputs of all sessions of this instance; clones share the count.
#[derive(Clone, Debug)]
pub struct LogBudget {
    used: Rc<Cell<u64>>,
    limit: u64,
}

/// The part of one session, given back when it is dropped.
#[derive(Debug)]
pub struct LogShare {
    budget: LogBudget,
    inputs: u64,
}

impl LogBudget {
    /// Makes an empty budget of `bytes`.
    pub fn new(bytes: u64) -> Self {
        Self {
            used: Rc::default(),
            limit: bytes / INPUT_BYTES,
        }
    }

    /// Starts the share of one session.
    pub fn share(&self) -> LogShare {
        LogShare {
            budget: self.clone(),
            inputs: 0,
        }
    }

    /// Inputs that all sessions hold.
    pub fn used(&self) -> u64 {
        self.used.get()
    }
}

impl LogShare {
    /// Notes how many inputs the session holds, and tells whether all sessions hold too many.
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
