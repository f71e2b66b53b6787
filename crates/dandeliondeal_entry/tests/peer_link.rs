//! Membership, and revisions received from peers, with several instances on loopback sockets.

#[path = "common/mod.rs"]
mod common;
#[path = "common/sheet_operator.rs"]
mod sheet_operator;

use std::net::TcpListener;
use std::time::Duration;

use common::test_settings;
use dandeliondeal_config::{
    EntrySettings, InstanceSettings, MembershipSettings, PlatformSettings, RevisionStamp,
    RolloutSettings, SecretSettings, SecretText,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_peer::{
    Heartbeat, MemberIdentity, MemberState, MemberStatus, MemberUpdate, PeerClient, PeerError,
    PeerHandler, PeerServer, PeerSettings,
};
use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_types::SystemClock;
use sheet_operator::{accept_sheet, is_ready, start_platform, wait_until};

const SECRET: &str = "secret-of-all-instances";

/// Returns settings with one watcher per failure domain.
///
/// With a retry interval of 10 s, the other instances receive revisions only from their peers.
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
        ..test_settings()
    }
}

async fn join_fleet(
    platform: &PlatformStandin,
    settings: EntrySettings,
) -> EntryServer<SystemClock> {
    let mut entry = EntryServer::start(settings, SystemClock).await.unwrap();
    entry.join_fleet().unwrap();
    platform.put_instance(entry.link().unwrap().record());
    entry
}

async fn start_fleet(platform: &PlatformStandin, size: usize) -> Vec<EntryServer<SystemClock>> {
    let mut fleet = Vec::new();
    for index in 0..size {
        let settings = fleet_settings(platform, &format!("entry-{index}"));
        fleet.push(join_fleet(platform, settings).await);
    }
    let sees_all = || fleet.iter().all(|entry| live_count(entry) == size);
    wait_until("all instances see each other as live", sees_all).await;
    fleet
}

fn live_count(entry: &EntryServer<SystemClock>) -> usize {
    entry.link().unwrap().directory().live_members().len()
}

fn current_revision(entry: &EntryServer<SystemClock>) -> u64 {
    entry.context().table().revision()
}

fn domain_rank(entry: &EntryServer<SystemClock>) -> usize {
    entry
        .link()
        .unwrap()
        .directory()
        .machine
        .borrow()
        .domain_rank()
}

#[actix_rt::test]
async fn revision_propagates() {
    let platform = start_platform();
    let fleet = start_fleet(&platform, 4).await;
    for (number, capacity) in [(1, 16), (2, 17)] {
        accept_sheet(&platform, "nino", capacity).await.unwrap();
        let in_force = || fleet.iter().all(|entry| current_revision(entry) == number);
        wait_until("the revision is in force at all instances", in_force).await;
    }
}

#[actix_rt::test]
async fn killed_watcher() {
    let platform = start_platform();
    let mut fleet = start_fleet(&platform, 4).await;
    accept_sheet(&platform, "nino", 16).await.unwrap();
    wait_until("the revision is in force at all instances", || {
        fleet.iter().all(|entry| current_revision(entry) == 1)
    })
    .await;
    fleet.sort_by_key(domain_rank);
    let watcher = fleet.remove(0);
    watcher.link().unwrap().stop();
    accept_sheet(&platform, "nino", 17).await.unwrap();
    wait_until("the revision is in force without the watcher", || {
        fleet.iter().all(|entry| current_revision(entry) == 2)
    })
    .await;
    wait_until("the watcher counts as failed", || {
        fleet.iter().all(|entry| live_count(entry) == 3)
    })
    .await;
}

