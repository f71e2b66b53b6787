//! Wrong answers of engines on real sockets: an error with step and peer, and nothing delivered.

#[expect(dead_code, reason = "each test file uses a part")]
mod pipeline_site;

use dandeliondeal_standin::{BadAnswer, FaultChange};
use dandeliondeal_types::Outcome;
use pipeline_site::{PROMPT, PipelineSite};

const TOKENS: usize = 12;
const KINDS: [BadAnswer; 5] = [
    BadAnswer::Range,
    BadAnswer::Position,
    BadAnswer::Request,
    BadAnswer::Malformed,
    BadAnswer::Oversized,
];

fn bad(kind: BadAnswer, count: u32) -> FaultChange {
    FaultChange {
        bad_answers: Some(count),
        bad_answer: Some(kind),
        ..FaultChange::default()
    }
}

#[actix_rt::test]
async fn bad_once() {
    for kind in KINDS {
        for engine in [0, 1] {
            let site = PipelineSite::start(&[(0, 4), (4, 8)]);
            let mut text = site.run(TOKENS);
            text.reach(4).await;
            site.fault(engine, bad(kind, 1));
            text.finish().await;
            site.check_ledger(&text);
            let positions = PROMPT.len() + TOKENS - 1;
            assert_eq!(site.positions_run(engine), positions, "{kind:?}");
        }
    }
}

#[actix_rt::test]
async fn bad_always() {
    for kind in KINDS {
        let site = PipelineSite::start(&[(0, 4), (4, 8), (4, 8)]);
        let mut text = site.run(TOKENS);
        text.reach(4).await;
        site.fault(1, bad(kind, u32::MAX));
        text.finish().await;
        site.check_ledger(&text);
        assert!(site.positions_run(2) > 0, "{kind:?}: the spare took over");
    }
}

#[actix_rt::test]
async fn bad_everywhere() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut text = site.run(TOKENS);
    text.reach(4).await;
    site.fault(1, bad(BadAnswer::Position, u32::MAX));
    let error = text.end().await.expect_err("nothing can go on");
    assert_eq!(error.outcome(), Outcome::InDoubt);
    assert_eq!(&**error.peer(), "e1");
    assert!(
        error.wait().is_some(),
        "the caller is told when to come back"
    );
    let reference = text.reference();
    assert!(reference.starts_with(&text.text), "nothing wrong came out");
}
