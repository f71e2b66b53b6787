//! Calls to a service of which some endpoints are silent, dead or leaving, over real sockets.

mod claim_fleet;

use std::time::Duration;

use claim_fleet::{ClaimFleet, FleetSettings};
use dandeliondeal_balance::HealthState;
use dandeliondeal_standin::FaultChange;

const SERVICES: usize = 4;
const CALLS: usize = 24;

async fn start_fleet() -> ClaimFleet {
    ClaimFleet::start(FleetSettings {
        services: SERVICES,
        settles: false,
        service_timeout: Duration::from_millis(300),
        ..FleetSettings::default()
    })
    .await
}

/// Makes `calls` calls one after another and returns how many were answered.
async fn count_answered(fleet: &ClaimFleet, calls: usize) -> usize {
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
        let fleet = start_fleet().await;
        fleet.services[silent].set_faults(FaultChange {
            freeze: Some(true),
            ..FaultChange::default()
        });
        let answered = count_answered(&fleet, CALLS).await;
        // Three failures in a row take the endpoint out of use.
        assert!(
            answered >= CALLS - 3,
            "silent endpoint {silent}: {answered} of {CALLS} calls answered"
        );
    }
}

#[actix_rt::test]
async fn half_killed() {
    let fleet = start_fleet().await;
    for service in &fleet.services[..SERVICES / 2] {
        service.kill();
        service.wait_until_ended().await;
    }
    assert_eq!(count_answered(&fleet, CALLS).await, CALLS);
    let ran: Vec<usize> = fleet
        .services
        .iter()
        .map(|service| service.ledger().len())
        .collect();
    assert_eq!(ran.iter().sum::<usize>(), CALLS, "{ran:?}");
}

#[actix_rt::test]
async fn leaving_replica() {
    let fleet = start_fleet().await;
    let monitor = fleet.entries[0].context().monitor();
    let leaving = "order-desk-0".into();
    monitor.set_leaving(&leaving, true);
    assert_eq!(monitor.state(&leaving), Some(HealthState::Leaving));
    assert_eq!(count_answered(&fleet, CALLS).await, CALLS);
    assert!(fleet.services[0].ledger().is_empty());
}
