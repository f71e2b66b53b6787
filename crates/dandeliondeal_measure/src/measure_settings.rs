//! Settings that all measurements share.

use std::time::Duration;

/// How long and with which seed a measurement runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MeasureSettings {
    /// Seed of everything random.
    pub seed: u64,
    /// Whether the long form runs, without the bound of 40 s.
    pub long: bool,
    /// Whether SVG plots are written to the working directory.
    pub plots: bool,
}

/// Time within which the short form of a measurement is done.
pub const SHORT_TIME: Duration = Duration::from_secs(40);

impl Default for MeasureSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            long: false,
            plots: false,
        }
    }
}
