//! A straight line through measured points, and how well it fits.

use crate::stats::least_squares;
use serde::Serialize;

/// `y = intercept + slope * x`, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Line {
    /// Growth of `y` for each unit of `x`.
    pub slope: f64,
    /// `y` at zero.
    pub intercept: f64,
    /// The farthest that any point lies from the line, as a part of the largest point.
    pub residual: f64,
    /// The exponent of the power that fits best: 1 where it grows as the count does, 2 with its
    /// square. It disregards the intercept.
    pub power: f64,
}

impl Line {
    /// The line through these points; none for fewer than two different counts.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let line = least_squares(points)?;
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let farthest = points
            .iter()
            .map(|p| (p.1 - line.slope * p.0 - line.intercept).abs())
            .fold(0.0, f64::max);
        Some(Line {
            slope: line.slope,
            intercept: line.intercept,
            residual: farthest / largest,
            power: best_power(points, line.intercept.max(0.0)),
        })
    }

    /// Its value at a count.
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// The slope through the logarithms of the points above an offset.
fn best_power(points: &[(f64, f64)], offset: f64) -> f64 {
    let logarithms: Vec<(f64, f64)> = points
        .iter()
        .map(|p| (p.0, p.1 - offset))
        .filter(|p| p.0 > 0.0 && p.1 > 0.0)
        .map(|p| (p.0.ln(), p.1.ln()))
        .collect();
    least_squares(&logarithms).map_or(0.0, |line| line.slope)
}
