//! Compares policies that choose an endpoint, on the same arrivals and service times.
//!
//! Runs in virtual time: the endpoint monitor and the simpler policies are the real code, and the
//! endpoints are queues in memory. The same seed gives the same figures.

use std::path::Path;
use std::time::Duration;

use dandeliondeal_balance::{HealthSettings, MonitorSettings, SelectionSettings};
use dandeliondeal_chart::ChartError;
use derive_more::Display;
use serde::Serialize;

use crate::choice_policy::{ChoicePolicy, MonitorPolicy, SimplePolicy, SimpleRule};
use crate::choice_scenario::{ChoiceScenario, EndpointFault, EndpointMix};
use crate::choice_simulation::{ChoiceResult, ChoiceSimulation};
use crate::plot::{PlotAxes, PlotSeries, write_plot};
use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "choice";
/// Scenario shown in the plot.
const PLOTTED_SCENARIO: &str = "unequal";
/// Name of the monitor's policy in tables.
const MONITOR_POLICY_NAME: &str = "predicted completion";
/// Number of entry instances in the long form of the measurement.
const LONG_ENTRY_COUNT: usize = 60;
/// Delays of load reports that are compared.
const REPORT_LAGS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Size, load and seed of one comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceRun {
    /// Seed of arrivals, service times and random choices.
    pub seed: u64,
    /// Virtual time over which requests arrive.
    pub duration: Duration,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Offered load as a share of the capacity of all endpoints.
    pub load: f64,
}

impl Default for ChoiceRun {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_mins(1),
            entries: 8,
            endpoints: 40,
            load: 0.8,
        }
    }
}

/// Figures of one policy in one scenario.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "{scenario:18} {lag_milliseconds:6} {policy:22} {:7.0} {:7.0} {:7.0} {:8.4} {:8.4}",
    result.p50,
    result.p95,
    result.p99,
    result.late,
    result.failed
)]
pub struct ChoiceRow {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Delay of the load reports in milliseconds.
    pub lag_milliseconds: u64,
    /// Name of the policy or of the changed feature.
    pub policy: &'static str,
    /// Answer times and failures.
    #[serde(flatten)]
    pub result: ChoiceResult,
}

impl ChoiceRow {
    fn new(
        scenario: &'static str,
        lag: Duration,
        policy: &'static str,
        result: ChoiceResult,
    ) -> Self {
        Self {
            scenario,
            lag_milliseconds: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
            policy,
            result,
        }
    }
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the health chart is invalid or a plot cannot be written.
pub fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let mut run = ChoiceRun {
        seed: settings.seed,
        ..ChoiceRun::default()
    };
    if settings.long {
        run.entries = LONG_ENTRY_COUNT;
    }
    let to_measure_error = |error: ChartError| MeasureError::new(MEASUREMENT, error.to_string());
    let mut rows = compare_policies(&run).map_err(to_measure_error)?;
    rows.extend(compare_features(&run).map_err(to_measure_error)?);
    println!(
        "{:18} {:>6} {:22} {:>7} {:>7} {:>7} {:>8} {:>8}",
        "scenario", "lag ms", "policy", "p50 ms", "p95 ms", "p99 ms", "late", "failed"
    );
    for row in &rows {
        println!("{row}");
    }
    for row in &rows {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
    }
    if settings.plots {
        plot(&rows)?;
    }
    Ok(())
}

fn plot(rows: &[ChoiceRow]) -> Result<(), MeasureError> {
    let axes = PlotAxes {
        title: "Endpoints of seven speeds",
        x_label: "lag of load reports (s)",
        y_label: "95th of 100 of the time to the answer (ms)",
    };
    let series = |policy: &str| PlotSeries {
        name: policy.to_owned(),
        points: rows
            .iter()
            .filter(|row| row.scenario == PLOTTED_SCENARIO && row.policy == policy)
            .map(|row| (row.lag_milliseconds as f64 / 1000.0, row.result.p95))
            .collect(),
    };
    let rules = SimpleRule::ALL.map(SimpleRule::name);
    let all_series: Vec<PlotSeries> = rules
        .into_iter()
        .chain([MONITOR_POLICY_NAME])
        .map(series)
        .collect();
    write_plot(Path::new("choice.svg"), axes, &all_series)
}

