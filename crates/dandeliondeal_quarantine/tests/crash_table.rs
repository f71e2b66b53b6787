//! What one instance concludes from crashes and answers, its own and those of others.

use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{
    CrashReport, CrashSettings, CrashTable, FeatureKey, FeatureVerdict, RequestStanding, RunStage,
    SuspectRequest,
};
use dandeliondeal_types::{FeatureId, ServiceId};

/// Table with a clock and short calls.
struct TestTable {
    table: CrashTable,
    service: ServiceId,
    now: Instant,
}

impl TestTable {
    fn new() -> Self {
        Self {
            table: CrashTable::default(),
            service: "drafting".into(),
            now: Instant::now() + Duration::from_secs(1_000),
        }
    }

    fn wait(&mut self, time_ms: u64) {
        self.now += Duration::from_millis(time_ms);
        self.table.refresh(self.now);
    }

    fn end(&mut self, process: &str, parts: &str, session: u64, has_begun: bool) {
        let parts = part_list(parts);
        let prompt = SuspectRequest {
            service: &self.service,
            features: &parts,
            session,
            stage: if has_begun {
                RunStage::Head
            } else {
                RunStage::Waiting
            },
        };
        self.table
            .record_end(&process.into(), prompt, true, self.now);
    }

    /// Records ends of different processes under different requests, a second apart.
    fn ends(&mut self, parts: &str, count: u64) {
        for index in 0..count {
            self.end(&format!("process-{index}-{parts}"), parts, index, true);
            self.wait(1_000);
        }
    }

    fn answer(&mut self, parts: &str) {
        self.table
            .record_answer(&self.service, &part_list(parts), self.now);
    }

    fn standing(&self, parts: &str) -> RequestStanding {
        self.table.standing(&self.service, &part_list(parts))
    }

    fn key(&self, part: &str) -> FeatureKey {
        FeatureKey::new(&self.service, &part.into())
    }

    /// Reports to another table through the wire format.
    fn report_to(&self, other: &mut Self) {
        let text = serde_json::to_string(&self.table.report(self.now)).expect("a report");
        let report: CrashReport = serde_json::from_str(&text).expect("the same report");
        other.table.add_report(&report, other.now);
    }
}

fn part_list(parts: &str) -> Vec<FeatureId> {
    parts.split(' ').map(FeatureId::from).collect()
}

#[test]
fn third_end() {
    let mut test = TestTable::new();
    test.answer("first");
    test.ends("first bad", 2);
    assert_eq!(test.standing("first bad"), RequestStanding::Suspect);
    assert_eq!(test.standing("first"), RequestStanding::Sound);
    test.end("third", "other bad", 9, true);
    assert_eq!(test.standing("first bad"), RequestStanding::Quarantined);
    assert_eq!(test.standing("unseen bad"), RequestStanding::Quarantined);
    assert_eq!(test.standing("first"), RequestStanding::Sound);
    assert_eq!(test.standing("other"), RequestStanding::Suspect);
}

/// Guards against a part that is blamed although it is answered between the crashes.
#[test]
fn answered_part() {
    let mut test = TestTable::new();
    for _ in 0..4 {
        test.ends("first busy", 2);
        test.answer("first busy");
        assert_eq!(test.standing("first busy"), RequestStanding::Sound);
    }
}

/// Guards against a prompt that is blamed because one request met several failing engines.
#[test]
fn single_session() {
    let mut test = TestTable::new();
    for process in ["one", "two", "three", "four"] {
        test.end(process, "first rare", 7, true);
        test.wait(1_000);
    }
    assert_eq!(test.standing("first rare"), RequestStanding::Suspect);
    test.end("five", "first rare", 7, true);
    assert_eq!(test.standing("first rare"), RequestStanding::Quarantined);
}

/// Guards against requests that are blamed although their engine had begun another response.
#[test]
fn waiting_requests() {
    let mut test = TestTable::new();
    for index in 0..4 {
        let process = format!("process-{index}");
        test.end(&process, "first queued", 10 + index, false);
        test.end(&process, "first bad", index, true);
        test.answer("first");
        test.wait(1_000);
    }
    assert_eq!(test.standing("first bad"), RequestStanding::Quarantined);
    assert_eq!(test.standing("first queued"), RequestStanding::Sound);
}

/// Guards against a sound part that is refused because only deadly prompts have had it so far.
#[test]
fn companions() {
    let mut test = TestTable::new();
    test.ends("rare bad", 3);
    assert_eq!(test.standing("rare bad"), RequestStanding::Quarantined);
    assert_ne!(test.standing("rare"), RequestStanding::Quarantined);
    assert_ne!(test.standing("bad"), RequestStanding::Quarantined);
    // An answer or an end without the other part shows which of both is deadly.
    let mut answered = TestTable::new();
    answered.ends("rare bad", 3);
    answered.answer("rare");
    assert_eq!(answered.standing("bad"), RequestStanding::Quarantined);
    assert_eq!(answered.standing("rare"), RequestStanding::Sound);
    test.end("fourth", "bad", 8, true);
    assert_eq!(test.standing("bad"), RequestStanding::Quarantined);
    assert_ne!(test.standing("rare"), RequestStanding::Quarantined);
}

/// Guards against the blame of a common part when a whole failure domain is lost.
#[test]
fn joint_ends() {
    let mut test = TestTable::new();
    test.answer("first");
    for index in 0..12 {
        test.end(&format!("process-{index}"), "first", index, true);
    }
    for _ in 0..10 {
        test.wait(100);
        test.answer("second");
        assert_eq!(test.standing("first"), RequestStanding::Sound);
    }
}

