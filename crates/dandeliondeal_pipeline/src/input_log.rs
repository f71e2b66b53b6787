//! Bounded log of the inputs of one stage.

use std::collections::VecDeque;
use std::sync::Arc;

use dandeliondeal_types::Position;

/// Inputs at consecutive positions, from which the oldest may have been dropped.
#[derive(Clone, Debug, Default)]
pub struct InputLog {
    first_position: Position,
    values: VecDeque<u64>,
}

impl InputLog {
    /// Returns the first position in the log.
    pub fn first_position(&self) -> Position {
        self.first_position
    }

    /// Returns one past the last position in the log.
    pub fn end_position(&self) -> Position {
        self.first_position + self.values.len() as Position
    }

    /// Returns the number of positions in the log.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns whether no position has been dropped, so that the log starts at position 0.
    pub fn is_complete(&self) -> bool {
        self.first_position == 0
    }

    /// Appends `values`, which start at `position`, without those already in the log.
    ///
    /// `position` must not be after the end of the log. This is not checked, and a gap would shift
    /// all later inputs.
    pub fn append(&mut self, position: Position, values: &[u64]) {
        let overlap =
            usize::try_from(self.end_position().saturating_sub(position)).unwrap_or(usize::MAX);
        self.values.extend(values.iter().skip(overlap));
    }

    /// Returns at most `limit` values, starting at `position`.
    ///
    /// If `position` has been dropped, the values start at the oldest remaining position.
    pub fn read(&self, position: Position, limit: usize) -> Arc<[u64]> {
        let offset =
            usize::try_from(position.saturating_sub(self.first_position)).unwrap_or(usize::MAX);
        self.values
            .iter()
            .skip(offset)
            .take(limit)
            .copied()
            .collect()
    }

    /// Drops the oldest positions below `next_position` until at most `limit` are left.
    ///
    /// Positions from `next_position` on have not been processed yet and are kept.
    pub fn trim(&mut self, next_position: Position, limit: usize) {
        while self.values.len() > limit && self.first_position < next_position {
            self.values.pop_front();
            self.first_position += 1;
        }
    }

    /// Drops all values and starts the log at position 0 again.
    pub fn clear(&mut self) {
        self.first_position = 0;
        self.values.clear();
    }
}
