//! Faults of separate processes: kills, freezes, outages and stops.

mod process_cluster;

use std::collections::BTreeMap;
use std::time::Duration;

use dandeliondeal_entry::token_text::token_text;
use dandeliondeal_standin::reference_answer;
use futures_util::future::join_all;
use process_cluster::{
    CallerAnswer, ClusterProcess, ProcessCluster, read_ledger, send_request, set_faults,
};

const PROMPT: &str = "a copper kettle";
const DEPOSIT_PATH: &str = "/v1/services/order-desk/deposits";

fn completion_body(count: usize) -> String {
    format!(r#"{{"model":"drafting-desk","prompt":"{PROMPT}","max_tokens":{count},"stream":true}}"#)
}

fn expected_text(count: usize) -> String {
    let prompt: Vec<u64> = PROMPT.bytes().map(u64::from).collect();
    let tokens = reference_answer("drafter", 24, &prompt, count);
    tokens
        .into_iter()
        .map(|token| token_text(u32::try_from(token).unwrap()))
        .collect()
}

/// Returns the text of a complete stream, or `None` if the stream broke off.
fn complete_text(answer: Option<CallerAnswer>) -> Option<String> {
    let body = answer?.body;
    if !body.ends_with("data: [DONE]\n\n") {
        return None;
    }
    let chunks = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = chunks.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    Some(
        values
            .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
            .collect(),
    )
}

/// Checks that every key ran at most once, and that no request with outcome `not-run` ran.
async fn check_runs(service: &str, answers: &[Option<CallerAnswer>]) {
    let calls = read_ledger(service).await;
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for call in &calls {
        *runs.entry(call["key"].as_str().unwrap()).or_default() += 1;
    }
    assert!(
        runs.values().all(|count| *count == 1),
        "a call ran twice: {runs:?}"
    );
    for answer in answers
        .iter()
        .flatten()
        .filter(|answer| answer.outcome == "not-run")
    {
        let ran = calls.iter().any(|call| call["request"] == *answer.request);
        assert!(!ran, "request with outcome not-run has run: {answer:?}");
    }
}

/// Returns whether one of the engines has taken over a session from another engine.
async fn has_replacement(engines: &[ClusterProcess]) -> bool {
    let ledgers = join_all(engines.iter().map(|engine| read_ledger(&engine.address))).await;
    ledgers
        .iter()
        .flatten()
        .any(|step| step["lineage"].as_u64() > Some(1))
}

#[actix_rt::test]
async fn killed_engine() {
    let cluster = ProcessCluster::start("killed-engine").await;
    let body = completion_body(80);
    let streams = join_all((0..6).map(|number| {
        let entry = &cluster.entries[number % 3].address;
        send_request(entry, "/v1/completions", None, &body)
    }));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        cluster.engines[0].signal("KILL");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        cluster.engines[3].signal("KILL");
    };
    let (answers, ()) = futures_util::future::join(streams, kill).await;
    for answer in answers {
        assert_eq!(complete_text(answer).as_deref(), Some(&*expected_text(80)));
    }
    assert!(
        has_replacement(&cluster.engines[1..3]).await,
        "no engine took over a session"
    );
}

#[actix_rt::test]
async fn frozen_engine() {
    let cluster = ProcessCluster::start("frozen-engine").await;
    let body = completion_body(60);
    let streams = join_all((0..3).map(|number| {
        send_request(
            &cluster.entries[number].address,
            "/v1/completions",
            None,
            &body,
        )
    }));
    let freeze = async {
        actix_rt::time::sleep(Duration::from_millis(120)).await;
        cluster.engines[1].signal("STOP");
    };
    let (answers, ()) = futures_util::future::join(streams, freeze).await;
    for answer in answers {
        assert_eq!(complete_text(answer).as_deref(), Some(&*expected_text(60)));
    }
    assert!(
        has_replacement(&cluster.engines[3..]).await,
        "no engine took over a session"
    );
}

