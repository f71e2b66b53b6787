//! Ends of a generation other than a full answer, over real sockets.
//!
//! The causes are deadlines, missing engines, callers that leave and entry instances that die.

#[expect(dead_code, reason = "each test file uses only some of these items")]
mod pipeline_site;

use std::time::{Duration, Instant};

use dandeliondeal_standin::FaultChange;
use dandeliondeal_types::{EngineClient, ErrorKind, LayerRange, Outcome, StepCall, StepName};
use pipeline_site::{MODEL, PROMPT, PipelineSite};

const TOKENS: usize = 40;
const SHORT_TIME: Duration = Duration::from_millis(60);
const LONG_TIME: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn deadline_while_running() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut generation = site.generate_within(TOKENS, SHORT_TIME, true);
    let error = generation
        .wait_for_end()
        .await
        .expect_err("the deadline has to expire");
    assert_eq!(error.kind(), ErrorKind::Deadline);
    assert_eq!(error.outcome(), Outcome::InDoubt);
    assert!(generation.received.len() < TOKENS);
    site.wait_for_no_sessions().await;
}

#[actix_rt::test]
async fn deadline_without_answer() {
    // Nothing has run, but the instance cannot know that: the call may still reach the engine.
    let site = PipelineSite::start(&[(0, 8)]);
    site.set_fault(
        0,
        FaultChange {
            freeze: Some(true),
            ..FaultChange::default()
        },
    );
    let mut generation = site.generate_within(TOKENS, SHORT_TIME, true);
    let error = generation.wait_for_end().await.expect_err("no answer");
    assert_eq!(error.outcome(), Outcome::InDoubt);
}

#[actix_rt::test]
async fn no_engine_alive() {
    let site = PipelineSite::start(&[(0, 4), (4, 8), (0, 4)]);
    for engine in &site.engines {
        engine.kill();
    }
    let mut generation = site.generate(TOKENS);
    let error = generation.wait_for_end().await.expect_err("no engine");
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(error.retry_delay().is_some());
    assert_eq!(site.positions_run(0) + site.positions_run(2), 0);
}

#[actix_rt::test]
async fn layer_gap() {
    let site = PipelineSite::start(&[(0, 4), (5, 8)]);
    let start = Instant::now();
    let mut generation = site.generate(TOKENS);
    let error = generation
        .wait_for_end()
        .await
        .expect_err("no engine has layer 4");
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(error.retry_delay().is_some());
    assert!(start.elapsed() < LONG_TIME, "the error has to be immediate");
}

#[actix_rt::test]
async fn caller_leaves() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(3).await;
    generation.disconnect_caller();
    let error = generation
        .wait_for_end()
        .await
        .expect_err("the caller left");
    assert_eq!(error.kind(), ErrorKind::CallerLeft);
    site.wait_for_no_sessions().await;
    assert!(site.positions_run(0) < PROMPT.len() + TOKENS - 1);
}

#[actix_rt::test]
async fn caller_leaves_non_repeatable() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut generation = site.generate_within(TOKENS, LONG_TIME, false);
    generation.wait_for_tokens(3).await;
    generation.disconnect_caller();
    generation
        .wait_for_end()
        .await
        .expect("the generation runs to its end");
    site.check_ledger(&generation);
}

#[actix_rt::test]
async fn expired_session() {
    // An entry instance that dies renews no session, so the engine drops the session on expiry.
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
    let engine = &site.context.engine;
    let answer = engine.step(&"e0".into(), call, LONG_TIME, false).await;
    assert!(answer.is_ok());
    assert_eq!(site.engines[0].session_count(), 1);
    site.wait_for_no_sessions().await;
}

#[actix_rt::test]
async fn renewed_session() {
    // The second stage runs one long step, during which the session at the first must not expire.
    let mut site = PipelineSite::start(&[(0, 4), (4, 8)]);
    site.context.settings.life = Duration::from_millis(2_400);
    site.set_fault(
        1,
        FaultChange {
            slow_milliseconds: Some(3_500),
            ..FaultChange::default()
        },
    );
    site.context.settings.first_timeout = LONG_TIME;
    site.context.settings.most_timeout = LONG_TIME;
    let mut generation = site.generate(2);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(0), PROMPT.len() + 1);
}
