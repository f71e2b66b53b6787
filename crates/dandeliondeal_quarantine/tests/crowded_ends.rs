//! Deadly requests that end busy processes, under which many sound requests run.

use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{
    CrashReport, CrashTable, RequestStanding, RunStage, SuspectRequest,
};
use dandeliondeal_types::{FeatureId, ServiceId};

const INSTANCE_COUNT: usize = 9;
/// Sound requests that a process has begun to answer when it ends.
const SOUND_COUNT: u64 = 60;
/// Time between two exchanges of reports.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

struct BusyFleet {
    tables: Vec<CrashTable>,
    service: ServiceId,
    now: Instant,
    process_count: u64,
    request_count: u64,
}

impl BusyFleet {
    fn new() -> Self {
        Self {
            tables: vec![CrashTable::default(); INSTANCE_COUNT],
            service: "drafting".into(),
            now: Instant::now() + Duration::from_mins(10),
            process_count: 0,
            request_count: 0,
        }
    }

    /// Ends a process under sound requests of all instances, and under one of these features.
    fn end_process(&mut self, feature: Option<&str>) {
        self.process_count += 1;
        let process = format!("process-{}", self.process_count).into();
        for index in 0..=SOUND_COUNT {
            self.request_count += 1;
            let instance = usize::try_from(self.request_count).unwrap_or(0) % INSTANCE_COUNT;
            let own = format!("request:{}", self.request_count);
            let is_deadly = index == SOUND_COUNT / 2;
            let name = feature.filter(|_| is_deadly).unwrap_or(&own);
            let features = [FeatureId::from(name)];
            let suspect = SuspectRequest {
                service: &self.service,
                features: &features,
                session: self.request_count,
                stage: RunStage::Events,
            };
            let is_confirmed = true;
            self.tables[instance].record_ends(&process, &[suspect], is_confirmed, self.now);
        }
    }

    fn pass_time(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += EXCHANGE_INTERVAL;
            let mut total = CrashReport::default();
            for table in &self.tables {
                total.add(&table.report(self.now));
            }
            for table in &mut self.tables {
                table.refresh(self.now);
                table.add_report(&total, self.now);
            }
        }
    }

    fn refusals(&self, feature: &str) -> usize {
        let features = [FeatureId::from(feature)];
        let standings = self.tables.iter();
        let standings = standings.map(|table| table.standing(&self.service, &features));
        standings
            .filter(|standing| *standing == RequestStanding::Quarantined)
            .count()
    }
}

/// Guards against a deadly request whose ends are displaced by those of the sound requests that the
/// same processes, and others that end meanwhile, were answering.
#[test]
fn busy_processes() {
    let mut fleet = BusyFleet::new();
    for _ in 0..3 {
        fleet.end_process(Some("request:deadly"));
        fleet.pass_time(Duration::from_secs(2));
        fleet.end_process(None);
        fleet.pass_time(Duration::from_secs(2));
    }
    assert_eq!(fleet.refusals("request:deadly"), INSTANCE_COUNT);
    let sound = (1..=fleet.request_count).map(|index| fleet.refusals(&format!("request:{index}")));
    assert_eq!(sound.sum::<usize>(), 0);
}

/// Guards against several deadly requests at the same time of which only some are refused.
#[test]
fn many_deadly() {
    let mut fleet = BusyFleet::new();
    for _ in 0..3 {
        for deadly in 0..12 {
            fleet.end_process(Some(&format!("request:deadly-{deadly}")));
            fleet.pass_time(Duration::from_millis(250));
        }
    }
    fleet.pass_time(Duration::from_secs(2));
    for deadly in 0..12 {
        let refusals = fleet.refusals(&format!("request:deadly-{deadly}"));
        assert_eq!(refusals, INSTANCE_COUNT, "deadly request {deadly}");
    }
}
