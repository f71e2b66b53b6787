//! Measures the cost of claims, compared to a baseline of one write per claim.
//!
//! The figures are the claims per write to the platform, the delay that a claim adds, and the calls
//! to the platform as the fleet grows.

use std::time::Duration;

use dandeliondeal_claim::{ClaimTable, LogLine, OutcomeRecord};
use dandeliondeal_types::Outcome;

use crate::claim_load::{ClaimFigures, ClaimLoad, measure_load};
use crate::claim_testbed::{ClaimMode, claim_answer, claim_record};
use crate::overhead::resident_kilobytes;
use crate::{MeasureError, MeasureSettings};

/// Numbers of instances.
const FLEET_SIZES: [usize; 3] = [1, 3, 9];
const MODES: [ClaimMode; 3] = [ClaimMode::Grouped, ClaimMode::Direct, ClaimMode::Single];
const LOADS: [ClaimLoad; 3] = [
    ClaimLoad::Steady(60.0),
    ClaimLoad::Steady(300.0),
    ClaimLoad::Full(256),
];
/// Time for which each load is measured.
const SHORT_TIME: Duration = Duration::from_millis(500);
/// Number of claims in the table whose memory is measured.
const TABLE_CLAIMS: u64 = 100_000;
/// Time for which each load is measured in the long form.
const LONG_TIME: Duration = Duration::from_secs(10);

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if a part of the setup cannot be started.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let time = if settings.long { LONG_TIME } else { SHORT_TIME };
    println!(
        "{:<14} {:<8} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9} {:>7}",
        "load",
        "mode",
        "instances",
        "claims/s",
        "writes/s",
        "claims/w",
        "calls/s",
        "p50 ms",
        "p95 ms",
        "failed"
    );
    for load in LOADS {
        for mode in MODES {
            let mut figures = Vec::new();
            for instances in FLEET_SIZES {
                let figure = measure_load(instances, mode, load, time).await?;
                print_figures(&figure);
                figures.push(figure);
            }
            println!(
                "  slope: {:+.2} calls a second for each further instance",
                slope(&figures)
            );
        }
    }
    let bytes = bytes_per_claim()?;
    println!("memory: {bytes:.0} bytes for each claim with its outcome, while it is kept");
    println!("{{\"bytes_per_claim\":{bytes:.0}}}");
    Ok(())
}

/// Returns the growth of the resident memory per claim in a table, in bytes.
fn bytes_per_claim() -> Result<f64, MeasureError> {
    let before = resident_kilobytes();
    let mut table = ClaimTable::new(Duration::from_hours(24));
    for number in 0..TABLE_CLAIMS {
        let claim = claim_record(number);
        let outcome = OutcomeRecord {
            request: claim.request.clone(),
            outcome: Outcome::Answered,
            answer: Some(claim_answer()),
        };
        for line in [LogLine::Claim(claim), LogLine::Outcome(outcome)] {
            table
                .apply(line)
                .map_err(|error| MeasureError::new("claims", error.to_string()))?;
        }
    }
    let growth = resident_kilobytes().saturating_sub(before) as f64 * 1024.0;
    Ok(growth / table.len() as f64)
}

fn print_figures(figure: &ClaimFigures) {
    println!(
        "{:<14} {:<8} {:>9} {:>9.1} {:>9.1} {:>8.2} {:>9.1} {:>9.1} {:>9.1} {:>7}",
        format!("{:?}", figure.load),
        format!("{:?}", figure.mode).to_lowercase(),
        figure.instances,
        figure.claims_per_second,
        figure.writes_per_second,
        figure.claims_per_write,
        figure.calls_per_second,
        figure.delay_p50,
        figure.delay_p95,
        figure.failed,
    );
    println!("{}", serde_json::to_string(figure).unwrap_or_default());
}

/// Returns the least-squares slope of calls per second over the number of instances.
fn slope(figures: &[ClaimFigures]) -> f64 {
    let count = figures.len() as f64;
    let mean = |value: fn(&ClaimFigures) -> f64| figures.iter().map(value).sum::<f64>() / count;
    let mean_instances = mean(|figure| figure.instances as f64);
    let mean_calls = mean(|figure| figure.calls_per_second);
    let (mut covariance, mut variance) = (0.0, 0.0);
    for figure in figures {
        let deviation = figure.instances as f64 - mean_instances;
        covariance += deviation * (figure.calls_per_second - mean_calls);
        variance += deviation * deviation;
    }
    covariance / variance.max(f64::MIN_POSITIVE)
}
