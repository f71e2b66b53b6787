//! The claims of one shard, as its log tells them.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::RequestId;

use crate::claim_key::ClaimKey;
use crate::claim_record::{ClaimAnswer, ClaimRecord, LogLine, OutcomeRecord};
use crate::claim_state::{ClaimEvent, ClaimState, claim_chart};

/// What is known of one claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimView {
    /// The request.
    pub request: RequestId,
    /// Whether it ran.
    pub state: ClaimState,
    /// Its claim; `None` if it was withdrawn before its claim was seen.
    pub claim: Option<Rc<ClaimRecord>>,
    /// Its answer, once it is recorded.
    pub answer: Option<ClaimAnswer>,
    /// Age of the shard when it was claimed.
    pub claimed_at: Duration,
}

/// What a claim meets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The key is free.
    Free,
    /// The request holds the key.
    Held,
    /// An earlier request holds the key.
    Repeat(ClaimView),
    /// The key stands for a request of other content.
    KeyReused,
    /// The request was withdrawn and may not run.
    Withdrawn,
}

/// Every claim of one shard that is not expired.
///
/// The table is a function of the log's lines alone: whichever instance reads them, the first
/// claim of a key holds it.
#[derive(Debug)]
pub struct ClaimTable {
    retention: Duration,
    age: Duration,
    holders: HashMap<ClaimKey, RequestId>,
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
    /// An empty table.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            age: Duration::ZERO,
            holders: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Age of the shard at the last line.
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Number of requests that the table knows.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the table knows no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What a claim would meet now.
    pub fn decide(&self, record: &ClaimRecord) -> ClaimDecision {
        if let Some(own) = self.requests.get(&record.request) {
            return match own.machine.state() {
                ClaimState::NotRun => ClaimDecision::Withdrawn,
                _ => ClaimDecision::Held,
            };
        }
        let Some((request, entry)) = self.holder(&record.key) else {
            return ClaimDecision::Free;
        };
        let claim = entry.claim.as_ref();
        if claim.is_none_or(|claim| claim.fingerprint != record.fingerprint) {
            return ClaimDecision::KeyReused;
        }
        ClaimDecision::Repeat(entry.view(request))
    }

    /// What is known of a request; `None` if it was never claimed or is expired.
    pub fn view(&self, request: &RequestId) -> Option<ClaimView> {
        let entry = self.requests.get(request)?;
        Some(entry.view(request))
    }

    /// Whether a request's outcome needs no further record.
    pub fn is_recorded(&self, record: &OutcomeRecord) -> bool {
        let Some(entry) = self.requests.get(&record.request) else {
            return false;
        };
        let event = ClaimEvent::from(record.outcome);
        let mut machine = entry.machine.clone();
        let before = machine.state();
        !matches!(machine.apply(event), Ok(after) if after != before)
    }

    /// Applies one line of the log.
    ///
    /// # Errors
    ///
    /// The chart file is not sound.
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

    /// Forgets the requests that are older than the retention.
    pub fn expire(&mut self) {
        let (age, retention) = (self.age, self.retention);
        let is_kept = |entry: &ClaimEntry| !is_expired(entry, age, retention);
        self.requests.retain(|_request, entry| is_kept(entry));
        let requests = &self.requests;
        self.holders
            .retain(|_key, request| requests.contains_key(request));
    }

    fn holder(&self, key: &ClaimKey) -> Option<(&RequestId, &ClaimEntry)> {
        let request = self.holders.get(key)?;
        let entry = self.requests.get(request)?;
        let is_over = entry.machine.state() == ClaimState::NotRun
            || is_expired(entry, self.age, self.retention);
        (!is_over).then_some((request, entry))
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
        self.holders.insert(key, request.clone());
        self.requests.insert(request, entry);
        Ok(())
    }

    fn apply_outcome(&mut self, record: OutcomeRecord) -> Result<(), ChartError> {
        let Some(entry) = self.requests.get_mut(&record.request) else {
            return self.withdraw(record);
        };
        let before = entry.machine.state();
        match entry.machine.apply(ClaimEvent::from(record.outcome)) {
            Ok(after) if after != before => entry.answer = record.answer,
            Err(error) if !error.is_refused() => return Err(error),
            _ => {}
        }
        Ok(())
    }

    /// Notes that a request is not to run, before its claim was seen.
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
