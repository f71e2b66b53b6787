//! Compares what a trace states with what came.

use crate::replay_instance::ReplayInstance;
use crate::replay_session::ReplaySession;
use crate::replay_world::ReplayWorld;
use crate::{ReplayMismatch, TraceError, TraceLine, TraceOutcome};

impl ReplayWorld {
    /// The mismatch, if what is stated did not come.
    pub(crate) fn compare(
        &mut self,
        line: &TraceLine,
        outcome: &TraceOutcome,
    ) -> Result<Option<ReplayMismatch>, TraceError> {
        let number = line.number;
        let (expected, found) = match outcome {
            TraceOutcome::Outcome { request, outcome } => {
                let session = self.sessions.get(request).map(|session| session.end);
                let keyed = self.keyed.get(request).map(|keyed| keyed.end);
                let end = session
                    .or(keyed)
                    .ok_or_else(|| TraceError::new(number, format!("no request {request}")))?;
                (format!("{outcome:?}"), format!("{end:?}"))
            }
            TraceOutcome::Delivered { request, tokens } => {
                let delivered = self.session(number, request)?.delivered.len();
                (tokens.to_string(), delivered.to_string())
            }
            TraceOutcome::Runs { key, count } => {
                let ledgers = self.services.values().flat_map(|service| &service.ledger);
                let runs = ledgers.filter(|(ran, _)| ran == key).count();
                (count.to_string(), runs.to_string())
            }
            TraceOutcome::Sessions { endpoint, count } => {
                let now = self.now();
                let sessions = self.engine(number, endpoint)?.session_count(now);
                (count.to_string(), sessions.to_string())
            }
            TraceOutcome::Met {
                request,
                count,
                least,
            } => {
                let met = self.met(number, request, count)?;
                (least.to_string(), met.min(*least).to_string())
            }
            TraceOutcome::Ran { endpoint, least } => {
                let ran = self.engine(number, endpoint)?.ledgers().flatten().count();
                (least.to_string(), ran.min(*least).to_string())
            }
            TraceOutcome::Verdict { change, verdict } => {
                let told = self
                    .changes
                    .get(change)
                    .ok_or_else(|| TraceError::new(number, format!("no change {change}")))?;
                (format!("{verdict:?}"), format!("{told:?}"))
            }
            TraceOutcome::InForce {
                instance,
                revision,
                ready,
            } => {
                let instance = self.instance(number, instance)?;
                let in_force = instance.rollout.in_force().revision;
                let is_ready = instance.gate.is_ready();
                (
                    format!("{revision} {ready}"),
                    format!("{in_force} {is_ready}"),
                )
            }
            TraceOutcome::Version { endpoint, version } => {
                let content = self.engine(number, endpoint)?.content();
                let held = content.map(|content| content.version);
                (version.to_string(), held.unwrap_or_default().to_string())
            }
            TraceOutcome::Holder { instance } => {
                let holder = self.holder();
                (format!("{instance:?}"), format!("{holder:?}"))
            }
            TraceOutcome::Stopped { instance } => {
                let is_gone = self
                    .instances
                    .get(instance)
                    .is_some_and(ReplayInstance::is_gone);
                (true.to_string(), is_gone.to_string())
            }
        };
        let is_same = expected == found;
        Ok((!is_same).then(|| ReplayMismatch {
            line: number,
            expected: format!("{outcome:?}").into(),
            found: found.into(),
        }))
    }

    fn session(&self, line: usize, request: &str) -> Result<&ReplaySession, TraceError> {
        self.sessions
            .get(request)
            .ok_or_else(|| TraceError::new(line, format!("no request {request}")))
    }

    fn met(&self, line: usize, request: &str, name: &str) -> Result<u64, TraceError> {
        let count = self.session(line, request)?.count();
        match name {
            "resumed" => Ok(count.resumed),
            "imported" => Ok(count.imported),
            "fed" => Ok(count.fed),
            "rerun" => Ok(count.rerun),
            "restarted" => Ok(count.restarted),
            "crossed" => Ok(count.crossed),
            "stale" => Ok(count.stale),
            "bad" => Ok(count.bad),
            _ => Err(TraceError::new(line, format!("no count {name}"))),
        }
    }
}
