//! Spread of notices over large fleets in virtual time: the table of notices, the order of hubs and
//! the message rate, without connections.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dandeliondeal_relay::hub_selection::preferred_hub;
use dandeliondeal_relay::loss_notice::{
    LossEvidence, LossNotice, MAX_MESSAGE_NOTICES, MAX_MESSAGE_RATE, MessageRate, NoticeTable,
};
use dandeliondeal_types::InstanceId;

const DOMAINS: usize = 3;
/// Hubs of each domain that receive notices.
const HUBS: usize = 2;
/// Time of a message on its way, and of its processing at the receiver.
const HOP_US: u64 = 500;
const PROCESSING_US: u64 = 5_000;
/// Assumed time in which a hub writes the answer to one member; it answers them one after the other.
const ANSWER_US: u64 = 100;

/// What an instance receives.
#[derive(Clone, Debug)]
enum Message {
    /// A notice of a member, or of another hub.
    Notices {
        is_relayed: bool,
        notices: Vec<LossNotice>,
    },
    /// A call that waits for notices after a sequence number.
    Watch { member: usize, seen: u64 },
    /// The answer to it.
    News {
        hub: usize,
        sequence: u64,
        notices: Vec<LossNotice>,
    },
}

#[derive(Default)]
struct Instance {
    is_lost: bool,
    table: NoticeTable,
    /// Members that wait, with the sequence number that they know.
    watchers: BTreeMap<usize, u64>,
    told_rate: MessageRate,
    relay_rate: MessageRate,
    watch_rates: BTreeMap<usize, MessageRate>,
    sent_us: Vec<u64>,
    /// Engines that the instance knows to be lost, with the time.
    known: BTreeMap<String, u64>,
}

struct Fleet {
    start: Instant,
    ids: Vec<InstanceId>,
    instances: Vec<Instance>,
    queue: BTreeMap<(u64, u64), (usize, Message)>,
    count: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let ids = (0..count).map(|index| InstanceId::from(format!("router-{index}")));
        let mut fleet = Self {
            start: Instant::now(),
            ids: ids.collect(),
            instances: (0..count).map(|_| Instance::default()).collect(),
            queue: BTreeMap::new(),
            count: 0,
        };
        for member in 0..count {
            for hub in fleet.hubs(member % DOMAINS) {
                if hub != member {
                    fleet.instances[hub].watchers.insert(member, 0);
                }
            }
        }
        fleet
    }

    /// Returns the first hubs of a domain, in order of preference, whether they are lost or not.
    fn hubs(&self, domain: usize) -> Vec<usize> {
        let mut left: Vec<usize> = (domain..self.ids.len()).step_by(DOMAINS).collect();
        let mut hubs = Vec::new();
        while hubs.len() < HUBS {
            let names: Vec<&InstanceId> = left.iter().map(|index| &self.ids[*index]).collect();
            hubs.push(left.remove(preferred_hub(&names).expect("a hub")));
        }
        hubs
    }

    fn at(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn send(&mut self, sender: usize, receiver: usize, message: Message, sent_us: u64) {
        self.instances[sender].sent_us.push(sent_us);
        self.count += 1;
        let arrival = (sent_us + HOP_US + PROCESSING_US, self.count);
        self.queue.insert(arrival, (receiver, message));
    }

    /// Lets an instance observe losses.
    fn observe(&mut self, observer: usize, engines: &[String], now_us: u64) {
        let now = self.at(now_us);
        let notices = engines.iter().map(|engine| LossNotice {
            engine: engine.as_str().into(),
            incarnation: Some(1),
            evidence: LossEvidence::Refused,
            observer: InstanceId::clone(&self.ids[observer]),
            age_ms: 0,
            is_inferred: false,
        });
        let notices: Vec<LossNotice> = notices.collect();
        let news = self.add(observer, &notices, now_us);
        for part in news.chunks(MAX_MESSAGE_NOTICES) {
            let delay = self.instances[observer].told_rate.reserve(now);
            let sent_us = now_us + u64::try_from(delay.as_micros()).expect("a short delay");
            let message = Message::Notices {
                is_relayed: false,
                notices: part.to_vec(),
            };
            for hub in self.hubs(observer % DOMAINS) {
                self.send(observer, hub, message.clone(), sent_us);
            }
        }
    }

    /// Adds notices to the table of an instance; returns those that are news.
    fn add(&mut self, index: usize, notices: &[LossNotice], now_us: u64) -> Vec<LossNotice> {
        let now = self.at(now_us);
        let instance = &mut self.instances[index];
        let mut news = Vec::new();
        for notice in notices {
            if instance.table.add(notice.clone(), now) {
                instance
                    .known
                    .entry(notice.engine.to_string())
                    .or_insert(now_us);
                news.push(notice.clone());
            }
        }
        if !news.is_empty() {
            self.answer_watchers(index, now_us);
        }
        news
    }

    fn answer_watchers(&mut self, hub: usize, now_us: u64) {
        let now = self.at(now_us);
        let mut sent_us = now_us;
        for (member, seen) in std::mem::take(&mut self.instances[hub].watchers) {
            let (notices, sequence) = self.instances[hub].table.since(seen, now);
            if notices.is_empty() {
                self.instances[hub].watchers.insert(member, seen);
            } else {
                sent_us += ANSWER_US;
                self.send(
                    hub,
                    member,
                    Message::News {
                        hub,
                        sequence,
                        notices,
                    },
                    sent_us,
                );
            }
        }
    }

    fn run(&mut self) {
        while let Some(((now_us, _), (receiver, message))) = self.queue.pop_first() {
            if self.instances[receiver].is_lost {
                continue;
            }
            let now = self.at(now_us);
            match message {
                Message::Notices {
                    is_relayed,
                    notices,
                } => {
                    let news = self.add(receiver, &notices, now_us);
                    if is_relayed || news.is_empty() {
                        continue;
                    }
                    let delay = self.instances[receiver].relay_rate.reserve(now);
                    let sent_us = now_us + u64::try_from(delay.as_micros()).expect("a short delay");
                    let hubs = (0..DOMAINS).flat_map(|domain| self.hubs(domain));
                    let hubs: Vec<usize> = hubs.collect();
                    for hub in hubs {
                        if hub != receiver {
                            let message = Message::Notices {
                                is_relayed: true,
                                notices: news.clone(),
                            };
                            self.send(receiver, hub, message, sent_us);
                        }
                    }
                }
                Message::Watch { member, seen } => {
                    self.instances[receiver].watchers.insert(member, seen);
                    self.answer_watchers(receiver, now_us);
                }
                Message::News {
                    hub,
                    sequence,
                    notices,
                } => {
                    self.add(receiver, &notices, now_us);
                    let rates = &mut self.instances[receiver].watch_rates;
                    let delay = rates.entry(hub).or_default().reserve(now);
                    let sent_us = now_us + u64::try_from(delay.as_micros()).expect("a short delay");
                    let watch = Message::Watch {
                        member: receiver,
                        seen: sequence,
                    };
                    self.send(receiver, hub, watch, sent_us);
                }
            }
        }
    }

    /// Returns the times until each instance that is left knew of an engine, in order.
    fn times(&self, engine: &str) -> Vec<u64> {
        let left = self.instances.iter().filter(|instance| !instance.is_lost);
        let times = left.map(|instance| *instance.known.get(engine).expect("a known loss"));
        let mut times: Vec<u64> = times.collect();
        times.sort_unstable();
        times
    }
}

