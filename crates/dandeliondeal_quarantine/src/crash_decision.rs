//! Decides from what a table knows which features are blamed, and which verdicts are lifted.

use std::time::Instant;

use dandeliondeal_types::FeatureId;

use crate::crash_evidence::{FeatureEvidence, FeatureKey, ProcessEnd, head_processes};
use crate::crash_table::{CrashTable, FeatureEntry, QuarantineChange};
use crate::crash_verdict::{find_explained, find_verdicts};

impl CrashTable {
    pub(crate) fn update(&mut self, now: Instant) {
        let max_age = self.settings.end_max_age;
        let min_confirmed = self.settings.min_confirmed_ends;
        for entry in self.entries.values_mut() {
            let is_recent = |end: &ProcessEnd| now.saturating_duration_since(end.at) < max_age;
            entry.ends.retain(is_recent);
        }
        self.entries.retain(|_, entry| !entry.ends.is_empty());
        self.processes.drop_old(now);
        for (key, verdict) in &mut self.verdicts {
            let entry = self.entries.get(key);
            let last_end =
                entry.and_then(|entry| entry.counted_ends(min_confirmed).map(|end| end.at).max());
            verdict.last_end = last_end.map_or(verdict.last_end, |at| at.max(verdict.last_end));
        }
        self.lift_answered(now);
        let evidence = self.collect_evidence();
        for found in find_verdicts(&evidence, &self.verdicts(), &self.settings, now) {
            let has_room = self.has_room();
            match self.verdicts.get_mut(&found.key) {
                Some(verdict) => {
                    let count = verdict.companions.len();
                    verdict
                        .companions
                        .retain(|feature| found.companions.contains(feature));
                    verdict.last_end = verdict.last_end.max(found.last_end);
                    verdict.processes.clone_from(&found.processes);
                    if verdict.companions.len() < count {
                        let change = QuarantineChange::Added(verdict.clone());
                        self.changes.push(change);
                    }
                }
                None if has_room => {
                    self.verdicts.insert(found.key.clone(), found.clone());
                    self.changes.push(QuarantineChange::Added(found));
                }
                None => {}
            }
        }
        for key in find_explained(&evidence, &self.verdicts(), &self.settings, now) {
            self.verdicts.remove(&key);
            self.trials.remove(&key);
            self.changes.push(QuarantineChange::Lifted(key));
        }
    }

    /// Returns the evidence about the features under which enough processes ended for a verdict.
    fn collect_evidence(&self) -> Vec<FeatureEvidence> {
        let settings = &self.settings;
        let min_confirmed = settings.min_confirmed_ends;
        let min_ends = settings.unproven_ends.min(settings.waiting_ends);
        let counted = |entry: &FeatureEntry| entry.counted_ends(min_confirmed).count();
        let candidates = self.entries.iter();
        let candidates = candidates.filter(|(_, entry)| counted(entry) >= min_ends);
        let mut candidates: Vec<_> = candidates.collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        candidates.sort_by_key(|(key, _)| *key);
        let ends = self.entries.values();
        let ends = ends.flat_map(|entry| entry.counted_ends(min_confirmed));
        let heads = head_processes(ends);
        let evidence = candidates.into_iter().map(|(key, entry)| {
            let answers = self.answers.total(&key.service);
            let other_answers = answers.saturating_sub(entry.earlier_answers);
            let mut evidence = FeatureEvidence {
                key: key.clone(),
                ends: entry.counted_ends(min_confirmed).cloned().collect(),
                is_proven: entry.answered.is_some(),
                other_answers: u32::try_from(other_answers).unwrap_or(u32::MAX),
                is_rare: self.memory_of(&key.feature).share(key) <= settings.rare_share,
            };
            // The other features of the process that have too few ends are left out here.
            let mut ends = std::mem::take(&mut evidence.ends);
            ends.retain(|end| evidence.is_telling(end) || !heads.contains(&end.process));
            evidence.ends = ends;
            evidence
        });
        evidence.collect()
    }

    /// Lifts verdicts whose feature was answered after the last end, and removes companions that were.
    fn lift_answered(&mut self, now: Instant) {
        let entries = &self.entries;
        let (answers, answered_requests) = (&self.answers, &self.answered_requests);
        let answered = |key: &FeatureKey| {
            let learned = entries.get(key).and_then(|entry| entry.answered);
            let own = answers.latest(key).max(answered_requests.latest(key));
            learned.max(own)
        };
        let mut lifted = Vec::new();
        for (key, verdict) in &mut self.verdicts {
            let last_end = verdict.last_end;
            let is_sound = |key: &FeatureKey| answered(key).is_some_and(|at| at > last_end);
            if is_sound(key) {
                lifted.push(key.clone());
                continue;
            }
            let service = &key.service;
            let count = verdict.companions.len();
            let is_open = |feature: &FeatureId| !is_sound(&FeatureKey::new(service, feature));
            verdict.companions.retain(is_open);
            if verdict.companions.len() < count {
                let change = QuarantineChange::Added(verdict.clone());
                self.changes.push(change);
            }
        }
        for key in lifted {
            self.lift(&key, now);
        }
    }
}