#[actix_rt::test]
async fn killed_entry() {
    let cluster = ProcessCluster::start("killed-entry").await;
    // Each deposit is sent to the instance that is killed, and then to the two others.
    let deposits = join_all((0..30).map(|number| {
        let cluster = &cluster;
        async move {
            let key = format!("deposit-{number}");
            actix_rt::time::sleep(Duration::from_millis(10 * number)).await;
            let first =
                send_request(&cluster.entries[0].address, DEPOSIT_PATH, Some(&key), "{}").await;
            let second =
                send_request(&cluster.entries[1].address, DEPOSIT_PATH, Some(&key), "{}").await;
            let third =
                send_request(&cluster.entries[2].address, DEPOSIT_PATH, Some(&key), "{}").await;
            [first, second, third]
        }
    }));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        cluster.entries[0].signal("KILL");
    };
    let (answers, ()) = futures_util::future::join(deposits, kill).await;
    let answers: Vec<Option<CallerAnswer>> = answers.into_iter().flatten().collect();
    assert!(
        answers.iter().any(Option::is_none),
        "no request failed at the killed instance"
    );
    check_runs(&cluster.service.address, &answers).await;
    let answered = answers
        .iter()
        .flatten()
        .filter(|answer| answer.outcome == "answered")
        .count();
    assert!(
        answered >= 40,
        "only {answered} of 60 requests to live instances were answered"
    );
}

#[actix_rt::test]
async fn frozen_entry() {
    let cluster = ProcessCluster::start("frozen-entry").await;
    let deposits = join_all((0..20).map(|number| {
        let cluster = &cluster;
        async move {
            let key = format!("booking-{number}");
            actix_rt::time::sleep(Duration::from_millis(10 * number)).await;
            let entries = cluster.entries.iter();
            let answers =
                entries.map(|entry| send_request(&entry.address, DEPOSIT_PATH, Some(&key), "{}"));
            join_all(answers).await
        }
    }));
    let freeze = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        cluster.entries[1].signal("STOP");
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        cluster.entries[1].signal("CONT");
    };
    let (answers, ()) = futures_util::future::join(deposits, freeze).await;
    let answers: Vec<Option<CallerAnswer>> = answers.into_iter().flatten().collect();
    check_runs(&cluster.service.address, &answers).await;
    assert_eq!(read_ledger(&cluster.service.address).await.len(), 20);
}

#[actix_rt::test]
async fn platform_outage() {
    let cluster = ProcessCluster::start("platform-outage").await;
    set_faults(&cluster.platform.address, r#"{"outage":true}"#).await;
    let entry = &cluster.entries[0].address;
    // No instance can read whether an earlier request with this key has run.
    let deposit = send_request(entry, DEPOSIT_PATH, Some("late-1"), "{}")
        .await
        .unwrap();
    assert_eq!(deposit.outcome, "in-doubt", "{deposit:?}");
    assert!(read_ledger(&cluster.service.address).await.is_empty());
    let stream = send_request(entry, "/v1/completions", None, &completion_body(10)).await;
    assert_eq!(complete_text(stream).as_deref(), Some(&*expected_text(10)));
    set_faults(&cluster.platform.address, r#"{"outage":false}"#).await;
    let later_deposit = send_request(entry, DEPOSIT_PATH, Some("late-2"), "{}")
        .await
        .unwrap();
    assert_eq!(later_deposit.outcome, "answered", "{later_deposit:?}");
    check_runs(
        &cluster.service.address,
        &[Some(deposit), Some(later_deposit)],
    )
    .await;
}

#[actix_rt::test]
async fn stopped_entry() {
    let mut cluster = ProcessCluster::start("stopped-entry").await;
    let body = completion_body(120);
    let entry = cluster.entries.remove(0);
    let streams =
        join_all((0..8).map(|_| send_request(&entry.address, "/v1/completions", None, &body)));
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        entry.signal("TERM");
    };
    let (answers, ()) = futures_util::future::join(streams, stop).await;
    for answer in answers {
        assert_eq!(complete_text(answer).as_deref(), Some(&*expected_text(120)));
    }
    let mut entry = entry;
    assert_eq!(entry.exit_code(), Some(0));
}
