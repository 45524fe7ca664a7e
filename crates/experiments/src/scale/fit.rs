//! Fits a straight line to measured points and evaluates the quality of the fit.

use crate::stats::least_squares;
use serde::Serialize;

/// The line `y = intercept + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Line {
    /// Increase of `y` for each unit of `x`.
    pub slope: f64,
    /// Value of `y` at `x = 0`.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a fraction of the largest absolute `y`.
    pub residual: f64,
    /// Exponent of the power law that fits best to the points above the intercept: 1 for linear
    /// growth, 2 for quadratic growth.
    pub power: f64,
}

impl Line {
    /// Fits a line to the points; `None` if they have fewer than two different values of `x`.
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

    /// Returns the value of the line at a count.
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// Returns the exponent of the power law that fits best after subtracting an offset: the slope of a
/// line through the logarithms of the points. Points that are not positive are left out.
fn best_power(points: &[(f64, f64)], offset: f64) -> f64 {
    let logarithms: Vec<(f64, f64)> = points
        .iter()
        .map(|p| (p.0, p.1 - offset))
        .filter(|p| p.0 > 0.0 && p.1 > 0.0)
        .map(|p| (p.0.ln(), p.1.ln()))
        .collect();
    least_squares(&logarithms).map_or(0.0, |line| line.slope)
}
