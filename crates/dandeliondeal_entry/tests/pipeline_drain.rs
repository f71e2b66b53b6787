//! Engines that leave: no new session, and running ones move with their KV cache.

#[expect(dead_code, reason = "each test file uses a part")]
mod pipeline_site;

use dandeliondeal_standin::FaultChange;
use pipeline_site::{PROMPT, PipelineSite};

/// Enough to outlast the tick at which a session looks for leaving engines.
const LONG_TEXT: usize = 600;
const POSITIONS: usize = PROMPT.len() + LONG_TEXT - 1;
const SPARED: [(u32, u32); 4] = [(0, 4), (4, 8), (4, 8), (4, 8)];

fn leave(site: &PipelineSite, index: usize) {
    site.fault(
        index,
        FaultChange {
            leaving: Some(true),
            ..FaultChange::default()
        },
    );
    let endpoint = format!("e{index}");
    site.site.engine_use.set_leaving(&endpoint.into(), true);
}

#[actix_rt::test]
async fn moved_session() {
    for left in [0, 1] {
        let ranges = [(0, 4), (4, 8), (0, 4), (4, 8)];
        let site = PipelineSite::start(&ranges);
        let mut text = site.run(LONG_TEXT);
        text.reach(5).await;
        leave(&site, left);
        text.finish().await;
        site.check_ledger(&text);
        assert_eq!(site.recoveries("import"), 1);
        // Every position ran once in all: the replacement went on where the other stopped.
        let (old, new) = (site.positions_run(left), site.positions_run(left + 2));
        assert!(old > 5 && new > 5, "{old} and {new}");
        assert_eq!(old + new, POSITIONS);
        site.await_no_sessions().await;
    }
}

#[actix_rt::test]
async fn lost_import() {
    // The first replacement takes the cache and its answer is lost; the second one takes over.
    let site = PipelineSite::start(&SPARED);
    let mut text = site.run(LONG_TEXT);
    text.reach(5).await;
    site.fault(
        2,
        FaultChange {
            lose_answers: Some(u32::MAX),
            only_path: Some("/sessions".into()),
            ..FaultChange::default()
        },
    );
    leave(&site, 1);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(2), 0);
    assert!(site.positions_run(3) > 5);
}

#[actix_rt::test]
async fn killed_while_moving() {
    // The engine that leaves does not give its cache: the replacement is fed from the log.
    let site = PipelineSite::start(&SPARED);
    let mut text = site.run(LONG_TEXT);
    text.reach(5).await;
    site.fault(
        1,
        FaultChange {
            reset_answers: Some(u32::MAX),
            only_path: Some("/sessions".into()),
            ..FaultChange::default()
        },
    );
    leave(&site, 1);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.recoveries("import"), 0);
    assert_eq!(site.recoveries("feed"), 1);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn no_new_session() {
    let site = PipelineSite::start(&SPARED);
    leave(&site, 1);
    let mut text = site.run(8);
    text.finish().await;
    assert_eq!(site.positions_run(1), 0);
}

#[actix_rt::test]
async fn refused_session() {
    // The engine leaves before any list shows it; its own refusal is enough.
    let site = PipelineSite::start(&SPARED);
    site.fault(
        1,
        FaultChange {
            leaving: Some(true),
            ..FaultChange::default()
        },
    );
    let mut text = site.run(8);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(1), 0);
}

#[actix_rt::test]
async fn only_engine_leaves() {
    // Nothing else has the range: the session ends where it is.
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    let mut text = site.run(LONG_TEXT);
    text.reach(5).await;
    leave(&site, 1);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(1), POSITIONS);
}
