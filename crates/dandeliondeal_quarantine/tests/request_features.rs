//! What one instance concludes from ends under copies of a request, and which ends it believes.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_quarantine::{
    CrashReport, CrashSettings, CrashTable, RequestIdentity, RequestStanding, RunStage,
    SuspectRequest,
};
use dandeliondeal_types::{FeatureId, OrganisationId, ServiceId};

/// Table with a clock and short calls; features are separated by spaces.
struct TestTable {
    table: CrashTable,
    service: ServiceId,
    now: Instant,
}

impl TestTable {
    fn new() -> Self {
        Self {
            table: CrashTable::default(),
            service: "orders".into(),
            now: Instant::now() + Duration::from_secs(1_000),
        }
    }

    /// Creates two tables with the same time.
    fn pair() -> (Self, Self) {
        let (one, mut other) = (Self::new(), Self::new());
        other.now = one.now;
        (one, other)
    }

    fn wait(&mut self, time_ms: u64) {
        self.now += Duration::from_millis(time_ms);
        self.table.refresh(self.now);
    }

    fn end(&mut self, process: &str, features: &str, is_confirmed: bool) {
        self.end_run(process, features, true, is_confirmed);
    }

    fn end_run(&mut self, process: &str, features: &str, has_begun: bool, is_confirmed: bool) {
        let features = list(features);
        let suspect = SuspectRequest {
            service: &self.service,
            features: &features,
            session: 7,
            stage: if has_begun {
                RunStage::Head
            } else {
                RunStage::Waiting
            },
        };
        self.table
            .record_end(&process.into(), suspect, is_confirmed, self.now);
    }

    fn answer(&mut self, features: &str) {
        self.table
            .record_answer(&self.service, &list(features), self.now);
    }

    /// Records an answer over a connection that was open for a while.
    fn contact(&mut self, process: &str, open_ms: u64) {
        let open_time = Duration::from_millis(open_ms);
        let since = self.now.checked_sub(open_time).expect("a later time");
        self.table.record_contact(&process.into(), since, self.now);
    }

    fn standing(&self, features: &str) -> RequestStanding {
        self.table.standing(&self.service, &list(features))
    }

    /// Reports to another table through the wire format.
    fn report_to(&self, other: &mut Self) {
        let text = serde_json::to_string(&self.table.report(self.now)).expect("a report");
        let report: CrashReport = serde_json::from_str(&text).expect("the same report");
        other.table.add_report(&report, other.now);
    }
}

fn list(features: &str) -> Vec<FeatureId> {
    features.split(' ').map(FeatureId::from).collect()
}

const IDENTITY: RequestIdentity<'_> = RequestIdentity {
    method: "GET",
    host: "desk.example",
    path: "/status/7?x=1",
    organisation: None,
    body: b"",
};

#[test]
fn distinct_fingerprints() {
    let organisation: OrganisationId = "workshop".into();
    let variants = [
        IDENTITY,
        RequestIdentity {
            method: "POST",
            ..IDENTITY
        },
        RequestIdentity {
            host: "other.example",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/status/7?x=2",
            ..IDENTITY
        },
        RequestIdentity {
            organisation: Some(&organisation),
            ..IDENTITY
        },
        RequestIdentity {
            body: b"x",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/status/7?x=",
            body: b"1",
            ..IDENTITY
        },
    ];
    let prints: BTreeSet<FeatureId> = variants.iter().map(RequestIdentity::fingerprint).collect();
    assert_eq!(prints.len(), variants.len());
    let shouted = RequestIdentity {
        host: "Desk.Example",
        ..IDENTITY
    };
    assert_eq!(shouted.fingerprint(), IDENTITY.fingerprint());
}

/// Guards against copies of one request that end process after process, as they are one session.
#[test]
fn copies_of_request() {
    let mut test = TestTable::new();
    for process in ["one", "two", "three"] {
        assert_ne!(test.standing("request:7"), RequestStanding::Quarantined);
        test.end(process, "request:7", true);
        test.wait(100);
    }
    test.wait(500);
    assert_eq!(test.standing("request:7"), RequestStanding::Quarantined);
    assert_eq!(test.standing("request:8"), RequestStanding::Sound);
}

