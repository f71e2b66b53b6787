//! Decides when an observer reports its evidence on silent streams.

use std::time::{Duration, Instant};

/// Parameters of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    /// Minimum time between two reports.
    pub min_gap: Duration,
    /// Number of reports that may be sent at this gap.
    pub burst: f64,
    /// Time after which another report may be sent. With the burst, at most 10 are sent in any second.
    pub refill: Duration,
    /// Maximum delay of the first report of an observer that is asked and has no silent stream, so
    /// that the reports of all observers do not arrive at once.
    pub spread: Duration,
    /// Time for which an observer goes on reporting after it was asked.
    pub asked_time: Duration,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            min_gap: Duration::from_millis(20),
            burst: 5.0,
            refill: Duration::from_millis(200),
            spread: Duration::from_millis(10),
            asked_time: Duration::from_millis(150),
        }
    }
}

/// Times of the reports of one observer.
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    settings: ScheduleSettings,
    credit: f64,
    credited_at: Option<Instant>,
    sent_at: Option<Instant>,
    has_silences: bool,
    has_sent_silences: bool,
    asked_until: Option<Instant>,
    /// Earliest time of the next report that is sent because it was asked for.
    asked_from: Option<Instant>,
    interval: Duration,
}

impl Default for ReportSchedule {
    fn default() -> Self {
        Self::new(ScheduleSettings::default())
    }
}

impl ReportSchedule {
    /// Creates a schedule without a due report.
    pub fn new(settings: ScheduleSettings) -> Self {
        Self {
            settings,
            credit: settings.burst,
            credited_at: None,
            sent_at: None,
            has_silences: false,
            has_sent_silences: false,
            asked_until: None,
            asked_from: None,
            interval: settings.min_gap,
        }
    }

    /// Records that the hub asks for reports at this interval.
    ///
    /// `draw` is uniform in 0 to 1 and spreads the first reports of the observers.
    pub fn ask(&mut self, interval: Duration, draw: f64, now: Instant) {
        let is_new = self.asked_until.is_none_or(|until| until < now);
        self.interval = interval.max(self.settings.min_gap);
        if is_new {
            self.asked_from = Some(now + self.settings.spread.mul_f64(draw.clamp(0.0, 1.0)));
        }
        self.asked_until = Some(now + self.settings.asked_time.max(self.interval * 2));
    }

    /// Records whether a report would contain silent streams now.
    pub fn set_silent(&mut self, has_silences: bool) {
        self.has_silences = has_silences;
    }

    /// Returns when the next report is due; `None` while no stream is silent and none is asked for.
    ///
    /// After the last report with silent streams, one more withdraws them.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        let allowed_at = self.allowed_at(now);
        if self.has_silences || self.has_sent_silences {
            return Some(allowed_at);
        }
        self.asked_until.filter(|until| now <= *until)?;
        let after_last = self.sent_at.map_or(now, |at| at + self.interval);
        let due_at = after_last.max(self.asked_from.unwrap_or(now));
        Some(due_at.max(allowed_at))
    }

    /// Records that a report was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.credit = (self.credit_at(now) - 1.0).max(0.0);
        self.credited_at = Some(now);
        self.sent_at = Some(now);
        self.has_sent_silences = self.has_silences;
    }

    fn credit_at(&self, now: Instant) -> f64 {
        let time = self
            .credited_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let gained = time.div_duration_f64(self.settings.refill);
        (self.credit + gained).min(self.settings.burst)
    }

    fn allowed_at(&self, now: Instant) -> Instant {
        let after_gap = self.sent_at.map_or(now, |at| at + self.settings.min_gap);
        let missing = (1.0 - self.credit_at(now)).max(0.0);
        let after_refill = now + self.settings.refill.mul_f64(missing);
        after_gap.max(after_refill).max(now)
    }
}
