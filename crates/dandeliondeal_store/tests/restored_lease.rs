//! Leases after a restore of the store from a copy, which holds an older lease or none.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use dandeliondeal_store::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseState, LeaseTime,
};
use dandeliondeal_types::{ObjectValue, PutCondition, StoreVersion};

fn time(start: Instant, millis: u64) -> LeaseTime {
    let elapsed = Duration::from_millis(millis);
    LeaseTime {
        now: start + elapsed,
        wall: SystemTime::UNIX_EPOCH + elapsed,
    }
}

fn machine(name: &str) -> LeaseMachine {
    let settings = LeaseSettings {
        instance: name.into(),
        ..LeaseSettings::default()
    };
    LeaseMachine::new(settings).expect("a valid chart")
}

/// Acquires the lease, which nobody holds, at `version`; returns the content that was written.
fn acquire(machine: &mut LeaseMachine, version: StoreVersion, start: Instant) -> Arc<str> {
    machine.handle(LeaseEvent::Tick, time(start, 0));
    let action = machine.handle(LeaseEvent::Read(Ok(None)), time(start, 10));
    let Some(LeaseAction::Put { body, .. }) = action else {
        panic!("{action:?}");
    };
    machine.handle(LeaseEvent::Written(Ok(version)), time(start, 20));
    assert_eq!(machine.state(), LeaseState::Held);
    body
}

fn lease(version: StoreVersion, body: &Arc<str>) -> LeaseEvent {
    LeaseEvent::Read(Ok(Some(ObjectValue {
        name: "leases/orders".into(),
        version,
        body: Arc::clone(body),
    })))
}

// Guards against a holder that goes on although the restored store may hold another lease.
#[test]
fn holder_of_earlier_era() {
    let start = Instant::now();
    let mut holder = machine("a");
    acquire(&mut holder, StoreVersion::new(1, 50), start);
    assert!(holder.fencing_number(time(start, 30)).is_some());
    holder.observe_era(2);
    assert_eq!(holder.fencing_number(time(start, 40)), None);
    let action = holder.handle(LeaseEvent::Tick, time(start, 50));
    assert!(matches!(action, Some(LeaseAction::Get(_))), "{action:?}");
}

// Guards against a late answer of the earlier era that begins a term.
#[test]
fn late_answer() {
    let start = Instant::now();
    let mut holder = machine("a");
    holder.handle(LeaseEvent::Tick, time(start, 0));
    holder.handle(LeaseEvent::Read(Ok(None)), time(start, 10));
    let answer = LeaseEvent::Written(Ok(StoreVersion::new(1, 50)));
    holder.handle(answer, time(start, 20));
    holder.observe_era(2);
    assert_eq!(holder.fencing_number(time(start, 30)), None);
}

// Guards against orders that engines refuse until the revision has passed that of the earlier era.
#[test]
fn later_number_is_higher() {
    let start = Instant::now();
    let mut earlier = machine("a");
    acquire(&mut earlier, StoreVersion::new(1, 5_000_000), start);
    let earlier_number = earlier.fencing_number(time(start, 30));
    let mut later = machine("b");
    acquire(&mut later, StoreVersion::new(2, 12), start);
    let later_number = later.fencing_number(time(start, 30));
    assert!(later_number > earlier_number, "{later_number:?}");
    // A store that was never restored, or states no era, has plain revisions as numbers.
    assert_eq!(earlier_number, Some(5_000_000));
    assert_eq!(StoreVersion::from(7).fencing_number(), 7);
}

// Guards against a contender that takes a lease of the later era for the one that it has watched for a
// whole term, as both have the same revision.
#[test]
fn same_revision() {
    let start = Instant::now();
    let content = acquire(&mut machine("a"), StoreVersion::new(1, 50), start);
    let other_content = acquire(&mut machine("b"), StoreVersion::new(2, 50), start);
    let mut contender = machine("c");
    contender.handle(LeaseEvent::Tick, time(start, 0));
    contender.handle(lease(StoreVersion::new(1, 50), &content), time(start, 10));
    for step in 1..=6 {
        let millis = 10 + step * 1_900;
        contender.handle(LeaseEvent::Tick, time(start, millis));
    }
    let late = lease(StoreVersion::new(2, 50), &other_content);
    contender.handle(late, time(start, 11_500));
    assert_eq!(contender.state(), LeaseState::Waiting);
}

// Guards against a write over a lease of which this process knows only the revision in an earlier era.
#[test]
fn condition_of_write() {
    let start = Instant::now();
    let mut holder = machine("a");
    let body = acquire(&mut holder, StoreVersion::new(1, 50), start);
    holder.observe_era(2);
    holder.handle(LeaseEvent::Tick, time(start, 30));
    let copied = StoreVersion::new(2, 40);
    let action = holder.handle(lease(copied, &body), time(start, 3_100));
    if let Some(LeaseAction::Put { condition, .. }) = action {
        assert_eq!(condition, PutCondition::Version(copied));
    }
    assert!(holder.fencing_number(time(start, 3_100)) != Some(50));
}
