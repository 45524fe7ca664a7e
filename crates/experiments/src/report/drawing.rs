//! Drawing of a chart as SVG.

use super::chart::{Chart, ChartPoint};
use plotters::prelude::*;
use std::io;

const WIDTH: u32 = 860;
const HEIGHT: u32 = 300;
/// Curves differ by grey and line width, so that they can be told apart in black and white.
const GREYS: u8 = 5;
const GREY_STEP: u8 = 40;
const LINE_WIDTHS: u32 = 3;
/// Length of a line in the legend, in pixels.
const LEGEND_LINE: i32 = 20;

type DrawingError = DrawingAreaErrorKind<io::Error>;

/// The error that a figure cannot be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{figure}")]
pub struct PlotError {
    /// Name of the figure.
    figure: String,
    /// Error of the drawing library.
    source: DrawingError,
}

/// Draws a chart and returns the SVG document.
pub(super) fn draw(chart: &Chart) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw_into(&mut svg, chart).map_err(|source| PlotError {
        figure: chart.figure.to_owned(),
        source,
    })?;
    Ok(svg)
}

fn draw_into(svg: &mut String, chart: &Chart) -> Result<(), DrawingError> {
    let area = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut context = ChartBuilder::on(&area)
        .caption(chart.figure, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d(chart.x_range.clone(), chart.y_range.clone())?;
    context
        .configure_mesh()
        .x_desc(chart.x_label.as_str())
        .x_label_formatter(&|position: &f64| chart.x_tick(*position))
        .light_line_style(WHITE)
        .draw()?;
    for (index, (name, curve)) in chart.curves.iter().enumerate() {
        let style = curve_style(index);
        let name = if name.is_empty() { chart.figure } else { name };
        let line = curve
            .iter()
            .map(|point| (chart.x_position(point.x), point.mean.mean));
        context
            .draw_series(LineSeries::new(line, style))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], style));
        let error_bars = curve
            .iter()
            .map(|point| PathElement::new(error_bar(chart, point), style));
        context.draw_series(error_bars)?;
    }
    context
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()
}

fn curve_style(index: usize) -> ShapeStyle {
    let grey = GREY_STEP * (index as u8 % GREYS);
    RGBColor(grey, grey, grey).stroke_width(1 + index as u32 % LINE_WIDTHS)
}

/// Returns the end points of the error bar that shows a confidence interval.
fn error_bar(chart: &Chart, point: &ChartPoint) -> [(f64, f64); 2] {
    let x = chart.x_position(point.x);
    let (low, high) = point.interval();
    [(x, low), (x, high)]
}
