//! A straight line through points, and how well it fits.

use crate::stats::least_squares;

/// A straight line, `y = intercept + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Change of `y` per unit of `x`.
    pub slope: f64,
    /// Value of `y` where `x` is zero.
    pub intercept: f64,
    /// Root mean square of the points' distances from the line, in units of `y`.
    pub residual: f64,
    /// Largest distance of a point from the line, in units of `y`.
    pub residual_max: f64,
    /// Share of the variance that the line explains, 0 to 1; 1 if the points have no variance.
    pub r2: f64,
}

impl Line {
    /// Fits a line to these points. Returns `None` if they do not have two different values of `x`,
    /// or if a value of `y` is not finite.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let line = least_squares(points)?;
        let n = points.len() as f64;
        let mean = points.iter().map(|p| p.1).sum::<f64>() / n;
        let variation: f64 = points.iter().map(|p| (p.1 - mean).powi(2)).sum();
        if !variation.is_finite() {
            return None;
        }
        let distance = |p: &(f64, f64)| p.1 - line.intercept - line.slope * p.0;
        let unexplained: f64 = points.iter().map(|p| distance(p).powi(2)).sum();
        let r2 = if variation > 0.0 {
            1.0 - unexplained / variation
        } else {
            1.0
        };
        Some(Line {
            slope: line.slope,
            intercept: line.intercept,
            residual: (unexplained / n).sqrt(),
            residual_max: points.iter().map(|p| distance(p).abs()).fold(0.0, f64::max),
            r2,
        })
    }
}