/// Ends `lost_hubs` of the first hubs, and checks the time until all other instances know of a loss.
fn check_spread(lost_hubs: usize) {
    for count in [26, 88, 300] {
        let mut fleet = Fleet::new(count);
        for domain in 0..lost_hubs {
            let hub = fleet.hubs(domain)[0];
            fleet.instances[hub].is_lost = true;
        }
        let hubs: BTreeSet<usize> = (0..DOMAINS).flat_map(|domain| fleet.hubs(domain)).collect();
        let observer = (0..count).find(|index| !hubs.contains(index));
        fleet.observe(observer.expect("a member"), &["engine".to_owned()], 0);
        fleet.run();
        let times = fleet.times("engine");
        let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{count} instances, {lost_hubs} hubs lost: median {median} us, last {last} us");
        assert!(median < 50_000, "median {median} us");
        assert!(last < 150_000, "last {last} us");
    }
}

/// Guards against notices that are late in a large fleet.
#[test]
fn all_hubs() {
    check_spread(0);
}

/// Guards against notices that wait for a hub that does not answer.
#[test]
fn lost_hub() {
    check_spread(1);
}

/// Guards against notices that wait where no first hub answers.
#[test]
fn lost_hubs() {
    check_spread(DOMAINS);
}

/// Guards against a storm of messages where all instances observe the losses of a whole domain.
#[test]
fn bounded_messages() {
    for count in [26, 88, 300] {
        let mut fleet = Fleet::new(count);
        let engines: Vec<String> = (0..33).map(|index| format!("engine-{index}")).collect();
        for (index, observer) in (0..count).enumerate() {
            for (part, engines) in engines.chunks(3).enumerate() {
                let now_us = u64::try_from(index * 100 + part * 2_000).expect("a time");
                fleet.observe(observer, engines, now_us);
            }
        }
        fleet.run();
        let hubs: BTreeSet<usize> = (0..DOMAINS).flat_map(|domain| fleet.hubs(domain)).collect();
        let most_sent = |is_hub: bool| {
            let instances = fleet.instances.iter().enumerate();
            let chosen = instances.filter(|(index, _)| hubs.contains(index) == is_hub);
            let counts = chosen.map(|(_, instance)| instance.sent_us.len());
            counts.max().unwrap_or(0)
        };
        let (by_member, by_hub) = (most_sent(false), most_sent(true));
        let members = count.div_ceil(DOMAINS);
        println!("{count} instances: at most {by_member} messages of a member, {by_hub} of a hub");
        // A member tells two hubs and waits at both; a hub also tells all hubs and its members.
        assert!(by_member <= MAX_MESSAGE_RATE * 2 * HUBS);
        assert!(by_hub <= MAX_MESSAGE_RATE * (HUBS * (DOMAINS + 2) + members));
        for engine in &engines {
            assert!(
                fleet
                    .times(engine)
                    .last()
                    .is_some_and(|last| *last < 150_000)
            );
        }
    }
}