/// Runs every policy in every scenario.
///
/// # Errors
///
/// Returns a [`ChartError`] if the health chart is invalid.
pub fn compare_policies(run: &ChoiceRun) -> Result<Vec<ChoiceRow>, ChartError> {
    let mut rows = Vec::new();
    for (name, mix, fault) in scenarios() {
        for lag in REPORT_LAGS {
            let scenario = ChoiceScenario::new(run, mix, fault, lag);
            for rule in SimpleRule::ALL {
                let policy = SimplePolicy::new(rule, run.entries, run.endpoints);
                let result = simulate(run, &scenario, policy);
                rows.push(ChoiceRow::new(name, lag, rule.name(), result));
            }
            let policy = MonitorPolicy::new(run.entries, &scenario, &MonitorSettings::default())?;
            let result = simulate(run, &scenario, policy);
            rows.push(ChoiceRow::new(name, lag, MONITOR_POLICY_NAME, result));
        }
    }
    Ok(rows)
}

/// Runs the monitor with its default settings, then with one feature disabled or changed.
///
/// # Errors
///
/// Returns a [`ChartError`] if the health chart is invalid.
pub fn compare_features(run: &ChoiceRun) -> Result<Vec<ChoiceRow>, ChartError> {
    let lag = Duration::from_secs(1);
    let mut rows = Vec::new();
    for (name, fault) in [
        ("half gone", EndpointFault::HalfRefusing),
        ("surge", EndpointFault::Surge),
        ("one silent", EndpointFault::Silent),
        ("every tenth fails", EndpointFault::TenthCall),
    ] {
        let scenario = ChoiceScenario::new(run, EndpointMix::Equal, fault, lag);
        for (feature, settings) in features() {
            let policy = MonitorPolicy::new(run.entries, &scenario, &settings)?;
            rows.push(ChoiceRow::new(
                name,
                lag,
                feature,
                simulate(run, &scenario, policy),
            ));
        }
    }
    Ok(rows)
}

fn features() -> [(&'static str, MonitorSettings); 5] {
    let default_settings = MonitorSettings::default;
    let with_health = |health| MonitorSettings {
        health,
        ..default_settings()
    };
    let default_health = || default_settings().health;
    [
        ("all features", default_settings()),
        (
            "slow start of 5 s",
            with_health(HealthSettings {
                slow_start: Duration::from_secs(5),
                ..default_health()
            }),
        ),
        (
            "no rule for load",
            with_health(HealthSettings {
                max_failed_share: 1.0,
                ..default_health()
            }),
        ),
        (
            "no overdue signal",
            with_health(HealthSettings {
                overdue_calls: u32::MAX,
                ..default_health()
            }),
        ),
        (
            "no suspicion",
            MonitorSettings {
                selection: SelectionSettings {
                    suspicion_penalty: 1.0,
                    ..default_settings().selection
                },
                ..default_settings()
            },
        ),
    ]
}

fn scenarios() -> [(&'static str, EndpointMix, EndpointFault); 7] {
    [
        ("equal", EndpointMix::Equal, EndpointFault::None),
        (PLOTTED_SCENARIO, EndpointMix::Unequal, EndpointFault::None),
        ("one slow", EndpointMix::Equal, EndpointFault::Slow),
        ("one silent", EndpointMix::Equal, EndpointFault::Silent),
        (
            "every tenth fails",
            EndpointMix::Equal,
            EndpointFault::TenthCall,
        ),
        ("half gone", EndpointMix::Equal, EndpointFault::HalfRefusing),
        (
            "reports frozen",
            EndpointMix::Unequal,
            EndpointFault::FrozenReports,
        ),
    ]
}

/// Runs one policy in one scenario.
pub fn simulate<Policy>(run: &ChoiceRun, scenario: &ChoiceScenario, policy: Policy) -> ChoiceResult
where
    Policy: ChoicePolicy,
{
    ChoiceSimulation::new(scenario, policy, run.seed).run()
}
