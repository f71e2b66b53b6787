//! What claims cost: claims for each write of the platform, the delay they add, and the calls to
//! the platform as the fleet grows, beside the baseline of one write a claim.

use std::time::Duration;

use dandeliondeal_claim::{ClaimTable, LogLine, OutcomeRecord};
use dandeliondeal_types::Outcome;

use crate::claim_load::{ClaimFigures, ClaimLoad, load_site};
use crate::claim_site::{ClaimMode, answer, claim_record};
use crate::overhead::resident_kilobytes;
use crate::{MeasureError, MeasureSettings};

const SIZES: [usize; 3] = [1, 3, 9];
const MODES: [ClaimMode; 3] = [ClaimMode::Grouped, ClaimMode::Direct, ClaimMode::Single];
const LOADS: [ClaimLoad; 3] = [
    ClaimLoad::Steady(60.0),
    ClaimLoad::Steady(300.0),
    ClaimLoad::Full(256),
];
const TIME: Duration = Duration::from_millis(500);
/// Claims that a table is filled with.
const KEPT_CLAIMS: u64 = 100_000;
const LONG_TIME: Duration = Duration::from_secs(10);

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says what could not be set up.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let time = if settings.long { LONG_TIME } else { TIME };
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
            for instances in SIZES {
                let figure = load_site(instances, mode, load, time).await?;
                print_line(&figure);
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

/// Growth of the process for each claim that a table holds.
fn bytes_per_claim() -> Result<f64, MeasureError> {
    let before = resident_kilobytes();
    let mut table = ClaimTable::new(Duration::from_hours(24));
    for number in 0..KEPT_CLAIMS {
        let claim = claim_record(number);
        let outcome = OutcomeRecord {
            request: claim.request.clone(),
            outcome: Outcome::Answered,
            answer: Some(answer()),
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

fn print_line(figure: &ClaimFigures) {
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

/// Least-squares slope of calls a second over instances.
fn slope(figures: &[ClaimFigures]) -> f64 {
    let count = figures.len() as f64;
    let mean = |value: fn(&ClaimFigures) -> f64| figures.iter().map(value).sum::<f64>() / count;
    let instances = mean(|figure| figure.instances as f64);
    let calls = mean(|figure| figure.calls_per_second);
    let (mut shared, mut spread) = (0.0, 0.0);
    for figure in figures {
        let distance = figure.instances as f64 - instances;
        shared += distance * (figure.calls_per_second - calls);
        spread += distance * distance;
    }
    shared / spread.max(f64::MIN_POSITIVE)
}