#[actix_rt::test]
async fn start_in_outage() {
    let platform = start_platform();
    let fleet = start_fleet(&platform, 3).await;
    accept_sheet(&platform, "nino", 16).await.unwrap();
    wait_until("the revision is in force at all instances", || {
        fleet.iter().all(|entry| current_revision(entry) == 1)
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
    let entry = join_fleet(&platform, settings).await;
    wait_until("the new instance becomes ready through its peers", || {
        is_ready(&entry)
    })
    .await;
    assert_eq!(current_revision(&entry), 1);
}

#[actix_rt::test]
async fn planned_leave() {
    let platform = start_platform();
    let mut fleet = start_fleet(&platform, 3).await;
    let leaving = fleet.remove(0);
    let id = leaving.context().settings().instance.id.clone();
    leaving.link().unwrap().leave();
    let sees_leaving = || {
        fleet.iter().all(|entry| {
            let directory = entry.link().unwrap().directory();
            let machine = directory.machine.borrow();
            machine
                .members()
                .any(|(identity, state)| identity.id == id && state == MemberState::Leaving)
        })
    };
    wait_until("the other instances see it as leaving", sees_leaving).await;
}

#[actix_rt::test]
async fn wrong_secret() {
    let platform = start_platform();
    let entry = join_fleet(&platform, fleet_settings(&platform, "entry-1")).await;
    let address = entry.link().unwrap().address();
    for (secret, is_accepted) in [
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
        assert_eq!(result.is_ok(), is_accepted, "{result:?}");
    }
}

/// A peer that reports `stamp` as in force, and answers content requests with other content.
#[derive(Clone, Debug)]
struct FaultyPeer {
    identity: MemberIdentity,
    stamp: RevisionStamp,
}

impl FaultyPeer {
    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            from: MemberUpdate {
                identity: self.identity.clone(),
                status: MemberStatus::Alive,
                version: 0,
            },
            stamp: self.stamp.clone(),
            digest: 0,
            updates: Vec::new(),
        }
    }
}

impl PeerHandler for FaultyPeer {
    const METHODS: &'static [&'static str] = &["heartbeat", "content"];

    async fn handle(&self, method: &'static str, _body: Box<str>) -> Result<String, PeerError> {
        if method == "content" {
            return Ok("[\"{\\\"revision\\\":9}\"]".to_owned());
        }
        Ok(serde_json::to_string(&self.heartbeat()).unwrap())
    }
}

#[actix_rt::test]
async fn faulty_peer() {
    let platform = start_platform();
    accept_sheet(&platform, "nino", 16).await.unwrap();
    let mut settings = fleet_settings(&platform, "entry-1");
    settings.rollout.retry_interval = Duration::from_millis(100);
    let entry = join_fleet(&platform, settings).await;
    wait_until("the revision is in force", || current_revision(&entry) == 1).await;
    let in_force = entry.link().unwrap().rollout().in_force();
    let peer_settings = PeerSettings {
        secret: SecretText::new(SECRET),
        ..PeerSettings::default()
    };
    // One peer is behind; the other reports a revision that does not exist.
    for (name, number) in [("older", 0), ("forged", 9)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut record = entry.link().unwrap().record();
        record.id = name.into();
        record.address = listener.local_addr().unwrap();
        let identity = MemberIdentity {
            id: record.id.clone(),
            incarnation: record.incarnation,
            address: record.address,
            failure_domain: record.failure_domain.clone(),
            region: record.region.clone(),
        };
        let stamp = RevisionStamp {
            revision: number,
            manifest: format!("{number}-{}", in_force.manifest).into(),
        };
        let faulty = FaultyPeer { identity, stamp };
        let peer = PeerServer::start(listener, &peer_settings, faulty.clone()).unwrap();
        platform.put_instance(record);
        let address = entry.link().unwrap().address();
        let client = PeerClient::new(peer_settings.clone());
        let answer = client.call(address, "heartbeat", &faulty.heartbeat()).await;
        let answer: Heartbeat = answer.unwrap();
        assert_eq!(answer.stamp, in_force);
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(entry.link().unwrap().rollout().in_force(), in_force);
        peer.stop();
    }
    assert!(entry.link().unwrap().rollout().rejected_bodies() > 0);
    accept_sheet(&platform, "nino", 17).await.unwrap();
    wait_until(
        "the next revision is in force despite the faulty peers",
        || current_revision(&entry) == 2,
    )
    .await;
}

#[actix_rt::test]
async fn silent_peer() {
    let platform = start_platform();
    let fleet = start_fleet(&platform, 3).await;
    // The operating system accepts connections to this listener, and nothing ever answers on them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut record = fleet[0].link().unwrap().record();
    record.id = "silent".into();
    record.address = listener.local_addr().unwrap();
    platform.put_instance(record);
    wait_until("the silent peer is in the member list", || {
        fleet.iter().all(|entry| live_count(entry) == 4)
    })
    .await;
    wait_until("the silent peer counts as failed", || {
        fleet.iter().all(|entry| live_count(entry) == 3)
    })
    .await;
    let machines = fleet
        .iter()
        .map(|entry| entry.link().unwrap().directory().machine.borrow());
    assert!(
        machines
            .into_iter()
            .all(|machine| machine.own_update().version == 0),
        "a live instance was suspected"
    );
}