/// Guards against a request that is refused because it ran on every replica when all were lost.
#[test]
fn hot_key() {
    let mut test = TestTable::new();
    test.answer("request:hot");
    test.wait(50);
    for process in ["one", "two", "three", "four", "five", "six"] {
        test.end(process, "request:hot", true);
    }
    test.wait(3_000);
    assert_eq!(test.standing("request:hot"), RequestStanding::Sound);
}

/// Guards against verdicts from an instance that lost its links, to which all processes seem to end.
#[test]
fn unconfirmed_ends() {
    let mut test = TestTable::new();
    for process in ["one", "two", "three", "four", "five"] {
        test.end(process, "request:7", false);
        test.wait(400);
    }
    assert_eq!(test.standing("request:7"), RequestStanding::Sound);
}

/// Guards against a service whose replicas all end, so that none is left to show that the last end
/// was real: a process that is started in its place shows it, or the other ends do.
#[test]
fn whole_service() {
    let (mut test, mut peer) = TestTable::pair();
    test.end("one", "request:7", true);
    test.end("two", "request:7", false);
    test.end("three", "request:7", false);
    test.wait(3_000);
    peer.wait(3_000);
    assert_eq!(test.standing("request:7"), RequestStanding::Suspect);
    test.report_to(&mut peer);
    for table in [&mut test, &mut peer] {
        table.table.confirm_end(&"three".into(), table.now);
        assert_eq!(table.standing("request:7"), RequestStanding::Quarantined);
    }
    // News of the end may arrive after that of the new process.
    let mut late = TestTable::new();
    late.now = test.now;
    late.table.confirm_end(&"four".into(), late.now);
    late.end("four", "request:9", false);
    assert_eq!(late.standing("request:9"), RequestStanding::Suspect);
}

/// Guards against ends that are believed although the processes answer others, and against a verdict
/// on them that comes back with reports under way.
#[test]
fn refuted_ends() {
    let (mut test, mut peer) = TestTable::pair();
    for process in ["one", "two", "three"] {
        test.end(process, "request:7", true);
    }
    test.wait(800);
    peer.wait(800);
    assert_eq!(test.standing("request:7"), RequestStanding::Quarantined);
    test.report_to(&mut peer);
    assert_eq!(peer.standing("request:7"), RequestStanding::Quarantined);
    let stale = test.table.report(test.now);
    peer.contact("two", 900);
    assert_ne!(peer.standing("request:7"), RequestStanding::Quarantined);
    peer.report_to(&mut test);
    assert_ne!(test.standing("request:7"), RequestStanding::Quarantined);
    for table in [&mut test, &mut peer] {
        table.table.add_report(&stale, table.now);
        table.wait(1_000);
        assert_ne!(table.standing("request:7"), RequestStanding::Quarantined);
    }
    // A later end of the same process counts.
    peer.end("two", "request:7", true);
    peer.wait(600);
    assert_eq!(peer.standing("request:7"), RequestStanding::Quarantined);
}

/// Guards against ends that answers of the processes started in the same places withdrew, before
/// their registrations were known.
#[test]
fn restarted_processes() {
    let (mut test, mut peer) = TestTable::pair();
    for process in ["one", "two", "three"] {
        test.end(process, "request:7", true);
        for table in [&mut test, &mut peer] {
            table.wait(700);
            table.contact(process, 100);
        }
        test.report_to(&mut peer);
        peer.report_to(&mut test);
    }
    for table in [&mut test, &mut peer] {
        assert_eq!(table.standing("request:7"), RequestStanding::Quarantined);
    }
    // An uncertain end is withdrawn by any later answer.
    test.end("four", "request:9", false);
    test.wait(700);
    test.contact("four", 0);
    test.table.confirm_end(&"four".into(), test.now);
    assert_eq!(test.standing("request:9"), RequestStanding::Sound);
}

/// Guards against a deadly request that is displaced by those that only waited at ended endpoints.
#[test]
fn crowded_endpoints() {
    let mut test = TestTable::new();
    for process in ["one", "two", "three"] {
        test.end(process, "request:7", true);
        for index in 0..300 {
            let waiting = format!("request:{process}-{index}");
            test.end_run(process, &waiting, false, true);
        }
        test.wait(1_000);
    }
    assert_eq!(test.standing("request:7"), RequestStanding::Quarantined);
    let mut total = CrashReport::default();
    let mut crowd = TestTable::new();
    for index in 0..300 {
        crowd.end_run("one", &format!("request:crowd-{index}"), false, true);
    }
    for _ in 0..4 {
        total.add(&crowd.table.report(crowd.now));
    }
    total.add(&test.table.report(test.now));
    assert!(
        total
            .parts
            .iter()
            .any(|claim| &*claim.key.feature == "request:7")
    );
}

