//! Ends other than a whole answer: deadline, a caller who leaves, nothing usable, a dead instance.

#[expect(dead_code, reason = "each test file uses a part")]
mod pipeline_site;

use std::time::{Duration, Instant};

use dandeliondeal_standin::FaultChange;
use dandeliondeal_types::{EngineClient, ErrorKind, LayerRange, Outcome, StepCall, StepName};
use pipeline_site::{MODEL, PROMPT, PipelineSite};

const TOKENS: usize = 40;
const SHORT: Duration = Duration::from_millis(60);
const LONG: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn late_deadline() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut text = site.run_for(TOKENS, SHORT, true);
    let error = text.end().await.expect_err("too short a time");
    assert_eq!(error.kind(), ErrorKind::Deadline);
    assert_eq!(error.outcome(), Outcome::InDoubt);
    assert!(text.text.len() < TOKENS);
    site.await_no_sessions().await;
}

#[actix_rt::test]
async fn silent_deadline() {
    // Nothing ran, but that cannot be known: the call may still arrive.
    let site = PipelineSite::start(&[(0, 8)]);
    site.fault(
        0,
        FaultChange {
            freeze: Some(true),
            ..FaultChange::default()
        },
    );
    let mut text = site.run_for(TOKENS, SHORT, true);
    let error = text.end().await.expect_err("no answer");
    assert_eq!(error.outcome(), Outcome::InDoubt);
}

#[actix_rt::test]
async fn nothing_runs() {
    let site = PipelineSite::start(&[(0, 4), (4, 8), (0, 4)]);
    for engine in &site.engines {
        engine.kill();
    }
    let mut text = site.run(TOKENS);
    let error = text.end().await.expect_err("no engine");
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(error.wait().is_some());
    assert_eq!(site.positions_run(0) + site.positions_run(2), 0);
}

#[actix_rt::test]
async fn layer_gap() {
    let site = PipelineSite::start(&[(0, 4), (5, 8)]);
    let start = Instant::now();
    let mut text = site.run(TOKENS);
    let error = text.end().await.expect_err("no engine has layer 4");
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(error.wait().is_some());
    assert!(start.elapsed() < LONG, "told at once");
}

#[actix_rt::test]
async fn caller_leaves() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut text = site.run(TOKENS);
    text.reach(3).await;
    text.leave();
    let error = text.end().await.expect_err("the caller left");
    assert_eq!(error.kind(), ErrorKind::CallerLeft);
    site.await_no_sessions().await;
    assert!(site.positions_run(0) < PROMPT.len() + TOKENS - 1);
}

#[actix_rt::test]
async fn caller_leaves_unrepeatable() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut text = site.run_for(TOKENS, LONG, false);
    text.reach(3).await;
    text.leave();
    text.end().await.expect("it runs on to its end");
    site.check_ledger(&text);
}

#[actix_rt::test]
async fn expired_session() {
    // An instance that dies renews nothing; the engine forgets the session by itself.
    let site = PipelineSite::start(&[(0, 8)]);
    let range = LayerRange::new(0, 8);
    let call = StepCall {
        name: StepName {
            request: "orphan".into(),
            lineage: 1,
            position: 0,
            range,
        },
        model: MODEL.into(),
        inputs: [1, 2, 3].into(),
        life_milliseconds: 150,
        priority: 0,
    };
    let engine = &site.site.engine;
    let answer = engine.step(&"e0".into(), call, LONG, false).await;
    assert!(answer.is_ok());
    assert_eq!(site.engines[0].session_count(), 1);
    site.await_no_sessions().await;
}

#[actix_rt::test]
async fn renewed_session() {
    // The second stage has one long step; meanwhile the first one's session must not expire.
    let mut site = PipelineSite::start(&[(0, 4), (4, 8)]);
    site.site.settings.life = Duration::from_millis(2_400);
    site.fault(
        1,
        FaultChange {
            slow_milliseconds: Some(3_500),
            ..FaultChange::default()
        },
    );
    site.site.settings.first_timeout = LONG;
    site.site.settings.most_timeout = LONG;
    let mut text = site.run(2);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(0), PROMPT.len() + 1);
}
