//! The object API and the instance list over sockets.

mod common;

use std::time::Duration;

use common::{Connection, call, set_faults, until};
use dandeliondeal_standin::{PlatformSettings, PlatformStandin};

fn platform() -> PlatformStandin {
    PlatformStandin::start(PlatformSettings::default()).unwrap()
}

const ABSENT: &str = "if-none-match: *\r\n";

#[actix_rt::test]
async fn conditional_writes() {
    let platform = platform();
    let at = platform.address();
    let first = call(at, "PUT /objects/a/b", ABSENT, "one").await;
    assert_eq!(first.status, 200);
    let version = first.etag().unwrap();
    let again = call(at, "PUT /objects/a/b", ABSENT, "two").await;
    assert_eq!((again.status, again.etag()), (412, Some(version)));
    let named = format!("if-match: \"{version}\"\r\n");
    let second = call(at, "PUT /objects/a/b", &named, "two").await;
    assert!(second.etag().unwrap() > version);
    assert_eq!(call(at, "PUT /objects/a/b", &named, "x").await.status, 412);
    assert_eq!(call(at, "PUT /objects/a/c", &named, "x").await.etag(), None);
    assert_eq!(call(at, "PUT /objects/a/b", "", "x").await.status, 428);
    let large = "x".repeat(1_048_577);
    assert_eq!(call(at, "PUT /objects/l", ABSENT, &large).await.status, 413);
    let read = call(at, "GET /objects/a/b", "", "").await;
    assert_eq!((read.body.as_str(), read.etag()), ("two", second.etag()));
    let list = call(at, "GET /objects?prefix=a%2F", "", "").await;
    assert_eq!(list.json()[0]["body"], "two");
    let named = format!("if-match: \"{}\"\r\n", second.etag().unwrap());
    assert_eq!(
        call(at, "DELETE /objects/a/b", &named, "").await.status,
        204
    );
    assert_eq!(call(at, "GET /objects/a/b", "", "").await.status, 404);
    let reborn = call(at, "PUT /objects/a/b", ABSENT, "three").await;
    assert!(reborn.etag() > second.etag());
    assert_eq!(platform.ledger().len(), 4);
}

#[actix_rt::test]
async fn watched_object() {
    let platform = platform();
    let at = platform.address();
    let limit = call(at, "GET /objects/w?watch=0&limit_ms=20", "", "").await;
    assert_eq!(limit.status, 304);
    let mut watch = Connection::open(at).await;
    watch
        .send("GET /objects/w?watch=0&limit_ms=9000", "", "")
        .await;
    until(|| platform.counts().watches == 2).await;
    let written = call(at, "PUT /objects/w", ABSENT, "new").await;
    let seen = watch.receive().await.unwrap();
    assert_eq!((seen.body.as_str(), seen.etag()), ("new", written.etag()));
}

#[actix_rt::test]
async fn delayed_write() {
    let platform = platform();
    let at = platform.address();
    set_faults(at, r#"{"delay_writes":2,"delay_writes_milliseconds":600}"#).await;
    let mut late = Connection::open(at).await;
    late.send("PUT /objects/d", ABSENT, "late").await;
    let mut fenced = Connection::open(at).await;
    fenced.send("PUT /objects/f", ABSENT, "late").await;
    until(|| platform.faults().delay_writes == 0).await;
    assert_eq!(call(at, "GET /objects/d", "", "").await.status, 404);
    assert_eq!(call(at, "PUT /objects/f", ABSENT, "mine").await.status, 200);
    assert!(late.is_silent().await);
    until(|| platform.object("d").is_some()).await;
    assert_eq!(&*platform.object("d").unwrap().body, "late");
    assert_eq!(&*platform.object("f").unwrap().body, "mine");
}

#[actix_rt::test]
async fn limited_rate() {
    let platform = PlatformStandin::start(PlatformSettings {
        writes_per_second: 1,
        ..PlatformSettings::default()
    })
    .unwrap();
    let at = platform.address();
    assert_eq!(call(at, "PUT /objects/1", ABSENT, "").await.status, 200);
    let refused = call(at, "PUT /objects/2", ABSENT, "").await;
    assert_eq!(refused.status, 429);
    assert!(refused.head.contains("retry-after: 1"));
    assert_eq!(platform.ledger().len(), 1);
}

#[actix_rt::test]
async fn lagging_list() {
    let platform = platform();
    let at = platform.address();
    let record = r#"{"id":"e1","role":"endpoint","state":"live","address":"127.0.0.1:9",
        "failure_domain":"didube","region":"tbilisi","incarnation":0}"#;
    assert_eq!(call(at, "PUT /instances/e1", "", record).await.status, 204);
    assert_eq!(
        call(at, "GET /instances", "", "").await.json()[0]["id"],
        "e1"
    );
    set_faults(at, r#"{"list_lag_milliseconds":60000}"#).await;
    assert_eq!(call(at, "GET /instances", "", "").await.body, "[]");
    set_faults(at, r#"{"list_lag_milliseconds":100}"#).await;
    actix_rt::time::sleep(Duration::from_millis(120)).await;
    assert_eq!(call(at, "DELETE /instances/e1", "", "").await.status, 204);
    actix_rt::time::sleep(Duration::from_millis(120)).await;
    assert_eq!(call(at, "GET /instances", "", "").await.body, "[]");
}
