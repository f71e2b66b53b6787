//! Measured times for which the requests of a service run.

use std::time::{Duration, Instant};

/// Weight of the newest time in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Half of the time for which a smallest time counts.
const SMALLEST_PERIOD: Duration = Duration::from_secs(5);
/// Smallest time that counts; a shorter one is an answer without work.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);

/// Mean and smallest recent time of the requests of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    mean: Duration,
    samples: f64,
    /// Smallest times of the current period and of the one before.
    smallest: [Option<Duration>; 2],
    period_start: Instant,
}

impl ServiceTimes {
    /// Creates times without measurements; `usual` counts until there are some.
    pub(crate) fn new(usual: Duration, now: Instant) -> Self {
        Self {
            mean: usual,
            samples: 1.0,
            smallest: [None; 2],
            period_start: now,
        }
    }

    /// Records the time for which a request ran.
    pub(crate) fn record(&mut self, time: Duration, now: Instant) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(SAMPLE_WEIGHT);
        let mean = self.mean.as_secs_f64();
        let mean = mean + (time.as_secs_f64() - mean) * weight;
        self.mean = Duration::from_secs_f64(mean.max(0.0));
        let age = now.saturating_duration_since(self.period_start);
        if age >= SMALLEST_PERIOD {
            let is_recent = age < SMALLEST_PERIOD * 2;
            let previous = self.smallest[0].filter(|_| is_recent);
            self.smallest = [None, previous];
            self.period_start = now;
        }
        let smallest = self.smallest[0].map_or(time, |smallest| smallest.min(time));
        self.smallest[0] = Some(smallest.max(MIN_SERVICE_TIME));
    }

    /// Returns the mean time.
    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the smallest recent time: that of a request that did not queue at its endpoint.
    pub(crate) fn smallest(&self) -> Duration {
        let smallest = self.smallest.iter().flatten().min();
        smallest.copied().unwrap_or(self.mean)
    }
}
