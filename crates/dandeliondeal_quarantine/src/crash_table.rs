//! What one instance knows of the crashes under prompts, and which prompts it refuses.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use dandeliondeal_types::{FeatureId, ServiceId};

use crate::answer_memory::AnswerMemory;
use crate::crash_evidence::{CrashSettings, FeatureEvidence, FeatureKey, ProcessEnd, ProcessId};
use crate::crash_report::{CrashReport, EndClaim, FeatureClaim, VerdictClaim};
use crate::crash_verdict::{FeatureVerdict, find_explained, find_verdicts};

/// How a prompt is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestStanding {
    /// Nothing is known against it.
    Sound,
    /// A process ended under a part of it that was never answered: it must not run twice.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// Request that a process held when it ended.
#[derive(Clone, Copy, Debug)]
pub struct SuspectRequest<'request> {
    /// Service that runs the request.
    pub service: &'request ServiceId,
    /// What the request may have in common with others.
    pub features: &'request [FeatureId],
    /// Hash that tells different requests apart.
    pub session: u64,
    /// Whether the process had begun to answer the request, as far as is known.
    pub has_begun: bool,
}

/// Change of the verdicts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// Requests are refused from now on, or other ones than before.
    Added(FeatureVerdict),
    /// Requests with this part are served again.
    Lifted(FeatureKey),
}

#[derive(Clone, Debug, Default)]
struct FeatureEntry {
    ends: Vec<ProcessEnd>,
    /// Latest answer under the part that is known, of any instance.
    answered: Option<Instant>,
    other_answers: u32,
}

impl FeatureEntry {
    /// Returns the ends since the last answer.
    fn counted_ends(&self) -> impl Iterator<Item = &ProcessEnd> {
        let answered = self.answered;
        let is_counted = move |end: &&ProcessEnd| answered.is_none_or(|answered| end.at > answered);
        self.ends.iter().filter(is_counted)
    }
}

/// Crashes, answers and verdicts that one instance knows of.
///
/// Its size is bounded by [`CrashSettings`], whatever ids callers send: only a part of a request
/// under which a process ended, or that was answered, takes space.
#[derive(Clone, Debug)]
pub struct CrashTable {
    settings: CrashSettings,
    answers: AnswerMemory,
    entries: HashMap<FeatureKey, FeatureEntry>,
    verdicts: HashMap<FeatureKey, FeatureVerdict>,
    /// Parts whose next request is admitted to find out whether they still crash engines.
    trials: HashSet<FeatureKey>,
    /// Parts that were served again, with the time until which older verdicts are void.
    lifted: HashMap<FeatureKey, Instant>,
    /// Parts with ends or a verdict in the latest report of the fleet.
    reported: HashSet<FeatureKey>,
    changes: Vec<QuarantineChange>,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::new(CrashSettings::default())
    }
}

