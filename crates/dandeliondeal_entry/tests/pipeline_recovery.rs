//! Failures of engines and connections on real sockets: the answer is whole, each layer ran once.

#[expect(dead_code, reason = "each test file uses a part")]
mod pipeline_site;

use std::time::Duration;

use dandeliondeal_standin::FaultChange;
use pipeline_site::{PROMPT, PipelineSite};

const TOKENS: usize = 24;
const POSITIONS: usize = PROMPT.len() + TOKENS - 1;
/// Two stages, and a spare for each.
const SPARED: [(u32, u32); 4] = [(0, 4), (4, 8), (0, 4), (4, 8)];

fn silence() -> FaultChange {
    FaultChange {
        silence_connections: Some(true),
        ..FaultChange::default()
    }
}

#[actix_rt::test]
async fn undisturbed_text() {
    let site = PipelineSite::start(&[(0, 3), (3, 8)]);
    let mut text = site.run(TOKENS);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(0), POSITIONS);
    assert_eq!(site.positions_run(1), POSITIONS);
    site.await_no_sessions().await;
}

#[actix_rt::test]
async fn killed_engine() {
    for killed in [0, 1] {
        let site = PipelineSite::start(&SPARED);
        let mut text = site.run(TOKENS);
        text.reach(5).await;
        site.engines[killed].kill();
        text.finish().await;
        site.check_ledger(&text);
        assert!(site.positions_run(killed + 2) > 0, "the spare took over");
        // The healthy stage runs nothing again.
        assert_eq!(site.positions_run(1 - killed), POSITIONS);
    }
}

#[actix_rt::test]
async fn killed_before_answer() {
    let site = PipelineSite::start(&SPARED);
    site.engines[1].kill();
    let mut text = site.run(TOKENS);
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn silent_idle() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    // Several requests at once leave several kept connections.
    let time = Duration::from_secs(5);
    let mut texts: Vec<_> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| site.run_as(id, 2, time, true))
        .collect();
    for text in &mut texts {
        text.finish().await;
    }
    // The sessions are ended over the same connections; these are idle after that.
    site.await_no_sessions().await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    for engine in &site.engines {
        engine.clear_ledger();
    }
    // They all go silent before the next request.
    site.fault(0, silence());
    site.fault(1, silence());
    let mut text = site.run(TOKENS);
    text.finish().await;
    site.check_ledger(&text);
    // One lost call at each engine: a first step starts again under another lineage. The other
    // silent connections were not tried.
    assert_eq!(site.recoveries("feed"), 2);
    assert_eq!(site.recoveries("restart"), 0);
}

#[actix_rt::test]
async fn silent_mid_step() {
    for silenced in [0, 1] {
        let site = PipelineSite::start(&[(0, 4), (4, 8)]);
        let mut text = site.run(TOKENS);
        text.reach(4).await;
        site.fault(silenced, silence());
        text.finish().await;
        site.check_ledger(&text);
        assert_eq!(site.positions_run(0), POSITIONS);
        assert_eq!(site.positions_run(1), POSITIONS);
    }
}

#[actix_rt::test]
async fn lost_answer() {
    let losses = [
        FaultChange {
            lose_answers: Some(1),
            ..FaultChange::default()
        },
        FaultChange {
            lose_calls: Some(1),
            ..FaultChange::default()
        },
        FaultChange {
            reset_answers: Some(1),
            ..FaultChange::default()
        },
    ];
    for loss in losses {
        for tokens in [0, 5] {
            let site = PipelineSite::start(&[(0, 4), (4, 8)]);
            site.fault(1, loss.clone());
            let mut text = site.run(TOKENS);
            text.reach(tokens).await;
            site.fault(0, loss.clone());
            text.finish().await;
            site.check_ledger(&text);
            assert_eq!(site.positions_run(0), POSITIONS, "{loss:?}");
            assert_eq!(site.positions_run(1), POSITIONS, "{loss:?}");
        }
    }
}

#[actix_rt::test]
async fn two_killed() {
    let site = PipelineSite::start(&SPARED);
    let mut text = site.run(TOKENS);
    text.reach(5).await;
    site.engines[0].kill();
    site.engines[1].kill();
    text.finish().await;
    site.check_ledger(&text);
}

#[actix_rt::test]
async fn replacement_killed() {
    let site = PipelineSite::start(&[(0, 4), (4, 8), (4, 8), (4, 8)]);
    let mut text = site.run(TOKENS);
    text.reach(5).await;
    // The spare takes the feed, does not answer, and is dead when it is asked.
    site.fault(
        2,
        FaultChange {
            lose_answers: Some(1),
            ..FaultChange::default()
        },
    );
    site.engines[1].kill();
    while site.positions_run(2) == 0 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    site.engines[2].kill();
    text.finish().await;
    site.check_ledger(&text);
    assert!(site.positions_run(3) > 0);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn other_ranges() {
    // The stage that dies is replaced by two engines whose ranges differ from its own.
    let site = PipelineSite::start(&[(0, 4), (4, 8), (3, 6), (5, 8)]);
    let mut text = site.run(TOKENS);
    text.reach(5).await;
    site.engines[1].kill();
    text.finish().await;
    site.check_ledger(&text);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn whole_restart() {
    // No engines cover the lost range alone, so the whole chain is replaced.
    let site = PipelineSite::start(&[(0, 4), (4, 8), (0, 3), (3, 8)]);
    let mut text = site.run(TOKENS);
    text.reach(5).await;
    site.engines[0].kill();
    text.finish().await;
    site.check_ledger(&text);
}

#[actix_rt::test]
async fn slow_stage() {
    let site = PipelineSite::start(&SPARED);
    let mut text = site.run(TOKENS);
    text.reach(5).await;
    site.fault(
        1,
        FaultChange {
            slow_milliseconds: Some(90),
            ..FaultChange::default()
        },
    );
    text.finish().await;
    site.check_ledger(&text);
    // Slow is not dead: nothing moved.
    assert_eq!(site.positions_run(3), 0);
}

#[actix_rt::test]
async fn frozen_engine() {
    // It takes connections but answers nothing, not even where the session stands.
    let site = PipelineSite::start(&SPARED);
    let mut text = site.run(TOKENS);
    text.reach(5).await;
    site.fault(
        1,
        FaultChange {
            freeze: Some(true),
            ..FaultChange::default()
        },
    );
    text.finish().await;
    site.fault(
        1,
        FaultChange {
            freeze: Some(false),
            ..FaultChange::default()
        },
    );
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    site.check_ledger(&text);
}
