//! Tests of the object API and the instance list of a platform, over sockets.

mod common;

use std::time::Duration;

use common::{Connection, call, set_faults, wait_until};
use dandeliondeal_standin::{PlatformSettings, PlatformStandin};

fn platform() -> PlatformStandin {
    PlatformStandin::start(PlatformSettings::default()).unwrap()
}

const IF_ABSENT: &str = "if-none-match: *\r\n";

#[actix_rt::test]
async fn conditional_writes() {
    let platform = platform();
    let address = platform.address();
    let first = call(address, "PUT /objects/a/b", IF_ABSENT, "one").await;
    assert_eq!(first.status, 200);
    let version = first.etag().unwrap();
    let duplicate = call(address, "PUT /objects/a/b", IF_ABSENT, "two").await;
    assert_eq!((duplicate.status, duplicate.etag()), (412, Some(version)));
    let condition = format!("if-match: \"{version}\"\r\n");
    let second = call(address, "PUT /objects/a/b", &condition, "two").await;
    assert!(second.etag().unwrap() > version);
    assert_eq!(
        call(address, "PUT /objects/a/b", &condition, "x")
            .await
            .status,
        412
    );
    assert_eq!(
        call(address, "PUT /objects/a/c", &condition, "x")
            .await
            .etag(),
        None
    );
    assert_eq!(call(address, "PUT /objects/a/b", "", "x").await.status, 428);
    let large_body = "x".repeat(1_048_577);
    assert_eq!(
        call(address, "PUT /objects/l", IF_ABSENT, &large_body)
            .await
            .status,
        413
    );
    let read = call(address, "GET /objects/a/b", "", "").await;
    assert_eq!((read.body.as_str(), read.etag()), ("two", second.etag()));
    let list = call(address, "GET /objects?prefix=a%2F", "", "").await;
    assert_eq!(list.json()[0]["body"], "two");
    let condition = format!("if-match: \"{}\"\r\n", second.etag().unwrap());
    assert_eq!(
        call(address, "DELETE /objects/a/b", &condition, "")
            .await
            .status,
        204
    );
    assert_eq!(call(address, "GET /objects/a/b", "", "").await.status, 404);
    let recreated = call(address, "PUT /objects/a/b", IF_ABSENT, "three").await;
    assert!(recreated.etag() > second.etag());
    assert_eq!(platform.ledger().len(), 4);
}

#[actix_rt::test]
async fn watched_object() {
    let platform = platform();
    let address = platform.address();
    let timed_out = call(address, "GET /objects/w?watch=0&limit_ms=20", "", "").await;
    assert_eq!(timed_out.status, 304);
    let mut watch = Connection::open(address).await;
    watch
        .send("GET /objects/w?watch=0&limit_ms=9000", "", "")
        .await;
    wait_until(|| platform.counts().watches == 2).await;
    let written = call(address, "PUT /objects/w", IF_ABSENT, "new").await;
    let change = watch.receive().await.unwrap();
    assert_eq!(
        (change.body.as_str(), change.etag()),
        ("new", written.etag())
    );
}

#[actix_rt::test]
async fn delayed_write() {
    let platform = platform();
    let address = platform.address();
    set_faults(
        address,
        r#"{"delay_writes":2,"delay_writes_milliseconds":600}"#,
    )
    .await;
    let mut delayed = Connection::open(address).await;
    delayed.send("PUT /objects/d", IF_ABSENT, "late").await;
    let mut superseded = Connection::open(address).await;
    superseded.send("PUT /objects/f", IF_ABSENT, "late").await;
    wait_until(|| platform.faults().delay_writes == 0).await;
    assert_eq!(call(address, "GET /objects/d", "", "").await.status, 404);
    assert_eq!(
        call(address, "PUT /objects/f", IF_ABSENT, "mine")
            .await
            .status,
        200
    );
    assert!(delayed.is_silent().await);
    wait_until(|| platform.object("d").is_some()).await;
    assert_eq!(&*platform.object("d").unwrap().body, "late");
    assert_eq!(&*platform.object("f").unwrap().body, "mine");
}

#[actix_rt::test]
async fn write_rate_limit() {
    let platform = PlatformStandin::start(PlatformSettings {
        writes_per_second: 1,
        ..PlatformSettings::default()
    })
    .unwrap();
    let address = platform.address();
    assert_eq!(
        call(address, "PUT /objects/1", IF_ABSENT, "").await.status,
        200
    );
    let refused = call(address, "PUT /objects/2", IF_ABSENT, "").await;
    assert_eq!(refused.status, 429);
    assert!(refused.head.contains("retry-after: 1"));
    assert_eq!(platform.ledger().len(), 1);
}

#[actix_rt::test]
async fn delayed_list() {
    let platform = platform();
    let address = platform.address();
    let record = r#"{"id":"e1","role":"endpoint","state":"live","address":"127.0.0.1:9",
        "failure_domain":"didube","region":"tbilisi","incarnation":0}"#;
    assert_eq!(
        call(address, "PUT /instances/e1", "", record).await.status,
        204
    );
    assert_eq!(
        call(address, "GET /instances", "", "").await.json()[0]["id"],
        "e1"
    );
    set_faults(address, r#"{"list_lag_milliseconds":60000}"#).await;
    assert_eq!(call(address, "GET /instances", "", "").await.body, "[]");
    set_faults(address, r#"{"list_lag_milliseconds":100}"#).await;
    actix_rt::time::sleep(Duration::from_millis(120)).await;
    assert_eq!(
        call(address, "DELETE /instances/e1", "", "").await.status,
        204
    );
    actix_rt::time::sleep(Duration::from_millis(120)).await;
    assert_eq!(call(address, "GET /instances", "", "").await.body, "[]");
}
