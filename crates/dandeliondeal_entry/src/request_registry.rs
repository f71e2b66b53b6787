//! State chart of a request, and the registry of this instance's requests.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartLabel, ChartMachine, ChartTable, chart_labels};
use dandeliondeal_types::{OrganisationId, Outcome, RequestId};
use serde::Serialize;

chart_labels! {
    /// States of a request.
    pub enum RequestState {
        Received = "received",
        Admitted = "admitted",
        Running = "running",
        InDoubt = "in-doubt",
        Answered = "answered",
        NotRun = "not-run",
    }
}

chart_labels! {
    /// Events of a request.
    pub enum RequestEvent {
        /// Limits and capacity allow the request.
        Admit = "admit",
        /// The first byte is sent to an endpoint.
        Dispatch = "dispatch",
        /// The request is abandoned, with proof that nothing ran.
        Refuse = "refuse",
        /// The answer is complete.
        Complete = "complete",
        /// The request is abandoned without proof that nothing ran.
        Lose = "lose",
        /// An endpoint later confirms that the request ran.
        SettleRan = "settle-ran",
        /// An endpoint later confirms that the request did not run and never will.
        SettleNotRun = "settle-not-run",
    }
}

const CHART: &str = include_str!("../../../charts/request-life.ini");

/// Maximum number of ended requests whose state stays available to callers.
const MAX_ENDED_REQUESTS: usize = 20_000;

/// State of one request, as reported to its caller.
#[derive(Clone, Debug, Serialize)]
pub struct RequestStatus {
    /// Id of the request.
    pub id: RequestId,
    /// `received`, `admitted`, `running`, `answered`, `not-run` or `in-doubt`.
    pub state: &'static str,
    /// Outcome, if the request has one yet.
    pub outcome: Option<Outcome>,
}

#[derive(Debug)]
struct RequestEntry {
    organisation: OrganisationId,
    machine: ChartMachine<RequestState, RequestEvent>,
}

/// Requests of this instance: all open ones, and the latest ended ones.
#[derive(Debug)]
pub struct RequestRegistry {
    table: Arc<ChartTable<RequestState, RequestEvent>>,
    entries: HashMap<RequestId, RequestEntry>,
    ended: VecDeque<RequestId>,
}

impl RequestRegistry {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the request chart is invalid.
    pub fn new() -> Result<Self, ChartError> {
        let table = Arc::new(ChartTable::parse(CHART)?);
        Ok(Self {
            table,
            entries: HashMap::new(),
            ended: VecDeque::new(),
        })
    }

    /// Adds a new request.
    pub fn register(&mut self, id: &RequestId, organisation: &OrganisationId) {
        let machine = ChartMachine::new(Arc::clone(&self.table));
        let entry = RequestEntry {
            organisation: Arc::clone(organisation),
            machine,
        };
        self.entries.insert(Arc::clone(id), entry);
    }

    /// Applies an event to a request and returns the new state; `None` if the request is unknown.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError::Refused`] if the current state refuses the event.
    pub fn apply(
        &mut self,
        id: &RequestId,
        event: RequestEvent,
    ) -> Result<Option<RequestState>, ChartError> {
        let Some(entry) = self.entries.get_mut(id) else {
            return Ok(None);
        };
        let was_open = is_open(entry.machine.state());
        let state = entry.machine.apply(event)?;
        if was_open && !is_open(state) {
            self.ended.push_back(Arc::clone(id));
            self.evict_oldest();
        }
        Ok(Some(state))
    }

    /// Returns the state of a request; `None` if it does not belong to `organisation`.
    pub fn status(&self, id: &str, organisation: &OrganisationId) -> Option<RequestStatus> {
        let (id, entry) = self.entries.get_key_value(id)?;
        if entry.organisation != *organisation {
            return None;
        }
        let state = entry.machine.state();
        Some(RequestStatus {
            id: Arc::clone(id),
            state: state.label(),
            outcome: outcome(state),
        })
    }

    /// Returns whether a request is known and has no outcome yet.
    pub fn is_open(&self, id: &str) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| is_open(entry.machine.state()))
    }

    /// Returns the number of requests that have no outcome yet.
    pub fn open_count(&self) -> usize {
        self.entries.len() - self.ended.len()
    }

    fn evict_oldest(&mut self) {
        while self.ended.len() > MAX_ENDED_REQUESTS {
            if let Some(id) = self.ended.pop_front() {
                self.entries.remove(&id);
            }
        }
    }
}

fn is_open(state: RequestState) -> bool {
    outcome(state).is_none()
}

fn outcome(state: RequestState) -> Option<Outcome> {
    match state {
        RequestState::Received | RequestState::Admitted | RequestState::Running => None,
        RequestState::InDoubt => Some(Outcome::InDoubt),
        RequestState::Answered => Some(Outcome::Answered),
        RequestState::NotRun => Some(Outcome::NotRun),
    }
}
