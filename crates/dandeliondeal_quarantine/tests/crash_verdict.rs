//! Properties of the decision which parts are to blame, for arbitrary evidence.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_quarantine::{
    CrashSettings, FeatureEvidence, FeatureKey, FeatureVerdict, ProcessEnd, RunStage, find_verdicts,
};

/// Evidence about one part: which of eight processes ended under it, and how.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct GeneratedPart {
    processes: u8,
    begun: u8,
    session: u8,
    is_proven: bool,
    other_answers: u8,
    is_rare: bool,
}

fn build_evidence(parts: &[GeneratedPart], first_end: Instant) -> Vec<FeatureEvidence> {
    let build = |(index, part): (usize, &GeneratedPart)| {
        let processes = (0..8_u64).filter(|process| part.processes & (1 << process) != 0);
        let ends = processes.map(|process| ProcessEnd {
            process: format!("process-{process}").into(),
            at: first_end + Duration::from_millis(300 * (8 - process)),
            session: (u64::from(part.session) >> process) & 3,
            stage: if part.begun & (1 << process) != 0 {
                RunStage::Head
            } else {
                RunStage::Waiting
            },
            is_confirmed: true,
        });
        FeatureEvidence {
            key: FeatureKey::new(&"drafting".into(), &format!("part-{index}").into()),
            ends: ends.collect(),
            is_proven: part.is_proven,
            other_answers: u32::from(part.other_answers),
            is_rare: part.is_rare,
        }
    };
    parts.iter().take(12).enumerate().map(build).collect()
}

/// Guards against verdicts on too little evidence, verdicts that share ends, and verdicts that
/// differ between instances with the same evidence.
#[test]
fn arbitrary_evidence() {
    let settings = CrashSettings::default();
    let first_end = Instant::now();
    let now = first_end + Duration::from_secs(10);
    bolero::check!()
        .with_type::<Vec<GeneratedPart>>()
        .for_each(|parts| {
            let mut evidence = build_evidence(parts, first_end);
            let verdicts = find_verdicts(&evidence, &[], &settings, now);
            let mut explained = BTreeSet::new();
            for verdict in &verdicts {
                check_verdict(verdict, &evidence, &settings);
                for process in &verdict.processes {
                    assert!(
                        explained.insert(process.clone()),
                        "{process} explained twice"
                    );
                }
            }
            evidence.reverse();
            assert_eq!(
                find_key_sets(&find_verdicts(&evidence, &[], &settings, now)),
                find_key_sets(&verdicts)
            );
            // What is known already is not found again for other parts.
            let again = find_verdicts(&evidence, &verdicts, &settings, now);
            let known: BTreeSet<&FeatureKey> =
                verdicts.iter().map(|verdict| &verdict.key).collect();
            assert!(again.iter().all(|verdict| known.contains(&verdict.key)));
        });
}

fn check_verdict(verdict: &FeatureVerdict, evidence: &[FeatureEvidence], settings: &CrashSettings) {
    let part = evidence
        .iter()
        .find(|part| part.key == verdict.key)
        .expect("evidence");
    assert!(verdict.processes.len() >= settings.unproven_ends);
    if part.is_proven {
        assert!(verdict.processes.len() >= settings.proven_ends);
        assert!(part.is_rare || part.other_answers >= settings.min_other_answers);
    }
    let ended = |part: &FeatureEvidence| -> BTreeSet<_> {
        part.ends.iter().map(|end| end.process.clone()).collect()
    };
    let processes: BTreeSet<_> = verdict.processes.iter().cloned().collect();
    assert!(ended(part).is_superset(&processes));
    // Prompts that lack a part under which all these processes ended are not refused.
    for companion in &verdict.companions {
        let other = evidence.iter().find(|part| part.key.feature == *companion);
        assert!(ended(other.expect("evidence")).is_superset(&processes));
    }
}

fn find_key_sets(verdicts: &[FeatureVerdict]) -> BTreeSet<(FeatureKey, BTreeSet<String>)> {
    let parts =
        |verdict: &FeatureVerdict| verdict.companions.iter().map(ToString::to_string).collect();
    verdicts
        .iter()
        .map(|verdict| (verdict.key.clone(), parts(verdict)))
        .collect()
}
