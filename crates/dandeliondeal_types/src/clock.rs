//! The clock interface, which lets tests and replays control the time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Provides monotonic time and wall-clock time.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::{Clock, ManualClock};
/// use std::time::Duration;
///
/// let clock = ManualClock::default();
/// let before = clock.now();
/// clock.advance(Duration::from_millis(250));
/// assert_eq!(clock.now() - before, Duration::from_millis(250));
/// ```
pub trait Clock: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// Returns the monotonic time, which leases and timeouts are based on.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time; only for text that people read, never for decisions.
    fn wall_time(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that advances only on request; clones share the time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Arc::new(Mutex::new(Duration::ZERO)),
        }
    }
}

impl ManualClock {
    /// Advances the time by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    /// Returns the time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
