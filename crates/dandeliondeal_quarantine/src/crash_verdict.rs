//! Decision which parts of prompts are to blame for the ends of processes.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Instant;

use dandeliondeal_types::PromptPartId;

use crate::crash_evidence::{CrashSettings, PartEvidence, PartKey, ProcessEnd, ProcessId};

/// Requests that are refused: those with the blamed part and all of its companions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartVerdict {
    /// Part that is blamed.
    pub key: PartKey,
    /// Parts under which the same processes ended, so that they can't be told apart from it.
    pub companions: Vec<PromptPartId>,
    /// Processes whose ends the part explains.
    pub processes: Vec<ProcessId>,
    /// Time of the last of these ends.
    pub last_end: Instant,
    /// Whether the verdict is known to have been stored.
    pub is_stored: bool,
}

impl PartVerdict {
    /// Returns whether a prompt with these shared parts is refused.
    pub fn matches(&self, parts: &[PromptPartId]) -> bool {
        parts.contains(&self.key.part) && self.companions.iter().all(|part| parts.contains(part))
    }
}

/// Ends of one part that count, by process.
struct CountedPart<'evidence> {
    evidence: &'evidence PartEvidence,
    ends: Vec<&'evidence ProcessEnd>,
}

impl CountedPart<'_> {
    fn covers(&self, processes: &BTreeSet<&ProcessId>) -> bool {
        let own: BTreeSet<&ProcessId> = self.ends.iter().map(|end| &end.process).collect();
        own.is_superset(processes)
    }

    fn is_sufficient(&self, ends: &[&ProcessEnd], settings: &CrashSettings, now: Instant) -> bool {
        let times = ends.iter().map(|end| end.at);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return false;
        };
        let sessions: HashSet<u64> = ends.iter().map(|end| end.session).collect();
        let has_sessions =
            sessions.len() >= settings.min_sessions || ends.len() >= settings.proven_ends;
        let is_settled = now.saturating_duration_since(first) >= settings.settle_time;
        let has_ends = if self.evidence.is_proven {
            ends.len() >= settings.proven_ends
                && last.saturating_duration_since(first) >= settings.proven_span
                && self.evidence.other_answers >= settings.proven_other_answers
        } else {
            ends.len() >= settings.unproven_ends
        };
        has_ends && has_sessions && is_settled
    }
}

/// Returns the parts that are to blame, in the order in which they explain the ends.
///
/// `known` are earlier verdicts; the ends that they explain count only for the parts that they
/// blame. A verdict for a part that is blamed already replaces it.
pub fn find_verdicts(
    evidence: &[PartEvidence],
    known: &[PartVerdict],
    settings: &CrashSettings,
    now: Instant,
) -> Vec<PartVerdict> {
    let mut parts = count_ends(evidence, settings, now);
    // Parts without an answer come first, then those under which most processes ended.
    parts.sort_by_key(|part| {
        let evidence = part.evidence;
        (
            evidence.is_proven,
            std::cmp::Reverse(part.ends.len()),
            &evidence.key,
        )
    });
    let mut explained: HashMap<ProcessId, PartKey> = HashMap::new();
    for verdict in known {
        for process in &verdict.processes {
            explained.insert(ProcessId::clone(process), verdict.key.clone());
        }
    }
    let mut verdicts = Vec::new();
    for part in &parts {
        let key = &part.evidence.key;
        let is_own = |end: &ProcessEnd| explained.get(&end.process).is_none_or(|by| by == key);
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
        let companions = parts.iter().filter(|other| {
            let other_key = &other.evidence.key;
            other_key != key && other_key.service == key.service && other.covers(&processes)
        });
        let verdict = PartVerdict {
            key: key.clone(),
            companions: companions
                .map(|other| PromptPartId::clone(&other.evidence.key.part))
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

/// Selects the ends that count: if a process had begun responses, only the requests that it had
/// begun to answer are suspects.
fn count_ends<'evidence>(
    evidence: &'evidence [PartEvidence],
    settings: &CrashSettings,
    now: Instant,
) -> Vec<CountedPart<'evidence>> {
    let ends = evidence.iter().flat_map(|part| &part.ends);
    let begun = ends.filter(|end| end.has_begun).map(|end| &end.process);
    let begun: HashSet<&ProcessId> = begun.collect();
    let counts = |end: &ProcessEnd| {
        // Another instance may still report that the process had begun another response.
        let is_settled = now.saturating_duration_since(end.at) >= settings.settle_time;
        end.has_begun || (is_settled && !begun.contains(&end.process))
    };
    let parts = evidence.iter().map(|evidence| CountedPart {
        evidence,
        ends: evidence.ends.iter().filter(|end| counts(end)).collect(),
    });
    parts.filter(|part| !part.ends.is_empty()).collect()
}
