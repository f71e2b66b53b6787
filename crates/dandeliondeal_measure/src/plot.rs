//! Plots measured series as SVG files.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};
use plotters::style::Color;

use crate::MeasureError;

const MEASUREMENT: &str = "plot";
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);
/// Margin around the plot in pixels.
const PLOT_MARGIN: u32 = 12;
/// Size of the areas for axis labels in pixels.
const LABEL_AREA_SIZE: u32 = 48;
/// Length of a line sample in the legend in pixels.
const LEGEND_LENGTH: i32 = 18;

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct PlotSeries {
    /// Name shown in the legend.
    pub name: String,
    /// Points as (x, y), sorted by x.
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
#[derive(Clone, Copy, Debug)]
pub struct PlotAxes {
    /// Title above the plot.
    pub title: &'static str,
    /// Label of the x axis, with its unit.
    pub x_label: &'static str,
    /// Label of the y axis, with its unit.
    pub y_label: &'static str,
}

/// Writes an SVG file with one line per series, over common axes that start at 0.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_plot(
    path: &Path,
    axes: PlotAxes,
    all_series: &[PlotSeries],
) -> Result<(), MeasureError> {
    draw(path, axes, all_series).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        MeasureError::new(MEASUREMENT, message)
    })
}

fn draw(
    path: &Path,
    axes: PlotAxes,
    all_series: &[PlotSeries],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || all_series.iter().flat_map(|series| &series.points);
    let max_x = points().map(|point| point.0).fold(0.0, f64::max);
    let max_y = points().map(|point| point.1).fold(0.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(axes.title, ("sans-serif", 18))
        .margin(PLOT_MARGIN)
        .x_label_area_size(LABEL_AREA_SIZE)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart
        .configure_mesh()
        .x_desc(axes.x_label)
        .y_desc(axes.y_label)
        .draw()?;
    for (number, series) in all_series.iter().enumerate() {
        let colour = Palette99::pick(number).stroke_width(2);
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), colour))?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LENGTH, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
