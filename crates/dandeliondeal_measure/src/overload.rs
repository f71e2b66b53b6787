//! Measures goodput above the capacity, and a small organisation during a large one's burst.
//!
//! Runs in virtual time: the admission queue is the real code, and the service of requests is
//! simulated. The baseline serves the same arrivals first in, first out, from an unbounded queue.

use std::path::Path;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::overload_simulation::{OverloadSimulation, QueueOrder};
use crate::plot::{PlotAxes, PlotSeries, write_plot};
use crate::{MeasureError, MeasureSettings};

/// Offered loads as multiples of the capacity.
const OFFERED_LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 4.0];
/// Name of the case in which ten organisations offer the same load; it is the one plotted.
const EQUAL_CASE: &str = "ten equal organisations";
const SHORT_DURATION: Duration = Duration::from_secs(30);
const LONG_DURATION: Duration = Duration::from_mins(5);
/// Load of the small organisation as a multiple of the capacity.
const SMALL_LOAD: f64 = 0.02;
/// Load of the large organisation outside its burst as a multiple of the capacity.
const LARGE_LOAD: f64 = 0.6;
/// Factor on the large organisation's load during its burst.
const BURST_FACTOR: f64 = 10.0;

/// Figures of one case and order of service.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "{case:28} {order:8} {load:6.2} {goodput:8.3} {refused:8.3} {small_p95:9.0} {late_dispatches:6}"
)]
pub struct OverloadRow {
    /// Name of the case.
    pub case: &'static str,
    /// Order in which waiting requests are served.
    pub order: &'static str,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Answers within their deadline as a share of the capacity.
    pub goodput: f64,
    /// Share of requests that were refused without having run.
    pub refused: f64,
    /// 95th percentile of the first organisation's times to the answer in milliseconds.
    ///
    /// The first organisation is the small one, except in the case of equal organisations.
    pub small_p95: f64,
    /// Number of requests that were dispatched after their deadline.
    pub late_dispatches: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if a plot cannot be written.
pub fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let rows = measure(settings);
    println!(
        "{:28} {:8} {:>6} {:>8} {:>8} {:>9} {:>6}",
        "case", "order", "load", "goodput", "refused", "small p95", "late"
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

fn plot(rows: &[OverloadRow]) -> Result<(), MeasureError> {
    let axes = PlotAxes {
        title: "Goodput of ten equal organisations",
        x_label: "offered load / capacity",
        y_label: "answers in time / capacity",
    };
    let series = |order: QueueOrder| PlotSeries {
        name: order.name().to_owned(),
        points: rows
            .iter()
            .filter(|row| row.case == EQUAL_CASE && row.order == order.name())
            .map(|row| (row.load, row.goodput))
            .collect(),
    };
    let all_series = [series(QueueOrder::Fair), series(QueueOrder::Arrival)];
    write_plot(Path::new("overload.svg"), axes, &all_series)
}

/// Runs every case, with the admission queue and with the baseline.
pub fn measure(settings: MeasureSettings) -> Vec<OverloadRow> {
    let mut rows = Vec::new();
    for order in [QueueOrder::Fair, QueueOrder::Arrival] {
        for load in OFFERED_LOADS {
            let load_per_organisation = load / 10.0;
            rows.push(measure_case(
                EQUAL_CASE,
                order,
                &[load_per_organisation; 10],
                settings,
            ));
        }
        rows.push(measure_case("small alone", order, &[SMALL_LOAD], settings));
        let usual = [SMALL_LOAD, LARGE_LOAD];
        rows.push(measure_case("small beside large", order, &usual, settings));
        let burst = [SMALL_LOAD, LARGE_LOAD * BURST_FACTOR];
        rows.push(measure_case("small beside burst", order, &burst, settings));
    }
    rows
}

/// Runs one case in which each organisation offers its load.
fn measure_case(
    case: &'static str,
    order: QueueOrder,
    loads: &[f64],
    settings: MeasureSettings,
) -> OverloadRow {
    let duration = if settings.long {
        LONG_DURATION
    } else {
        SHORT_DURATION
    };
    let result = OverloadSimulation::new(loads, duration, settings.seed, order).run();
    OverloadRow {
        case,
        order: order.name(),
        load: loads.iter().sum(),
        goodput: result.goodput,
        refused: result.refused,
        small_p95: result.first_organisation_p95,
        late_dispatches: result.late_dispatches,
    }
}