/// A part that was answered may become deadly, for example with a new release of the engines.
#[test]
fn later_deadly_part() {
    let mut test = TestTable::new();
    test.answer("first bad");
    for index in 0..5 {
        test.wait(400);
        test.end(&format!("process-{index}"), "first bad", index, true);
        test.answer("first");
    }
    assert_eq!(test.standing("first bad"), RequestStanding::Quarantined);
    assert_eq!(test.standing("first"), RequestStanding::Sound);
}

#[test]
fn old_ends() {
    let mut test = TestTable::new();
    test.ends("first bad", 2);
    test.wait(121_000);
    test.ends("second bad", 1);
    assert_eq!(test.standing("second bad"), RequestStanding::Suspect);
}

#[test]
fn two_deadly_parts() {
    let mut test = TestTable::new();
    for index in 0..3 {
        test.end(&format!("one-{index}"), "first bad", index, true);
        test.end(&format!("two-{index}"), "first worse", 10 + index, true);
        test.wait(400);
        test.answer("first");
    }
    assert_eq!(test.standing("first bad"), RequestStanding::Quarantined);
    assert_eq!(test.standing("first worse"), RequestStanding::Quarantined);
    assert_eq!(test.standing("first"), RequestStanding::Sound);
}

/// Guards against crashes that no instance counts, as each one sees few of them.
#[test]
fn shared_ends() {
    let mut tables: Vec<TestTable> = (0..3).map(|_| TestTable::new()).collect();
    for (index, test) in tables.iter_mut().enumerate() {
        test.end(&format!("process-{index}"), "first bad", index as u64, true);
    }
    let mut late = TestTable::new();
    let now = late.now;
    let mut total = CrashReport::default();
    for test in &tables {
        total.add(&test.table.report(now));
    }
    late.table.add_report(&total, now);
    late.wait(600);
    assert_eq!(late.standing("first bad"), RequestStanding::Quarantined);
    // An instance that starts later learns of the verdict, whoever is left to tell it.
    let mut later = TestTable::new();
    late.report_to(&mut later);
    assert_eq!(later.standing("first bad"), RequestStanding::Quarantined);
}

/// Guards against a verdict of an instance that lacks the answers which others know.
#[test]
fn shared_answers() {
    let mut informed = TestTable::new();
    informed.answer("first busy");
    let mut restarted = TestTable::new();
    restarted.end("one", "busy", 1, true);
    restarted.end("two", "busy", 2, true);
    restarted.end("three", "busy", 3, true);
    restarted.report_to(&mut informed);
    informed.report_to(&mut restarted);
    restarted.wait(1_000);
    assert_eq!(restarted.standing("busy"), RequestStanding::Sound);
}

#[test]
fn trial_and_lift() {
    let mut test = TestTable::new();
    test.ends("first bad", 3);
    test.answer("first");
    let parts = part_list("first bad");
    let service = test.service.clone();
    assert!(!test.table.take_trial(&service, &parts));
    test.wait(600_000);
    test.table.open_trial(&test.key("bad"));
    assert!(test.table.take_trial(&service, &parts));
    assert!(!test.table.take_trial(&service, &parts));
    // The trial crashes another engine.
    test.end("trial", "first bad", 99, true);
    assert_eq!(test.standing("first bad"), RequestStanding::Quarantined);
    let mut peer = TestTable::new();
    peer.now = test.now;
    test.report_to(&mut peer);
    assert_eq!(peer.standing("first bad"), RequestStanding::Quarantined);
    // A later trial is answered. Others serve the part again as well.
    test.wait(600_000);
    peer.wait(600_000);
    test.answer("first bad");
    assert_eq!(test.standing("first bad"), RequestStanding::Sound);
    peer.report_to(&mut test);
    assert_eq!(test.standing("first bad"), RequestStanding::Sound);
    test.report_to(&mut peer);
    assert_eq!(peer.standing("first bad"), RequestStanding::Sound);
}

#[test]
fn stored_verdict() {
    let mut test = TestTable::new();
    let verdict = FeatureVerdict {
        key: test.key("bad"),
        companions: Vec::new(),
        processes: Vec::new(),
        last_end: test.now,
        is_stored: true,
    };
    test.table.add_verdict(verdict.clone());
    assert_eq!(test.standing("first bad"), RequestStanding::Quarantined);
    let key = test.key("bad");
    test.table.lift(&key, test.now);
    test.table.add_verdict(verdict);
    assert_eq!(test.standing("first bad"), RequestStanding::Sound);
}

/// Guards against callers that fill the memory with invented ids.
#[test]
fn bounded_memory() {
    let settings = CrashSettings::default();
    let mut test = TestTable::new();
    for index in 0..10_000_u64 {
        test.answer(&format!("answered-{index}"));
        test.end(
            &format!("process-{index}"),
            &format!("part-{index}"),
            index,
            true,
        );
    }
    assert!(test.table.len() <= settings.max_features);
    let report = test.table.report(test.now);
    assert!(report.parts.len() <= settings.max_reported_features);
    for index in 0..1_000 {
        test.end(&format!("again-{index}"), "same", index, true);
    }
    let report = test.table.report(test.now);
    assert!(
        report
            .parts
            .iter()
            .all(|claim| claim.ends.len() <= settings.max_ends)
    );
}
