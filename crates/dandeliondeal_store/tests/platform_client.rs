//! Platform client over real sockets, with faults injected into the stand-in platform.

use std::time::Duration;

use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_store::{PlatformClient, PlatformSettings};
use dandeliondeal_types::{ObjectStore as _, PutCondition, StoreError, SystemClock};

const OBJECT_NAME: &str = "status/entry 1";

fn start_platform() -> (PlatformStandin, PlatformClient<SystemClock>) {
    let settings = dandeliondeal_standin::PlatformSettings::default();
    let platform = PlatformStandin::start(settings).expect("platform");
    let settings = PlatformSettings {
        address: platform.address(),
        call_timeout: Duration::from_millis(200),
        ..PlatformSettings::default()
    };
    (platform, PlatformClient::new(settings, SystemClock))
}

fn for_writes(change: FaultChange) -> FaultChange {
    FaultChange {
        only_method: Some("PUT".into()),
        ..change
    }
}

#[actix_rt::test]
async fn conditional_update() {
    let (_platform, client) = start_platform();
    let version = client
        .put(OBJECT_NAME, PutCondition::Absent, "a".into())
        .await;
    let version = version.expect("first write");
    let error = client
        .put(OBJECT_NAME, PutCondition::Absent, "b".into())
        .await;
    let found = Some(version);
    assert!(matches!(error, Err(StoreError::Conflict { found: seen, .. }) if seen == found));
    let value = client
        .get(OBJECT_NAME)
        .await
        .expect("read")
        .expect("object");
    assert_eq!((value.version, &*value.body), (version, "a"));
    let listed = client.list("status/").await.expect("list");
    assert_eq!(listed, [value]);
    client.delete(OBJECT_NAME, version).await.expect("deletion");
    assert_eq!(client.get(OBJECT_NAME).await, Ok(None));
}

#[actix_rt::test]
async fn lost_write_answer() {
    let (platform, client) = start_platform();
    platform.set_faults(for_writes(FaultChange {
        reset_answers: Some(1),
        ..FaultChange::default()
    }));
    let error = client
        .put(OBJECT_NAME, PutCondition::Absent, "a".into())
        .await;
    let error = error.expect_err("closed connection");
    assert!(!error.is_not_written(), "{error}");
    assert!(client.get(OBJECT_NAME).await.expect("read").is_some());
}

#[actix_rt::test]
async fn write_sent_once() {
    let (platform, client) = start_platform();
    platform.set_faults(for_writes(FaultChange {
        lose_calls: Some(1),
        ..FaultChange::default()
    }));
    let error = client
        .put(OBJECT_NAME, PutCondition::Absent, "a".into())
        .await;
    assert!(matches!(error, Err(StoreError::ResponseLost { .. })));
    assert_eq!(
        client.get(OBJECT_NAME).await,
        Ok(None),
        "the write must not be retried"
    );
}

#[actix_rt::test]
async fn refused_connection() {
    let (platform, client) = start_platform();
    platform.kill();
    platform.wait_until_ended().await;
    let error = client
        .put(OBJECT_NAME, PutCondition::Absent, "a".into())
        .await;
    assert!(error.expect_err("no platform").is_not_written());
}

#[actix_rt::test]
async fn platform_outage() {
    let (platform, client) = start_platform();
    platform.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    let error = client
        .put(OBJECT_NAME, PutCondition::Absent, "a".into())
        .await;
    assert!(matches!(error, Err(StoreError::Unavailable { .. })));
}

#[actix_rt::test]
async fn silent_watch() {
    let (platform, client) = start_platform();
    let seen = client
        .put(OBJECT_NAME, PutCondition::Absent, "a".into())
        .await;
    let seen = seen.expect("first write");
    let change = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        platform.set_faults(FaultChange {
            silence_connections: Some(true),
            ..FaultChange::default()
        });
        let condition = PutCondition::Version(seen);
        client.put(OBJECT_NAME, condition, "b".into()).await
    };
    let watch = client.watch(OBJECT_NAME, seen, Duration::from_millis(500));
    let (found, changed) = futures_util::future::join(watch, change).await;
    changed.expect("a write over a new connection");
    let value = found.expect("read after the watch").expect("object");
    assert_eq!(&*value.body, "b");
}
