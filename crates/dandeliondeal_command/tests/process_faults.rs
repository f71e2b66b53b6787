//! Kills, freezes and outages over separate processes.

mod process_site;

use std::collections::BTreeMap;
use std::time::Duration;

use dandeliondeal_entry::token_text::token_text;
use dandeliondeal_standin::reference_answer;
use futures_util::future::join_all;
use process_site::{ProcessSite, SiteAnswer, SiteProcess, faults, ledger, post};

const PROMPT: &str = "a copper kettle";
const DEPOSIT: &str = "/v1/services/order-desk/deposits";

fn completion(count: usize) -> String {
    format!(r#"{{"model":"drafting-desk","prompt":"{PROMPT}","max_tokens":{count},"stream":true}}"#)
}

fn expected(count: usize) -> String {
    let prompt: Vec<u64> = PROMPT.bytes().map(u64::from).collect();
    let tokens = reference_answer("drafter", 24, &prompt, count);
    tokens
        .into_iter()
        .map(|token| token_text(u32::try_from(token).unwrap()))
        .collect()
}

/// The text of a whole stream; `None` if the stream broke off.
fn whole_text(answer: Option<SiteAnswer>) -> Option<String> {
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

/// Checks that every key ran at most once, and that no request told `not-run` ran.
async fn check_calls(service: &str, answers: &[Option<SiteAnswer>]) {
    let calls = ledger(service).await;
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
        assert!(!ran, "told not-run, but ran: {answer:?}");
    }
}

/// Whether one of the engines ran steps in place of another.
async fn has_replacement(engines: &[SiteProcess]) -> bool {
    let ledgers = join_all(engines.iter().map(|engine| ledger(&engine.address))).await;
    ledgers
        .iter()
        .flatten()
        .any(|step| step["lineage"].as_u64() > Some(1))
}

#[actix_rt::test]
async fn killed_engine() {
    let site = ProcessSite::start("killed-engine").await;
    let body = completion(80);
    let streams = join_all((0..6).map(|number| {
        let entry = &site.entries[number % 3].address;
        post(entry, "/v1/completions", None, &body)
    }));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        site.engines[0].signal("KILL");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        site.engines[3].signal("KILL");
    };
    let (answers, ()) = futures_util::future::join(streams, kill).await;
    for answer in answers {
        assert_eq!(whole_text(answer).as_deref(), Some(&*expected(80)));
    }
    assert!(
        has_replacement(&site.engines[1..3]).await,
        "no engine took over a session"
    );
}

#[actix_rt::test]
async fn frozen_engine() {
    let site = ProcessSite::start("frozen-engine").await;
    let body = completion(60);
    let streams = join_all((0..3).map(|number| {
        post(
            &site.entries[number].address,
            "/v1/completions",
            None,
            &body,
        )
    }));
    let freeze = async {
        actix_rt::time::sleep(Duration::from_millis(120)).await;
        site.engines[1].signal("STOP");
    };
    let (answers, ()) = futures_util::future::join(streams, freeze).await;
    for answer in answers {
        assert_eq!(whole_text(answer).as_deref(), Some(&*expected(60)));
    }
    assert!(
        has_replacement(&site.engines[3..]).await,
        "no engine took over a session"
    );
}

#[actix_rt::test]
async fn killed_entry() {
    let site = ProcessSite::start("killed-entry").await;
    // Every deposit goes to an instance that dies, and is sent again to the others.
    let deposits = join_all((0..30).map(|number| {
        let site = &site;
        async move {
            let key = format!("deposit-{number}");
            actix_rt::time::sleep(Duration::from_millis(10 * number)).await;
            let first = post(&site.entries[0].address, DEPOSIT, Some(&key), "{}").await;
            let second = post(&site.entries[1].address, DEPOSIT, Some(&key), "{}").await;
            let third = post(&site.entries[2].address, DEPOSIT, Some(&key), "{}").await;
            [first, second, third]
        }
    }));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        site.entries[0].signal("KILL");
    };
    let (answers, ()) = futures_util::future::join(deposits, kill).await;
    let answers: Vec<Option<SiteAnswer>> = answers.into_iter().flatten().collect();
    assert!(
        answers.iter().any(Option::is_none),
        "no call met the killed instance"
    );
    check_calls(&site.service.address, &answers).await;
    let answered = answers
        .iter()
        .flatten()
        .filter(|answer| answer.outcome == "answered")
        .count();
    assert!(
        answered >= 40,
        "only {answered} of 60 answers from live instances were whole"
    );
}

#[actix_rt::test]
async fn frozen_entry() {
    let site = ProcessSite::start("frozen-entry").await;
    let deposits = join_all((0..20).map(|number| {
        let site = &site;
        async move {
            let key = format!("booking-{number}");
            actix_rt::time::sleep(Duration::from_millis(10 * number)).await;
            let all = site.entries.iter();
            let answers = all.map(|entry| post(&entry.address, DEPOSIT, Some(&key), "{}"));
            join_all(answers).await
        }
    }));
    let freeze = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        site.entries[1].signal("STOP");
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        site.entries[1].signal("CONT");
    };
    let (answers, ()) = futures_util::future::join(deposits, freeze).await;
    let answers: Vec<Option<SiteAnswer>> = answers.into_iter().flatten().collect();
    check_calls(&site.service.address, &answers).await;
    assert_eq!(ledger(&site.service.address).await.len(), 20);
}

#[actix_rt::test]
async fn platform_outage() {
    let site = ProcessSite::start("platform-outage").await;
    faults(&site.platform.address, r#"{"outage":true}"#).await;
    let entry = &site.entries[0].address;
    // Nobody can read whether an earlier request with this key has run.
    let deposit = post(entry, DEPOSIT, Some("late-1"), "{}").await.unwrap();
    assert_eq!(deposit.outcome, "in-doubt", "{deposit:?}");
    assert!(ledger(&site.service.address).await.is_empty());
    let stream = post(entry, "/v1/completions", None, &completion(10)).await;
    assert_eq!(whole_text(stream).as_deref(), Some(&*expected(10)));
    faults(&site.platform.address, r#"{"outage":false}"#).await;
    let again = post(entry, DEPOSIT, Some("late-2"), "{}").await.unwrap();
    assert_eq!(again.outcome, "answered", "{again:?}");
    check_calls(&site.service.address, &[Some(deposit), Some(again)]).await;
}

#[actix_rt::test]
async fn stopped_entry() {
    let mut site = ProcessSite::start("stopped-entry").await;
    let body = completion(120);
    let entry = site.entries.remove(0);
    let streams = join_all((0..8).map(|_| post(&entry.address, "/v1/completions", None, &body)));
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        entry.signal("TERM");
    };
    let (answers, ()) = futures_util::future::join(streams, stop).await;
    for answer in answers {
        assert_eq!(whole_text(answer).as_deref(), Some(&*expected(120)));
    }
    let mut entry = entry;
    assert_eq!(entry.exit_code(), Some(0));
}
