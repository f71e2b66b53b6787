//! Bounded memory of the parts under which answers were given.

use std::collections::HashMap;
use std::time::Instant;

use crate::crash_evidence::PartKey;

/// Latest answer by part, in two generations: when the newer one is full, the older one is dropped.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    capacity: usize,
    newer: HashMap<PartKey, Instant>,
    older: HashMap<PartKey, Instant>,
}

impl AnswerMemory {
    /// Creates a memory that keeps the latest `capacity` parts, and at most twice as many.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }

    /// Records an answer under a part.
    pub fn record(&mut self, key: PartKey, at: Instant) {
        if self.newer.len() >= self.capacity && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, at);
    }

    /// Returns the time of the latest known answer under a part.
    pub fn latest(&self, key: &PartKey) -> Option<Instant> {
        self.newer.get(key).or_else(|| self.older.get(key)).copied()
    }

    /// Returns the number of remembered parts.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
