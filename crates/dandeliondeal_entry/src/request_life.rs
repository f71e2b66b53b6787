//! The state chart of a request and the registry that callers ask for a request's state.

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
        /// Limits and capacity allow it.
        Admit = "admit",
        /// The first byte goes to an endpoint.
        Dispatch = "dispatch",
        /// It is given up on, with proof that nothing ran.
        Refuse = "refuse",
        /// The whole answer is there.
        Complete = "complete",
        /// It is given up on without proof.
        Lose = "lose",
        /// An endpoint tells later that it ran.
        SettleRan = "settle-ran",
        /// An endpoint tells later that it did not run and never will.
        SettleNotRun = "settle-not-run",
    }
}

const CHART: &str = include_str!("../../../charts/request-life.ini");

/// Requests of which the state is kept after their end.
const KEPT_REQUESTS: usize = 20_000;

/// The state of one request, as its caller may ask for it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestStatus {
    /// The request.
    pub id: RequestId,
    /// `received`, `admitted`, `running`, `answered`, `not-run` or `in-doubt`.
    pub state: &'static str,
    /// The outcome, once there is one.
    pub outcome: Option<Outcome>,
}

#[derive(Debug)]
struct RequestLine {
    organisation: OrganisationId,
    machine: ChartMachine<RequestState, RequestEvent>,
}

/// The requests of this instance: those that run, and the latest that ended.
#[derive(Debug)]
pub struct RequestRegistry {
    table: Arc<ChartTable<RequestState, RequestEvent>>,
    lines: HashMap<RequestId, RequestLine>,
    ended: VecDeque<RequestId>,
}

impl RequestRegistry {
    /// Makes an empty registry.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the chart of a request's life.
    pub fn new() -> Result<Self, ChartError> {
        let table = Arc::new(ChartTable::parse(CHART)?);
        Ok(Self {
            table,
            lines: HashMap::new(),
            ended: VecDeque::new(),
        })
    }

    /// Enters a new request.
    pub fn receive(&mut self, id: &RequestId, organisation: &OrganisationId) {
        let machine = ChartMachine::new(Arc::clone(&self.table));
        let line = RequestLine {
            organisation: Arc::clone(organisation),
            machine,
        };
        self.lines.insert(Arc::clone(id), line);
    }

    /// Applies an event to a request and returns the state after it.
    ///
    /// # Errors
    ///
    /// [`ChartError::Refused`] if the event may not happen now.
    pub fn apply(
        &mut self,
        id: &RequestId,
        event: RequestEvent,
    ) -> Result<Option<RequestState>, ChartError> {
        let Some(line) = self.lines.get_mut(id) else {
            return Ok(None);
        };
        let was_open = is_open(line.machine.state());
        let state = line.machine.apply(event)?;
        if was_open && !is_open(state) {
            self.ended.push_back(Arc::clone(id));
            self.forget_oldest();
        }
        Ok(Some(state))
    }

    /// The state of a request of `organisation`; others may not ask for it.
    pub fn status(&self, id: &str, organisation: &OrganisationId) -> Option<RequestStatus> {
        let (id, line) = self.lines.get_key_value(id)?;
        if line.organisation != *organisation {
            return None;
        }
        let state = line.machine.state();
        Some(RequestStatus {
            id: Arc::clone(id),
            state: state.label(),
            outcome: outcome(state),
        })
    }

    /// Whether a request is known and has no outcome yet.
    pub fn is_open(&self, id: &str) -> bool {
        self.lines
            .get(id)
            .is_some_and(|line| is_open(line.machine.state()))
    }

    /// Number of requests that have no outcome yet.
    pub fn open(&self) -> usize {
        self.lines.len() - self.ended.len()
    }

    fn forget_oldest(&mut self) {
        while self.ended.len() > KEPT_REQUESTS {
            if let Some(id) = self.ended.pop_front() {
                self.lines.remove(&id);
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