impl CrashTable {
    /// Creates an empty table.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            answers: AnswerMemory::new(settings.answer_capacity),
            settings,
            entries: HashMap::new(),
            verdicts: HashMap::new(),
            trials: HashSet::new(),
            lifted: HashMap::new(),
            reported: HashSet::new(),
            changes: Vec::new(),
        }
    }

    /// Records the end of a process that held a request it had not answered.
    pub fn record_end(&mut self, process: &ProcessId, request: SuspectRequest<'_>, now: Instant) {
        for part in request.features {
            let end = ProcessEnd {
                process: ProcessId::clone(process),
                at: now,
                session: request.session,
                has_begun: request.has_begun,
            };
            self.add_end(FeatureKey::new(request.service, part), end, now);
        }
        self.update(now);
    }

    /// Records that a request with these shared parts was answered.
    pub fn record_answer(&mut self, service: &ServiceId, parts: &[FeatureId], now: Instant) {
        self.answers.record_answer(service);
        for part in parts {
            self.answers
                .record_part(FeatureKey::new(service, part), now);
        }
        if self.entries.is_empty() && self.verdicts.is_empty() {
            return;
        }
        for (key, entry) in &mut self.entries {
            if key.service != *service {
                continue;
            }
            if parts.contains(&key.feature) {
                entry.answered = Some(now);
                entry.other_answers = 0;
            } else {
                entry.other_answers = entry.other_answers.saturating_add(1);
            }
        }
        self.update(now);
    }

    /// Returns how a prompt is treated.
    pub fn standing(&self, service: &ServiceId, parts: &[FeatureId]) -> RequestStanding {
        if self.find_verdict(service, parts).is_some() {
            return RequestStanding::Quarantined;
        }
        let is_suspect = |part: &FeatureId| {
            let entry = self.entries.get(&FeatureKey::new(service, part));
            entry.is_some_and(|entry| {
                entry.answered.is_none() && entry.ends.iter().any(|end| end.has_begun)
            })
        };
        if !self.entries.is_empty() && parts.iter().any(is_suspect) {
            RequestStanding::Suspect
        } else {
            RequestStanding::Sound
        }
    }

    /// Admits a request whose prompt is refused as a trial, if one was opened; returns whether it
    /// did.
    pub fn take_trial(&mut self, service: &ServiceId, parts: &[FeatureId]) -> bool {
        let key = self
            .find_verdict(service, parts)
            .map(|verdict| verdict.key.clone());
        key.is_some_and(|key| self.trials.remove(&key))
    }

    /// Opens a trial: the next request with this part is admitted.
    pub fn open_trial(&mut self, key: &FeatureKey) {
        if self.verdicts.contains_key(key) {
            self.trials.insert(key.clone());
        }
    }

    /// Adds a verdict that was stored; returns `false` if it is void because its part was served
    /// again since.
    pub fn add_verdict(&mut self, verdict: FeatureVerdict) -> bool {
        let is_void = self.lifted.contains_key(&verdict.key);
        if !is_void && !self.verdicts.contains_key(&verdict.key) && self.has_room() {
            self.verdicts.insert(verdict.key.clone(), verdict.clone());
            self.changes.push(QuarantineChange::Added(verdict));
        }
        !is_void
    }

    /// Records that a verdict is stored.
    pub fn mark_stored(&mut self, key: &FeatureKey) {
        if let Some(verdict) = self.verdicts.get_mut(key) {
            verdict.is_stored = true;
        }
    }

    /// Serves requests with this part again.
    pub fn lift(&mut self, key: &FeatureKey, now: Instant) {
        if self.verdicts.remove(key).is_none() {
            return;
        }
        self.trials.remove(key);
        if self.lifted.len() >= self.settings.max_verdicts {
            let oldest = self.lifted.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.map(|key| self.lifted.remove(&key));
        }
        self.lifted.insert(key.clone(), now);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.ends.clear();
        }
        self.changes.push(QuarantineChange::Lifted(key.clone()));
    }

    /// Returns the verdicts, in order of their parts.
    pub fn verdicts(&self) -> Vec<FeatureVerdict> {
        let mut verdicts: Vec<FeatureVerdict> = self.verdicts.values().cloned().collect();
        verdicts.sort_by(|one, other| one.key.cmp(&other.key));
        verdicts
    }

    /// Returns the changes of the verdicts since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of parts with ends, for logs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no part with ends is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what this instance reports to the others; empty unless processes have ended.
    ///
    /// Ends that other instances reported are passed on, so that they outlive the instance that saw
    /// them. Answers are not, as each hop would make them look more recent than they are.
    pub fn report(&self, now: Instant) -> CrashReport {
        let mut parts: Vec<FeatureClaim> = Vec::new();
        for (key, entry) in &self.entries {
            let own_answer = self.answers.latest(key);
            let ends: Vec<EndClaim> = entry
                .counted_ends()
                .map(|end| EndClaim {
                    process: ProcessId::clone(&end.process),
                    age_ms: age_ms(now, end.at),
                    session: end.session,
                    has_begun: end.has_begun,
                })
                .collect();
            // Others count ends of this part for want of an answer that this instance knows.
            let is_awaited = self.reported.contains(key) && own_answer.is_some();
            if !ends.is_empty() || is_awaited {
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
        parts.sort_by(|one, other| {
            let order = other.ends.len().cmp(&one.ends.len());
            order.then_with(|| one.key.cmp(&other.key))
        });
        parts.truncate(self.settings.max_reported_features);
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
                    has_begun: end.has_begun,
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
        self.update(now);
    }

    fn merge_verdict(&mut self, claim: &VerdictClaim, last_end: Instant) {
        let lifted = self.lifted.get(&claim.key);
        if lifted.is_some_and(|lifted| *lifted >= last_end) {
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

    fn has_room(&self) -> bool {
        self.verdicts.len() < self.settings.max_verdicts
    }

    fn find_verdict(&self, service: &ServiceId, parts: &[FeatureId]) -> Option<&FeatureVerdict> {
        if self.verdicts.is_empty() {
            return None;
        }
        let keys = parts.iter().map(|part| FeatureKey::new(service, part));
        let mut verdicts = keys.filter_map(|key| self.verdicts.get(&key));
        verdicts.find(|verdict| verdict.matches(parts))
    }

    fn add_end(&mut self, key: FeatureKey, end: ProcessEnd, now: Instant) {
        let age = now.saturating_duration_since(end.at);
        let is_void = self
            .lifted
            .get(&key)
            .is_some_and(|lifted| *lifted >= end.at);
        if age >= self.settings.end_max_age || is_void {
            return;
        }
        if !self.entries.contains_key(&key) && self.entries.len() >= self.settings.max_features {
            // A part that was answered tells least, then the one that was not seen for longest.
            let oldest = self.entries.iter().min_by_key(|(_, entry)| {
                let last_end = entry.ends.iter().map(|end| end.at).max();
                (entry.counted_ends().count() > 0, last_end)
            });
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.map(|key| self.entries.remove(&key));
        }
        let answered = self.answers.latest(&key);
        let entry = self.entries.entry(key).or_default();
        entry.answered = entry.answered.max(answered);
        let known = entry
            .ends
            .iter_mut()
            .find(|known| known.process == end.process);
        if let Some(known) = known {
            known.at = known.at.min(end.at);
            known.has_begun |= end.has_begun;
            return;
        }
        entry.ends.push(end);
        entry.ends.sort_by_key(|end| end.at);
        let surplus = entry.ends.len().saturating_sub(self.settings.max_ends);
        entry.ends.drain(..surplus);
    }

    /// Drops old ends and decides anew, as ends count only after a while.
    pub fn refresh(&mut self, now: Instant) {
        if !self.entries.is_empty() {
            self.update(now);
        }
    }

    fn update(&mut self, now: Instant) {
        let max_age = self.settings.end_max_age;
        for entry in self.entries.values_mut() {
            let is_recent = |end: &ProcessEnd| now.saturating_duration_since(end.at) < max_age;
            entry.ends.retain(is_recent);
        }
        self.entries.retain(|_, entry| !entry.ends.is_empty());
        for (key, verdict) in &mut self.verdicts {
            let entry = self.entries.get(key);
            let last_end = entry.and_then(|entry| entry.counted_ends().map(|end| end.at).max());
            verdict.last_end = last_end.map_or(verdict.last_end, |at| at.max(verdict.last_end));
        }
        self.lift_answered(now);
        let evidence = self.entries.iter().map(|(key, entry)| FeatureEvidence {
            key: key.clone(),
            ends: entry.counted_ends().cloned().collect(),
            is_proven: entry.answered.is_some(),
            other_answers: entry.other_answers,
            is_rare: self.answers.share(key) <= self.settings.rare_share,
        });
        let evidence: Vec<FeatureEvidence> = evidence
            .filter(|evidence| !evidence.ends.is_empty())
            .collect();
        for found in find_verdicts(&evidence, &self.verdicts(), &self.settings, now) {
            let has_room = self.has_room();
            match self.verdicts.get_mut(&found.key) {
                Some(verdict) => {
                    let count = verdict.companions.len();
                    verdict
                        .companions
                        .retain(|part| found.companions.contains(part));
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

    /// Lifts verdicts whose part was answered after the last end, and removes companions that were.
    fn lift_answered(&mut self, now: Instant) {
        let entries = &self.entries;
        let answers = &self.answers;
        let answered = |key: &FeatureKey| {
            let learned = entries.get(key).and_then(|entry| entry.answered);
            learned.max(answers.latest(key))
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
            let is_open = |part: &FeatureId| !is_sound(&FeatureKey::new(service, part));
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

fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
