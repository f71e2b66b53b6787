//! Several instances on loopback sockets: membership, and revisions from peers.

#[path = "common/mod.rs"]
mod common;
#[path = "common/sheet_operator.rs"]
mod sheet_operator;

use std::net::TcpListener;
use std::time::Duration;

use common::settings;
use dandeliondeal_config::{
    EntrySettings, InstanceSettings, MembershipSettings, PlatformSettings, RevisionStamp,
    RolloutSettings, SecretSettings, SecretText,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_peer::{
    Heartbeat, MemberCard, MemberNews, MemberState, MemberStatus, PeerClient, PeerError,
    PeerHandler, PeerServer, PeerSettings,
};
use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_types::SystemClock;
use sheet_operator::{accept, is_ready, platform, wait_until};

const SECRET: &str = "secret-of-all-instances";

/// Settings in which only the first instance of a domain hears the platform within the test.
fn fleet_settings(platform: &PlatformStandin, name: &str) -> EntrySettings {
    EntrySettings {
        instance: InstanceSettings::new(name, "didube", "tbilisi"),
        platform: PlatformSettings {
            address: platform.address(),
            timeout: Duration::from_millis(300),
            ..PlatformSettings::default()
        },
        secrets: SecretSettings {
            peer: SecretText::new(SECRET),
            ..SecretSettings::default()
        },
        membership: MembershipSettings {
            heartbeat_interval: Duration::from_millis(100),
            heartbeat_timeout: Duration::from_millis(300),
            list_interval: Duration::from_millis(200),
            ..MembershipSettings::default()
        },
        rollout: RolloutSettings {
            watchers_per_domain: 1,
            confirming_peers: 2,
            retry_interval: Duration::from_secs(10),
        },
        ..settings()
    }
}

async fn join(platform: &PlatformStandin, settings: EntrySettings) -> EntryServer<SystemClock> {
    let mut entry = EntryServer::start(settings, SystemClock).await.unwrap();
    entry.join_fleet().unwrap();
    platform.put_instance(entry.link().unwrap().record());
    entry
}

async fn fleet(platform: &PlatformStandin, size: usize) -> Vec<EntryServer<SystemClock>> {
    let mut fleet = Vec::new();
    for index in 0..size {
        let settings = fleet_settings(platform, &format!("entry-{index}"));
        fleet.push(join(platform, settings).await);
    }
    let all_known = || fleet.iter().all(|entry| live(entry) == size);
    wait_until("all instances know each other", all_known).await;
    fleet
}

fn live(entry: &EntryServer<SystemClock>) -> usize {
    entry.link().unwrap().directory().live().len()
}

fn revision(entry: &EntryServer<SystemClock>) -> u64 {
    entry.context().table().revision()
}

fn rank(entry: &EntryServer<SystemClock>) -> usize {
    entry
        .link()
        .unwrap()
        .directory()
        .machine
        .borrow()
        .domain_rank()
}

#[actix_rt::test]
async fn revision_spreads() {
    let platform = platform();
    let fleet = fleet(&platform, 4).await;
    for (number, capacity) in [(1, 16), (2, 17)] {
        accept(&platform, "nino", capacity).await.unwrap();
        let in_force = || fleet.iter().all(|entry| revision(entry) == number);
        wait_until("in force everywhere", in_force).await;
    }
}

#[actix_rt::test]
async fn killed_watcher() {
    let platform = platform();
    let mut fleet = fleet(&platform, 4).await;
    accept(&platform, "nino", 16).await.unwrap();
    wait_until("in force everywhere", || {
        fleet.iter().all(|entry| revision(entry) == 1)
    })
    .await;
    fleet.sort_by_key(rank);
    let watcher = fleet.remove(0);
    watcher.link().unwrap().stop();
    accept(&platform, "nino", 17).await.unwrap();
    wait_until("in force without the watcher", || {
        fleet.iter().all(|entry| revision(entry) == 2)
    })
    .await;
    wait_until("the watcher counts as failed", || {
        fleet.iter().all(|entry| live(entry) == 3)
    })
    .await;
}

#[actix_rt::test]
async fn start_in_outage() {
    let platform = platform();
    let fleet = fleet(&platform, 3).await;
    accept(&platform, "nino", 16).await.unwrap();
    wait_until("in force everywhere", || {
        fleet.iter().all(|entry| revision(entry) == 1)
    })
    .await;
    platform.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    let mut settings = fleet_settings(&platform, "entry-9");
    settings.rollout.retry_interval = Duration::from_millis(100);
    settings.membership.seeds = fleet
        .iter()
        .map(|entry| entry.link().unwrap().address())
        .collect();
    let entry = join(&platform, settings).await;
    wait_until("the new instance is ready by its peers", || {
        is_ready(&entry)
    })
    .await;
    assert_eq!(revision(&entry), 1);
}

#[actix_rt::test]
async fn planned_leave() {
    let platform = platform();
    let mut fleet = fleet(&platform, 3).await;
    let leaving = fleet.remove(0);
    let id = leaving.context().settings().instance.id.clone();
    leaving.link().unwrap().leave();
    let told = || {
        fleet.iter().all(|entry| {
            let directory = entry.link().unwrap().directory();
            let machine = directory.machine.borrow();
            machine
                .members()
                .any(|(card, state)| card.id == id && state == MemberState::Leaving)
        })
    };
    wait_until("the others know that it leaves", told).await;
}

#[actix_rt::test]
async fn wrong_secret() {
    let platform = platform();
    let entry = join(&platform, fleet_settings(&platform, "entry-1")).await;
    let address = entry.link().unwrap().address();
    for (secret, is_right) in [
        (SECRET, true),
        ("another secret altogether", false),
        ("", false),
    ] {
        let client = PeerClient::new(PeerSettings {
            secret: SecretText::new(secret),
            ..PeerSettings::default()
        });
        let result: Result<serde_json::Value, PeerError> =
            client.call(address, "status", &()).await;
        assert_eq!(result.is_ok(), is_right, "{result:?}");
    }
}

/// A peer that says it has `stamp` in force, and serves other content than was asked for.
#[derive(Clone, Debug)]
struct WrongPeer {
    card: MemberCard,
    stamp: RevisionStamp,
}

impl WrongPeer {
    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            from: MemberNews {
                card: self.card.clone(),
                status: MemberStatus::Alive,
                version: 0,
            },
            stamp: self.stamp.clone(),
            digest: 0,
            news: Vec::new(),
        }
    }
}

