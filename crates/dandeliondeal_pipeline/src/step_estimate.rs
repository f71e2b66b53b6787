//! Estimate of the time that a stage takes for a step.

use std::time::Duration;

/// Weight of a new sample in the moving average, as a right shift (1/8).
const MEAN_SHIFT: u32 = 3;
/// Weight of a new sample in the moving mean deviation, as a right shift (1/4).
const DEVIATION_SHIFT: u32 = 2;
/// Number of deviations above the mean after which an answer is overdue.
const TIMEOUT_DEVIATIONS: u32 = 4;

/// Moving mean and mean deviation of the time of a step over one position.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepEstimate {
    mean: Option<Duration>,
    deviation: Duration,
}

impl StepEstimate {
    /// Adds the measured time of one step.
    pub fn record(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        self.mean = Some(moving_average(mean, sample, MEAN_SHIFT));
        self.deviation = moving_average(self.deviation, sample.abs_diff(mean), DEVIATION_SHIFT);
    }

    /// Returns the mean time of a step, or `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns the time after which a step is overdue, or `None` before the first sample.
    pub fn timeout(&self) -> Option<Duration> {
        Some(self.mean? + self.deviation * TIMEOUT_DEVIATIONS)
    }
}

fn moving_average(average: Duration, sample: Duration, shift: u32) -> Duration {
    let divisor = 1 << shift;
    (average * (divisor - 1) + sample) / divisor
}
