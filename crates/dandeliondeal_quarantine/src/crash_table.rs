//! What one instance knows of the crashes under requests, and which requests it refuses.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use dandeliondeal_types::{FeatureId, ServiceId};

use crate::answer_memory::AnswerMemory;
use crate::crash_evidence::{CrashSettings, FeatureKey, ProcessEnd, ProcessId};
use crate::crash_verdict::FeatureVerdict;
use crate::held_runs::RunStage;
use crate::process_memory::{ProcessContact, ProcessMemory};
use crate::request_fingerprint::is_fingerprint;

/// How a request is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestStanding {
    /// Nothing is known against it.
    Sound,
    /// A process ended under a feature of it that was never answered: it must not run twice.
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
    /// How far the answer had come, as far as is known.
    pub stage: RunStage,
}

/// Change of the verdicts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// Requests are refused from now on, or other ones than before.
    Added(FeatureVerdict),
    /// Requests with this feature are served again.
    Lifted(FeatureKey),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FeatureEntry {
    pub(crate) ends: Vec<ProcessEnd>,
    /// Latest answer under the feature that is known, of any instance.
    pub(crate) answered: Option<Instant>,
    /// Number of the service's answers when the entry was made, or at the latest answer under the
    /// feature.
    pub(crate) earlier_answers: u64,
    /// Time until which this instance reports a single end that it has seen.
    report_until: Option<Instant>,
}

impl FeatureEntry {
    /// Returns the ends since the last answer.
    pub(crate) fn recent_ends(&self) -> impl Iterator<Item = &ProcessEnd> {
        let answered = self.answered;
        let is_recent = move |end: &&ProcessEnd| answered.is_none_or(|answered| end.at > answered);
        self.ends.iter().filter(is_recent)
    }

    /// Returns the ends since the last answer that count: those that are certain, and if these are
    /// `min_confirmed` or more, the others as well.
    ///
    /// All endpoints of a service may end at once, so that none is left to confirm the last end.
    pub(crate) fn counted_ends(&self, min_confirmed: usize) -> impl Iterator<Item = &ProcessEnd> {
        let confirmed = self.recent_ends().filter(|end| end.is_confirmed);
        let counts_all = confirmed.count() >= min_confirmed;
        self.recent_ends()
            .filter(move |end| counts_all || end.is_confirmed)
    }

    /// Returns whether a single end is reported.
    pub(crate) fn is_news(&self, now: Instant) -> bool {
        self.report_until.is_some_and(|until| now < until)
    }

    /// Returns how much the entry tells; the one that tells least is dropped first.
    fn weight(&self) -> (usize, usize, Option<Instant>) {
        let begun = self.recent_ends().filter(|end| end.stage.has_begun());
        let begun = begun.count();
        let last_end = self.ends.iter().map(|end| end.at).max();
        (begun, self.recent_ends().count(), last_end)
    }
}

