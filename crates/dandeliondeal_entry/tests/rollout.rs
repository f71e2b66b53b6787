//! Rollout of accepted revisions while the platform fails, over real sockets.

#[path = "common/mod.rs"]
mod common;
#[path = "common/sheet_operator.rs"]
mod sheet_operator;

use std::time::Duration;

use common::test_settings;
use dandeliondeal_config::{EntrySettings, PlatformSettings, RolloutSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_types::SystemClock;
use futures_util::future::join;
use sheet_operator::{accept_sheet, is_ready, start_platform, wait_until};

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
        ..test_settings()
    }
}

async fn start_entry(platform: &PlatformStandin) -> EntryServer<SystemClock> {
    let mut entry = EntryServer::start(entry_settings(platform), SystemClock)
        .await
        .unwrap();
    entry.join_fleet().unwrap();
    entry
}

async fn wait_for_revision(entry: &EntryServer<SystemClock>, revision: u64) {
    let in_force = || entry.context().table().revision() >= revision;
    wait_until("the revision is in force", in_force).await;
}

#[actix_rt::test]
async fn accepted_sheets() {
    let platform = start_platform();
    let entry = start_entry(&platform).await;
    assert!(!is_ready(&entry));
    for (revision, capacity) in [(1, 16), (2, 17), (3, 18)] {
        assert_eq!(
            accept_sheet(&platform, "nino", capacity)
                .await
                .unwrap()
                .revision,
            revision
        );
        wait_for_revision(&entry, revision).await;
        let table = entry.context().table().current();
        assert_eq!(table.sheet.endpoints["engine-1"].capacity, capacity);
    }
    assert!(is_ready(&entry));
}

#[actix_rt::test]
async fn lost_store_answers() {
    let platform = start_platform();
    accept_sheet(&platform, "nino", 16).await.unwrap();
    for (capacity, took_effect) in [(17, true), (18, false)] {
        let count = Some(1);
        platform.set_faults(FaultChange {
            lose_answers: count.filter(|_| took_effect),
            lose_calls: count.filter(|_| !took_effect),
            only_method: Some("PUT".into()),
            only_path: Some("/objects/config/head".into()),
            ..FaultChange::default()
        });
        let report = accept_sheet(&platform, "nino", capacity).await.unwrap();
        // The sheet with capacity 16 is revision 1, that with 17 is revision 2, and so on.
        assert_eq!(report.revision, u64::from(capacity) - 15);
    }
}

#[actix_rt::test]
async fn racing_operators() {
    let platform = start_platform();
    accept_sheet(&platform, "nino", 16).await.unwrap();
    let results = join(
        accept_sheet(&platform, "nino", 17),
        accept_sheet(&platform, "davit", 18),
    )
    .await;
    let (accepted, rejected) = match results {
        (Ok(accepted), Err(rejected)) | (Err(rejected), Ok(accepted)) => (accepted, rejected),
        results => panic!("{results:?}"),
    };
    assert_eq!(accepted.revision, 2);
    assert!(rejected.is_conflict(), "{rejected}");
    assert!(rejected.to_string().contains("revision 2 by "));
}

#[actix_rt::test]
async fn start_in_outage() {
    let platform = start_platform();
    accept_sheet(&platform, "nino", 16).await.unwrap();
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    platform.set_faults(outage(true));
    let entry = start_entry(&platform).await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    assert!(!is_ready(&entry));
    platform.set_faults(outage(false));
    wait_for_revision(&entry, 1).await;
    assert!(is_ready(&entry));
}

#[actix_rt::test]
async fn silent_watch() {
    let platform = start_platform();
    accept_sheet(&platform, "nino", 16).await.unwrap();
    let entry = start_entry(&platform).await;
    wait_for_revision(&entry, 1).await;
    platform.set_faults(FaultChange {
        silence_connections: Some(true),
        ..FaultChange::default()
    });
    accept_sheet(&platform, "nino", 17).await.unwrap();
    wait_for_revision(&entry, 2).await;
}

#[actix_rt::test]
async fn frozen_platform() {
    let platform = start_platform();
    accept_sheet(&platform, "nino", 16).await.unwrap();
    let entry = start_entry(&platform).await;
    wait_for_revision(&entry, 1).await;
    let freeze = |freeze| FaultChange {
        freeze: Some(freeze),
        ..FaultChange::default()
    };
    // A request uses the table that it started with, whichever revisions come into force later.
    let table = entry.context().table().current();
    accept_sheet(&platform, "nino", 17).await.unwrap();
    platform.set_faults(freeze(true));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    platform.set_faults(freeze(false));
    accept_sheet(&platform, "nino", 18).await.unwrap();
    wait_for_revision(&entry, 3).await;
    assert_eq!(table.sheet.revision, 1);
}
