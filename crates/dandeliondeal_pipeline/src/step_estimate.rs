//! How long steps of one stage take.

use std::time::Duration;

/// Share of a new sample in the running mean, as a right shift.
const MEAN_SHIFT: u32 = 3;
/// Share of a new sample in the running deviation, as a right shift.
const DEVIATION_SHIFT: u32 = 2;
/// Deviations above the mean at which an answer is overdue.
const DEVIATIONS: u32 = 4;

/// Running mean and deviation of the time of a step of one position.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StepEstimate {
    mean: Option<Duration>,
    deviation: Duration,
}

impl StepEstimate {
    /// Takes in the time of one step.
    pub fn record(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        self.mean = Some(blend(mean, sample, MEAN_SHIFT));
        self.deviation = blend(self.deviation, sample.abs_diff(mean), DEVIATION_SHIFT);
    }

    /// Mean time of a step, if any was recorded.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Time after which a step is overdue, if any was recorded.
    pub fn timeout(&self) -> Option<Duration> {
        Some(self.mean? + self.deviation * DEVIATIONS)
    }
}

fn blend(old: Duration, sample: Duration, shift: u32) -> Duration {
    let share = 1 << shift;
    (old * (share - 1) + sample) / share
}
