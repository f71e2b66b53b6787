//! Plots of measured series as SVG files.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};
use plotters::style::Color;

use crate::MeasureError;

const NAME: &str = "plot";
/// Width and height in pixels.
const SIZE: (u32, u32) = (800, 480);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const LEGEND_LENGTH: i32 = 18;

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct PlotSeries {
    /// Name in the legend.
    pub name: String,
    /// Points in order of x.
    pub points: Vec<(f64, f64)>,
}

/// Axes of a plot.
#[derive(Clone, Copy, Debug)]
pub struct PlotAxes {
    /// What the plot shows.
    pub title: &'static str,
    /// X, with its unit.
    pub x: &'static str,
    /// Y, with its unit.
    pub y: &'static str,
}

/// Writes lines over common axes that start at 0.
///
/// # Errors
///
/// Says why the file cannot be written.
pub fn write_plot(path: &Path, axes: PlotAxes, lines: &[PlotSeries]) -> Result<(), MeasureError> {
    draw(path, axes, lines).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        MeasureError::new(NAME, message)
    })
}

fn draw(
    path: &Path,
    axes: PlotAxes,
    lines: &[PlotSeries],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let most_x = points().map(|point| point.0).fold(0.0, f64::max);
    let most_y = points().map(|point| point.1).fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(axes.title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
    chart
        .configure_mesh()
        .x_desc(axes.x)
        .y_desc(axes.y)
        .draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour))?
            .label(&line.name)
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
