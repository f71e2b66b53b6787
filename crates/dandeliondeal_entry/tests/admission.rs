//! The admission gate: shares, limits and deadlines, before anything is dispatched.

use std::time::{Duration, Instant};

use dandeliondeal_entry::admission::{
    AdmissionBounds, AdmissionController, AdmissionPermit, AdmissionRequest,
};
use dandeliondeal_entry::admission_capacity::AdmissionTarget;
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget, LimitEntry};
use dandeliondeal_types::{ErrorKind, RouteError, SheetModel, SystemClock};

/// A gate before one replica that takes `capacity` calls at once.
fn gate(capacity: u32, limit: Option<LimitEntry>) -> AdmissionController<SystemClock> {
    let entry = EndpointEntry {
        address: ([127, 0, 0, 1], 1).into(),
        target: EndpointTarget::Service {
            service: "orders".into(),
        },
        accelerator: "".into(),
        failure_domain: "didube".into(),
        region: "tbilisi".into(),
        checks_fencing: false,
        capacity,
    };
    let mut sheet = SheetModel::default();
    sheet.endpoints.insert("orders-1".into(), entry);
    if let Some(limit) = limit {
        sheet.limits.insert("large".into(), limit);
    }
    let bounds = AdmissionBounds {
        organisation_requests: 100,
        queued_requests: 100,
    };
    let gate = AdmissionController::new(bounds, SystemClock);
    gate.install(&sheet, 1);
    gate
}

async fn admit(
    gate: &AdmissionController<SystemClock>,
    organisation: &str,
    wait: Duration,
) -> Result<AdmissionPermit<SystemClock>, RouteError> {
    gate.admit(AdmissionRequest {
        organisation: organisation.into(),
        target: AdmissionTarget::Service("orders".into()),
        tokens: 0,
        priority: 0,
        deadline: Instant::now() + wait,
    })
    .await
}

#[actix_rt::test]
async fn waiter_admitted() {
    let gate = gate(1, None);
    let long = Duration::from_secs(5);
    let first = admit(&gate, "a", long).await.unwrap();
    let second = admit(&gate, "a", long).await.unwrap();
    let waiting = gate.clone();
    let third = actix_rt::spawn(async move { admit(&waiting, "b", long).await.is_ok() });
    while gate.waiting() == 0 {
        actix_rt::task::yield_now().await;
    }
    drop(first);
    assert!(third.await.unwrap());
    drop(second);
}

#[actix_rt::test]
async fn deadline_refused() {
    let gate = gate(1, None);
    let long = Duration::from_secs(5);
    let _first = admit(&gate, "a", long).await.unwrap();
    let _second = admit(&gate, "a", long).await.unwrap();
    let late = admit(&gate, "a", Duration::from_millis(50)).await;
    let error = late.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Overloaded);
    assert!(error.is_not_run() && error.wait().is_some(), "{error:?}");
    assert_eq!(gate.waiting(), 0);
}

#[actix_rt::test]
async fn left_waiter() {
    let gate = gate(1, None);
    let long = Duration::from_secs(5);
    let _first = admit(&gate, "a", long).await.unwrap();
    let _second = admit(&gate, "a", long).await.unwrap();
    let waiting = gate.clone();
    let left = actix_rt::spawn(async move { admit(&waiting, "b", long).await.is_ok() });
    while gate.waiting() == 0 {
        actix_rt::task::yield_now().await;
    }
    left.abort();
    assert!(left.await.is_err());
    assert_eq!(gate.waiting(), 0);
}

#[actix_rt::test]
async fn limit_refused() {
    let limit = LimitEntry {
        concurrency: 1,
        ..LimitEntry::default()
    };
    let gate = gate(8, Some(limit));
    let long = Duration::from_secs(5);
    let first = admit(&gate, "large", long).await.unwrap();
    let error = admit(&gate, "large", long).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Limited);
    assert!(error.is_not_run() && error.wait().is_some(), "{error:?}");
    assert!(admit(&gate, "small", long).await.is_ok());
    drop(first);
    assert!(admit(&gate, "large", long).await.is_ok());
}