/// Guards against a blame of copies that hides the part of their prompts which other requests share.
#[test]
fn part_after_copies() {
    let mut test = TestTable::new();
    for process in ["one", "two", "three"] {
        test.end(process, "bad request:7", true);
        test.wait(300);
    }
    assert_eq!(test.standing("bad request:7"), RequestStanding::Quarantined);
    assert_ne!(test.standing("bad request:8"), RequestStanding::Quarantined);
    for (index, process) in ["four", "five"].into_iter().enumerate() {
        let features = format!("bad request:{}", 10 + index);
        test.end(process, &features, true);
        test.wait(300);
    }
    assert_eq!(
        test.standing("bad request:99"),
        RequestStanding::Quarantined
    );
}

/// Guards against memory that grows with the number of different requests.
#[test]
fn invented_requests() {
    let settings = CrashSettings::default();
    let mut test = TestTable::new();
    for process in ["one", "two"] {
        test.end(process, "request:7", true);
    }
    for index in 0..100_000 {
        test.table.record_answer(
            &test.service,
            &[format!("request:{index}-").into()],
            test.now,
        );
    }
    assert!(test.table.len() <= settings.max_features);
    test.end("three", "request:7", true);
    test.wait(600);
    assert_eq!(test.standing("request:7"), RequestStanding::Quarantined);
}

/// Step of an arbitrary history.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum HistoryStep {
    End {
        process: u8,
        request: u8,
        is_confirmed: bool,
    },
    Replaced {
        process: u8,
    },
    Contact {
        process: u8,
    },
    Answer {
        request: u8,
    },
    Wait {
        time: u8,
    },
}

/// Guards against a refusal that rests on fewer than three processes which ended under the request
/// since its last answer, two of them certainly, whatever happened in which order.
#[test]
fn arbitrary_history() {
    bolero::check!()
        .with_type::<Vec<HistoryStep>>()
        .for_each(|steps| check_history(steps));
}

fn check_history(steps: &[HistoryStep]) {
    let mut test = TestTable::new();
    let mut replaced = BTreeSet::new();
    // Ends under each request since its last answer, with whether they were confirmed at once.
    let mut ends: HashMap<u8, BTreeSet<(u8, bool)>> = HashMap::new();
    for step in steps.iter().take(80) {
        test.now += Duration::from_millis(1);
        match *step {
            HistoryStep::End {
                process,
                request,
                is_confirmed,
            } => {
                let (process, request) = (process % 8, request % 3);
                test.end(
                    &format!("process-{process}"),
                    &format!("request:{request}"),
                    is_confirmed,
                );
                ends.entry(request)
                    .or_default()
                    .insert((process, is_confirmed));
            }
            HistoryStep::Replaced { process } => {
                let name = format!("process-{}", process % 8);
                test.table.confirm_end(&name.into(), test.now);
                replaced.insert(process % 8);
            }
            HistoryStep::Contact { process } => {
                test.contact(&format!("process-{}", process % 8), 30_000);
            }
            HistoryStep::Answer { request } => {
                test.answer(&format!("request:{}", request % 3));
                ends.remove(&(request % 3));
            }
            HistoryStep::Wait { time } => test.wait(u64::from(time) * 10),
        }
        for request in 0..3 {
            let seen = ends.get(&request).into_iter().flatten();
            let processes: BTreeSet<u8> = seen.clone().map(|(process, _)| *process).collect();
            let confirmed =
                seen.filter(|(process, is_confirmed)| *is_confirmed || replaced.contains(process));
            let confirmed: BTreeSet<u8> = confirmed.map(|(process, _)| *process).collect();
            let standing = test.standing(&format!("request:{request}"));
            assert!(
                standing != RequestStanding::Quarantined
                    || (processes.len() >= 3 && confirmed.len() >= 2),
                "request {request} refused with {processes:?}, confirmed {confirmed:?}"
            );
        }
    }
}
