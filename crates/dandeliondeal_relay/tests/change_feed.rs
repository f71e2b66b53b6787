//! Replies of a hub to the members that follow the store through it.

use std::time::{Duration, Instant};

use dandeliondeal_relay::change_feed::{ChangeFeed, FeedReply};
use dandeliondeal_types::{KindChanges, KindEvent, ObjectValue, Version};

fn changes(version: Version, names: &[&str]) -> KindChanges {
    let event = |name: &&str| KindEvent {
        object: ObjectValue {
            name: (*name).into(),
            version,
            body: "{}".into(),
        },
        is_deleted: false,
    };
    KindChanges {
        events: names.iter().map(event).collect(),
        version,
    }
}

fn names(reply: &FeedReply) -> Vec<String> {
    match reply {
        FeedReply::Changes(changes) => changes
            .events
            .iter()
            .map(|event| event.object.name.to_string())
            .collect(),
        other => panic!("{other:?}"),
    }
}

fn feed(now: Instant) -> ChangeFeed {
    let mut feed = ChangeFeed::default();
    feed.restart(10, now);
    feed.extend(10, &changes(12, &["a"]), now);
    feed.extend(12, &changes(15, &["b", "c"]), now);
    feed
}

#[test]
fn changes_after_version() {
    let now = Instant::now();
    let feed = feed(now);
    assert_eq!(names(&feed.reply_since(10, now)), ["a", "b", "c"]);
    assert_eq!(names(&feed.reply_since(12, now)), ["b", "c"]);
    assert!(names(&feed.reply_since(15, now)).is_empty());
    assert!(feed.has_changes_since(12) && !feed.has_changes_since(15));
}

#[test]
fn newer_member() {
    // A member that has read a newer version from the store keeps that version.
    let now = Instant::now();
    let reply = feed(now).reply_since(20, now);
    assert_eq!(reply, FeedReply::Changes(changes(20, &[])));
}

#[test]
fn version_too_old() {
    let now = Instant::now();
    assert_eq!(feed(now).reply_since(9, now), FeedReply::ReadStore);
    assert!(feed(now).has_changes_since(9), "it is answered at once");
}

#[test]
fn silent_store() {
    // A hub without recent answers from the store must not report that nothing changed.
    let now = Instant::now();
    let mut feed = feed(now);
    let later = now + Duration::from_millis(1_300);
    assert_eq!(feed.reply_since(15, later), FeedReply::Unproven);
    feed.extend(15, &changes(15, &[]), later);
    assert!(names(&feed.reply_since(15, later)).is_empty());
    assert_eq!(
        ChangeFeed::default().reply_since(0, now),
        FeedReply::Unproven
    );
}

#[test]
fn gap_in_changes() {
    // A hub that was a member for a while does not have the changes of that time.
    let now = Instant::now();
    let mut feed = feed(now);
    feed.extend(30, &changes(31, &["d"]), now);
    assert_eq!(feed.reply_since(15, now), FeedReply::ReadStore);
    assert_eq!(names(&feed.reply_since(30, now)), ["d"]);
}

#[test]
fn large_changes() {
    let now = Instant::now();
    let mut feed = feed(now);
    let mut large = changes(16, &["config"]);
    large.events[0].object.body = "x".repeat(40_000).into();
    feed.extend(15, &large, now);
    assert_eq!(feed.reply_since(15, now), FeedReply::ReadStore);
}
