//! Faults of connections and calls, on the service; every kind shares them.

mod common;

use std::time::{Duration, Instant};

use common::{Connection, call, set_faults, until};
use dandeliondeal_standin::{FaultChange, ServiceSettings, ServiceStandin};

const DEPOSIT: &str = "POST /deposits";

fn service(duration: Duration) -> ServiceStandin {
    ServiceStandin::start(ServiceSettings {
        duration,
        ..ServiceSettings::default()
    })
    .unwrap()
}

#[actix_rt::test]
async fn silent_connections() {
    let service = service(Duration::ZERO);
    let mut old = Connection::open(service.address()).await;
    assert_eq!(old.call(DEPOSIT, "", "").await.status, 200);
    set_faults(service.address(), r#"{"silence_connections":true}"#).await;
    old.send(DEPOSIT, "", "").await;
    assert!(old.is_silent().await);
    assert_eq!(call(service.address(), DEPOSIT, "", "").await.status, 200);
    assert_eq!(service.ledger().len(), 2);
}

#[actix_rt::test]
async fn silent_mid_call() {
    let service = service(Duration::from_millis(50));
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    until(|| service.open_calls() == 1).await;
    set_faults(service.address(), r#"{"silence_connections":true}"#).await;
    until(|| service.ledger().len() == 1).await;
    assert!(open.is_silent().await);
}

#[actix_rt::test]
async fn lost_answer() {
    let service = service(Duration::ZERO);
    set_faults(service.address(), r#"{"lose_answers":1}"#).await;
    let mut lost = Connection::open(service.address()).await;
    lost.send(DEPOSIT, "", "").await;
    assert!(lost.is_silent().await);
    assert_eq!(service.ledger().len(), 1);
    assert_eq!(call(service.address(), DEPOSIT, "", "").await.status, 200);
}

#[actix_rt::test]
async fn lost_call() {
    let service = service(Duration::ZERO);
    set_faults(service.address(), r#"{"lose_calls":1,"only_path":"/dep"}"#).await;
    assert_eq!(
        call(service.address(), "GET /status", "", "").await.status,
        200
    );
    let mut lost = Connection::open(service.address()).await;
    lost.send(DEPOSIT, "", "").await;
    assert!(lost.is_silent().await);
    assert_eq!(service.ledger().len(), 1);
}

#[actix_rt::test]
async fn reset_answer() {
    let service = service(Duration::ZERO);
    set_faults(service.address(), r#"{"reset_answers":1}"#).await;
    let mut reset = Connection::open(service.address()).await;
    reset.send(DEPOSIT, "", "").await;
    assert!(reset.is_closed().await);
    assert_eq!(service.ledger().len(), 1);
}

#[actix_rt::test]
async fn outage_ends() {
    let service = service(Duration::ZERO);
    set_faults(service.address(), r#"{"outage":true}"#).await;
    assert_eq!(call(service.address(), DEPOSIT, "", "").await.status, 503);
    assert!(service.ledger().is_empty());
    set_faults(service.address(), r#"{"outage":false}"#).await;
    assert_eq!(call(service.address(), DEPOSIT, "", "").await.status, 200);
}

#[actix_rt::test]
async fn freeze_ends() {
    let service = service(Duration::ZERO);
    set_faults(service.address(), r#"{"freeze":true}"#).await;
    let mut frozen = Connection::open(service.address()).await;
    frozen.send(DEPOSIT, "", "").await;
    assert!(frozen.is_silent().await);
    assert!(service.ledger().is_empty());
    set_faults(service.address(), r#"{"freeze":false}"#).await;
    assert_eq!(frozen.receive().await.unwrap().status, 200);
    assert_eq!(service.ledger().len(), 1);
}

#[actix_rt::test]
async fn slow_answer() {
    let service = service(Duration::ZERO);
    set_faults(service.address(), r#"{"slow_milliseconds":50}"#).await;
    let start = Instant::now();
    assert_eq!(call(service.address(), DEPOSIT, "", "").await.status, 200);
    assert!(start.elapsed() >= Duration::from_millis(50));
}

#[actix_rt::test]
async fn killed_at_once() {
    let service = service(Duration::from_millis(100));
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    let mut idle = Connection::open(service.address()).await;
    assert_eq!(idle.call("GET /faults", "", "").await.status, 200);
    service.kill();
    assert!(
        tokio::net::TcpStream::connect(service.address())
            .await
            .is_err()
    );
    assert!(open.is_closed().await);
    assert!(idle.is_closed().await);
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    assert!(service.ledger().is_empty());
    let again = ServiceSettings {
        listen: service.address(),
        ..ServiceSettings::default()
    };
    let reborn = ServiceStandin::start(again).unwrap();
    assert_eq!(call(reborn.address(), DEPOSIT, "", "").await.status, 200);
}

#[actix_rt::test]
async fn graceful_stop() {
    let service = service(Duration::from_millis(100));
    let mut idle = Connection::open(service.address()).await;
    assert_eq!(idle.call("GET /faults", "", "").await.status, 200);
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    until(|| service.open_calls() == 1).await;
    let stopping = service.clone();
    actix_rt::spawn(async move { stopping.stop().await });
    assert!(idle.is_closed().await);
    assert_eq!(open.receive().await.unwrap().status, 200);
    service.ended().await;
    assert_eq!(service.ledger().len(), 1);
}

#[actix_rt::test]
async fn abandoned_call() {
    let service = service(Duration::from_millis(50));
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    until(|| service.open_calls() == 1).await;
    drop(open);
    until(|| service.ledger().len() == 1).await;
}

#[actix_rt::test]
async fn unknown_fault() {
    let service = service(Duration::ZERO);
    let answer = call(service.address(), "POST /faults", "", r#"{"slov":1}"#).await;
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("slov"));
}

#[actix_rt::test]
async fn settled_calls() {
    let service = service(Duration::ZERO);
    let named = "dandeliondeal-request-id: r1\r\nidempotency-key: k1\r\n";
    assert_eq!(
        call(service.address(), DEPOSIT, named, "7").await.status,
        200
    );
    let ran = call(service.address(), "PUT /settlements/r1", "", "").await;
    assert_eq!(ran.json()["ran"], true);
    assert_eq!(ran.json()["status"], 200);
    assert_eq!(&*service.ledger()[0].key, "k1");
    let not_run = call(service.address(), "PUT /settlements/r2", "", "").await;
    assert_eq!(not_run.json()["ran"], false);
    let late = "dandeliondeal-request-id: r2\r\n";
    assert_eq!(
        call(service.address(), DEPOSIT, late, "7").await.status,
        409
    );
    assert_eq!(service.ledger().len(), 1);
    service.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    assert_eq!(
        call(service.address(), "PUT /settlements/r1", "", "")
            .await
            .status,
        503
    );
}
