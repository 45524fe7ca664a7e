//! A straight line through points, and how well it fits.

use crate::stats::least_squares;

/// `y = intercept + slope * x`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth of `y` for each unit of `x`.
    pub slope: f64,
    /// `y` at zero.
    pub intercept: f64,
    /// Root of the mean square distance of the points.
    pub residual: f64,
    /// Largest distance of a point.
    pub residual_max: f64,
    /// The part of the variance that the line accounts for, 0 to 1.
    pub r2: f64,
}

impl Line {
    /// The line through these points; none where they do not have two different `x`.
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
