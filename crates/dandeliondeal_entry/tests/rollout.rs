//! Accepted revisions come into force, with the platform failing on real sockets.

#[path = "common/mod.rs"]
mod common;
#[path = "common/sheet_operator.rs"]
mod sheet_operator;

use std::time::Duration;

use common::settings;
use dandeliondeal_config::{EntrySettings, PlatformSettings, RolloutSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_types::SystemClock;
use futures_util::future::join;
use sheet_operator::{accept, is_ready, platform, wait_until};

fn entry_settings(platform: &PlatformStandin) -> EntrySettings {
    EntrySettings {
        platform: PlatformSettings {
            address: platform.address(),
            timeout: Duration::from_millis(300),
            watch_limit: Duration::from_secs(1),
            ..PlatformSettings::default()
        },
        rollout: RolloutSettings {
            retry_interval: Duration::from_millis(50),
            ..RolloutSettings::default()
        },
        ..settings()
    }
}

async fn follower(platform: &PlatformStandin) -> EntryServer<SystemClock> {
    let mut entry = EntryServer::start(entry_settings(platform), SystemClock)
        .await
        .unwrap();
    entry.join_fleet().unwrap();
    entry
}

async fn wait_for(entry: &EntryServer<SystemClock>, revision: u64) {
    let in_force = || entry.context().table().revision() >= revision;
    wait_until("the revision is in force", in_force).await;
}

#[actix_rt::test]
async fn accepted_sheets() {
    let platform = platform();
    let entry = follower(&platform).await;
    assert!(!is_ready(&entry));
    for (revision, capacity) in [(1, 16), (2, 17), (3, 18)] {
        assert_eq!(
            accept(&platform, "nino", capacity).await.unwrap().revision,
            revision
        );
        wait_for(&entry, revision).await;
        let table = entry.context().table().current();
        assert_eq!(table.sheet.endpoints["engine-1"].capacity, capacity);
    }
    assert!(is_ready(&entry));
}

#[actix_rt::test]
async fn lost_answers() {
    let platform = platform();
    accept(&platform, "nino", 16).await.unwrap();
    for (capacity, took_effect) in [(17, true), (18, false)] {
        let count = Some(1);
        platform.set_faults(FaultChange {
            lose_answers: count.filter(|_| took_effect),
            lose_calls: count.filter(|_| !took_effect),
            only_method: Some("PUT".into()),
            only_path: Some("/objects/config/head".into()),
            ..FaultChange::default()
        });
        let report = accept(&platform, "nino", capacity).await.unwrap();
        assert_eq!(report.revision, u64::from(capacity) - 15);
    }
}

#[actix_rt::test]
async fn racing_operators() {
    let platform = platform();
    accept(&platform, "nino", 16).await.unwrap();
    let both = join(
        accept(&platform, "nino", 17),
        accept(&platform, "davit", 18),
    )
    .await;
    let (won, lost) = match both {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        both => panic!("{both:?}"),
    };
    assert_eq!(won.revision, 2);
    assert!(lost.is_conflict(), "{lost}");
    assert!(lost.to_string().contains("revision 2 by "));
}

#[actix_rt::test]
async fn start_in_outage() {
    let platform = platform();
    accept(&platform, "nino", 16).await.unwrap();
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    platform.set_faults(outage(true));
    let entry = follower(&platform).await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    assert!(!is_ready(&entry));
    platform.set_faults(outage(false));
    wait_for(&entry, 1).await;
    assert!(is_ready(&entry));
}

#[actix_rt::test]
async fn silent_watch() {
    let platform = platform();
    accept(&platform, "nino", 16).await.unwrap();
    let entry = follower(&platform).await;
    wait_for(&entry, 1).await;
    platform.set_faults(FaultChange {
        silence_connections: Some(true),
        ..FaultChange::default()
    });
    accept(&platform, "nino", 17).await.unwrap();
    wait_for(&entry, 2).await;
}

#[actix_rt::test]
async fn paused_instance() {
    let platform = platform();
    accept(&platform, "nino", 16).await.unwrap();
    let entry = follower(&platform).await;
    wait_for(&entry, 1).await;
    let freeze = |freeze| FaultChange {
        freeze: Some(freeze),
        ..FaultChange::default()
    };
    // A request keeps the table that it started with, whatever comes into force meanwhile.
    let table = entry.context().table().current();
    accept(&platform, "nino", 17).await.unwrap();
    platform.set_faults(freeze(true));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    platform.set_faults(freeze(false));
    accept(&platform, "nino", 18).await.unwrap();
    wait_for(&entry, 3).await;
    assert_eq!(table.sheet.revision, 1);
}
