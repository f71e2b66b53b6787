//! Endpoints that are dead, silent or slow, behind one instance on real sockets.

mod claim_fleet;

use std::time::Duration;

use claim_fleet::{ClaimFleet, FleetSettings};
use dandeliondeal_balance::HealthState;
use dandeliondeal_standin::FaultChange;

const SERVICES: usize = 4;
const CALLS: usize = 24;

async fn fleet() -> ClaimFleet {
    ClaimFleet::start(FleetSettings {
        services: SERVICES,
        settles: false,
        service_timeout: Duration::from_millis(300),
        ..FleetSettings::default()
    })
    .await
}

/// Makes the calls one after another and returns how many were answered.
async fn answered(fleet: &ClaimFleet, calls: usize) -> usize {
    let mut answered = 0;
    for _call in 0..calls {
        let reply = fleet.call(0, None, "book").await;
        answered += usize::from(reply.outcome == "answered");
    }
    answered
}

#[actix_rt::test]
async fn silent_replica() {
    for silent in 0..SERVICES {
        let fleet = fleet().await;
        fleet.services[silent].set_faults(FaultChange {
            freeze: Some(true),
            ..FaultChange::default()
        });
        let answered = answered(&fleet, CALLS).await;
        // Three failures in a row are enough to know it.
        assert!(answered >= CALLS - 3, "{silent}: {answered} of {CALLS}");
    }
}

#[actix_rt::test]
async fn half_dead() {
    let fleet = fleet().await;
    for service in &fleet.services[..SERVICES / 2] {
        service.kill();
        service.ended().await;
    }
    assert_eq!(answered(&fleet, CALLS).await, CALLS);
    let ran: Vec<usize> = fleet
        .services
        .iter()
        .map(|service| service.ledger().len())
        .collect();
    assert_eq!(ran.iter().sum::<usize>(), CALLS, "{ran:?}");
}

#[actix_rt::test]
async fn leaving_listed() {
    let fleet = fleet().await;
    let monitor = fleet.entries[0].context().monitor();
    let leaving = "order-desk-0".into();
    monitor.set_leaving(&leaving, true);
    assert_eq!(monitor.state(&leaving), Some(HealthState::Leaving));
    assert_eq!(answered(&fleet, CALLS).await, CALLS);
    assert!(fleet.services[0].ledger().is_empty());
}
