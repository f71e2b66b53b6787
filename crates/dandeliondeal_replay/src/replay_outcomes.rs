//! Comparison of expected outcomes with actual ones.

use crate::replay_instance::ReplayInstance;
use crate::replay_session::ReplaySession;
use crate::replay_simulation::ReplaySimulation;
use crate::{ReplayMismatch, TraceError, TraceExpectation, TraceLine};

impl ReplaySimulation {
    /// Returns a mismatch if the actual state differs from the expectation.
    pub(crate) fn check_expectation(
        &mut self,
        line: &TraceLine,
        expectation: &TraceExpectation,
    ) -> Result<Option<ReplayMismatch>, TraceError> {
        let number = line.number;
        let (expected, found) = match expectation {
            TraceExpectation::Outcome { request, outcome } => {
                let session = self.sessions.get(request).map(|session| session.outcome);
                let keyed = self.keyed_requests.get(request).map(|keyed| keyed.outcome);
                let outcome_found = session
                    .or(keyed)
                    .ok_or_else(|| TraceError::new(number, format!("unknown request {request}")))?;
                (format!("{outcome:?}"), format!("{outcome_found:?}"))
            }
            TraceExpectation::Delivered { request, tokens } => {
                let delivered = self.session(number, request)?.delivered.len();
                (tokens.to_string(), delivered.to_string())
            }
            TraceExpectation::Runs { key, count } => {
                let ledgers = self.services.values().flat_map(|service| &service.ledger);
                let runs = ledgers
                    .filter(|(executed_key, _)| executed_key == key)
                    .count();
                (count.to_string(), runs.to_string())
            }
            TraceExpectation::Sessions { endpoint, count } => {
                let now = self.now();
                let sessions = self.engine(number, endpoint)?.session_count(now);
                (count.to_string(), sessions.to_string())
            }
            TraceExpectation::Met {
                request,
                count,
                least,
            } => {
                let value = self.recovery_count(number, request, count)?;
                (least.to_string(), value.min(*least).to_string())
            }
            TraceExpectation::Ran { endpoint, least } => {
                let ran = self.engine(number, endpoint)?.ledgers().flatten().count();
                (least.to_string(), ran.min(*least).to_string())
            }
            TraceExpectation::Verdict { change, verdict } => {
                let verdict_found = self
                    .sheet_verdicts
                    .get(change)
                    .ok_or_else(|| TraceError::new(number, format!("unknown change {change}")))?;
                (format!("{verdict:?}"), format!("{verdict_found:?}"))
            }
            TraceExpectation::InForce {
                instance,
                revision,
                ready,
            } => {
                let instance = self.instance(number, instance)?;
                let in_force = instance.rollout.in_force().revision;
                let is_ready = instance.readiness_gate.is_ready();
                (
                    format!("{revision} {ready}"),
                    format!("{in_force} {is_ready}"),
                )
            }
            TraceExpectation::Version { endpoint, version } => {
                let content = self.engine(number, endpoint)?.loaded_content();
                let version_found = content.map(|content| content.version);
                (
                    version.to_string(),
                    version_found.unwrap_or_default().to_string(),
                )
            }
            TraceExpectation::Holder { instance } => {
                let holder = self.lease_holder();
                (format!("{instance:?}"), format!("{holder:?}"))
            }
            TraceExpectation::Stopped { instance } => {
                let is_terminated = self
                    .instances
                    .get(instance)
                    .is_some_and(ReplayInstance::is_terminated);
                (true.to_string(), is_terminated.to_string())
            }
        };
        let is_match = expected == found;
        Ok((!is_match).then(|| ReplayMismatch {
            line: number,
            expected: format!("{expectation:?}").into(),
            found: found.into(),
        }))
    }

    fn session(&self, line: usize, request: &str) -> Result<&ReplaySession, TraceError> {
        self.sessions
            .get(request)
            .ok_or_else(|| TraceError::new(line, format!("unknown request {request}")))
    }

    /// Returns the counter with this name of a request's session.
    fn recovery_count(&self, line: usize, request: &str, name: &str) -> Result<u64, TraceError> {
        let counters = self.session(line, request)?.counters();
        match name {
            "resumed" => Ok(counters.resumed),
            "imported" => Ok(counters.imported),
            "fed" => Ok(counters.replayed),
            "rerun" => Ok(counters.rerun),
            "restarted" => Ok(counters.restarted),
            "crossed" => Ok(counters.other_request),
            "stale" => Ok(counters.stale),
            "bad" => Ok(counters.invalid),
            _ => Err(TraceError::new(line, format!("unknown counter {name}"))),
        }
    }
}