impl PeerHandler for WrongPeer {
    const METHODS: &'static [&'static str] = &["heartbeat", "content"];

    async fn handle(&self, method: &'static str, _body: Box<str>) -> Result<String, PeerError> {
        if method == "content" {
            return Ok("[\"{\\\"revision\\\":9}\"]".to_owned());
        }
        Ok(serde_json::to_string(&self.heartbeat()).unwrap())
    }
}

#[actix_rt::test]
async fn wrong_peer() {
    let platform = platform();
    accept(&platform, "nino", 16).await.unwrap();
    let mut settings = fleet_settings(&platform, "entry-1");
    settings.rollout.retry_interval = Duration::from_millis(100);
    let entry = join(&platform, settings).await;
    wait_until("in force", || revision(&entry) == 1).await;
    let known = entry.link().unwrap().rollout().in_force();
    let secret = PeerSettings {
        secret: SecretText::new(SECRET),
        ..PeerSettings::default()
    };
    // One peer is behind, the other has a revision that does not exist.
    for (name, number) in [("older", 0), ("forged", 9)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut record = entry.link().unwrap().record();
        record.id = name.into();
        record.address = listener.local_addr().unwrap();
        let card = MemberCard {
            id: record.id.clone(),
            incarnation: record.incarnation,
            address: record.address,
            failure_domain: record.failure_domain.clone(),
            region: record.region.clone(),
        };
        let stamp = RevisionStamp {
            revision: number,
            manifest: format!("{number}-{}", known.manifest).into(),
        };
        let wrong = WrongPeer { card, stamp };
        let peer = PeerServer::start(listener, &secret, wrong.clone()).unwrap();
        platform.put_instance(record);
        let address = entry.link().unwrap().address();
        let client = PeerClient::new(secret.clone());
        let answer = client.call(address, "heartbeat", &wrong.heartbeat()).await;
        let answer: Heartbeat = answer.unwrap();
        assert_eq!(answer.stamp, known);
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(entry.link().unwrap().rollout().in_force(), known);
        peer.stop();
    }
    assert!(entry.link().unwrap().rollout().rejected_bodies() > 0);
    accept(&platform, "nino", 17).await.unwrap();
    wait_until("the next revision is in force all the same", || {
        revision(&entry) == 2
    })
    .await;
}

#[actix_rt::test]
async fn silent_peer() {
    let platform = platform();
    let fleet = fleet(&platform, 3).await;
    // Connections are made by the operating system, and nobody ever answers on them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut record = fleet[0].link().unwrap().record();
    record.id = "silent".into();
    record.address = listener.local_addr().unwrap();
    platform.put_instance(record);
    wait_until("the silent one is known", || {
        fleet.iter().all(|entry| live(entry) == 4)
    })
    .await;
    wait_until("the silent one counts as failed", || {
        fleet.iter().all(|entry| live(entry) == 3)
    })
    .await;
    let machines = fleet
        .iter()
        .map(|entry| entry.link().unwrap().directory().machine.borrow());
    assert!(
        machines
            .into_iter()
            .all(|machine| machine.own().version == 0),
        "a false alarm"
    );
}
