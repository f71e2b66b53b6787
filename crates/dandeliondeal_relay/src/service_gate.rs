//! Admission gate of one service with the requests that wait at it.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_limit::admission_queue::TicketId;
use dandeliondeal_limit::{AdmissionGate, GateAction, GateSettings, GateState};
use dandeliondeal_route::UrgencyScale;
use tokio::sync::{Notify, oneshot};

/// Expected duration of a stream until durations are measured.
const STREAM_SERVICE_TIME: Duration = Duration::from_secs(3);
/// Expected duration of a plain request until durations are measured.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(60);
/// Part of a model's capacity that may be committed before requests are turned away.
///
/// It is higher than the gate's usual one: work is committed at its full size, which requests rarely
/// reach at the same time, and the chain search itself commits engines up to 1.1.
const MODEL_TARGET_FILL: f64 = 1.0;
/// Shares at which a change is logged.
const LOGGED_SHARES: [f64; 2] = [0.99, 0.5];

/// Change of the share of a rank across one of the logged values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ShareChange {
    pub(crate) rank: u8,
    pub(crate) from: f64,
    pub(crate) to: f64,
}

/// Gate of one service with the requests that wait at it.
#[derive(Debug)]
pub(crate) struct ServiceGate {
    pub(crate) gate: AdmissionGate,
    /// Wakes the task that calls the gate when a wait ends.
    pub(crate) changed: Rc<Notify>,
    /// Whether that task runs.
    pub(crate) has_ticker: bool,
    /// Whether the service has usable endpoints for all its layers, according to the last news.
    pub(crate) has_capacity: bool,
    /// Order of the service's requests in the configuration in force.
    pub(crate) urgencies: UrgencyScale,
    /// Number of open requests, for a plain service.
    pub(crate) open_calls: u32,
    waiting: HashMap<TicketId, oneshot::Sender<GateAction>>,
    /// Shares by rank when they were last published.
    shares: BTreeMap<u8, f64>,
}

impl ServiceGate {
    /// Creates a gate that admits all requests until it has news.
    pub(crate) fn new(is_model: bool, now: Instant) -> Self {
        let service_time = if is_model {
            STREAM_SERVICE_TIME
        } else {
            PLAIN_SERVICE_TIME
        };
        let mut settings = GateSettings::default();
        if is_model {
            settings.target_fill = MODEL_TARGET_FILL;
        }
        Self {
            gate: AdmissionGate::new(settings, service_time, now),
            changed: Rc::default(),
            has_ticker: false,
            has_capacity: true,
            urgencies: UrgencyScale::default(),
            open_calls: 0,
            waiting: HashMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Adds a request before the gate is asked; the receiver gets the decision that ends its wait.
    pub(crate) fn add_waiting(&mut self, ticket: TicketId) -> oneshot::Receiver<GateAction> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        receiver
    }

    /// Removes a request that does not wait any longer.
    pub(crate) fn cancel(&mut self, ticket: TicketId) {
        self.waiting.remove(&ticket);
        self.gate.cancel(ticket);
    }

    /// Passes decisions on to the requests.
    pub(crate) fn dispatch(&mut self, actions: &[GateAction]) {
        for action in actions {
            let (GateAction::Admit(ticket) | GateAction::Refuse { ticket, .. }) = action else {
                continue;
            };
            if let Some(sender) = self.waiting.remove(ticket) {
                // A request that has left meanwhile needs no decision.
                let _ = sender.send(*action);
            }
        }
        self.changed.notify_one();
    }

    /// Returns the ranks with published shares.
    pub(crate) fn ranks(&self) -> Vec<u8> {
        self.shares.keys().copied().collect()
    }

    /// Records the shares of a state; returns those that crossed a logged value.
    ///
    /// A rank without a share is admitted completely.
    pub(crate) fn record_shares(&mut self, state: &GateState) -> Vec<ShareChange> {
        let previous = std::mem::replace(&mut self.shares, state.shares.clone());
        let mut changes = Vec::new();
        let ranks: std::collections::BTreeSet<u8> =
            previous.keys().chain(self.shares.keys()).copied().collect();
        for rank in ranks {
            let from = previous.get(&rank).copied().unwrap_or(1.0);
            let to = self.shares.get(&rank).copied().unwrap_or(1.0);
            let mut limits = LOGGED_SHARES.iter();
            if limits.any(|limit| (from < *limit) != (to < *limit)) {
                changes.push(ShareChange { rank, from, to });
            }
        }
        changes
    }
}
