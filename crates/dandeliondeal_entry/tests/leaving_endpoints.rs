//! An endpoint that the platform's list shows as leaving gets no new session.

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use common::{TestSite, completion, engine, settings};
use dandeliondeal_config::{EntrySettings, PlatformSettings};
use dandeliondeal_standin::{FaultChange, PlatformStandin};
use dandeliondeal_types::{EndpointId, InstanceRecord, InstanceRole, InstanceState, LayerRange};

/// Longest time from the list's showing it to the last new session.
const BOUND: Duration = Duration::from_secs(3);

fn record(id: &str, state: InstanceState, site: &TestSite) -> InstanceRecord {
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

async fn await_leaving(site: &TestSite, endpoint: &EndpointId, is_leaving: bool, limit: Duration) {
    let start = Instant::now();
    while site.entry.context().engine_use().is_leaving(endpoint) != is_leaving {
        assert!(start.elapsed() < limit, "{endpoint} not seen in time");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn complete(site: &TestSite) {
    let body = completion("a bowl", 4, false);
    let answer = site.call(Method::POST, "/v1/completions", &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[actix_rt::test]
async fn listed_leaving() {
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
            ..settings()
        };
        let whole = LayerRange::new(0, 8);
        let mut site = TestSite::start(settings, vec![engine(whole), engine(whole)]).await;
        site.entry.join_fleet().unwrap();
        let endpoint = EndpointId::from("engine-1");
        platform.put_instance(record(&endpoint, InstanceState::Leaving, &site));
        let limit = BOUND + Duration::from_millis(lag);
        await_leaving(&site, &endpoint, true, limit).await;
        site.engines[0].clear_ledger();
        for _ in 0..6 {
            complete(&site).await;
        }
        assert!(site.engines[0].ledger().is_empty());

        // An outage of the platform changes nothing; back in service it gets sessions again.
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
        platform.put_instance(record(&endpoint, InstanceState::Live, &site));
        await_leaving(&site, &endpoint, false, limit).await;
    }
}
