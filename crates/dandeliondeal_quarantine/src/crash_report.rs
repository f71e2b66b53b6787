//! Evidence and verdicts as instances report them to one another.
//!
//! Times are ages in milliseconds, as the clocks of instances differ.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::ops::Not;
use std::time::{Duration, Instant};

use dandeliondeal_types::FeatureId;
use serde::{Deserialize, Serialize};

use crate::crash_evidence::{FeatureKey, ProcessId};
use crate::held_runs::RunStage;

/// Maximum number of parts that are kept of several reports.
const MAX_MERGED_PARTS: usize = 128;
/// Maximum number of verdicts, and of running processes, that are kept of several reports.
const MAX_MERGED: usize = 64;
/// Maximum number of ends that are kept for a part of several reports.
const MAX_MERGED_ENDS: usize = 16;

/// Reported end of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndClaim {
    /// Process that ended.
    pub process: ProcessId,
    /// Time since the end, in milliseconds.
    pub age_ms: u64,
    /// Hash of the prompt's own part.
    pub session: u64,
    /// Whether the process was about to begin the answer to the request.
    pub has_begun: bool,
    /// Whether the process had sent events of the answer.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub is_writing: bool,
    /// Whether it is certain that the process ended.
    #[serde(default = "is_confirmed_by_default")]
    pub is_confirmed: bool,
}

impl EndClaim {
    /// Returns how far the answer had come.
    pub(crate) fn stage(&self) -> RunStage {
        match (self.has_begun, self.is_writing) {
            (true, _) => RunStage::Head,
            (false, true) => RunStage::Events,
            (false, false) => RunStage::Waiting,
        }
    }
}

/// Instances of earlier versions report only ends that they count.
fn is_confirmed_by_default() -> bool {
    true
}

/// Reported evidence about one part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeatureClaim {
    /// The part.
    pub key: FeatureKey,
    /// Ends of processes under this part.
    #[serde(default)]
    pub ends: Vec<EndClaim>,
    /// Time since the latest answer that the reporting instance gave under it, in milliseconds.
    #[serde(default)]
    pub answered_ms: Option<u64>,
}

/// Reported verdict.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VerdictClaim {
    /// Part that is blamed.
    pub key: FeatureKey,
    /// Parts that requests must have as well to be refused.
    #[serde(default)]
    pub companions: Vec<FeatureId>,
    /// Processes that ended under the part.
    #[serde(default)]
    pub processes: Vec<ProcessId>,
    /// Time since the last of them ended, in milliseconds.
    pub age_ms: u64,
    /// Whether the verdict is known to have been stored.
    #[serde(default)]
    pub is_stored: bool,
}

/// Report of an instance, or of several ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Evidence by part.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<FeatureClaim>,
    /// Verdicts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub verdicts: Vec<VerdictClaim>,
    /// Processes that answered after their end was reported, with the time since, in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub running: BTreeMap<ProcessId, u64>,
    /// Times since which these processes certainly ran, in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub running_since: BTreeMap<ProcessId, u64>,
}

impl CrashReport {
    /// Returns whether the report holds nothing.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.verdicts.is_empty() && self.running.is_empty()
    }

    /// Adds another report.
    pub fn add(&mut self, other: &Self) {
        if !other.parts.is_empty() {
            let indices = self.parts.iter().map(|claim| claim.key.clone()).zip(0..);
            let indices: HashMap<FeatureKey, usize> = indices.collect();
            for claim in &other.parts {
                if let Some(index) = indices.get(&claim.key) {
                    self.parts[*index].add(claim);
                } else {
                    self.parts.push(claim.clone());
                }
            }
            keep_heaviest(&mut self.parts, MAX_MERGED_PARTS);
        }
        for (process, age_ms) in &other.running {
            let known = self.running.get(process);
            // The times of one process come from one answer, the latest.
            let is_kept = known.map_or(self.running.len() < MAX_MERGED, |known| age_ms < known);
            if is_kept {
                self.running.insert(ProcessId::clone(process), *age_ms);
                self.running_since.remove(process);
                if let Some(since_ms) = other.running_since.get(process) {
                    let process = ProcessId::clone(process);
                    self.running_since.insert(process, *since_ms);
                }
            }
        }
        for claim in &other.verdicts {
            let known = self
                .verdicts
                .iter()
                .position(|known| known.key == claim.key);
            if let Some(index) = known {
                self.verdicts[index].add(claim);
            } else if self.verdicts.len() < MAX_MERGED {
                self.verdicts.push(claim.clone());
            }
        }
    }

    /// Adds time that passed since the report was made.
    pub fn add_age(&mut self, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let add = |value: &mut u64| *value = value.saturating_add(age_ms);
        for claim in &mut self.parts {
            claim.ends.iter_mut().for_each(|end| add(&mut end.age_ms));
            claim.answered_ms.iter_mut().for_each(add);
        }
        for claim in &mut self.verdicts {
            add(&mut claim.age_ms);
        }
        let running = self.running.values_mut();
        running.chain(self.running_since.values_mut()).for_each(add);
    }
}

/// Keeps the claims that tell most: those with several ends or with an answer, then those with most
/// ends under begun answers, then most ends, then the latest ones.
///
/// The sound requests that an ended process held are many, and must not displace the one that ended
/// it.
pub(crate) fn keep_heaviest(claims: &mut Vec<FeatureClaim>, count: usize) {
    claims.sort_by(|one, other| {
        let order = other.weight().cmp(&one.weight());
        order.then_with(|| one.key.cmp(&other.key))
    });
    claims.truncate(count);
}

impl FeatureClaim {
    fn weight(&self) -> (bool, usize, usize, Option<Reverse<u64>>) {
        let is_telling = self.answered_ms.is_some() || self.ends.len() > 1;
        let begun = self.ends.iter().filter(|end| end.stage().has_begun());
        let latest = self.ends.iter().map(|end| end.age_ms).min();
        (
            is_telling,
            begun.count(),
            self.ends.len(),
            latest.map(Reverse),
        )
    }

    fn add(&mut self, other: &Self) {
        let mut ends: BTreeMap<ProcessId, EndClaim> = BTreeMap::new();
        for end in self.ends.drain(..).chain(other.ends.iter().cloned()) {
            let known = ends.entry(ProcessId::clone(&end.process));
            let known = known.or_insert_with(|| end.clone());
            // Each hop loses the time on the way, so the highest age is the most exact.
            known.age_ms = known.age_ms.max(end.age_ms);
            known.has_begun |= end.has_begun;
            known.is_writing |= end.is_writing;
            known.is_confirmed |= end.is_confirmed;
        }
        self.ends = ends.into_values().collect();
        self.ends.sort_by_key(|end| end.age_ms);
        self.ends.truncate(MAX_MERGED_ENDS);
        let answers = [self.answered_ms, other.answered_ms];
        self.answered_ms = answers.into_iter().flatten().min();
    }
}

impl VerdictClaim {
    fn add(&mut self, other: &Self) {
        self.companions
            .retain(|part| other.companions.contains(part));
        self.age_ms = self.age_ms.min(other.age_ms);
        self.is_stored |= other.is_stored;
    }
}

/// Returns the time since `at` in milliseconds.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
