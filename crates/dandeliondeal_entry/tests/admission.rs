//! Admission control: capacity, limits of organisations and deadlines.

use std::time::{Duration, Instant};

use dandeliondeal_entry::admission::{
    AdmissionBounds, AdmissionController, AdmissionPermit, AdmissionRequest,
};
use dandeliondeal_entry::admission_capacity::AdmissionTarget;
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget, LimitEntry};
use dandeliondeal_types::{ErrorKind, RouteError, SheetModel, SystemClock};

/// Returns an admission controller for one endpoint with this capacity.
///
/// Slots are 125 % of it, rounded up, so capacity 1 admits two requests.
fn controller(capacity: u32, limit: Option<LimitEntry>) -> AdmissionController<SystemClock> {
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
    let controller = AdmissionController::new(bounds, SystemClock);
    controller.install(&sheet, 1);
    controller
}

async fn admit(
    controller: &AdmissionController<SystemClock>,
    organisation: &str,
    wait: Duration,
) -> Result<AdmissionPermit<SystemClock>, RouteError> {
    controller
        .admit(AdmissionRequest {
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
    let controller = controller(1, None);
    let long_wait = Duration::from_secs(5);
    let first = admit(&controller, "a", long_wait).await.unwrap();
    let second = admit(&controller, "a", long_wait).await.unwrap();
    let waiter_controller = controller.clone();
    let third =
        actix_rt::spawn(async move { admit(&waiter_controller, "b", long_wait).await.is_ok() });
    while controller.waiting() == 0 {
        actix_rt::task::yield_now().await;
    }
    drop(first);
    assert!(third.await.unwrap());
    drop(second);
}

#[actix_rt::test]
async fn expired_deadline() {
    let controller = controller(1, None);
    let long_wait = Duration::from_secs(5);
    let _first = admit(&controller, "a", long_wait).await.unwrap();
    let _second = admit(&controller, "a", long_wait).await.unwrap();
    let expired = admit(&controller, "a", Duration::from_millis(50)).await;
    let error = expired.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Overloaded);
    assert!(
        error.is_not_run() && error.retry_delay().is_some(),
        "{error:?}"
    );
    assert_eq!(controller.waiting(), 0);
}

#[actix_rt::test]
async fn cancelled_waiter() {
    let controller = controller(1, None);
    let long_wait = Duration::from_secs(5);
    let _first = admit(&controller, "a", long_wait).await.unwrap();
    let _second = admit(&controller, "a", long_wait).await.unwrap();
    let waiter_controller = controller.clone();
    let cancelled =
        actix_rt::spawn(async move { admit(&waiter_controller, "b", long_wait).await.is_ok() });
    while controller.waiting() == 0 {
        actix_rt::task::yield_now().await;
    }
    cancelled.abort();
    assert!(cancelled.await.is_err());
    assert_eq!(controller.waiting(), 0);
}

#[actix_rt::test]
async fn organisation_limit() {
    let limit = LimitEntry {
        concurrency: 1,
        ..LimitEntry::default()
    };
    let controller = controller(8, Some(limit));
    let long_wait = Duration::from_secs(5);
    let first = admit(&controller, "large", long_wait).await.unwrap();
    let error = admit(&controller, "large", long_wait).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Limited);
    assert!(
        error.is_not_run() && error.retry_delay().is_some(),
        "{error:?}"
    );
    assert!(admit(&controller, "small", long_wait).await.is_ok());
    drop(first);
    assert!(admit(&controller, "large", long_wait).await.is_ok());
}
