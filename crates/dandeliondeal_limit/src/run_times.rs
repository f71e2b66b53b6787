//! Expected times of requests, from those that have ended.

use std::collections::HashMap;
use std::time::Duration;

use dandeliondeal_types::ServiceId;

/// Weight of the newest request in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean time per unit of work.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    /// Seconds per unit.
    mean: f64,
    samples: f64,
}

/// Expected times of requests, by service.
///
/// The work of a request is a figure that is known before it starts and to which its time is about
/// proportional: the expected output tokens of a stream, or 1 for a call.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dandeliondeal_limit::RunTimes;
///
/// let mut times = RunTimes::default();
/// let service = "drafts".into();
/// times.record(&service, 100.0, Duration::from_secs(2));
/// assert_eq!(times.expected_time(&service, 50.0), Some(Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    services: HashMap<ServiceId, RunTime>,
}

impl RunTimes {
    /// Records the time of a request from its arrival to the end of its complete answer.
    pub fn record(&mut self, service: &ServiceId, work: f64, time: Duration) {
        let sample = time.as_secs_f64() / work;
        if !sample.is_finite() {
            return;
        }
        let entry = self.services.entry(ServiceId::clone(service));
        let run_time = entry.or_insert(RunTime {
            mean: 0.0,
            samples: 0.0,
        });
        run_time.samples += 1.0;
        let weight = (1.0 / run_time.samples).max(SAMPLE_WEIGHT);
        run_time.mean += (sample - run_time.mean) * weight;
    }

    /// Returns the time that a request is expected to take; `None` if none of its service has ended.
    pub fn expected_time(&self, service: &str, work: f64) -> Option<Duration> {
        let run_time = self.services.get(service)?;
        Duration::try_from_secs_f64(run_time.mean * work).ok()
    }

    /// Removes the services that `is_kept` does not hold.
    pub fn retain<Kept>(&mut self, is_kept: Kept)
    where
        Kept: Fn(&ServiceId) -> bool,
    {
        self.services.retain(|service, _| is_kept(service));
    }
}
