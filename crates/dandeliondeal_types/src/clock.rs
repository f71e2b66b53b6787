//! The clock as an interface, so that tests and replays set the time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Gives the time, monotonic and of day.
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
    /// Monotonic time; leases and timeouts are measured on it.
    fn now(&self) -> Instant;
    /// Time of day; only for what people read, never for a decision.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to; clones share the time.
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
    /// Moves the time on by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    /// Time since the clock was made.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
