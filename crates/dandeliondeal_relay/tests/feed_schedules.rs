//! Random schedules of restores, writes, watches, lists and changes of hub, seen from the store's side.
//!
//! Guards against an instance that misses a change or goes back: what it holds has to be what the store
//! held at the version that the instance has reached. Members of earlier builds state no era.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_relay::change_feed::ChangeFeed;
use dandeliondeal_relay::feed_reply::{FeedReply, FeedRequest};
use dandeliondeal_types::{KindChanges, KindEvent, ObjectValue, StoreVersion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 300;
const STEPS: usize = 400;
const HUB_COUNT: usize = 2;
const MEMBER_COUNT: usize = 3;
/// Maximum time between two requests of a member.
const MEMBER_INTERVAL: Duration = Duration::from_secs(1);

type Content = BTreeMap<String, u64>;
/// Changes with their revisions.
type Events = Vec<(u64, KindEvent)>;
type StoreCopy = (StoreVersion, Content, Events);

/// Store with one kind, and its content at each version that it ever had.
struct ModelStore {
    version: StoreVersion,
    content: Content,
    events: Events,
    history: BTreeMap<StoreVersion, Content>,
    copies: Vec<StoreCopy>,
}

/// Instance that follows the store by itself or through a hub.
#[derive(Default)]
struct Follower {
    seen: Option<StoreVersion>,
    highest: StoreVersion,
    content: Content,
}

struct Fleet {
    store: ModelStore,
    hubs: Vec<(ChangeFeed, Follower)>,
    members: Vec<Follower>,
    start: Instant,
    elapsed: Duration,
    /// Last requests of the members.
    asked: Vec<Duration>,
}

impl ModelStore {
    fn new() -> Self {
        let version = StoreVersion::new(1, 10);
        Self {
            version,
            content: Content::new(),
            events: Vec::new(),
            history: BTreeMap::from([(version, Content::new())]),
            copies: Vec::new(),
        }
    }

    fn write(&mut self, name: &str, is_deleted: bool, value: u64) {
        self.version = self.version.next();
        if is_deleted {
            self.content.remove(name);
        } else {
            self.content.insert(name.to_owned(), value);
        }
        let event = KindEvent {
            object: ObjectValue {
                name: name.into(),
                version: self.version,
                body: value.to_string().into(),
            },
            is_deleted,
        };
        self.events.push((self.version.revision, event));
        self.history.insert(self.version, self.content.clone());
    }

    /// Changes that other kinds cause have a revision, but no events of this kind.
    fn write_other(&mut self, count: u64) {
        for _ in 0..count {
            self.version = self.version.next();
            self.history.insert(self.version, self.content.clone());
        }
    }

    fn copy(&mut self) {
        let copy = (self.version, self.content.clone(), self.events.clone());
        self.copies.push(copy);
    }

    fn restore(&mut self, index: usize) {
        let (version, content, events) = self.copies[index].clone();
        self.version = StoreVersion::new(self.version.era + 1, version.revision);
        self.content = content;
        self.events = events;
        self.history.insert(self.version, self.content.clone());
    }

    /// Answers a watch as the store and its client do; `None` if the history is gone.
    fn changes(&self, seen: StoreVersion) -> Option<KindChanges> {
        let is_known = seen.era == self.version.era && seen <= self.version;
        let after = self.events.iter();
        let after = after.filter(|(revision, _)| *revision > seen.revision);
        is_known.then(|| KindChanges {
            events: after.map(|(_, event)| event.clone()).collect(),
            version: self.version,
        })
    }
}

impl Follower {
    fn apply(&mut self, changes: &KindChanges) {
        for event in &changes.events {
            let name = event.object.name.to_string();
            if event.is_deleted {
                self.content.remove(&name);
            } else {
                let value = event.object.body.parse().expect("a number");
                self.content.insert(name, value);
            }
        }
        self.reach(changes.version);
    }

    fn reach(&mut self, version: StoreVersion) {
        assert!(version >= self.highest, "{version:?} {:?}", self.highest);
        self.highest = version;
        self.seen = Some(version);
    }

    /// Watches the store, or reads a list if that is required.
    fn call_store(&mut self, store: &ModelStore) -> Option<KindChanges> {
        let Some(seen) = self.seen else {
            self.content.clone_from(&store.content);
            self.reach(store.version);
            return None;
        };
        let changes = store.changes(seen);
        match &changes {
            Some(changes) => self.apply(changes),
            None => self.seen = None,
        }
        changes
    }
}

impl Fleet {
    fn new() -> Self {
        Self {
            store: ModelStore::new(),
            hubs: (0..HUB_COUNT).map(|_| Default::default()).collect(),
            members: (0..MEMBER_COUNT).map(|_| Follower::default()).collect(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            asked: vec![Duration::ZERO; MEMBER_COUNT],
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn run_hub(&mut self, index: usize) {
        let now = self.now();
        let (feed, follower) = &mut self.hubs[index];
        let earlier = follower.seen;
        let changes = follower.call_store(&self.store);
        match (earlier, changes) {
            (Some(seen), Some(changes)) => feed.extend(seen, &changes, now),
            (None, _) => feed.restart(self.store.version, now),
            (Some(_), None) => {}
        }
    }

    /// Asks a hub as a member does; messages pass through their encoding.
    fn run_member(&mut self, index: usize, hub: usize) {
        let now = self.now();
        self.asked[index] = self.elapsed;
        let member = &mut self.members[index];
        let Some(seen) = member.seen else {
            member.call_store(&self.store);
            return;
        };
        let request = serde_json::to_value(FeedRequest::new("servers", seen)).expect("a request");
        let request: FeedRequest = serde_json::from_value(request).expect("a request");
        let reply = self.hubs[hub].0.reply_since(request.position(), now);
        let reply = serde_json::to_value(reply).expect("a reply");
        match serde_json::from_value(reply).expect("a reply") {
            FeedReply::Changes(changes) => {
                assert_eq!(changes.version.era, seen.era);
                member.apply(&changes);
            }
            FeedReply::Restored => member.seen = None,
            FeedReply::Unproven | FeedReply::ReadStore => {
                member.call_store(&self.store);
            }
        }
    }

    /// Asks a hub at the position of a member that does not state its era.
    fn run_earlier_build(&mut self, index: usize, hub: usize) {
        let now = self.now();
        let Some(seen) = self.members[index].seen else {
            return;
        };
        let request = serde_json::json!({"kind": "servers", "seen": seen.revision});
        let request: FeedRequest = serde_json::from_value(request).expect("a request");
        let reply = self.hubs[hub].0.reply_since(request.position(), now);
        if let FeedReply::Changes(changes) = reply {
            assert_eq!(changes.version.era, seen.era, "served across a restore");
            self.members[index].apply(&changes);
        }
    }

    fn check(&self) {
        let hubs = self.hubs.iter().map(|(_, follower)| follower);
        for follower in self.members.iter().chain(hubs) {
            if let Some(seen) = follower.seen {
                assert_eq!(Some(&follower.content), self.store.history.get(&seen));
            }
        }
    }

    fn step(&mut self, random: &mut StdRng) {
        let hub = random.random_range(0..HUB_COUNT);
        let member = random.random_range(0..MEMBER_COUNT);
        match random.random_range(0..16) {
            0..4 => {
                let name = format!("e{}", random.random_range(0..4));
                let value = random.random();
                self.store.write(&name, random.random_bool(0.3), value);
            }
            4 => self.store.write_other(random.random_range(1..6)),
            5 => self.store.copy(),
            6 if !self.store.copies.is_empty() => {
                let count = self.store.copies.len();
                self.store.restore(random.random_range(0..count));
            }
            7..10 => self.run_hub(hub),
            10..13 => self.run_member(member, hub),
            // The hub ends, and a new process takes its place.
            13 if random.random_bool(0.2) => self.hubs[hub] = Default::default(),
            _ => self.elapsed += Duration::from_millis(random.random_range(0..700)),
        }
        for index in 0..MEMBER_COUNT {
            if self.elapsed.saturating_sub(self.asked[index]) >= MEMBER_INTERVAL {
                self.run_member(index, hub);
            }
        }
        self.check();
    }

    /// Lets all instances ask in turn, and checks that they hold what the store holds.
    fn settle(&mut self) {
        for _ in 0..4 {
            (0..HUB_COUNT).for_each(|hub| self.run_hub(hub));
            (0..MEMBER_COUNT).for_each(|member| self.run_member(member, member % HUB_COUNT));
        }
        for member in &self.members {
            assert_eq!(member.content, self.store.content);
        }
    }
}

#[test]
fn random_schedules() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        for _ in 0..STEPS {
            fleet.step(&mut random);
        }
        fleet.settle();
    }
}

// A hub that lives through the restores serves members of an earlier build. They ask in shorter intervals
// than that for which the hub sends them to the store after a restore.
#[test]
fn earlier_builds() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        for _ in 0..STEPS {
            fleet.store.copy();
            fleet.store.write("e1", false, random.random());
            fleet.store.write_other(random.random_range(0..5));
            let count = fleet.store.copies.len();
            if random.random_bool(0.1) {
                fleet.store.restore(random.random_range(0..count));
                fleet.run_hub(0);
            }
            fleet.run_hub(0);
            fleet.run_earlier_build(0, 0);
            fleet.check();
            // The member reads the store itself when the hub does not serve it.
            fleet.members[0].call_store(&fleet.store);
            fleet.elapsed += Duration::from_millis(random.random_range(0..900));
        }
    }
}
