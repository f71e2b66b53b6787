//! State of the claims of one shard, computed from its log.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::RequestId;

use crate::claim_key::ClaimKey;
use crate::claim_record::{ClaimAnswer, ClaimRecord, LogLine, OutcomeRecord};
use crate::claim_state::{ClaimEvent, ClaimState, claim_chart};

/// Snapshot of one claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimView {
    /// Identifier of the request.
    pub request: RequestId,
    /// State of the request.
    pub state: ClaimState,
    /// Claim record; `None` if the request was withdrawn before its claim was logged.
    pub claim: Option<Rc<ClaimRecord>>,
    /// Recorded answer, if any.
    pub answer: Option<ClaimAnswer>,
    /// Age of the shard at the time of the claim.
    pub claimed_at: Duration,
}

/// Result of checking a claim against the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// No active request has claimed the key.
    Free,
    /// This request has already claimed the key.
    AlreadyClaimed,
    /// An earlier request with the same content has claimed the key.
    Repeat(ClaimView),
    /// An earlier request with different content has claimed the key.
    KeyReused,
    /// The request was withdrawn and must not run.
    Withdrawn,
}

/// Table of the claims of one shard.
///
/// An expired claim no longer holds its key, and is removed by [`expire`](Self::expire).
///
/// The table depends only on the lines of the log, so every instance that reads the log agrees
/// that a key belongs to the first request that claimed it.
#[derive(Debug)]
pub struct ClaimTable {
    retention: Duration,
    age: Duration,
    requests_by_key: HashMap<ClaimKey, RequestId>,
    requests: HashMap<RequestId, ClaimEntry>,
}

#[derive(Debug)]
struct ClaimEntry {
    claim: Option<Rc<ClaimRecord>>,
    machine: ChartMachine<ClaimState, ClaimEvent>,
    answer: Option<ClaimAnswer>,
    claimed_at: Duration,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            age: Duration::ZERO,
            requests_by_key: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Returns the age of the shard as of the last applied line.
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the result that a claim would have in the current state.
    pub fn decide(&self, record: &ClaimRecord) -> ClaimDecision {
        if let Some(entry) = self.requests.get(&record.request) {
            return match entry.machine.state() {
                ClaimState::NotRun => ClaimDecision::Withdrawn,
                _ => ClaimDecision::AlreadyClaimed,
            };
        }
        let Some((request, entry)) = self.active_request(&record.key) else {
            return ClaimDecision::Free;
        };
        let claim = entry.claim.as_ref();
        if claim.is_none_or(|claim| claim.fingerprint != record.fingerprint) {
            return ClaimDecision::KeyReused;
        }
        ClaimDecision::Repeat(entry.view(request))
    }

    /// Returns a snapshot of a request, or `None` if the table has no such request.
    pub fn view(&self, request: &RequestId) -> Option<ClaimView> {
        let entry = self.requests.get(request)?;
        Some(entry.view(request))
    }

    /// Returns whether logging this outcome would leave the request's state unchanged.
    ///
    /// Returns `false` if the table has no such request.
    pub fn is_recorded(&self, record: &OutcomeRecord) -> bool {
        let Some(entry) = self.requests.get(&record.request) else {
            return false;
        };
        let event = ClaimEvent::from(record.outcome);
        let mut machine = entry.machine.clone();
        let previous_state = machine.state();
        !matches!(machine.apply(event), Ok(next_state) if next_state != previous_state)
    }

    /// Applies a line of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the chart file is invalid.
    pub fn apply(&mut self, line: LogLine) -> Result<(), ChartError> {
        match line {
            LogLine::Batch(start) => {
                let age = Duration::from_millis(start.age_milliseconds);
                self.age = self.age.max(age);
                Ok(())
            }
            LogLine::Claim(record) => self.apply_claim(record),
            LogLine::Outcome(record) => self.apply_outcome(record),
            LogLine::Sealed => Ok(()),
        }
    }

    /// Removes the requests that are older than the retention period.
    pub fn expire(&mut self) {
        let (age, retention) = (self.age, self.retention);
        let is_retained = |entry: &ClaimEntry| !is_expired(entry, age, retention);
        self.requests.retain(|_request, entry| is_retained(entry));
        let requests = &self.requests;
        self.requests_by_key
            .retain(|_key, request| requests.contains_key(request));
    }

    fn active_request(&self, key: &ClaimKey) -> Option<(&RequestId, &ClaimEntry)> {
        let request = self.requests_by_key.get(key)?;
        let entry = self.requests.get(request)?;
        let is_inactive = entry.machine.state() == ClaimState::NotRun
            || is_expired(entry, self.age, self.retention);
        (!is_inactive).then_some((request, entry))
    }

    fn apply_claim(&mut self, record: ClaimRecord) -> Result<(), ChartError> {
        if self.decide(&record) != ClaimDecision::Free {
            return Ok(());
        }
        let (key, request) = (record.key.clone(), record.request.clone());
        let entry = ClaimEntry {
            claim: Some(Rc::new(record)),
            machine: ChartMachine::new(claim_chart()?),
            answer: None,
            claimed_at: self.age,
        };
        self.requests_by_key.insert(key, request.clone());
        self.requests.insert(request, entry);
        Ok(())
    }

    fn apply_outcome(&mut self, record: OutcomeRecord) -> Result<(), ChartError> {
        let Some(entry) = self.requests.get_mut(&record.request) else {
            return self.withdraw(record);
        };
        let previous_state = entry.machine.state();
        match entry.machine.apply(ClaimEvent::from(record.outcome)) {
            Ok(next_state) if next_state != previous_state => entry.answer = record.answer,
            Err(error) if !error.is_refused() => return Err(error),
            _ => {}
        }
        Ok(())
    }

    /// Records that a request must not run although its claim has not been logged.
    ///
    /// A claim that is logged later is then ignored.
    fn withdraw(&mut self, record: OutcomeRecord) -> Result<(), ChartError> {
        let mut machine = ChartMachine::new(claim_chart()?);
        let state = machine.apply(ClaimEvent::from(record.outcome))?;
        if state == ClaimState::NotRun {
            let entry = ClaimEntry {
                claim: None,
                machine,
                answer: None,
                claimed_at: self.age,
            };
            self.requests.insert(record.request, entry);
        }
        Ok(())
    }
}

impl ClaimEntry {
    fn view(&self, request: &RequestId) -> ClaimView {
        ClaimView {
            request: request.clone(),
            state: self.machine.state(),
            claim: self.claim.clone(),
            answer: self.answer.clone(),
            claimed_at: self.claimed_at,
        }
    }
}

fn is_expired(entry: &ClaimEntry, age: Duration, retention: Duration) -> bool {
    age.saturating_sub(entry.claimed_at) >= retention
}
