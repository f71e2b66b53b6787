//! State of the exchange of silence reports: when this instance reports, whom it hears as a hub, and
//! what it asks its members for.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use dandeliondeal_balance::{ReportSchedule, SilenceHub};
use tokio::sync::{Notify, watch};

/// State of the exchange; part of the state that all requests share.
#[derive(Debug)]
pub(crate) struct SilenceBoard {
    schedule: RefCell<ReportSchedule>,
    hub: RefCell<SilenceHub>,
    /// Whether a report may have become due.
    report_due: Notify,
    /// Whether there is new evidence for a hub.
    evidence_added: Notify,
    is_asking: Cell<bool>,
    /// Number of times that this instance began to ask its members for reports.
    asks: watch::Sender<u64>,
}

impl Default for SilenceBoard {
    fn default() -> Self {
        Self {
            schedule: RefCell::default(),
            hub: RefCell::default(),
            report_due: Notify::new(),
            evidence_added: Notify::new(),
            is_asking: Cell::new(false),
            asks: watch::Sender::new(0),
        }
    }
}

impl SilenceBoard {
    /// Returns the schedule of the own reports.
    pub(crate) fn schedule(&self) -> &RefCell<ReportSchedule> {
        &self.schedule
    }

    /// Returns the members of this instance as a hub.
    pub(crate) fn hub(&self) -> &RefCell<SilenceHub> {
        &self.hub
    }

    /// Records that a stream is silent.
    pub(crate) fn notify_silence(&self) {
        self.report_due.notify_one();
        self.evidence_added.notify_one();
    }

    /// Records that another instance reported.
    pub(crate) fn notify_report(&self) {
        self.evidence_added.notify_one();
    }

    /// Records that a hub asks for reports at this interval.
    pub(crate) fn ask(&self, interval: Duration, draw: f64, now: Instant) {
        self.schedule.borrow_mut().ask(interval, draw, now);
        self.report_due.notify_one();
    }

    /// Waits until a report may have become due.
    pub(crate) async fn wait_for_report(&self) {
        self.report_due.notified().await;
    }

    /// Waits for new evidence.
    pub(crate) async fn wait_for_evidence(&self) {
        self.evidence_added.notified().await;
    }

    /// Sets whether this hub needs the reports of its members.
    pub(crate) fn set_asking(&self, is_asking: bool) {
        if is_asking && !self.is_asking.replace(is_asking) {
            self.asks.send_modify(|count| *count += 1);
        }
        self.is_asking.set(is_asking);
    }

    /// Returns the interval at which this hub asks its members for reports; `None` while it needs
    /// none.
    pub(crate) fn asked_interval(&self) -> Option<Duration> {
        let is_asking = self.is_asking.get();
        is_asking.then(|| self.hub.borrow().report_interval())
    }

    /// Subscribes to the number of times that this hub began to ask.
    pub(crate) fn subscribe_asks(&self) -> watch::Receiver<u64> {
        self.asks.subscribe()
    }
}
