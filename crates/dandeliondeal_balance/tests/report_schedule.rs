//! Times of silence reports, and what a hub publishes.

use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    HubSettings, ObserverReport, ReportSchedule, SilenceHub, SilenceInference, SilenceReport,
    SilentChain,
};
use dandeliondeal_types::EndpointId;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn silent(engines: &[&str], age_ms: u32) -> SilentChain {
    SilentChain {
        engines: engines.iter().map(|engine| (*engine).into()).collect(),
        age_ms,
    }
}

/// Returns a report of a silent stream over `first` and `lost`, and of the life of `first`.
fn silence_report() -> SilenceReport {
    SilenceReport {
        silent: vec![silent(&["first", "lost"], 110)],
        alive: [("first".into(), 5)].into(),
    }
}

fn names(engines: &[EndpointId]) -> Vec<&str> {
    engines.iter().map(|engine| &**engine).collect()
}

/// Guards against more than 10 reports in any second, and against a report while nothing is silent
/// and nothing is asked, whatever happens.
#[test]
fn bounded_rate() {
    bolero::check!()
        .with_type::<Vec<(u8, bool, Option<u8>)>>()
        .for_each(|steps| {
            let mut now = Instant::now();
            let mut schedule = ReportSchedule::default();
            let mut sent: Vec<Instant> = Vec::new();
            for (time_ms, has_silences, asked_ms) in steps {
                now += ms(u64::from(*time_ms));
                schedule.set_silent(*has_silences);
                if let Some(asked_ms) = asked_ms {
                    schedule.ask(ms(u64::from(*asked_ms)), 0.5, now);
                }
                while let Some(at) = schedule.next_at(now) {
                    if at > now + ms(5) {
                        break;
                    }
                    now = now.max(at);
                    schedule.record_sent(now);
                    sent.push(now);
                    let recent = sent.iter().filter(|at| now - **at < ms(1_000));
                    assert!(recent.count() <= 10);
                    schedule.set_silent(false);
                }
            }
        });
}

/// Guards against a delay of the first report, and against a silence that is not withdrawn.
#[test]
fn single_silence() {
    let now = Instant::now();
    let mut schedule = ReportSchedule::default();
    assert_eq!(schedule.next_at(now), None);
    schedule.set_silent(true);
    assert_eq!(schedule.next_at(now), Some(now));
    schedule.record_sent(now);
    schedule.set_silent(false);
    let last = schedule.next_at(now).expect("a last report");
    assert!(last - now <= ms(100));
    schedule.record_sent(last);
    assert_eq!(schedule.next_at(last), None);
}

/// Guards against reports that go on after the hub has ceased to ask.
#[test]
fn ended_ask() {
    let now = Instant::now();
    let mut schedule = ReportSchedule::default();
    schedule.ask(ms(50), 0.0, now);
    assert_eq!(schedule.next_at(now), Some(now));
    schedule.record_sent(now);
    assert!(schedule.next_at(now + ms(10)).is_some());
    assert_eq!(schedule.next_at(now + ms(400)), None);
}

/// Guards against a suspicion of an engine whose other streams belong to members that a hub has not
/// heard, and against a second one within a second.
#[test]
fn unheard_members() {
    let now = Instant::now();
    let mut inference = SilenceInference::default();
    let mut hub = SilenceHub::new(HubSettings::default());
    for member in ["a", "b", "c", "d", "e"] {
        hub.record_member(&member.into(), now);
    }
    for member in ["a", "b"] {
        inference.add_report(member.into(), &silence_report(), now);
        hub.record_report(&member.into(), now);
    }
    assert_eq!(inference.suspects(now).len(), 1);
    assert_eq!(hub.take_suspicions(&mut inference, now), Vec::new());
    hub.record_report(&"c".into(), now);
    let suspicions = hub.take_suspicions(&mut inference, now);
    assert_eq!(suspicions.len(), 1);
    assert_eq!(&*suspicions[0].engine, "lost");
    assert_eq!(hub.take_suspicions(&mut inference, now), Vec::new());
}

/// Guards against a published suspicion that stays after the engine's first sign of life.
#[test]
fn sign_of_life() {
    let now = Instant::now();
    let mut inference = SilenceInference::default();
    let mut hub = SilenceHub::default();
    for member in ["a", "b"] {
        inference.add_report(member.into(), &silence_report(), now);
    }
    assert_eq!(hub.take_suspicions(&mut inference, now).len(), 1);
    assert_eq!(hub.take_withdrawn(&inference), Vec::<EndpointId>::new());
    let report = SilenceReport {
        alive: [("lost".into(), 10)].into(),
        ..SilenceReport::default()
    };
    inference.add_report("c".into(), &report, now + ms(50));
    assert_eq!(names(&hub.take_withdrawn(&inference)), ["lost"]);
    assert_eq!(inference.suspects(now + ms(50)), Vec::new());
}

/// Guards against a told suspicion that outlives a sign of life or its time.
#[test]
fn told_suspicion() {
    let now = Instant::now();
    let engine = EndpointId::from("lost");
    let mut inference = SilenceInference::default();
    inference.add_suspicion(&engine, now);
    assert_eq!(inference.told_suspects(now + ms(1)).count(), 1);
    assert_eq!(inference.told_suspects(now + ms(300)).count(), 0);
    inference.record_alive(&engine, now + ms(10));
    assert_eq!(inference.told_suspects(now + ms(100)).count(), 0);
}

/// Guards against evidence that hubs return to one another, which would keep a lost engine alive and
/// count a silence twice.
#[test]
fn relayed_evidence() {
    let now = Instant::now();
    let mut first = SilenceInference::default();
    first.add_report("a".into(), &silence_report(), now);
    let sums = first.sum_reports(&"hub-1".into(), now);
    assert_eq!(sums.len(), 2);
    let mut second = SilenceInference::default();
    for report in &sums {
        second.add_relayed(report, now);
    }
    assert!(second.has_silences(now));
    let returned = second.sum_reports(&"hub-2".into(), now);
    assert_eq!(returned.len(), 1);
    assert_eq!(returned[0].report, SilenceReport::default());
    // The same observer reports here as well.
    second.add_report("a".into(), &silence_report(), now);
    for report in &sums {
        second.add_relayed(report, now);
    }
    assert_eq!(second.suspects(now), Vec::new());
    let old = ObserverReport {
        age_ms: 300,
        ..sums[1].clone()
    };
    let mut third = SilenceInference::default();
    third.add_relayed(&old, now + ms(1_000));
    assert!(!third.has_silences(now + ms(1_000)));
}
