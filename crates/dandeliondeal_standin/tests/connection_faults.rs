//! Tests of the faults that all stand-ins share, with a stand-in service.

mod common;

use std::time::{Duration, Instant};

use common::{Connection, call, set_faults, wait_until};
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
    let mut silenced = Connection::open(service.address()).await;
    assert_eq!(silenced.call(DEPOSIT, "", "").await.status, 200);
    set_faults(service.address(), r#"{"silence_connections":true}"#).await;
    silenced.send(DEPOSIT, "", "").await;
    assert!(silenced.is_silent().await);
    assert_eq!(call(service.address(), DEPOSIT, "", "").await.status, 200);
    assert_eq!(service.ledger().len(), 2);
}

#[actix_rt::test]
async fn silenced_during_call() {
    let service = service(Duration::from_millis(50));
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    wait_until(|| service.open_calls() == 1).await;
    set_faults(service.address(), r#"{"silence_connections":true}"#).await;
    wait_until(|| service.ledger().len() == 1).await;
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
async fn immediate_kill() {
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
    let restart_settings = ServiceSettings {
        listen: service.address(),
        ..ServiceSettings::default()
    };
    let restarted = ServiceStandin::start(restart_settings).unwrap();
    assert_eq!(call(restarted.address(), DEPOSIT, "", "").await.status, 200);
}

#[actix_rt::test]
async fn graceful_stop() {
    let service = service(Duration::from_millis(100));
    let mut idle = Connection::open(service.address()).await;
    assert_eq!(idle.call("GET /faults", "", "").await.status, 200);
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    wait_until(|| service.open_calls() == 1).await;
    let service_handle = service.clone();
    actix_rt::spawn(async move { service_handle.stop().await });
    assert!(idle.is_closed().await);
    assert_eq!(open.receive().await.unwrap().status, 200);
    service.wait_until_ended().await;
    assert_eq!(service.ledger().len(), 1);
}

#[actix_rt::test]
async fn abandoned_call() {
    let service = service(Duration::from_millis(50));
    let mut open = Connection::open(service.address()).await;
    open.send(DEPOSIT, "", "").await;
    wait_until(|| service.open_calls() == 1).await;
    drop(open);
    wait_until(|| service.ledger().len() == 1).await;
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
    let request_headers = "dandeliondeal-request-id: r1\r\nidempotency-key: k1\r\n";
    assert_eq!(
        call(service.address(), DEPOSIT, request_headers, "7")
            .await
            .status,
        200
    );
    let ran_settlement = call(service.address(), "PUT /settlements/r1", "", "").await;
    assert_eq!(ran_settlement.json()["ran"], true);
    assert_eq!(ran_settlement.json()["status"], 200);
    assert_eq!(&*service.ledger()[0].key, "k1");
    let not_run_settlement = call(service.address(), "PUT /settlements/r2", "", "").await;
    assert_eq!(not_run_settlement.json()["ran"], false);
    let late_headers = "dandeliondeal-request-id: r2\r\n";
    assert_eq!(
        call(service.address(), DEPOSIT, late_headers, "7")
            .await
            .status,
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
