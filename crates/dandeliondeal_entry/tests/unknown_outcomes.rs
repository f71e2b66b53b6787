//! Repeats of an idempotency key while the outcome of its first request is unknown.

mod claim_fleet;

use std::time::Duration;

use claim_fleet::{ClaimFleet, FleetSettings};
use dandeliondeal_standin::FaultChange;

fn open_request_count(fleet: &ClaimFleet, entry: usize) -> usize {
    let context = fleet.entries[entry].context();
    context.registry().borrow().open_count()
}

#[actix_rt::test]
async fn repeat_during_outage() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    let first = fleet.call(0, Some("deposit-1"), "deposits").await;
    assert_eq!(&*first.outcome, "answered", "{first:?}");
    fleet.platform.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    // The other instance cannot read from the store that the request of this key has run.
    let repeat = fleet.call(1, Some("deposit-1"), "deposits").await;
    assert_eq!(
        (repeat.status, &*repeat.outcome),
        (504, "in-doubt"),
        "{repeat:?}"
    );
    assert_eq!(open_request_count(&fleet, 1), 0);
    fleet.platform.set_faults(FaultChange {
        outage: Some(false),
        ..FaultChange::default()
    });
    let later = fleet.call(1, Some("deposit-1"), "deposits").await;
    assert_eq!(later.body, first.body);
    assert_eq!(fleet.ledger().len(), 1);
}

#[actix_rt::test]
async fn repeat_in_doubt() {
    let fleet = ClaimFleet::start(FleetSettings {
        settles: false,
        service_timeout: Duration::from_millis(500),
        deadline: Duration::from_secs(1),
        ..FleetSettings::default()
    })
    .await;
    fleet.services[0].set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    let first = fleet.call(0, Some("deposit-2"), "deposits").await;
    assert_eq!(&*first.outcome, "in-doubt", "{first:?}");
    let repeat = fleet.call(1, Some("deposit-2"), "deposits").await;
    assert_eq!(&*repeat.outcome, "in-doubt", "{repeat:?}");
    assert_eq!(fleet.ledger().len(), 1);
    for entry in 0..2 {
        assert_eq!(open_request_count(&fleet, entry), 0, "entry {entry}");
    }
}
