//! Draws the curves of sweeps as SVG, each in a panel with its points and its fitted line.

use super::{Curve, SweepResult};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::io;

/// Number of panels side by side.
const COLUMNS: usize = 3;
const WIDTH: u32 = 1260;
const PANEL_HEIGHT: u32 = 240;
/// Factor by which an axis extends beyond the largest point.
const HEADROOM: f64 = 1.05;
/// Minimum length of an axis, so that figures that are zero at all points have a valid range.
const MIN_LENGTH: f64 = 1e-9;
const POINT_RADIUS: i32 = 3;

type DrawingError = DrawingAreaErrorKind<io::Error>;

/// An error of the drawing library.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct PlotError(DrawingError);

/// Draws all curves of these sweeps and returns the SVG document.
pub(super) fn draw(sweeps: &[SweepResult]) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw_into(&mut svg, sweeps).map_err(PlotError)?;
    Ok(svg)
}

fn draw_into(svg: &mut String, sweeps: &[SweepResult]) -> Result<(), DrawingError> {
    let curves: Vec<(&SweepResult, &Curve)> = sweeps
        .iter()
        .flat_map(|sweep| sweep.curves.iter().map(move |curve| (sweep, curve)))
        .collect();
    let rows = curves.len().div_ceil(COLUMNS).max(1);
    let size = (WIDTH, PANEL_HEIGHT * rows as u32);
    let area = SVGBackend::with_string(svg, size).into_drawing_area();
    area.fill(&WHITE)?;
    let panels = area.split_evenly((rows, COLUMNS));
    for (panel, (sweep, curve)) in panels.iter().zip(&curves) {
        draw_panel(panel, sweep, curve)?;
    }
    area.present()
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend, Shift>,
    sweep: &SweepResult,
    curve: &Curve,
) -> Result<(), DrawingError> {
    let right = axis_end(curve.points.iter().map(|point| point.0));
    let top = axis_end(curve.points.iter().map(|point| point.1));
    let caption = format!("{}: {}", sweep.name, curve.figure);
    let mut chart = ChartBuilder::on(panel)
        .caption(caption, ("sans-serif", 12))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc(sweep.over)
        .x_labels(5)
        .y_labels(5)
        .disable_mesh()
        .draw()?;
    let point = |point: &(f64, f64)| Circle::new(*point, POINT_RADIUS, BLACK.filled());
    chart.draw_series(curve.points.iter().map(point))?;
    if let Some(line) = curve.line {
        let ends = [
            (0.0, line.at(0.0).max(0.0)),
            (right, line.at(right).clamp(0.0, top)),
        ];
        chart.draw_series(LineSeries::new(ends, BLACK.mix(0.5)))?;
    }
    Ok(())
}

/// Returns the end of an axis that begins at zero and covers these values.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(MIN_LENGTH, f64::max) * HEADROOM
}
