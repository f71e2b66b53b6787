//! A half-open range of layers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::Layer;

/// Layers `start..end` of a model; `end` is exclusive.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{start}..{end}")]
pub struct LayerRange {
    /// First layer of the range.
    pub start: Layer,
    /// One past the last layer of the range.
    pub end: Layer,
}

impl LayerRange {
    /// Creates the range `start..end`.
    pub const fn new(start: Layer, end: Layer) -> Self {
        Self { start, end }
    }

    /// Returns the number of layers in the range.
    pub const fn len(self) -> u32 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains no layers.
    pub const fn is_empty(self) -> bool {
        self.end <= self.start
    }

    /// Returns whether `other` lies completely within this range.
    pub const fn contains(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}
