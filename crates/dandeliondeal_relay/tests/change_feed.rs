//! Replies of a hub to the members that follow the store through it.

use std::time::{Duration, Instant};

use dandeliondeal_relay::change_feed::ChangeFeed;
use dandeliondeal_relay::feed_reply::{FeedReply, MemberPosition};
use dandeliondeal_types::{KindChanges, KindEvent, ObjectValue, StoreVersion};

/// Returns a version of the era in which most tests take place.
fn version(revision: u64) -> StoreVersion {
    StoreVersion::new(2, revision)
}

fn member(revision: u64) -> MemberPosition {
    MemberPosition::Version(version(revision))
}

/// Returns the position of a member of an earlier build.
fn earlier_build(revision: u64) -> MemberPosition {
    MemberPosition::Revision(revision)
}

fn changes(revision: u64, names: &[&str]) -> KindChanges {
    let version = version(revision);
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
    feed.restart(version(10), now);
    feed.extend(version(10), &changes(12, &["a"]), now);
    feed.extend(version(12), &changes(15, &["b", "c"]), now);
    feed
}

#[test]
fn changes_after_version() {
    let now = Instant::now();
    let feed = feed(now);
    assert_eq!(names(&feed.reply_since(member(10), now)), ["a", "b", "c"]);
    assert_eq!(names(&feed.reply_since(member(12), now)), ["b", "c"]);
    assert!(names(&feed.reply_since(member(15), now)).is_empty());
    assert!(feed.has_changes_since(member(12), now) && !feed.has_changes_since(member(15), now));
}

#[test]
fn newer_member() {
    // A member that has read a newer version from the store keeps that version.
    let now = Instant::now();
    let reply = feed(now).reply_since(member(20), now);
    assert_eq!(reply, FeedReply::Changes(changes(20, &[])));
}

#[test]
fn version_too_old() {
    let now = Instant::now();
    assert_eq!(feed(now).reply_since(member(9), now), FeedReply::ReadStore);
    assert!(
        feed(now).has_changes_since(member(9), now),
        "it is answered at once"
    );
}

#[test]
fn silent_store() {
    // A hub without recent answers from the store must not report that nothing changed.
    let now = Instant::now();
    let mut feed = feed(now);
    let later = now + Duration::from_millis(1_300);
    assert_eq!(feed.reply_since(member(15), later), FeedReply::Unproven);
    feed.extend(version(15), &changes(15, &[]), later);
    assert!(names(&feed.reply_since(member(15), later)).is_empty());
    assert_eq!(
        ChangeFeed::default().reply_since(member(0), now),
        FeedReply::Unproven
    );
}

#[test]
fn gap_in_changes() {
    // A hub that was a member for a while does not have the changes of that time.
    let now = Instant::now();
    let mut feed = feed(now);
    feed.extend(version(30), &changes(31, &["d"]), now);
    assert_eq!(feed.reply_since(member(15), now), FeedReply::ReadStore);
    assert_eq!(names(&feed.reply_since(member(30), now)), ["d"]);
}

#[test]
fn large_changes() {
    let now = Instant::now();
    let mut feed = feed(now);
    let mut large = changes(16, &["config"]);
    large.events[0].object.body = "x".repeat(40_000).into();
    feed.extend(version(15), &large, now);
    assert_eq!(feed.reply_since(member(15), now), FeedReply::ReadStore);
}

/// Returns a feed that was in the era 1 and continues in the era 2 at a lower revision.
fn restored_feed(now: Instant) -> ChangeFeed {
    let mut feed = ChangeFeed::default();
    feed.restart(StoreVersion::new(1, 40), now);
    feed.restart(version(10), now);
    feed.extend(version(10), &changes(12, &["a"]), now);
    feed
}

#[test]
fn member_before_restore() {
    // Neither a higher nor a lower revision of an earlier era is one of the present era.
    let now = Instant::now();
    let feed = restored_feed(now);
    for revision in [9, 11, 12, 40] {
        let position = MemberPosition::Version(StoreVersion::new(1, revision));
        assert_eq!(feed.reply_since(position, now), FeedReply::Restored);
        assert!(feed.has_changes_since(position, now), "answered at once");
    }
    assert_eq!(names(&feed.reply_since(member(10), now)), ["a"]);
}

#[test]
fn hub_before_restore() {
    // The hub has not noticed the restore; what it holds says nothing about the new era.
    let now = Instant::now();
    let position = MemberPosition::Version(StoreVersion::new(3, 11));
    assert_eq!(feed(now).reply_since(position, now), FeedReply::ReadStore);
}

#[test]
fn unstated_era() {
    // A member of an earlier build states no era. It reads the store when its revision may be one of
    // an earlier era, and is served otherwise.
    let now = Instant::now();
    let feed = restored_feed(now);
    for revision in [11, 40] {
        let position = earlier_build(revision);
        assert_eq!(feed.reply_since(position, now), FeedReply::ReadStore);
        assert!(feed.has_changes_since(position, now), "answered at once");
    }
    let later = now + Duration::from_millis(2_100);
    let mut feed = feed;
    feed.extend(version(12), &changes(12, &[]), later);
    assert_eq!(names(&feed.reply_since(earlier_build(11), later)), ["a"]);
    let ahead = feed.reply_since(earlier_build(40), later);
    assert_eq!(ahead, FeedReply::ReadStore);
}
