//! Notices of lost engines: duplicates, ages, evidence, incarnations and bounds.

use std::time::{Duration, Instant};

use dandeliondeal_relay::loss_notice::{
    LossEvidence, LossNotice, MAX_MESSAGE_NOTICES, MAX_MESSAGE_RATE, MessageRate, NOTICE_INTERVAL,
    NOTICE_LIFE, NoticeTable,
};

fn notice(engine: &str, evidence: LossEvidence, observer: &str) -> LossNotice {
    LossNotice {
        engine: engine.into(),
        incarnation: Some(1_000),
        evidence,
        observer: observer.into(),
        age_ms: 0,
        is_inferred: false,
    }
}

fn refused(engine: &str) -> LossNotice {
    notice(engine, LossEvidence::Refused, "router-1")
}

fn inferred(engine: &str) -> LossNotice {
    LossNotice {
        is_inferred: true,
        ..notice(engine, LossEvidence::Silent, "router-1")
    }
}

/// Guards against passing on what several instances observe of one loss.
#[test]
fn duplicate_notices() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    assert!(table.add(refused("a"), now));
    let other = notice("a", LossEvidence::Reset, "router-2");
    assert!(!table.add(other, now + Duration::from_millis(300)));
    assert_eq!(table.len(), 1);
}

/// Guards against a copy on a slow path that counts as a second loss.
#[test]
fn late_copy() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    assert!(table.add(refused("a"), now));
    let mut copy = refused("a");
    copy.age_ms = 1_900;
    assert!(!table.add(copy, now + Duration::from_secs(2)));
}

/// Guards against a loss that is never told because an earlier notice was false.
#[test]
fn second_loss() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    assert!(table.add(refused("a"), now));
    assert!(table.add(refused("a"), now + NOTICE_INTERVAL));
}

/// Guards against a suspicion that hides certain evidence, or follows it.
#[test]
fn stronger_evidence() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    let silent = notice("a", LossEvidence::Silent, "router-2");
    assert!(table.add(silent.clone(), now));
    assert!(table.add(refused("a"), now));
    assert!(!table.add(silent, now));
}

/// Guards against notices of an engine's former process that hide those of the present one.
#[test]
fn other_incarnation() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    assert!(table.add(refused("a"), now));
    let mut restarted = refused("a");
    restarted.incarnation = Some(2_000);
    assert!(table.add(restarted.clone(), now));
    restarted.incarnation = None;
    assert!(table.add(restarted, now));
}

/// Guards against old news from a hub that was cut off.
#[test]
fn old_notice() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    let mut old = refused("a");
    old.age_ms = u64::try_from(NOTICE_LIFE.as_millis()).expect("a short time");
    assert!(!table.add(old, now));
    assert!(table.add(refused("b"), now));
    assert!(table.since(0, now + NOTICE_LIFE).0.is_empty());
}

/// Guards against a member that is told the same twice, or misses the rest of a long list.
#[test]
fn message_batches() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    for index in 0..100 {
        table.add(refused(&format!("engine-{index}")), now);
    }
    let later = now + Duration::from_millis(40);
    let (first, seen) = table.since(0, later);
    assert_eq!(first.len(), MAX_MESSAGE_NOTICES);
    assert!(first.iter().all(|notice| notice.age_ms == 40));
    let (rest, seen) = table.since(seen, later);
    assert_eq!(rest.len(), 100 - MAX_MESSAGE_NOTICES);
    assert!(table.since(seen, later).0.is_empty());
}

/// Guards against waiting for a sequence number of a hub's former process.
#[test]
fn restarted_hub() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    table.add(refused("a"), now);
    assert_eq!(table.since(700, now).0.len(), 1);
}

/// Guards against a table that grows without bound.
#[test]
fn table_bound() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    for index in 0..5_000 {
        table.add(refused(&format!("engine-{index}")), now);
    }
    assert_eq!(table.len(), 1_024);
    assert!(table.add(refused("engine-0"), now));
}

/// Guards against more messages in a second than the bound.
#[test]
fn message_rate() {
    let now = Instant::now();
    let mut rate = MessageRate::default();
    for _ in 0..MAX_MESSAGE_RATE {
        assert_eq!(rate.reserve(now), Duration::ZERO);
    }
    assert_eq!(rate.reserve(now), Duration::from_secs(1));
    let later = now + Duration::from_millis(2_500);
    assert_eq!(rate.reserve(later), Duration::ZERO);
}

/// Guards against a message that cannot be read because a later version names other evidence.
#[test]
fn unknown_evidence() {
    let text = r#"{"engine":"a","evidence":"unplugged","observer":"router-2","more":1}"#;
    let read: LossNotice = serde_json::from_str(text).expect("a notice");
    assert_eq!(read.evidence, LossEvidence::Silent);
    assert_eq!(read.incarnation, None);
}

/// Guards against an inferred suspicion that hides the failed check that confirms it.
#[test]
fn confirmed_suspicion() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    let inferred = inferred("a");
    assert!(table.add(inferred.clone(), now));
    assert!(!table.add(inferred, now + Duration::from_millis(100)));
    let failed_check = notice("a", LossEvidence::Silent, "router-2");
    assert!(table.add(failed_check, now + Duration::from_millis(300)));
    assert_eq!(table.since(0, now + Duration::from_millis(300)).0.len(), 2);
}

/// Guards against passing on a suspicion of an engine that has delivered since, and against another
/// notice of it within a second.
#[test]
fn withdrawn_suspicion() {
    let now = Instant::now();
    let mut table = NoticeTable::default();
    let inferred = inferred("a");
    table.add(inferred.clone(), now);
    table.add(refused("b"), now);
    table.withdraw(&"a".into());
    let (notices, _) = table.since(0, now);
    assert_eq!(notices, [refused("b")]);
    assert!(!table.add(inferred, now + Duration::from_millis(400)));
}

/// Guards against a notice that an earlier version cannot read, or whose new field it lacks.
#[test]
fn earlier_version() {
    let text = serde_json::to_string(&refused("a")).expect("JSON");
    assert!(!text.contains("is_inferred"), "{text}");
    let read: LossNotice = serde_json::from_str(&text).expect("a notice");
    assert!(!read.is_inferred);
}
