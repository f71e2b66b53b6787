//! What is known of the crashes and answers under one feature of requests.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{FeatureId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::held_runs::RunStage;
use crate::request_fingerprint::is_fingerprint;

/// Id of an endpoint's process; a restarted endpoint has a new one.
pub type ProcessId = Arc<str>;

/// Feature of the requests that a service receives.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FeatureKey {
    /// Service whose endpoints run the requests.
    pub service: ServiceId,
    /// Part of the prompts, or fingerprint of the requests.
    #[serde(rename = "part")]
    pub feature: FeatureId,
}

impl FeatureKey {
    /// Creates the key of a feature.
    pub fn new(service: &ServiceId, feature: &FeatureId) -> Self {
        Self {
            service: ServiceId::clone(service),
            feature: FeatureId::clone(feature),
        }
    }
}

/// End of an endpoint's process while it held a request that it had not answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessEnd {
    /// Process that ended.
    pub process: ProcessId,
    /// Time of the end.
    pub at: Instant,
    /// Hash that tells different requests apart.
    pub session: u64,
    /// How far the answer to the request had come.
    pub stage: RunStage,
    /// Whether it is certain that the process ended; otherwise the instance that reported it may
    /// have lost its links.
    pub is_confirmed: bool,
}

/// Returns the processes that were about to begin an answer when they ended.
pub(crate) fn head_processes<'end>(
    ends: impl Iterator<Item = &'end ProcessEnd>,
) -> HashSet<&'end ProcessId> {
    let heads = ends.filter(|end| end.stage == RunStage::Head);
    heads.map(|end| &end.process).collect()
}

/// Evidence about one feature.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeatureEvidence {
    /// The part.
    pub key: FeatureKey,
    /// Ends of processes under this part since the last answer under it.
    pub ends: Vec<ProcessEnd>,
    /// Whether an answer under this part is known.
    pub is_proven: bool,
    /// Number of answers to prompts of the service without this part since the first end.
    pub other_answers: u32,
    /// Whether few of the service's answers were given under this part.
    pub is_rare: bool,
}

impl FeatureEvidence {
    /// Returns whether an end counts even if the process was about to begin other answers.
    ///
    /// A process is often in the midst of answers under a part that is answered elsewhere.
    pub(crate) fn is_telling(&self, end: &ProcessEnd) -> bool {
        match end.stage {
            RunStage::Head => true,
            RunStage::Events => !self.is_proven || is_fingerprint(&self.key.feature),
            RunStage::Waiting => false,
        }
    }
}

/// Limits of the evidence, and how much of it is required.
#[derive(Clone, Debug)]
pub struct CrashSettings {
    /// Number of ended processes from which a part without a known answer is blamed, if they were about
    /// to begin an answer under it; for a fingerprint also if they had sent events.
    pub unproven_ends: usize,
    /// Number of ended processes from which such a part is blamed if they had sent events.
    pub writing_ends: usize,
    /// Minimum number of moments at which these ended.
    pub writing_moments: usize,
    /// Number of certain ends in the midst of answers from which copies of a request do not run
    /// twice.
    pub suspect_ends: usize,
    /// Number of ended processes from which a part that was answered before is blamed, if a process
    /// had begun a response under it.
    pub proven_ends: usize,
    /// Number of ended processes from which a part is blamed under which none had begun a response.
    pub waiting_ends: usize,
    /// Number of certain ends under a feature from which its uncertain ones count as well.
    pub min_confirmed_ends: usize,
    /// Time within which processes count as ended together, unless a process had begun a response
    /// under a part without a known answer.
    pub joint_time: Duration,
    /// Minimum time between the first and the last end, with the same exception.
    pub min_span: Duration,
    /// Minimum number of answers to other prompts meanwhile, with the same exception.
    ///
    /// Not required for a part that few prompts have, as long as responses begin: in an outage of all
    /// engines nothing is answered.
    pub min_other_answers: u32,
    /// Maximum share of the answers under a part that few prompts have.
    pub rare_share: f64,
    /// Minimum number of different requests under which processes ended, below `proven_ends` ends.
    pub min_sessions: usize,
    /// Time until the first end of a part counts, in which other instances report their answers.
    pub settle_time: Duration,
    /// Time for which an end is kept.
    pub end_max_age: Duration,
    /// Maximum number of parts with ends.
    pub max_features: usize,
    /// Maximum number of ends that are kept for a part, the latest ones.
    pub max_ends: usize,
    /// Maximum number of parts in a report.
    pub max_reported_features: usize,
    /// Time for which a part with a single end is reported, by the instance that saw the end; the
    /// others remember it.
    pub single_report_time: Duration,
    /// Maximum number of processes that are remembered as ended or as still running.
    pub max_processes: usize,
    /// Time after a reported end from which an answer proves that the process still runs; it covers
    /// the delay of reports and of answers that a slow instance reads late.
    pub contact_margin: Duration,
    /// Maximum number of verdicts.
    pub max_verdicts: usize,
    /// Minimum number of answered parts that are remembered.
    pub answer_capacity: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            unproven_ends: 3,
            writing_ends: 5,
            writing_moments: 2,
            suspect_ends: 2,
            proven_ends: 5,
            waiting_ends: 5,
            min_confirmed_ends: 2,
            joint_time: Duration::from_millis(100),
            min_span: Duration::from_secs(1),
            min_other_answers: 3,
            rare_share: 0.05,
            min_sessions: 2,
            settle_time: Duration::from_millis(500),
            end_max_age: Duration::from_mins(2),
            max_features: 1_024,
            max_ends: 8,
            max_reported_features: 64,
            single_report_time: Duration::from_millis(1_500),
            max_processes: 64,
            contact_margin: Duration::from_millis(500),
            max_verdicts: 64,
            answer_capacity: 2_048,
        }
    }
}