/// Crashes, answers and verdicts that one instance knows of.
///
/// Its size is bounded by [`CrashSettings`], whatever ids callers send: only a feature of a request
/// under which a process ended, or that was answered, takes space.
#[derive(Clone, Debug)]
pub struct CrashTable {
    pub(crate) settings: CrashSettings,
    /// Answers by part of a prompt.
    pub(crate) answers: AnswerMemory,
    /// Answers by fingerprint, apart, as most requests have one of their own.
    pub(crate) answered_requests: AnswerMemory,
    pub(crate) processes: ProcessMemory,
    pub(crate) entries: HashMap<FeatureKey, FeatureEntry>,
    pub(crate) verdicts: HashMap<FeatureKey, FeatureVerdict>,
    /// Features whose next request is admitted to find out whether they still crash endpoints.
    pub(crate) trials: HashSet<FeatureKey>,
    /// Features that were served again, with the time until which older verdicts are void.
    pub(crate) lifted: HashMap<FeatureKey, Instant>,
    /// Features with ends or a verdict in the latest report of the fleet.
    pub(crate) reported: HashSet<FeatureKey>,
    pub(crate) changes: Vec<QuarantineChange>,
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
            answered_requests: AnswerMemory::new(settings.answer_capacity),
            processes: ProcessMemory::new(&settings),
            settings,
            entries: HashMap::new(),
            verdicts: HashMap::new(),
            trials: HashSet::new(),
            lifted: HashMap::new(),
            reported: HashSet::new(),
            changes: Vec::new(),
        }
    }

    /// Records that a process held a request it had not answered, and seems to have ended.
    ///
    /// The end counts once it is certain: if `is_confirmed` says so, or as soon as
    /// [`Self::confirm_end`] is called.
    pub fn record_end(
        &mut self,
        process: &ProcessId,
        request: SuspectRequest<'_>,
        is_confirmed: bool,
        now: Instant,
    ) {
        self.record_ends(process, &[request], is_confirmed, now);
    }

    /// Like [`Self::record_end`], for all requests that the process held.
    pub fn record_ends(
        &mut self,
        process: &ProcessId,
        requests: &[SuspectRequest<'_>],
        is_confirmed: bool,
        now: Instant,
    ) {
        for request in requests {
            for feature in request.features {
                let end = ProcessEnd {
                    process: ProcessId::clone(process),
                    at: now,
                    session: request.session,
                    stage: request.stage,
                    is_confirmed,
                };
                let key = FeatureKey::new(request.service, feature);
                self.add_end(key.clone(), end, now);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.report_until = Some(now + self.settings.single_report_time);
                }
            }
        }
        self.update(now);
    }

    /// Records that a process has certainly ended, because another one was started in its place.
    pub fn confirm_end(&mut self, process: &ProcessId, now: Instant) {
        if !self.processes.add_ended(process) {
            return;
        }
        let ends = self.entries.values_mut().flat_map(|entry| &mut entry.ends);
        let mut is_changed = false;
        for end in ends.filter(|end| end.process == *process) {
            is_changed |= !end.is_confirmed;
            end.is_confirmed = true;
        }
        if is_changed {
            self.update(now);
        }
    }

    /// Records an answer of a process over a connection that was open since `since`: an earlier report
    /// of its end was wrong.
    ///
    /// Such a report comes from an instance that has lost its links to the endpoints.
    pub fn record_contact(&mut self, process: &ProcessId, since: Instant, now: Instant) {
        if self.entries.is_empty() {
            return;
        }
        let contact = ProcessContact {
            since,
            at: now,
            is_own: true,
        };
        let mut ends = self.entries.values().flat_map(|entry| &entry.ends);
        let processes = &self.processes;
        if ends.any(|end| end.process == *process && processes.is_refuted_by(end, contact)) {
            self.refute_end(process, contact);
            self.update(now);
        }
    }

    /// Drops the ends of a process that ran after them, and the verdicts that rest on them.
    pub(crate) fn refute_end(&mut self, process: &ProcessId, contact: ProcessContact) {
        if !self.processes.add_contact(process, contact) {
            return;
        }
        let processes = &self.processes;
        let mut refuted: HashSet<FeatureKey> = HashSet::new();
        for (key, entry) in &mut self.entries {
            let count = entry.ends.len();
            entry.ends.retain(|end| !processes.refutes(end));
            if entry.ends.len() < count {
                refuted.insert(key.clone());
            }
        }
        // A verdict that has enough ends without this one is found again.
        let verdicts = self.verdicts.values().filter(|verdict| {
            verdict.processes.contains(process)
                && (refuted.contains(&verdict.key)
                    || self.is_refuted(&verdict.key, process, verdict.last_end))
        });
        let void: Vec<FeatureKey> = verdicts.map(|verdict| verdict.key.clone()).collect();
        for key in void {
            self.verdicts.remove(&key);
            self.trials.remove(&key);
            self.changes.push(QuarantineChange::Lifted(key));
        }
    }

    /// Returns whether a process ran before and after its end under a feature, which was at the latest
    /// at `last_end` if it is not known.
    pub(crate) fn is_refuted(
        &self,
        key: &FeatureKey,
        process: &ProcessId,
        last_end: Instant,
    ) -> bool {
        let ends = self.entries.get(key).map(|entry| &entry.ends);
        let mut known = ends.into_iter().flatten();
        !known.any(|end| end.process == *process) && self.processes.spans(process, last_end)
    }

    /// Records that a request with these features was answered.
    pub fn record_answer(&mut self, service: &ServiceId, features: &[FeatureId], now: Instant) {
        self.answers.record_answer(service);
        self.answered_requests.record_answer(service);
        for feature in features {
            let key = FeatureKey::new(service, feature);
            self.memory_of_mut(feature).record_part(key, now);
        }
        if self.entries.is_empty() && self.verdicts.is_empty() {
            return;
        }
        let answers = self.answers.total(service);
        let mut is_changed = !self.verdicts.is_empty();
        for feature in features {
            if let Some(entry) = self.entries.get_mut(&FeatureKey::new(service, feature)) {
                entry.answered = Some(now);
                entry.earlier_answers = answers;
                is_changed = true;
            }
        }
        if is_changed {
            self.update(now);
        }
    }

    /// Returns how a request is treated.
    pub fn standing(&self, service: &ServiceId, features: &[FeatureId]) -> RequestStanding {
        if self.find_verdict(service, features).is_some() {
            return RequestStanding::Quarantined;
        }
        let is_suspect = |feature: &FeatureId| self.is_suspect(service, feature);
        if !self.entries.is_empty() && features.iter().any(is_suspect) {
            RequestStanding::Suspect
        } else {
            RequestStanding::Sound
        }
    }

    /// Returns whether a request is suspect because of its own copies, not only of what it shares
    /// with other requests.
    pub fn is_suspect_copy(&self, service: &ServiceId, features: &[FeatureId]) -> bool {
        let mut fingerprints = features.iter().filter(|feature| is_fingerprint(feature));
        fingerprints.any(|feature| self.is_suspect(service, feature))
    }

    /// Returns whether processes certainly ended under a feature that was never answered: one that was
    /// about to begin an answer, or several in the midst of answers to copies of one request.
    fn is_suspect(&self, service: &ServiceId, feature: &FeatureId) -> bool {
        let entry = self.entries.get(&FeatureKey::new(service, feature));
        let Some(entry) = entry.filter(|entry| entry.answered.is_none()) else {
            return false;
        };
        let confirmed = entry.ends.iter().filter(|end| end.is_confirmed);
        let begun = confirmed.filter(|end| end.stage.has_begun());
        let has_head = begun.clone().any(|end| end.stage == RunStage::Head);
        has_head || (is_fingerprint(feature) && begun.count() >= self.settings.suspect_ends)
    }

    /// Admits a request that is refused as a trial, if one was opened; returns whether it
    /// did.
    pub fn take_trial(&mut self, service: &ServiceId, features: &[FeatureId]) -> bool {
        let key = self
            .find_verdict(service, features)
            .map(|verdict| verdict.key.clone());
        key.is_some_and(|key| self.trials.remove(&key))
    }

    /// Opens a trial: the next request with this feature is admitted.
    pub fn open_trial(&mut self, key: &FeatureKey) {
        if self.verdicts.contains_key(key) {
            self.trials.insert(key.clone());
        }
    }

    /// Adds a verdict that was stored; returns `false` if it is void because its feature was served
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

    /// Serves requests with this feature again.
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

    /// Returns the verdicts, in order of their features.
    pub fn verdicts(&self) -> Vec<FeatureVerdict> {
        let mut verdicts: Vec<FeatureVerdict> = self.verdicts.values().cloned().collect();
        verdicts.sort_by(|one, other| one.key.cmp(&other.key));
        verdicts
    }

    /// Returns the changes of the verdicts since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of features with ends, for logs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no feature with ends is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn memory_of(&self, feature: &str) -> &AnswerMemory {
        if is_fingerprint(feature) {
            &self.answered_requests
        } else {
            &self.answers
        }
    }

    fn memory_of_mut(&mut self, feature: &str) -> &mut AnswerMemory {
        if is_fingerprint(feature) {
            &mut self.answered_requests
        } else {
            &mut self.answers
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.verdicts.len() < self.settings.max_verdicts
    }

    fn find_verdict(&self, service: &ServiceId, features: &[FeatureId]) -> Option<&FeatureVerdict> {
        if self.verdicts.is_empty() {
            return None;
        }
        let keys = features
            .iter()
            .map(|feature| FeatureKey::new(service, feature));
        let mut verdicts = keys.filter_map(|key| self.verdicts.get(&key));
        verdicts.find(|verdict| verdict.matches(features))
    }

    pub(crate) fn add_end(&mut self, key: FeatureKey, end: ProcessEnd, now: Instant) {
        let age = now.saturating_duration_since(end.at);
        let is_void = self
            .lifted
            .get(&key)
            .is_some_and(|lifted| *lifted >= end.at);
        if age >= self.settings.end_max_age || is_void || self.processes.refutes(&end) {
            return;
        }
        let is_confirmed = end.is_confirmed || self.processes.is_ended(&end.process);
        let end = ProcessEnd {
            is_confirmed,
            ..end
        };
        if !self.entries.contains_key(&key) && self.entries.len() >= self.settings.max_features {
            let lightest = self.entries.iter().min_by_key(|(_, entry)| entry.weight());
            let oldest = lightest.map(|(key, _)| key.clone());
            oldest.map(|key| self.entries.remove(&key));
        }
        let answered = self.memory_of(&key.feature).latest(&key);
        let earlier_answers = self.answers.total(&key.service);
        let entry = self.entries.entry(key).or_insert_with(|| FeatureEntry {
            earlier_answers,
            ..FeatureEntry::default()
        });
        entry.answered = entry.answered.max(answered);
        let known = entry
            .ends
            .iter_mut()
            .find(|known| known.process == end.process);
        if let Some(known) = known {
            known.at = known.at.min(end.at);
            known.stage = known.stage.stronger(end.stage);
            known.is_confirmed |= end.is_confirmed;
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
}
