//! Non-repeatable calls to plain services over real sockets, with injected faults.

mod claim_fleet;

use std::time::Duration;

use claim_fleet::{ClaimFleet, FleetSettings};
use dandeliondeal_standin::FaultChange;

fn reset_answer() -> FaultChange {
    FaultChange {
        reset_answers: Some(1),
        only_method: Some("POST".into()),
        ..FaultChange::default()
    }
}

fn lose_call() -> FaultChange {
    FaultChange {
        lose_calls: Some(1),
        only_method: Some("POST".into()),
        ..FaultChange::default()
    }
}

fn outage(is_out: bool) -> FaultChange {
    FaultChange {
        outage: Some(is_out),
        ..FaultChange::default()
    }
}

#[actix_rt::test]
async fn reset_in_doubt() {
    let fleet = ClaimFleet::start(FleetSettings {
        settles: false,
        services: 2,
        ..FleetSettings::default()
    })
    .await;
    // Both endpoints reset their first connection; a retry at the other would add a ledger entry.
    fleet.services[0].set_faults(reset_answer());
    fleet.services[1].set_faults(reset_answer());
    let reply = fleet.call(0, None, "book").await;
    assert_eq!((reply.status, &*reply.outcome), (504, "in-doubt"));
    assert_eq!(fleet.ledger().len(), 1);
}

#[actix_rt::test]
async fn reset_settled() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    fleet.services[0].set_faults(reset_answer());
    let reply = fleet.call(0, None, "book").await;
    assert_eq!((reply.status, &*reply.outcome), (200, "answered"));
    assert!(reply.body.contains("/book"), "{reply:?}");
    assert_eq!(fleet.ledger().len(), 1);
}

#[actix_rt::test]
async fn settled_after_deadline() {
    let fleet = ClaimFleet::start(FleetSettings {
        deadline: Duration::from_millis(300),
        ..FleetSettings::default()
    })
    .await;
    let freeze = |is_frozen| FaultChange {
        freeze: Some(is_frozen),
        ..FaultChange::default()
    };
    fleet.services[0].set_faults(freeze(true));
    let reply = fleet.call(0, None, "book").await;
    assert_eq!((reply.status, &*reply.outcome), (504, "in-doubt"));
    fleet.services[0].set_faults(freeze(false));
    let mut state = fleet.request_state(0, &reply.request).await;
    for _attempt in 0..100 {
        if state.outcome != "in-doubt" {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        state = fleet.request_state(0, &reply.request).await;
    }
    let expected = if fleet.ledger().is_empty() {
        "not-run"
    } else {
        "answered"
    };
    assert_eq!(state.outcome, expected);
}

#[actix_rt::test]
async fn lost_call_settled() {
    let fleet = ClaimFleet::start(FleetSettings {
        service_timeout: Duration::from_millis(300),
        ..FleetSettings::default()
    })
    .await;
    fleet.services[0].set_faults(lose_call());
    let reply = fleet.call(0, None, "book").await;
    assert_eq!((reply.status, &*reply.outcome), (503, "not-run"));
    assert_eq!(fleet.ledger().len(), 0);
}

#[actix_rt::test]
async fn refused_connection() {
    // The instance id decides the endpoint tried first; in one of the two cases it is the dead one.
    for dead in 0..2 {
        let fleet = ClaimFleet::start(FleetSettings {
            services: 2,
            ..FleetSettings::default()
        })
        .await;
        fleet.services[dead].kill();
        fleet.services[dead].wait_until_ended().await;
        let reply = fleet.call(0, None, "book").await;
        assert_eq!((reply.status, &*reply.outcome), (200, "answered"));
        assert_eq!(fleet.ledger().len(), 1);
    }
}

#[actix_rt::test]
async fn settlement_path() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    for path in [
        "settlements/a",
        "/settlements/a",
        "%73ettlements/a",
        "x/../settlements/a",
    ] {
        let reply = fleet.call(0, None, path).await;
        assert_eq!((reply.status, &*reply.outcome), (404, "not-run"), "{path}");
    }
}

#[actix_rt::test]
async fn store_outage() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    fleet.platform.set_faults(outage(true));
    // The call does not run, but the store cannot be read to see whether its key ran before.
    let reply = fleet.call(0, Some("k"), "book").await;
    assert_eq!((reply.status, &*reply.outcome), (504, "in-doubt"));
    assert_eq!(fleet.ledger().len(), 0);
    let reply = fleet.call(0, None, "book").await;
    assert_eq!(
        reply.status, 200,
        "calls without a key do not need the store"
    );
    fleet.platform.set_faults(outage(false));
    let reply = fleet.call(1, Some("k"), "book").await;
    assert_eq!(reply.status, 200);
    assert_eq!(fleet.ledger().len(), 2);
}
