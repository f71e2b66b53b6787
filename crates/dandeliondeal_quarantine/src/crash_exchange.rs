//! Exchange of a table's evidence and verdicts with other instances.

use std::time::{Duration, Instant};

use crate::crash_evidence::{ProcessEnd, ProcessId};
use crate::crash_report::{
    CrashReport, EndClaim, FeatureClaim, VerdictClaim, age_ms, keep_heaviest,
};
use crate::crash_table::{CrashTable, QuarantineChange};
use crate::crash_verdict::FeatureVerdict;
use crate::held_runs::RunStage;
use crate::process_memory::ProcessContact;

impl CrashTable {
    /// Returns what this instance reports to the others; empty unless processes have ended.
    ///
    /// Ends that other instances reported are passed on if a feature has several, so that they outlive
    /// the instance that saw them. Answers are not: each hop would make them look more recent than
    /// they are.
    pub fn report(&self, now: Instant) -> CrashReport {
        let mut parts: Vec<FeatureClaim> = Vec::new();
        for (key, entry) in &self.entries {
            let own_answer = self.memory_of(&key.feature).latest(key);
            let ends: Vec<EndClaim> = entry
                .recent_ends()
                .map(|end| EndClaim {
                    process: ProcessId::clone(&end.process),
                    age_ms: age_ms(now, end.at),
                    session: end.session,
                    has_begun: end.stage == RunStage::Head,
                    is_writing: end.stage == RunStage::Events,
                    is_confirmed: end.is_confirmed,
                })
                .collect();
            // Others count ends of this part for want of an answer that this instance knows.
            let is_awaited = self.reported.contains(key) && own_answer.is_some();
            if ends.len() > 1 || (!ends.is_empty() && entry.is_news(now)) || is_awaited {
                parts.push(FeatureClaim {
                    key: key.clone(),
                    ends,
                    answered_ms: own_answer.map(|at| age_ms(now, at)),
                });
            }
        }
        // Others still hold a verdict that this instance knows to be void.
        let lifted = self
            .lifted
            .iter()
            .filter(|(key, _)| self.reported.contains(*key));
        parts.extend(lifted.map(|(key, at)| FeatureClaim {
            key: key.clone(),
            ends: Vec::new(),
            answered_ms: Some(age_ms(now, *at)),
        }));
        keep_heaviest(&mut parts, self.settings.max_reported_features);
        let verdicts = self.verdicts().into_iter().map(|verdict| VerdictClaim {
            key: verdict.key,
            companions: verdict.companions,
            processes: verdict.processes,
            age_ms: age_ms(now, verdict.last_end),
            is_stored: verdict.is_stored,
        });
        CrashReport {
            parts,
            verdicts: verdicts.collect(),
            running: self.processes.own_ages(now, |contact| contact.at),
            running_since: self.processes.own_ages(now, |contact| contact.since),
        }
    }

    /// Adds what other instances reported.
    pub fn add_report(&mut self, report: &CrashReport, now: Instant) {
        let claims = report.parts.iter().filter(|claim| !claim.ends.is_empty());
        let with_ends = claims.map(|claim| &claim.key);
        let with_verdict = report.verdicts.iter().map(|claim| &claim.key);
        self.reported = with_ends.chain(with_verdict).cloned().collect();
        if report.is_empty() && self.entries.is_empty() {
            return;
        }
        let time_of = |age_ms: u64| {
            now.checked_sub(Duration::from_millis(age_ms))
                .unwrap_or(now)
        };
        for claim in &report.parts {
            for end in &claim.ends {
                let end = ProcessEnd {
                    process: ProcessId::clone(&end.process),
                    at: time_of(end.age_ms),
                    session: end.session,
                    stage: end.stage(),
                    is_confirmed: end.is_confirmed,
                };
                self.add_end(claim.key.clone(), end, now);
            }
            let Some(answered) = claim.answered_ms.map(time_of) else {
                continue;
            };
            if let Some(entry) = self.entries.get_mut(&claim.key) {
                entry.answered = entry.answered.max(Some(answered));
            }
            let verdict = self.verdicts.get(&claim.key);
            if verdict.is_some_and(|verdict| answered > verdict.last_end) {
                self.lift(&claim.key, answered);
            }
        }
        for claim in &report.verdicts {
            self.merge_verdict(claim, time_of(claim.age_ms));
        }
        for (process, age_ms) in &report.running {
            let at = time_of(*age_ms);
            // Instances of earlier versions do not report since when the process ran.
            let since = report.running_since.get(process);
            let contact = ProcessContact {
                since: since.map_or(at, |since_ms| time_of(*since_ms)),
                at,
                is_own: false,
            };
            self.refute_end(process, contact);
        }
        self.update(now);
    }

    fn merge_verdict(&mut self, claim: &VerdictClaim, last_end: Instant) {
        let lifted = self.lifted.get(&claim.key);
        let mut processes = claim.processes.iter();
        let is_refuted = processes.any(|process| self.is_refuted(&claim.key, process, last_end));
        if is_refuted || lifted.is_some_and(|lifted| *lifted >= last_end) {
            return;
        }
        if let Some(verdict) = self.verdicts.get_mut(&claim.key) {
            verdict
                .companions
                .retain(|part| claim.companions.contains(part));
            verdict.last_end = verdict.last_end.max(last_end);
            verdict.is_stored |= claim.is_stored;
        } else if self.has_room() {
            let verdict = FeatureVerdict {
                key: claim.key.clone(),
                companions: claim.companions.clone(),
                processes: claim.processes.clone(),
                last_end,
                is_stored: claim.is_stored,
            };
            self.verdicts.insert(verdict.key.clone(), verdict.clone());
            self.changes.push(QuarantineChange::Added(verdict));
        }
    }
}
