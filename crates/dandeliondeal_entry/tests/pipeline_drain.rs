//! Leaving engines: they get no new session, and running sessions move with their KV cache.

#[expect(dead_code, reason = "each test file uses only some of these items")]
mod pipeline_site;

use dandeliondeal_standin::FaultChange;
use pipeline_site::{PROMPT, PipelineSite};

/// Token count that lasts past the tick at which a session checks for leaving engines.
const LONG_TOKENS: usize = 600;
const POSITIONS: usize = PROMPT.len() + LONG_TOKENS - 1;
const RANGES_WITH_SPARES: [(u32, u32); 4] = [(0, 4), (4, 8), (4, 8), (4, 8)];

fn start_leaving(site: &PipelineSite, index: usize) {
    site.set_fault(
        index,
        FaultChange {
            leaving: Some(true),
            ..FaultChange::default()
        },
    );
    let endpoint = format!("e{index}");
    site.context.engine_use.set_leaving(&endpoint.into(), true);
}

#[actix_rt::test]
async fn moved_session() {
    for leaving in [0, 1] {
        let ranges = [(0, 4), (4, 8), (0, 4), (4, 8)];
        let site = PipelineSite::start(&ranges);
        let mut generation = site.generate(LONG_TOKENS);
        generation.wait_for_tokens(5).await;
        start_leaving(&site, leaving);
        generation.finish().await;
        site.check_ledger(&generation);
        assert_eq!(site.recoveries("import"), 1);
        // Each position ran once: the replacement continued where the leaving engine stopped.
        let (old, new) = (site.positions_run(leaving), site.positions_run(leaving + 2));
        assert!(old > 5 && new > 5, "{old} and {new}");
        assert_eq!(old + new, POSITIONS);
        site.wait_for_no_sessions().await;
    }
}

#[actix_rt::test]
async fn lost_import_answer() {
    // The first replacement imports the cache, but its answer is lost; the second one takes over.
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    let mut generation = site.generate(LONG_TOKENS);
    generation.wait_for_tokens(5).await;
    site.set_fault(
        2,
        FaultChange {
            lose_answers: Some(u32::MAX),
            only_path: Some("/sessions".into()),
            ..FaultChange::default()
        },
    );
    start_leaving(&site, 1);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(2), 0);
    assert!(site.positions_run(3) > 5);
}

#[actix_rt::test]
async fn failed_export() {
    // The leaving engine does not export its cache, so the replacement gets the logged inputs.
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    let mut generation = site.generate(LONG_TOKENS);
    generation.wait_for_tokens(5).await;
    site.set_fault(
        1,
        FaultChange {
            reset_answers: Some(u32::MAX),
            only_path: Some("/sessions".into()),
            ..FaultChange::default()
        },
    );
    start_leaving(&site, 1);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.recoveries("import"), 0);
    assert_eq!(site.recoveries("feed"), 1);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn no_new_session() {
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    start_leaving(&site, 1);
    let mut generation = site.generate(8);
    generation.finish().await;
    assert_eq!(site.positions_run(1), 0);
}

#[actix_rt::test]
async fn refused_session() {
    // The engine leaves before the instance list shows it, and rejects the session itself.
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    site.set_fault(
        1,
        FaultChange {
            leaving: Some(true),
            ..FaultChange::default()
        },
    );
    let mut generation = site.generate(8);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(1), 0);
}

#[actix_rt::test]
async fn only_engine_leaves() {
    // No other engine has the range, so the session stays until its end.
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut generation = site.generate(LONG_TOKENS);
    generation.wait_for_tokens(5).await;
    start_leaving(&site, 1);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(1), POSITIONS);
}
