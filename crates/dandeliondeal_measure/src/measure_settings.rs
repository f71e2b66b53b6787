//! Settings shared by all measurements.

use std::time::Duration;

/// Seed, length and outputs of a measurement run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MeasureSettings {
    /// Seed of all random number generators.
    pub seed: u64,
    /// Whether to collect more samples, without the time limit of [`MAX_SHORT_RUN_TIME`].
    pub long: bool,
    /// Whether to write SVG plots to the working directory.
    pub plots: bool,
}

/// Maximum time that a measurement takes unless [`MeasureSettings::long`] is set.
pub const MAX_SHORT_RUN_TIME: Duration = Duration::from_secs(40);

impl Default for MeasureSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            long: false,
            plots: false,
        }
    }
}
