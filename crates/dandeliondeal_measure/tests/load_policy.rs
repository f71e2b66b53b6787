//! Bounds on the policies under load, in virtual time; the same seed gives the same verdict.

use std::time::Duration;

use dandeliondeal_balance::MonitorSettings;
use dandeliondeal_measure::choice::{ChoiceRun, drive};
use dandeliondeal_measure::choice_driver::DriverResult;
use dandeliondeal_measure::choice_policy::{BoardPolicy, SimplePolicy, SimpleRule};
use dandeliondeal_measure::choice_scenario::{ChoiceScenario, EndpointFault, EndpointMix};
use dandeliondeal_measure::overload::{OverloadRow, measure};
use dandeliondeal_measure::{MeasureSettings, limits};

const SEEDS: [u64; 3] = [1, 2, 3];

fn choice(
    seed: u64,
    entries: usize,
    mix: EndpointMix,
    fault: EndpointFault,
    lag: Duration,
) -> (DriverResult, DriverResult) {
    let run = ChoiceRun {
        seed,
        entries,
        length: Duration::from_secs(20),
        ..ChoiceRun::default()
    };
    let scenario = ChoiceScenario::new(&run, mix, fault, lag);
    let monitor = BoardPolicy::new(run.entries, &scenario, &MonitorSettings::default()).unwrap();
    let two = SimplePolicy::new(SimpleRule::PowerOfTwo, run.entries, run.endpoints);
    (drive(&run, &scenario, monitor), drive(&run, &scenario, two))
}

#[test]
fn no_herd() {
    for seed in SEEDS {
        let lag = Duration::from_secs(5);
        let (monitor, two) = choice(seed, 60, EndpointMix::Unequal, EndpointFault::None, lag);
        assert!(
            monitor.p95 < two.p95 * 0.7,
            "seed {seed}: {monitor:?} {two:?}"
        );
        assert!(monitor.failed < 0.001, "seed {seed}: {monitor:?}");
    }
}

#[test]
fn half_gone() {
    for seed in SEEDS {
        let lag = Duration::from_secs(1);
        let (monitor, _) = choice(seed, 8, EndpointMix::Equal, EndpointFault::HalfGone, lag);
        assert!(monitor.failed < 0.01, "seed {seed}: {monitor:?}");
    }
}

fn rows(seed: u64) -> Vec<OverloadRow> {
    let rows = measure(MeasureSettings {
        seed,
        ..MeasureSettings::default()
    });
    rows.into_iter().filter(|row| row.order == "fair").collect()
}

#[test]
fn goodput_holds() {
    for seed in SEEDS {
        let rows = rows(seed);
        let peak = rows.iter().map(|row| row.goodput).fold(0.0, f64::max);
        let loaded = rows.iter().filter(|row| row.load >= 1.0);
        for row in loaded {
            assert!(row.goodput >= peak * 0.9, "seed {seed}: {row:?}");
            assert_eq!(row.late_dispatches, 0, "seed {seed}: {row:?}");
        }
    }
}

#[test]
fn small_unharmed() {
    for seed in SEEDS {
        let rows = rows(seed);
        let p95 = |case: &str| rows.iter().find(|row| row.case == case).unwrap().small_p95;
        let (alone, burst) = (p95("small alone"), p95("small beside burst"));
        assert!(burst <= alone * 1.5, "seed {seed}: {burst} beside {alone}");
    }
}

#[test]
fn limit_used() {
    for row in limits::measure(8) {
        assert!(row.most_live <= 1.0, "{row:?}");
        assert!(row.admitted >= 0.95, "{row:?}");
    }
}
