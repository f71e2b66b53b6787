//! Non-repeatable calls with idempotency keys, at three entry instances over real sockets.

mod claim_fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use claim_fleet::{CallReply, ClaimFleet, FleetSettings};
use dandeliondeal_claim::{
    ClaimKey, ClaimOrigin, ClaimRecord, RequestFingerprint, ShardReply, ShardTask,
};
use dandeliondeal_standin::FaultChange;
use dandeliondeal_types::{Clock as _, SystemClock};
use futures_util::future::join_all;

const KEYS: usize = 200;

/// Calls all three instances concurrently with each key.
async fn call_concurrently(fleet: &ClaimFleet, keys: usize) -> Vec<(usize, CallReply)> {
    let calls = (0..keys * 3).map(async |index| {
        let key = format!("key-{}", index / 3);
        (index / 3, fleet.call(index % 3, Some(&key), "book").await)
    });
    join_all(calls).await
}

fn runs_by_key(fleet: &ClaimFleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for entry in fleet.ledger() {
        *runs.entry(entry.key.to_string()).or_default() += 1;
    }
    runs
}

/// Asserts that no key ran twice, and that every key with an answered call ran.
fn assert_single_runs(fleet: &ClaimFleet, replies: &[(usize, CallReply)]) {
    let runs = runs_by_key(fleet);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    for (key, reply) in replies {
        let ran = runs.contains_key(&format!("key-{key}"));
        assert!(ran || reply.outcome != "answered", "key {key}: {reply:?}");
    }
}

/// Checks that concurrent calls with the same key all get the answer of the single run.
async fn check_concurrent_repeats(settings: FleetSettings) -> ClaimFleet {
    let fleet = ClaimFleet::start(FleetSettings {
        deadline: Duration::from_secs(20),
        ..settings
    })
    .await;
    let replies = call_concurrently(&fleet, KEYS).await;
    assert_single_runs(&fleet, &replies);
    assert_eq!(runs_by_key(&fleet).len(), KEYS);
    let mut bodies: BTreeMap<usize, &str> = BTreeMap::new();
    for (key, reply) in &replies {
        assert_eq!(
            (reply.status, &*reply.outcome),
            (200, "answered"),
            "{reply:?}"
        );
        let first = bodies.entry(*key).or_insert(&reply.body);
        assert_eq!(
            *first, reply.body,
            "all calls with a key get the same answer"
        );
    }
    fleet
}

#[actix_rt::test]
async fn concurrent_repeats() {
    check_concurrent_repeats(FleetSettings::default()).await;
}

#[actix_rt::test]
async fn forwarded_claims() {
    let fleet = check_concurrent_repeats(FleetSettings {
        forwards_claims: true,
        ..FleetSettings::default()
    })
    .await;
    let shards = fleet.entries[0].context().claims().settings().shards;
    let claims = (KEYS * 2) as u64;
    let writes = fleet.platform.counts().writes;
    assert!(
        writes < claims,
        "{writes} writes for {claims} records in {shards} shards"
    );
}

/// The preferred instance stops answering its peers; the others write to the claim log themselves.
#[actix_rt::test]
async fn silent_preferred_instance() {
    let fleet = ClaimFleet::start(FleetSettings {
        deadline: Duration::from_secs(20),
        forwards_claims: true,
        ..FleetSettings::default()
    })
    .await;
    let calls = call_concurrently(&fleet, 40);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        fleet.entries[0].link().expect("link").stop();
    };
    let (replies, ()) = futures_util::future::join(calls, stop).await;
    assert_single_runs(&fleet, &replies);
    assert_eq!(runs_by_key(&fleet).len(), 40);
}

#[actix_rt::test]
async fn changed_content() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    assert_eq!(
        fleet.call_with(0, Some("k"), "book", "one").await.status,
        200
    );
    let reply = fleet.call_with(1, Some("k"), "book", "two").await;
    assert_eq!((reply.status, &*reply.outcome), (422, "not-run"));
    assert_eq!(fleet.ledger().len(), 1);
}

#[actix_rt::test]
async fn state_at_other_instance() {
    let fleet = ClaimFleet::start(FleetSettings::default()).await;
    let reply = fleet.call(0, Some("k"), "book").await;
    let state = fleet.request_state(2, &reply.request).await;
    assert_eq!((state.status, &*state.outcome), (200, "answered"));
}

