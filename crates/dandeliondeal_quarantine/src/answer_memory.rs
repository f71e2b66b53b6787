//! Bounded memory of the parts under which answers were given.

use std::collections::HashMap;
use std::time::Instant;

use dandeliondeal_types::ServiceId;

use crate::crash_evidence::FeatureKey;

/// Answers under one part.
#[derive(Clone, Copy, Debug)]
struct FeatureAnswers {
    latest: Instant,
    count: u64,
}

/// Answers by part, in two generations: when the newer one is full, the older one is dropped.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    capacity: usize,
    newer: HashMap<FeatureKey, FeatureAnswers>,
    older: HashMap<FeatureKey, FeatureAnswers>,
    /// Number of answers by service; the configuration bounds the number of services.
    totals: HashMap<ServiceId, u64>,
}

impl AnswerMemory {
    /// Creates a memory that keeps the latest `capacity` parts, and at most twice as many.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            newer: HashMap::new(),
            older: HashMap::new(),
            totals: HashMap::new(),
        }
    }

    /// Records an answer of a service, once for all parts of its prompt.
    pub fn record_answer(&mut self, service: &ServiceId) {
        *self.totals.entry(ServiceId::clone(service)).or_default() += 1;
    }

    /// Records that an answer was given under a part.
    pub fn record_part(&mut self, key: FeatureKey, at: Instant) {
        let count = self.count(&key) + 1;
        if self.newer.len() >= self.capacity && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, FeatureAnswers { latest: at, count });
    }

    /// Returns the time of the latest known answer under a part.
    pub fn latest(&self, key: &FeatureKey) -> Option<Instant> {
        self.find(key).map(|answers| answers.latest)
    }

    /// Returns the number of answers of a service.
    pub fn total(&self, service: &ServiceId) -> u64 {
        self.totals.get(service).copied().unwrap_or(0)
    }

    /// Returns the share of the service's answers that were given under a part, from 0 to 1.
    pub fn share(&self, key: &FeatureKey) -> f64 {
        let total = self.total(&key.service);
        self.count(key) as f64 / total.max(1) as f64
    }

    /// Returns the number of remembered parts.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn count(&self, key: &FeatureKey) -> u64 {
        self.find(key).map_or(0, |answers| answers.count)
    }

    fn find(&self, key: &FeatureKey) -> Option<&FeatureAnswers> {
        self.newer.get(key).or_else(|| self.older.get(key))
    }
}
