//! Tests the policies under load in virtual time, so that the same seed gives the same result.

use std::time::Duration;

use dandeliondeal_balance::MonitorSettings;
use dandeliondeal_measure::choice::{ChoiceRun, simulate};
use dandeliondeal_measure::choice_policy::{MonitorPolicy, SimplePolicy, SimpleRule};
use dandeliondeal_measure::choice_scenario::{ChoiceScenario, EndpointFault, EndpointMix};
use dandeliondeal_measure::choice_simulation::ChoiceResult;
use dandeliondeal_measure::overload::{OverloadRow, measure};
use dandeliondeal_measure::{MeasureSettings, limits};

const SEEDS: [u64; 3] = [1, 2, 3];

/// Returns the results of the monitor and of the power of two choices in the same scenario.
fn compare(
    seed: u64,
    entries: usize,
    mix: EndpointMix,
    fault: EndpointFault,
    lag: Duration,
) -> (ChoiceResult, ChoiceResult) {
    let run = ChoiceRun {
        seed,
        entries,
        duration: Duration::from_secs(20),
        ..ChoiceRun::default()
    };
    let scenario = ChoiceScenario::new(&run, mix, fault, lag);
    let monitor = MonitorPolicy::new(run.entries, &scenario, &MonitorSettings::default()).unwrap();
    let power_of_two = SimplePolicy::new(SimpleRule::PowerOfTwo, run.entries, run.endpoints);
    (
        simulate(&run, &scenario, monitor),
        simulate(&run, &scenario, power_of_two),
    )
}

/// Guards against herding, in which all entry instances choose the same endpoint on old reports.
#[test]
fn herding_avoided() {
    for seed in SEEDS {
        let lag = Duration::from_secs(5);
        let (monitor, power_of_two) =
            compare(seed, 60, EndpointMix::Unequal, EndpointFault::None, lag);
        assert!(
            monitor.p95 < power_of_two.p95 * 0.7,
            "seed {seed}: {monitor:?} {power_of_two:?}"
        );
        assert!(monitor.failed < 0.001, "seed {seed}: {monitor:?}");
    }
}

#[test]
fn half_unavailable() {
    for seed in SEEDS {
        let lag = Duration::from_secs(1);
        let (monitor, _) = compare(
            seed,
            8,
            EndpointMix::Equal,
            EndpointFault::HalfRefusing,
            lag,
        );
        assert!(monitor.failed < 0.01, "seed {seed}: {monitor:?}");
    }
}

/// Returns the rows of the admission queue, without those of the baseline.
fn fair_rows(seed: u64) -> Vec<OverloadRow> {
    let rows = measure(MeasureSettings {
        seed,
        ..MeasureSettings::default()
    });
    rows.into_iter().filter(|row| row.order == "fair").collect()
}

#[test]
fn goodput_kept() {
    for seed in SEEDS {
        let rows = fair_rows(seed);
        let peak = rows.iter().map(|row| row.goodput).fold(0.0, f64::max);
        let overloaded = rows.iter().filter(|row| row.load >= 1.0);
        for row in overloaded {
            assert!(row.goodput >= peak * 0.9, "seed {seed}: {row:?}");
            assert_eq!(row.late_dispatches, 0, "seed {seed}: {row:?}");
        }
    }
}

#[test]
fn small_isolated() {
    for seed in SEEDS {
        let rows = fair_rows(seed);
        let p95 = |case: &str| rows.iter().find(|row| row.case == case).unwrap().small_p95;
        let (alone, burst) = (p95("small alone"), p95("small beside burst"));
        assert!(burst <= alone * 1.5, "seed {seed}: {burst} beside {alone}");
    }
}

#[test]
fn limit_fully_used() {
    for row in limits::measure(8) {
        assert!(row.most_live <= 1.0, "{row:?}");
        assert!(row.admitted >= 0.95, "{row:?}");
    }
}
