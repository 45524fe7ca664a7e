//! Plots of counts over time.

use crate::fleet::ClientKind;
use plotters::prelude::*;
use std::io;
use std::path::Path;
use std::time::Duration;

/// A curve of the counts of one kind of client.
pub struct Curve<'a> {
    label: &'static str,
    counts: &'a [f64],
    line_width: u32,
}

impl<'a> Curve<'a> {
    pub fn naive(counts: &'a [f64]) -> Curve<'a> {
        Curve {
            label: ClientKind::Naive.label(),
            counts,
            line_width: 1,
        }
    }

    pub fn library(counts: &'a [f64]) -> Curve<'a> {
        Curve {
            label: ClientKind::Library.label(),
            counts,
            line_width: 3,
        }
    }
}

/// Writes a plot of counts that were sampled at this interval. A failure to write it is reported on
/// standard error.
pub fn write_plot(path: &Path, title: &str, interval: Duration, curves: [Curve<'_>; 2]) {
    if let Err(error) = draw(path, title, interval.as_secs_f64(), &curves) {
        eprintln!("{}: {error}", path.display());
    }
}

fn draw(
    path: &Path,
    title: &str,
    interval: f64,
    curves: &[Curve<'_>],
) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let area = SVGBackend::new(path, (900, 320)).into_drawing_area();
    let counts = curves.iter().flat_map(|curve| curve.counts);
    let highest = counts.copied().fold(1.0, f64::max);
    let longest = curves.iter().map(|curve| curve.counts.len()).max();
    let duration = longest.unwrap_or(1) as f64 * interval;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..duration, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .light_line_style(WHITE)
        .draw()?;
    for curve in curves {
        let style = BLACK.stroke_width(curve.line_width);
        let points = curve.counts.iter().enumerate();
        let points = points.map(|(index, count)| (index as f64 * interval, *count));
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(curve.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()
}
