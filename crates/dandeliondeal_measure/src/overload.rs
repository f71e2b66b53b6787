//! Goodput above the capacity, and a small organisation beside the burst of a large one.
//!
//! The admission queue runs as it is, in virtual time, before places in memory. The baseline serves
//! the same arrivals in order of arrival, without bounds.

use std::path::Path;
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::overload_driver::{OverloadDriver, QueueOrder};
use crate::plot::{PlotAxes, PlotSeries, write_plot};
use crate::{MeasureError, MeasureSettings};

/// Offered loads as multiples of the capacity.
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 4.0];
const EVEN_CASE: &str = "ten equal organisations";
const SHORT_LENGTH: Duration = Duration::from_secs(30);
const LONG_LENGTH: Duration = Duration::from_mins(5);
/// Load of the small organisation.
const SMALL_LOAD: f64 = 0.02;
/// Load of the large organisation in its usual hours; its burst is ten times that.
const LARGE_LOAD: f64 = 0.6;
const BURST: f64 = 10.0;

/// One run.
#[derive(Clone, Debug, Display, Serialize)]
#[display(
    "{case:28} {order:8} {load:6.2} {goodput:8.3} {refused:8.3} {small_p95:9.0} {late_dispatches:6}"
)]
pub struct OverloadRow {
    /// What is offered.
    pub case: &'static str,
    /// Order of service.
    pub order: &'static str,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Answers within their deadline as a share of the capacity.
    pub goodput: f64,
    /// Share of requests refused without having run.
    pub refused: f64,
    /// 95th of 100 of the small organisation's times in milliseconds.
    pub small_p95: f64,
    /// Requests dispatched after their deadline.
    pub late_dispatches: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says why a plot cannot be written.
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
        x: "offered load / capacity",
        y: "answers in time / capacity",
    };
    let line = |order: QueueOrder| PlotSeries {
        name: order.name().to_owned(),
        points: rows
            .iter()
            .filter(|row| row.case == EVEN_CASE && row.order == order.name())
            .map(|row| (row.load, row.goodput))
            .collect(),
    };
    let lines = [line(QueueOrder::Fair), line(QueueOrder::Arrival)];
    write_plot(Path::new("overload.svg"), axes, &lines)
}

/// Runs every case with the admission queue and with the baseline.
pub fn measure(settings: MeasureSettings) -> Vec<OverloadRow> {
    let mut rows = Vec::new();
    for order in [QueueOrder::Fair, QueueOrder::Arrival] {
        for load in LOADS {
            let even = load / 10.0;
            rows.push(row(EVEN_CASE, order, &[even; 10], settings));
        }
        rows.push(row("small alone", order, &[SMALL_LOAD], settings));
        let usual = [SMALL_LOAD, LARGE_LOAD];
        rows.push(row("small beside large", order, &usual, settings));
        let burst = [SMALL_LOAD, LARGE_LOAD * BURST];
        rows.push(row("small beside burst", order, &burst, settings));
    }
    rows
}

fn row(
    case: &'static str,
    order: QueueOrder,
    loads: &[f64],
    settings: MeasureSettings,
) -> OverloadRow {
    let length = if settings.long {
        LONG_LENGTH
    } else {
        SHORT_LENGTH
    };
    let result = OverloadDriver::new(loads, length, settings.seed, order).run();
    OverloadRow {
        case,
        order: order.name(),
        load: loads.iter().sum(),
        goodput: result.goodput,
        refused: result.refused,
        small_p95: result.first_p95,
        late_dispatches: result.late_dispatches,
    }
}
