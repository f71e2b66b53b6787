//! Invalid step answers of engines, over real sockets.
//!
//! No token of an invalid answer is delivered. The step is repeated, at a spare engine if the
//! first one stays faulty; without a spare, the error names the engine.

#[expect(dead_code, reason = "each test file uses only some of these items")]
mod pipeline_site;

use dandeliondeal_standin::{BadAnswer, FaultChange};
use dandeliondeal_types::Outcome;
use pipeline_site::{PROMPT, PipelineSite};

const TOKENS: usize = 12;
const BAD_ANSWERS: [BadAnswer; 5] = [
    BadAnswer::Range,
    BadAnswer::Position,
    BadAnswer::Request,
    BadAnswer::Malformed,
    BadAnswer::Oversized,
];

fn bad_answers(bad_answer: BadAnswer, count: u32) -> FaultChange {
    FaultChange {
        bad_answers: Some(count),
        bad_answer: Some(bad_answer),
        ..FaultChange::default()
    }
}

#[actix_rt::test]
async fn single_bad_answer() {
    for bad_answer in BAD_ANSWERS {
        for engine in [0, 1] {
            let site = PipelineSite::start(&[(0, 4), (4, 8)]);
            let mut generation = site.generate(TOKENS);
            generation.wait_for_tokens(4).await;
            site.set_fault(engine, bad_answers(bad_answer, 1));
            generation.finish().await;
            site.check_ledger(&generation);
            let positions = PROMPT.len() + TOKENS - 1;
            assert_eq!(site.positions_run(engine), positions, "{bad_answer:?}");
        }
    }
}

#[actix_rt::test]
async fn repeated_bad_answers() {
    for bad_answer in BAD_ANSWERS {
        let site = PipelineSite::start(&[(0, 4), (4, 8), (4, 8)]);
        let mut generation = site.generate(TOKENS);
        generation.wait_for_tokens(4).await;
        site.set_fault(1, bad_answers(bad_answer, u32::MAX));
        generation.finish().await;
        site.check_ledger(&generation);
        assert!(
            site.positions_run(2) > 0,
            "{bad_answer:?}: the spare engine took over"
        );
    }
}

#[actix_rt::test]
async fn bad_answers_without_spare() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(4).await;
    site.set_fault(1, bad_answers(BadAnswer::Position, u32::MAX));
    let error = generation
        .wait_for_end()
        .await
        .expect_err("no other engine has the range");
    assert_eq!(error.outcome(), Outcome::InDoubt);
    assert_eq!(&**error.peer(), "e1");
    assert!(
        error.retry_delay().is_some(),
        "the error says when to retry"
    );
    let reference = generation.reference();
    assert!(
        reference.starts_with(&generation.received),
        "only correct tokens were delivered"
    );
}
