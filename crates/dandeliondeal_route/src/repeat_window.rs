//! Limits repeats to a share of the requests in a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Settings of the limit on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of repeats allowed per request in the window.
    pub ratio: f64,
    /// Number of repeats allowed in each window in addition to the ratio.
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

/// Number of slots into which a window is divided.
///
/// Slots are kept for one slot length longer than the window, so that no sliding window contains
/// more repeats than the limit.
const SLOT_COUNT: u32 = 10;

/// Requests and repeats within one slot.
#[derive(Clone, Copy, Debug)]
struct WindowSlot {
    start: Instant,
    requests: f64,
    repeats: f64,
}

/// Counts requests and repeats, and decides whether one more repeat is within the limit.
///
/// # Examples
///
/// ```
/// use dandeliondeal_route::{RepeatWindow, WindowSettings};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let settings = WindowSettings { ratio: 0.5, ..WindowSettings::default() };
/// let mut window = RepeatWindow::new(settings);
/// window.record_request(now);
/// assert!(!window.try_record_repeat(now));
/// window.record_request(now);
/// assert!(window.try_record_repeat(now));
/// ```
#[derive(Debug)]
pub struct RepeatWindow {
    settings: WindowSettings,
    slots: VecDeque<WindowSlot>,
}

impl RepeatWindow {
    /// Creates an empty window.
    ///
    /// An empty window allows no repeats beyond the slack, so a restart does not grant repeats that
    /// were already used before it.
    pub fn new(settings: WindowSettings) -> Self {
        Self {
            settings,
            slots: VecDeque::new(),
        }
    }

    /// Sets this instance's part of the slack, which all instances share.
    pub fn set_slack(&mut self, slack: f64) {
        self.settings.slack = slack;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slot(now).requests += 1.0;
    }

    /// Records one repeat if it is within the limit, and returns whether it is.
    pub fn try_record_repeat(&mut self, now: Instant) -> bool {
        self.current_slot(now);
        let requests: f64 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: f64 = self.slots.iter().map(|slot| slot.repeats).sum();
        let is_allowed = repeats + 1.0 <= self.settings.ratio * requests + self.settings.slack;
        if is_allowed {
            self.current_slot(now).repeats += 1.0;
        }
        is_allowed
    }

    /// Removes expired slots and returns the slot of `now`, which is added if it is missing.
    fn current_slot(&mut self, now: Instant) -> &mut WindowSlot {
        let slot_length = self.settings.window / SLOT_COUNT;
        let max_age = self.settings.window + slot_length;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.saturating_duration_since(slot.start) > max_age)
        {
            self.slots.pop_front();
        }
        let has_current = self
            .slots
            .back()
            .is_some_and(|slot| now.saturating_duration_since(slot.start) < slot_length);
        if !has_current {
            self.slots.push_back(WindowSlot {
                start: now,
                requests: 0.0,
                repeats: 0.0,
            });
        }
        let last_index = self.slots.len() - 1;
        &mut self.slots[last_index]
    }
}
