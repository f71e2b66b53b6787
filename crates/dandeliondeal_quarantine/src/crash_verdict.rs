//! Decision which parts of prompts are to blame for the ends of processes.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use dandeliondeal_types::FeatureId;

use crate::crash_evidence::{
    CrashSettings, FeatureEvidence, FeatureKey, ProcessEnd, ProcessId, head_processes,
};
use crate::held_runs::RunStage;
use crate::request_fingerprint::is_fingerprint;

/// Requests that are refused: those with the blamed part and all of its companions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeatureVerdict {
    /// Part that is blamed.
    pub key: FeatureKey,
    /// Parts under which the same processes ended, so that they can't be told apart from it.
    pub companions: Vec<FeatureId>,
    /// Processes whose ends the part explains.
    pub processes: Vec<ProcessId>,
    /// Time of the last of these ends.
    pub last_end: Instant,
    /// Whether the verdict is known to have been stored.
    pub is_stored: bool,
}

impl FeatureVerdict {
    /// Returns whether a prompt with these shared parts is refused.
    pub fn matches(&self, parts: &[FeatureId]) -> bool {
        parts.contains(&self.key.feature) && self.companions.iter().all(|part| parts.contains(part))
    }
}

/// Ends of one part that count, by process.
struct CountedFeature<'evidence> {
    evidence: &'evidence FeatureEvidence,
    ends: Vec<&'evidence ProcessEnd>,
}

impl CountedFeature<'_> {
    fn covers(&self, processes: &BTreeSet<&ProcessId>) -> bool {
        let own: BTreeSet<&ProcessId> = self.ends.iter().map(|end| &end.process).collect();
        own.is_superset(processes)
    }

    /// Returns whether a verdict about copies of one request is explained better by this part of
    /// prompts, under which the same processes ended and others did.
    fn supersedes(&self, blamed: &FeatureKey, known: &[FeatureVerdict]) -> bool {
        let mut verdicts = known.iter().filter(|verdict| verdict.key == *blamed);
        is_fingerprint(&blamed.feature)
            && !is_fingerprint(&self.evidence.key.feature)
            && verdicts.any(|verdict| {
                let processes = verdict.processes.iter().collect();
                self.ends.len() > verdict.processes.len() && self.covers(&processes)
            })
    }

    fn is_sufficient(&self, ends: &[&ProcessEnd], settings: &CrashSettings, now: Instant) -> bool {
        let times = ends.iter().map(|end| end.at);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return false;
        };
        let sessions: HashSet<u64> = ends.iter().map(|end| end.session).collect();
        // All copies of a request are one session.
        let has_sessions = is_fingerprint(&self.evidence.key.feature)
            || sessions.len() >= settings.min_sessions
            || ends.len() >= settings.proven_ends;
        let is_settled = now.saturating_duration_since(first) >= settings.settle_time;
        // Processes that end together have a common cause other than a prompt.
        let moments = count_moments(ends, settings.joint_time);
        let is_long = last.saturating_duration_since(first) >= settings.min_span;
        let has_begun = ends.iter().any(|end| end.stage.has_begun());
        let has_ends = if has_begun && !self.evidence.is_proven {
            let is_written = ends.len() >= settings.writing_ends
                && moments >= settings.writing_moments
                && is_long;
            self.count_telling(ends) >= settings.unproven_ends || is_written
        } else {
            let required = if has_begun {
                settings.proven_ends
            } else {
                // Requests that wait at engines which others end meet several crashes as well.
                settings.waiting_ends
            };
            let is_rare = self.evidence.is_rare && self.count_telling(ends) > 0;
            let has_others = self.evidence.other_answers >= settings.min_other_answers || is_rare;
            moments >= required && is_long && has_others
        };
        has_ends && has_sessions && is_settled
    }

    /// Counts the ends that tell most; none if no process had begun an answer.
    ///
    /// A process sends events to many requests that have a part in common, but to few copies of one.
    fn count_telling(&self, ends: &[&ProcessEnd]) -> usize {
        let is_copy = is_fingerprint(&self.evidence.key.feature);
        let is_telling = |end: &ProcessEnd| is_copy || end.stage != RunStage::Events;
        let telling = ends.iter().filter(|end| is_telling(end));
        let has_begun = telling.clone().any(|end| end.stage.has_begun());
        if has_begun { telling.count() } else { 0 }
    }
}

/// Counts ends, those within `joint_time` of an earlier one only once.
fn count_moments(ends: &[&ProcessEnd], joint_time: Duration) -> usize {
    let mut times: Vec<Instant> = ends.iter().map(|end| end.at).collect();
    times.sort_unstable();
    let mut count = 0;
    let mut last_moment = None;
    for at in times {
        if last_moment.is_none_or(|last| at.saturating_duration_since(last) >= joint_time) {
            count += 1;
            last_moment = Some(at);
        }
    }
    count
}

