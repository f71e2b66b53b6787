//! The client over real sockets, with the platform's failures brought about.

use std::time::Duration;

use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_store::{PlatformClient, PlatformSettings};
use dandeliondeal_types::{ObjectStore as _, PutCondition, StoreError, SystemClock};

const NAME: &str = "status/entry 1";

fn start() -> (PlatformStandin, PlatformClient<SystemClock>) {
    let settings = dandeliondeal_standin::PlatformSettings::default();
    let platform = PlatformStandin::start(settings).expect("platform");
    let settings = PlatformSettings {
        address: platform.address(),
        call_timeout: Duration::from_millis(200),
        ..PlatformSettings::default()
    };
    (platform, PlatformClient::new(settings, SystemClock))
}

fn on_writes(change: FaultChange) -> FaultChange {
    FaultChange {
        only_method: Some("PUT".into()),
        ..change
    }
}

#[actix_rt::test]
async fn conditional_update() {
    let (_platform, client) = start();
    let version = client.put(NAME, PutCondition::Absent, "a".into()).await;
    let version = version.expect("first write");
    let error = client.put(NAME, PutCondition::Absent, "b".into()).await;
    let found = Some(version);
    assert!(matches!(error, Err(StoreError::Conflict { found: seen, .. }) if seen == found));
    let value = client.get(NAME).await.expect("read").expect("object");
    assert_eq!((value.version, &*value.body), (version, "a"));
    let listed = client.list("status/").await.expect("list");
    assert_eq!(listed, [value]);
    client.delete(NAME, version).await.expect("deletion");
    assert_eq!(client.get(NAME).await, Ok(None));
}

#[actix_rt::test]
async fn closed_before_answer() {
    let (platform, client) = start();
    platform.set_faults(on_writes(FaultChange {
        reset_answers: Some(1),
        ..FaultChange::default()
    }));
    let error = client.put(NAME, PutCondition::Absent, "a".into()).await;
    let error = error.expect_err("closed connection");
    assert!(!error.is_not_written(), "{error}");
    assert!(client.get(NAME).await.expect("read").is_some());
}

#[actix_rt::test]
async fn write_sent_once() {
    let (platform, client) = start();
    platform.set_faults(on_writes(FaultChange {
        lose_calls: Some(1),
        ..FaultChange::default()
    }));
    let error = client.put(NAME, PutCondition::Absent, "a".into()).await;
    assert!(matches!(error, Err(StoreError::AnswerLost { .. })));
    assert_eq!(client.get(NAME).await, Ok(None), "nothing was sent again");
}

#[actix_rt::test]
async fn refused_connection() {
    let (platform, client) = start();
    platform.kill();
    platform.ended().await;
    let error = client.put(NAME, PutCondition::Absent, "a".into()).await;
    assert!(error.expect_err("no platform").is_not_written());
}

#[actix_rt::test]
async fn platform_outage() {
    let (platform, client) = start();
    platform.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    let error = client.put(NAME, PutCondition::Absent, "a".into()).await;
    assert!(matches!(error, Err(StoreError::Unavailable { .. })));
}

#[actix_rt::test]
async fn silent_watch() {
    let (platform, client) = start();
    let seen = client.put(NAME, PutCondition::Absent, "a".into()).await;
    let seen = seen.expect("first write");
    let change = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        platform.set_faults(FaultChange {
            silence_connections: Some(true),
            ..FaultChange::default()
        });
        let condition = PutCondition::Version(seen);
        client.put(NAME, condition, "b".into()).await
    };
    let watch = client.watch(NAME, seen, Duration::from_millis(500));
    let (found, changed) = futures_util::future::join(watch, change).await;
    changed.expect("a write over a new connection");
    let value = found.expect("read after the watch").expect("object");
    assert_eq!(&*value.body, "b");
}
