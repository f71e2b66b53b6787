//! Recovery from failures of engines and connections, over real sockets.
//!
//! The answer stays complete, and each layer runs each position at most once in a lineage.

#[expect(dead_code, reason = "each test file uses only some of these items")]
mod pipeline_site;

use std::time::Duration;

use dandeliondeal_standin::FaultChange;
use pipeline_site::{PROMPT, PipelineSite};

const TOKENS: usize = 24;
const POSITIONS: usize = PROMPT.len() + TOKENS - 1;
/// Layer ranges of two stages and a spare engine for each.
const RANGES_WITH_SPARES: [(u32, u32); 4] = [(0, 4), (4, 8), (0, 4), (4, 8)];

fn silent_connections() -> FaultChange {
    FaultChange {
        silence_connections: Some(true),
        ..FaultChange::default()
    }
}

#[actix_rt::test]
async fn run_without_faults() {
    let site = PipelineSite::start(&[(0, 3), (3, 8)]);
    let mut generation = site.generate(TOKENS);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(0), POSITIONS);
    assert_eq!(site.positions_run(1), POSITIONS);
    site.wait_for_no_sessions().await;
}

#[actix_rt::test]
async fn killed_engine() {
    for killed in [0, 1] {
        let site = PipelineSite::start(&RANGES_WITH_SPARES);
        let mut generation = site.generate(TOKENS);
        generation.wait_for_tokens(5).await;
        site.engines[killed].kill();
        generation.finish().await;
        site.check_ledger(&generation);
        assert!(
            site.positions_run(killed + 2) > 0,
            "the spare engine took over"
        );
        // The healthy stage does not run any position again.
        assert_eq!(site.positions_run(1 - killed), POSITIONS);
    }
}

#[actix_rt::test]
async fn killed_before_start() {
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    site.engines[1].kill();
    let mut generation = site.generate(TOKENS);
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn silent_idle_connections() {
    let site = PipelineSite::start(&[(0, 4), (4, 8)]);
    // Concurrent requests leave several idle connections in the pool.
    let time_limit = Duration::from_secs(5);
    let mut generations: Vec<_> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| site.generate_as(id, 2, time_limit, true))
        .collect();
    for generation in &mut generations {
        generation.finish().await;
    }
    // The sessions are ended over the same connections, which are idle afterwards.
    site.wait_for_no_sessions().await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    for engine in &site.engines {
        engine.clear_ledger();
    }
    // All connections go silent before the next request.
    site.set_fault(0, silent_connections());
    site.set_fault(1, silent_connections());
    let mut generation = site.generate(TOKENS);
    generation.finish().await;
    site.check_ledger(&generation);
    // One call is lost at each engine, and the first step is repeated in a new lineage. The other
    // silent connections are not tried.
    assert_eq!(site.recoveries("feed"), 2);
    assert_eq!(site.recoveries("restart"), 0);
}

#[actix_rt::test]
async fn silent_while_running() {
    for silenced in [0, 1] {
        let site = PipelineSite::start(&[(0, 4), (4, 8)]);
        let mut generation = site.generate(TOKENS);
        generation.wait_for_tokens(4).await;
        site.set_fault(silenced, silent_connections());
        generation.finish().await;
        site.check_ledger(&generation);
        assert_eq!(site.positions_run(0), POSITIONS);
        assert_eq!(site.positions_run(1), POSITIONS);
    }
}

#[actix_rt::test]
async fn lost_call_or_answer() {
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
            site.set_fault(1, loss.clone());
            let mut generation = site.generate(TOKENS);
            generation.wait_for_tokens(tokens).await;
            site.set_fault(0, loss.clone());
            generation.finish().await;
            site.check_ledger(&generation);
            assert_eq!(site.positions_run(0), POSITIONS, "{loss:?}");
            assert_eq!(site.positions_run(1), POSITIONS, "{loss:?}");
        }
    }
}

#[actix_rt::test]
async fn two_killed_engines() {
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(5).await;
    site.engines[0].kill();
    site.engines[1].kill();
    generation.finish().await;
    site.check_ledger(&generation);
}

#[actix_rt::test]
async fn killed_replacement() {
    let site = PipelineSite::start(&[(0, 4), (4, 8), (4, 8), (4, 8)]);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(5).await;
    // The spare takes the logged inputs, does not answer, and is dead when its state is read.
    site.set_fault(
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
    generation.finish().await;
    site.check_ledger(&generation);
    assert!(site.positions_run(3) > 0);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn other_replacement_ranges() {
    // Two engines with other ranges than the killed stage replace it.
    let site = PipelineSite::start(&[(0, 4), (4, 8), (3, 6), (5, 8)]);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(5).await;
    site.engines[1].kill();
    generation.finish().await;
    site.check_ledger(&generation);
    assert_eq!(site.positions_run(0), POSITIONS);
}

#[actix_rt::test]
async fn full_restart() {
    // No engines cover exactly the lost range, so the whole chain is replaced.
    let site = PipelineSite::start(&[(0, 4), (4, 8), (0, 3), (3, 8)]);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(5).await;
    site.engines[0].kill();
    generation.finish().await;
    site.check_ledger(&generation);
}

#[actix_rt::test]
async fn slow_stage() {
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(5).await;
    site.set_fault(
        1,
        FaultChange {
            slow_milliseconds: Some(90),
            ..FaultChange::default()
        },
    );
    generation.finish().await;
    site.check_ledger(&generation);
    // A slow engine is not replaced.
    assert_eq!(site.positions_run(3), 0);
}

#[actix_rt::test]
async fn frozen_engine() {
    // The engine accepts connections but answers nothing, not even reads of the session's state.
    let site = PipelineSite::start(&RANGES_WITH_SPARES);
    let mut generation = site.generate(TOKENS);
    generation.wait_for_tokens(5).await;
    site.set_fault(
        1,
        FaultChange {
            freeze: Some(true),
            ..FaultChange::default()
        },
    );
    generation.finish().await;
    site.set_fault(
        1,
        FaultChange {
            freeze: Some(false),
            ..FaultChange::default()
        },
    );
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    site.check_ledger(&generation);
}
