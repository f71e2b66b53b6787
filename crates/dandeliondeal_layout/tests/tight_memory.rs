//! Layouts whose tightest range has memory for many requests.

mod support;

use std::collections::BTreeMap;

use dandeliondeal_layout::{EngineState, LayoutPlanner, LayoutSettings, PlanCache};
use dandeliondeal_types::LayerRange;
use support::{large_site, profile, small_site};

/// Tokens for which the holders of each range have memory.
fn rooms(engines: &[EngineState]) -> BTreeMap<LayerRange, f64> {
    let profile = profile();
    let planner = LayoutPlanner::new(LayoutSettings::default());
    let mut rooms = BTreeMap::new();
    for step in planner.plan(&profile, engines) {
        let engine = engines.iter().find(|engine| engine.id == step.engine);
        let kind = &engine.expect("a planned engine").kind;
        let card = profile.card(kind).expect("a known card");
        *rooms.entry(step.range).or_default() += profile.token_room(card, step.range.len());
    }
    rooms
}

/// Pattern: more requests at once than usual. With large cards filled up, the small ones had
/// memory for three times as many requests as the large ones, which rejected the rest.
#[test]
fn balanced_ranges() {
    for (engines, chains) in [(small_site(), 4.0), (large_site(), 9.0)] {
        let rooms = rooms(&engines);
        let wide = rooms.iter().max_by_key(|(range, _)| range.len());
        let (wide, room) = wide.expect("a layout");
        // Large cards alone could hold 33 layers; each chain then has memory for 60,000 tokens.
        assert!(wide.len() < 33, "{wide:?}");
        assert!(*room >= 90_000.0 * chains, "{room} tokens at {wide:?}");
        let main = rooms.iter().filter(|(range, _)| !wide.contains(**range));
        for (range, room) in main {
            assert!(*room >= 90_000.0 * chains, "{room} tokens at {range:?}");
        }
    }
}

/// Pattern: loss of three large cards at once. What is left serves a usual day.
#[test]
fn large_cards_lost() {
    let mut engines = large_site();
    let mut lost = 0;
    engines.retain(|engine| {
        let is_lost = &*engine.kind == "a100" && lost < 3;
        lost += usize::from(is_lost);
        !is_lost
    });
    let least = rooms(&engines).into_iter();
    let wide = least.max_by_key(|(range, _)| range.len());
    let (range, room) = wide.expect("a layout");
    // Some 430 requests of 1,000 tokens run at once on a usual day.
    assert!(room >= 430_000.0, "{room} tokens at {range:?}");
}

#[test]
fn plan_kept() {
    let profile = profile();
    let planner = LayoutPlanner::new(LayoutSettings::default());
    let mut cache = PlanCache::default();
    let engines = small_site();
    let first = cache.plan(&planner, &profile, engines.clone());
    assert_eq!(first, planner.plan(&profile, &engines));
    let mut turned: Vec<EngineState> = engines.clone();
    turned.reverse();
    assert_eq!(cache.plan(&planner, &profile, turned), first);
    let mut fewer = engines;
    fewer.truncate(30);
    let other = cache.plan(&planner, &profile, fewer.clone());
    assert_eq!(other.len(), planner.plan(&profile, &fewer).len());
}

/// Pattern: large cards crash for some seconds while others leave and come. Engines keep the
/// ranges that they hold; another cut would empty most of them under load.
#[test]
fn cut_kept() {
    let profile = profile();
    let planner = LayoutPlanner::new(LayoutSettings::default());
    let mut engines = large_site();
    for step in planner.plan(&profile, &engines) {
        let engine = engines.iter_mut().find(|engine| engine.id == step.engine);
        engine.expect("a planned engine").held = Some(step.range);
    }
    let held: Vec<LayerRange> = held_ranges(&engines);
    for lost in 1..=5 {
        let mut left = 0;
        let mut rest = engines.clone();
        rest.retain(|engine| {
            left += usize::from(&*engine.kind == "a100");
            &*engine.kind != "a100" || left > lost
        });
        let moves = planner.plan(&profile, &rest);
        for step in &moves {
            assert!(held.contains(&step.range), "{lost} lost: {step:?}");
        }
        assert!(
            moves.len() <= 6 * lost,
            "{lost} lost: {} moves",
            moves.len()
        );
    }
}

/// Pattern: most large cards are gone for good. Small cards of several failure domains take their
/// layers; without them all requests go through the one large card that is left.
#[test]
fn large_cards_replaced() {
    let profile = profile();
    let planner = LayoutPlanner::new(LayoutSettings::default());
    let mut engines = small_site();
    let settle = |engines: &mut Vec<EngineState>| {
        for step in planner.plan(&profile, engines) {
            let engine = engines.iter_mut().find(|engine| engine.id == step.engine);
            engine.expect("a planned engine").held = Some(step.range);
        }
    };
    settle(&mut engines);
    let mut left = 0;
    engines.retain(|engine| {
        left += usize::from(&*engine.kind == "a100");
        &*engine.kind != "a100" || left > 3
    });
    settle(&mut engines);
    let held = |range: LayerRange| {
        let holders = engines.iter().filter(|engine| engine.held == Some(range));
        holders.count()
    };
    let wide = engines.iter().find(|engine| &*engine.kind == "a100");
    let wide = wide.and_then(|engine| engine.held).expect("a wide range");
    for range in held_ranges(&engines) {
        let least = if range == wide {
            1
        } else if wide.contains(range) {
            2
        } else {
            3
        };
        assert!(held(range) >= least, "{range:?} has {}", held(range));
    }
    assert!(planner.plan(&profile, &engines).is_empty(), "it settles");
}

fn held_ranges(engines: &[EngineState]) -> Vec<LayerRange> {
    let mut ranges: Vec<LayerRange> = engines.iter().filter_map(|engine| engine.held).collect();
    ranges.sort_unstable_by_key(|range| (range.start, range.end));
    ranges.dedup();
    ranges
}
