//! An endpoint that the platform's instance list shows as leaving gets no new session.

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use common::{TestSite, completion, engine_settings, test_settings};
use dandeliondeal_config::{EntrySettings, PlatformSettings};
use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_types::{EndpointId, InstanceRecord, InstanceRole, InstanceState, LayerRange};

/// Maximum time from the list showing an endpoint as leaving to the last new session.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);

fn instance_record(id: &str, state: InstanceState, site: &TestSite) -> InstanceRecord {
    InstanceRecord {
        id: id.into(),
        role: InstanceRole::Endpoint,
        state,
        address: site.engines[0].address(),
        failure_domain: "domain-a".into(),
        region: "region-a".into(),
        incarnation: 1,
    }
}

async fn wait_for_leaving(
    site: &TestSite,
    endpoint: &EndpointId,
    is_leaving: bool,
    limit: Duration,
) {
    let start = Instant::now();
    while site.entry.context().engine_use().is_leaving(endpoint) != is_leaving {
        assert!(
            start.elapsed() < limit,
            "leaving state of {endpoint} not updated in time"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn complete(site: &TestSite) {
    let body = completion("a bowl", 4, false);
    let answer = site.call(Method::POST, "/v1/completions", &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[actix_rt::test]
async fn leaving_in_list() {
    for lag in [0, 900] {
        let platform =
            PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default()).unwrap();
        platform.set_faults(FaultChange {
            list_lag_milliseconds: Some(lag),
            ..FaultChange::default()
        });
        let settings = EntrySettings {
            platform: PlatformSettings {
                address: platform.address(),
                ..PlatformSettings::default()
            },
            ..test_settings()
        };
        let all_layers = LayerRange::new(0, 8);
        let mut site = TestSite::start(
            settings,
            vec![engine_settings(all_layers), engine_settings(all_layers)],
        )
        .await;
        site.entry.join_fleet().unwrap();
        let endpoint = EndpointId::from("engine-1");
        platform.put_instance(instance_record(&endpoint, InstanceState::Leaving, &site));
        let limit = DETECTION_LIMIT + Duration::from_millis(lag);
        wait_for_leaving(&site, &endpoint, true, limit).await;
        site.engines[0].clear_ledger();
        for _ in 0..6 {
            complete(&site).await;
        }
        assert!(site.engines[0].ledger().is_empty());

        // An outage of the platform doesn't end the leaving state; the live state in the list does.
        platform.set_faults(FaultChange {
            outage: Some(true),
            ..FaultChange::default()
        });
        complete(&site).await;
        assert!(site.engines[0].ledger().is_empty());
        platform.set_faults(FaultChange {
            outage: Some(false),
            ..FaultChange::default()
        });
        platform.put_instance(instance_record(&endpoint, InstanceState::Live, &site));
        wait_for_leaving(&site, &endpoint, false, limit).await;
    }
}
