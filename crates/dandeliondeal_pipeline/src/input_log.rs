//! The logged inputs of one stage, within a bound.

use std::collections::VecDeque;
use std::sync::Arc;

use dandeliondeal_types::Position;

/// Inputs at consecutive positions; the oldest may have been dropped.
#[derive(Clone, Debug, Default)]
pub struct InputLog {
    first: Position,
    values: VecDeque<u64>,
}

impl InputLog {
    /// First position that is still held.
    pub fn first(&self) -> Position {
        self.first
    }

    /// One past the last position that is held.
    pub fn end(&self) -> Position {
        self.first + self.values.len() as Position
    }

    /// Number of positions held.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether no position is held.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Whether every position from 0 is held.
    pub fn is_whole(&self) -> bool {
        self.first == 0
    }

    /// Adds the values from `position` on that are not held yet.
    pub fn append(&mut self, position: Position, values: &[u64]) {
        let known = usize::try_from(self.end().saturating_sub(position)).unwrap_or(usize::MAX);
        self.values.extend(values.iter().skip(known));
    }

    /// The values at `position` and after it, at most `limit`.
    pub fn read(&self, position: Position, limit: usize) -> Arc<[u64]> {
        let offset = usize::try_from(position.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.values
            .iter()
            .skip(offset)
            .take(limit)
            .copied()
            .collect()
    }

    /// Drops the oldest positions below `applied` until at most `limit` are held.
    pub fn trim(&mut self, applied: Position, limit: usize) {
        while self.values.len() > limit && self.first < applied {
            self.values.pop_front();
            self.first += 1;
        }
    }

    /// Drops everything, so that the log starts at position 0 again.
    pub fn clear(&mut self) {
        self.first = 0;
        self.values.clear();
    }
}
