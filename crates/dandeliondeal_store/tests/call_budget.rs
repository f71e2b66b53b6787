//! Call budget of a client that is connected to a stand-in platform over a real socket.

use dandeliondeal_standin::PlatformStandin;
use dandeliondeal_store::{BudgetSettings, PlatformClient, PlatformSettings};
use dandeliondeal_types::{ObjectStore, PutCondition, StoreError, SystemClock};

/// Creates a client that may make two calls immediately, then ten reads and one write per second.
fn new_client(platform: &PlatformStandin) -> PlatformClient<SystemClock> {
    let budget = BudgetSettings {
        fleet_reads_per_second: 50.0,
        fleet_writes_per_second: 5.0,
        min_burst_calls: 2.0,
        ..BudgetSettings::default()
    };
    let settings = PlatformSettings {
        address: platform.address(),
        budget,
        ..PlatformSettings::default()
    };
    PlatformClient::new(settings, SystemClock)
}

#[actix_rt::test]
async fn reads_over_budget() {
    let platform = PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default());
    let client = new_client(&platform.unwrap());
    for number in 0..8 {
        let answer = client.get("sheet/head").await;
        assert_eq!(answer, Ok(None), "read {number}");
    }
}

#[actix_rt::test]
async fn write_over_budget() {
    let platform = PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default());
    let client = new_client(&platform.unwrap());
    for name in ["a", "b"] {
        assert!(
            client
                .put(name, PutCondition::Absent, "x".into())
                .await
                .is_ok()
        );
    }
    let third = client.put("c", PutCondition::Absent, "x".into()).await;
    assert!(
        matches!(third, Err(StoreError::OverBudget { .. })),
        "{third:?}"
    );
}