/// Returns the parts that are to blame, in the order in which they explain the ends.
///
/// `known` are earlier verdicts; the ends that they explain count only for the parts that they
/// blame. A verdict for a part that is blamed already replaces it.
pub fn find_verdicts(
    evidence: &[FeatureEvidence],
    known: &[FeatureVerdict],
    settings: &CrashSettings,
    now: Instant,
) -> Vec<FeatureVerdict> {
    let mut parts = count_ends(evidence, settings, now);
    // Features without an answer come first, then those under which most processes ended, then those
    // that fewer requests have.
    parts.sort_by_key(|part| {
        let evidence = part.evidence;
        (
            evidence.is_proven,
            std::cmp::Reverse(part.ends.len()),
            !is_fingerprint(&evidence.key.feature),
            &evidence.key,
        )
    });
    let mut explained: HashMap<ProcessId, FeatureKey> = HashMap::new();
    for verdict in known {
        for process in &verdict.processes {
            explained.insert(ProcessId::clone(process), verdict.key.clone());
        }
    }
    let mut verdicts = Vec::new();
    for part in &parts {
        let key = &part.evidence.key;
        let is_own = |end: &ProcessEnd| {
            let by = explained.get(&end.process);
            by.is_none_or(|by| by == key || part.supersedes(by, known))
        };
        let ends: Vec<&ProcessEnd> = part
            .ends
            .iter()
            .copied()
            .filter(|end| is_own(end))
            .collect();
        if !part.is_sufficient(&ends, settings, now) {
            continue;
        }
        let processes: BTreeSet<&ProcessId> = ends.iter().map(|end| &end.process).collect();
        // No request has two fingerprints, and a fingerprint can be told apart from each part.
        let companions = parts.iter().filter(|other| {
            let other_key = &other.evidence.key;
            let is_part = !is_fingerprint(&key.feature) && !is_fingerprint(&other_key.feature);
            is_part
                && other_key != key
                && other_key.service == key.service
                && other.covers(&processes)
        });
        let verdict = FeatureVerdict {
            key: key.clone(),
            companions: companions
                .map(|other| FeatureId::clone(&other.evidence.key.feature))
                .collect(),
            processes: processes
                .iter()
                .map(|process| ProcessId::clone(process))
                .collect(),
            last_end: ends.iter().map(|end| end.at).max().unwrap_or(now),
            is_stored: false,
        };
        for process in &verdict.processes {
            explained.insert(ProcessId::clone(process), key.clone());
        }
        verdicts.push(verdict);
    }
    verdicts
}

/// Returns the blamed parts whose verdicts later ones make needless: each of their ends is one of a
/// blamed part with more ends.
pub fn find_explained(
    evidence: &[FeatureEvidence],
    known: &[FeatureVerdict],
    settings: &CrashSettings,
    now: Instant,
) -> Vec<FeatureKey> {
    let parts = count_ends(evidence, settings, now);
    let is_blamed =
        |part: &&CountedFeature<'_>| known.iter().any(|verdict| verdict.key == part.evidence.key);
    let blamed: Vec<&CountedFeature<'_>> = parts.iter().filter(is_blamed).collect();
    let is_explained = |part: &&&CountedFeature<'_>| {
        let heavier = blamed
            .iter()
            .filter(|other| other.ends.len() > part.ends.len());
        let explained = heavier
            .flat_map(|other| &other.ends)
            .map(|end| &end.process);
        let explained: HashSet<&ProcessId> = explained.collect();
        part.ends.iter().all(|end| explained.contains(&end.process))
    };
    let explained = blamed.iter().filter(is_explained);
    explained.map(|part| part.evidence.key.clone()).collect()
}

/// Selects the ends that count: if a process was about to begin answers, the requests that waited are
/// no suspects.
fn count_ends<'evidence>(
    evidence: &'evidence [FeatureEvidence],
    settings: &CrashSettings,
    now: Instant,
) -> Vec<CountedFeature<'evidence>> {
    let heads = head_processes(evidence.iter().flat_map(|part| &part.ends));
    let counts = |evidence: &FeatureEvidence, end: &ProcessEnd| {
        // Another instance may still report that the process had begun another response.
        let is_settled = now.saturating_duration_since(end.at) >= settings.settle_time;
        evidence.is_telling(end) || (is_settled && !heads.contains(&end.process))
    };
    let parts = evidence.iter().map(|evidence| {
        let ends = evidence.ends.iter().filter(|end| counts(evidence, end));
        CountedFeature {
            evidence,
            ends: ends.collect(),
        }
    });
    parts.filter(|part| !part.ends.is_empty()).collect()
}