#[actix_rt::test]
async fn lost_store_answers() {
    let fleet = ClaimFleet::start(FleetSettings {
        deadline: Duration::from_secs(20),
        ..FleetSettings::default()
    })
    .await;
    let faults = [
        FaultChange {
            lose_answers: Some(5),
            ..FaultChange::default()
        },
        FaultChange {
            lose_calls: Some(5),
            ..FaultChange::default()
        },
        FaultChange {
            delay_writes: Some(5),
            delay_writes_milliseconds: Some(500),
            ..FaultChange::default()
        },
    ];
    for change in faults {
        fleet.platform.set_faults(FaultChange {
            only_method: Some("PUT".into()),
            ..change
        });
        let replies = call_concurrently(&fleet, 20).await;
        assert_single_runs(&fleet, &replies);
        assert_eq!(runs_by_key(&fleet).len(), 20);
    }
}

#[actix_rt::test]
async fn outage_during_calls() {
    let fleet = ClaimFleet::start(FleetSettings {
        deadline: Duration::from_secs(2),
        ..FleetSettings::default()
    })
    .await;
    let outage = async {
        for is_out in [true, false, true] {
            actix_rt::time::sleep(Duration::from_millis(30)).await;
            fleet.platform.set_faults(FaultChange {
                outage: Some(is_out),
                ..FaultChange::default()
            });
        }
    };
    let (replies, ()) = futures_util::future::join(call_concurrently(&fleet, KEYS), outage).await;
    assert_single_runs(&fleet, &replies);
    fleet.platform.set_faults(FaultChange {
        outage: Some(false),
        ..FaultChange::default()
    });
    let later_replies = call_concurrently(&fleet, KEYS).await;
    assert_single_runs(&fleet, &later_replies);
}

/// Claims a key for a request whose owner never dispatches it, as if it had crashed.
async fn claim_without_dispatch(fleet: &ClaimFleet, request: &str) {
    let key = ClaimKey {
        organisation: "guild".into(),
        key: "k".into(),
    };
    let coordinator = fleet.entries[0].context().claims();
    let shard = key.shard(coordinator.settings().shards);
    let parts: [&[u8]; 4] = [b"order-desk", b"POST", b"/book", b"body"];
    let record = ClaimRecord {
        key,
        fingerprint: RequestFingerprint::from_parts(parts),
        request: request.into(),
        candidates: vec!["order-desk-0".into()],
    };
    let deadline = SystemClock.now() + Duration::from_secs(2);
    let reply = coordinator
        .submit(
            shard,
            ShardTask::Claim(record, ClaimOrigin::Local),
            deadline,
        )
        .await;
    assert_eq!(reply, ShardReply::Claimed);
}

fn short_timeouts() -> FleetSettings {
    FleetSettings {
        service_timeout: Duration::from_millis(100),
        deadline: Duration::from_secs(6),
        ..FleetSettings::default()
    }
}

#[actix_rt::test]
async fn dead_before_dispatch() {
    let fleet = ClaimFleet::start(short_timeouts()).await;
    claim_without_dispatch(&fleet, "dead-1").await;
    let reply = fleet.call(1, Some("k"), "book").await;
    assert_eq!(
        (reply.status, &*reply.outcome),
        (200, "answered"),
        "{reply:?}"
    );
    assert_eq!(
        fleet.ledger().len(),
        1,
        "the first request is settled as not run, the second runs"
    );
}

#[actix_rt::test]
async fn dead_after_dispatch() {
    let fleet = ClaimFleet::start(short_timeouts()).await;
    claim_without_dispatch(&fleet, "dead-1").await;
    let address = fleet.services[0].address();
    let sent = awc::Client::default()
        .post(format!("http://{address}/book"))
        .insert_header(("dandeliondeal-request-id", "dead-1"))
        .send();
    sent.await.expect("answer");
    let reply = fleet.call(1, Some("k"), "book").await;
    assert_eq!(
        (reply.status, &*reply.outcome),
        (200, "answered"),
        "{reply:?}"
    );
    assert_eq!(reply.request, "dead-1");
    assert_eq!(fleet.ledger().len(), 1);
}

#[actix_rt::test]
async fn dead_without_settlement() {
    let fleet = ClaimFleet::start(FleetSettings {
        settles: false,
        ..short_timeouts()
    })
    .await;
    claim_without_dispatch(&fleet, "dead-1").await;
    let reply = fleet.call(1, Some("k"), "book").await;
    assert_eq!(
        (reply.status, &*reply.outcome),
        (504, "in-doubt"),
        "{reply:?}"
    );
    assert_eq!(fleet.ledger().len(), 0);
}
