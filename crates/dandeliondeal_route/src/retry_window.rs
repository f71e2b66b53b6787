//! Bounds repeats to a share of the requests of a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Settings of the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed for each request of the window.
    pub ratio: f64,
    /// Repeats allowed beside the ratio, in each window.
    pub slack: f64,
}

impl Default for WindowSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.1,
            slack: 0.0,
        }
    }
}

/// Slots that a window is counted in; a window of repeats reaches one slot further back, so that
/// no sliding window holds more than the bound.
const SLOTS: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct WindowSlot {
    start: Instant,
    requests: f64,
    repeats: f64,
}

/// Counts requests and repeats, and says whether one more repeat is within the bound.
///
/// # Examples
///
/// ```
/// use dandeliondeal_route::{RetryWindow, WindowSettings};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let settings = WindowSettings { ratio: 0.5, ..WindowSettings::default() };
/// let mut window = RetryWindow::new(settings);
/// window.request(now);
/// assert!(!window.take(now));
/// window.request(now);
/// assert!(window.take(now));
/// ```
#[derive(Debug)]
pub struct RetryWindow {
    settings: WindowSettings,
    slots: VecDeque<WindowSlot>,
}

impl RetryWindow {
    /// Starts empty: a restart grants no repeats that were taken before it.
    pub fn new(settings: WindowSettings) -> Self {
        Self {
            settings,
            slots: VecDeque::new(),
        }
    }

    /// Sets the slack, which is shared by all instances.
    pub fn set_slack(&mut self, slack: f64) {
        self.settings.slack = slack;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.slot(now).requests += 1.0;
    }

    /// Takes one repeat if it is within the bound.
    pub fn take(&mut self, now: Instant) -> bool {
        self.slot(now);
        let requests: f64 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: f64 = self.slots.iter().map(|slot| slot.repeats).sum();
        let is_allowed = repeats + 1.0 <= self.settings.ratio * requests + self.settings.slack;
        if is_allowed {
            self.slot(now).repeats += 1.0;
        }
        is_allowed
    }

    fn slot(&mut self, now: Instant) -> &mut WindowSlot {
        let length = self.settings.window / SLOTS;
        let reach = self.settings.window + length;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.saturating_duration_since(slot.start) > reach)
        {
            self.slots.pop_front();
        }
        let is_current = self
            .slots
            .back()
            .is_some_and(|slot| now.saturating_duration_since(slot.start) < length);
        if !is_current {
            self.slots.push_back(WindowSlot {
                start: now,
                requests: 0.0,
                repeats: 0.0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
