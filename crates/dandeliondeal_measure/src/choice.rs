//! Compares ways to choose an endpoint on the same recorded arrivals and service times.
//!
//! Time is virtual: the monitor and the simpler policies run as they are, only the endpoints are
//! queues in memory. The same seed gives the same figures.

use std::path::Path;
use std::time::Duration;

use dandeliondeal_balance::{HealthSettings, MonitorSettings, SelectionSettings};
use dandeliondeal_chart::ChartError;
use derive_more::Display;
use serde::Serialize;

use crate::choice_driver::{ChoiceDriver, DriverResult};
use crate::choice_policy::{BoardPolicy, ChoicePolicy, SimplePolicy, SimpleRule};
use crate::choice_scenario::{ChoiceScenario, EndpointFault, EndpointMix};
use crate::plot::{PlotAxes, PlotSeries, write_plot};
use crate::{MeasureError, MeasureSettings};

const NAME: &str = "choice";
const PLOTTED_SCENARIO: &str = "unequal";
const BOARD_NAME: &str = "predicted completion";
/// Entry instances of the long form.
const LONG_ENTRIES: usize = 60;
/// Lags of load reports that are compared.
const LAGS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Size and seed of one comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceRun {
    /// Seed of arrivals, service times and choices.
    pub seed: u64,
    /// Virtual time over which requests arrive.
    pub length: Duration,
    /// Entry instances.
    pub entries: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Offered load as a share of the capacity of all endpoints.
    pub load: f64,
}

impl Default for ChoiceRun {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_mins(1),
            entries: 8,
            endpoints: 40,
            load: 0.8,
        }
    }
}

/// One policy in one scenario.
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
    /// Endpoints and fault.
    pub scenario: &'static str,
    /// Lag of the load reports in milliseconds.
    pub lag_milliseconds: u64,
    /// The policy.
    pub policy: &'static str,
    /// What came out.
    #[serde(flatten)]
    pub result: DriverResult,
}

impl ChoiceRow {
    fn new(
        scenario: &'static str,
        lag: Duration,
        policy: &'static str,
        result: DriverResult,
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
/// Says why the health chart is unsound or a plot cannot be written.
pub fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let mut run = ChoiceRun {
        seed: settings.seed,
        ..ChoiceRun::default()
    };
    if settings.long {
        run.entries = LONG_ENTRIES;
    }
    let unsound = |error: ChartError| MeasureError::new(NAME, error.to_string());
    let mut rows = compare_policies(&run).map_err(unsound)?;
    rows.extend(compare_features(&run).map_err(unsound)?);
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
        x: "lag of load reports (s)",
        y: "95th of 100 of the time to the answer (ms)",
    };
    let line = |policy: &str| PlotSeries {
        name: policy.to_owned(),
        points: rows
            .iter()
            .filter(|row| row.scenario == PLOTTED_SCENARIO && row.policy == policy)
            .map(|row| (row.lag_milliseconds as f64 / 1000.0, row.result.p95))
            .collect(),
    };
    let rules = SimpleRule::ALL.map(SimpleRule::name);
    let lines: Vec<PlotSeries> = rules.into_iter().chain([BOARD_NAME]).map(line).collect();
    write_plot(Path::new("choice.svg"), axes, &lines)
}

/// Runs every policy in every scenario.
///
/// # Errors
///
/// [`ChartError`] if the health chart is unsound.
pub fn compare_policies(run: &ChoiceRun) -> Result<Vec<ChoiceRow>, ChartError> {
    let mut rows = Vec::new();
    for (name, mix, fault) in scenarios() {
        for lag in LAGS {
            let scenario = ChoiceScenario::new(run, mix, fault, lag);
            for rule in SimpleRule::ALL {
                let policy = SimplePolicy::new(rule, run.entries, run.endpoints);
                let result = drive(run, &scenario, policy);
                rows.push(ChoiceRow::new(name, lag, rule.name(), result));
            }
            let policy = BoardPolicy::new(run.entries, &scenario, &MonitorSettings::default())?;
            let result = drive(run, &scenario, policy);
            rows.push(ChoiceRow::new(name, lag, BOARD_NAME, result));
        }
    }
    Ok(rows)
}

/// Runs the monitor with single features switched off.
///
/// # Errors
///
/// [`ChartError`] if the health chart is unsound.
pub fn compare_features(run: &ChoiceRun) -> Result<Vec<ChoiceRow>, ChartError> {
    let lag = Duration::from_secs(1);
    let mut rows = Vec::new();
    for (name, fault) in [
        ("half gone", EndpointFault::HalfGone),
        ("surge", EndpointFault::Surge),
        ("one silent", EndpointFault::Silent),
        ("every tenth fails", EndpointFault::TenthCall),
    ] {
        let scenario = ChoiceScenario::new(run, EndpointMix::Equal, fault, lag);
        for (feature, settings) in features() {
            let policy = BoardPolicy::new(run.entries, &scenario, &settings)?;
            rows.push(ChoiceRow::new(
                name,
                lag,
                feature,
                drive(run, &scenario, policy),
            ));
        }
    }
    Ok(rows)
}

fn features() -> [(&'static str, MonitorSettings); 5] {
    let with = MonitorSettings::default;
    let health = |health| MonitorSettings { health, ..with() };
    let usual = || with().health;
    [
        ("all features", with()),
        (
            "slow start of 5 s",
            health(HealthSettings {
                slow_start: Duration::from_secs(5),
                ..usual()
            }),
        ),
        (
            "no rule for load",
            health(HealthSettings {
                max_failed_share: 1.0,
                ..usual()
            }),
        ),
        (
            "no overdue signal",
            health(HealthSettings {
                overdue_calls: u32::MAX,
                ..usual()
            }),
        ),
        (
            "no suspicion",
            MonitorSettings {
                selection: SelectionSettings {
                    suspicion_penalty: 1.0,
                    ..with().selection
                },
                ..with()
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
        ("half gone", EndpointMix::Equal, EndpointFault::HalfGone),
        (
            "reports frozen",
            EndpointMix::Unequal,
            EndpointFault::FrozenReports,
        ),
    ]
}

/// Runs one policy in one scenario.
pub fn drive<Policy>(run: &ChoiceRun, scenario: &ChoiceScenario, policy: Policy) -> DriverResult
where
    Policy: ChoicePolicy,
{
    ChoiceDriver::new(scenario, policy, run.seed).run()
}
