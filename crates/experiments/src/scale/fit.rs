//! A straight line through measured points, and what is left beside it.

use serde::Serialize;

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// The farthest that any point lies from the line, as a part of the largest point.
    pub residual: f64,
    /// The exponent of the power that fits best: 1 where it grows as the count does, 2 with its
    /// square. It leaves the intercept aside.
    pub power: f64,
}

impl Line {
    /// By least squares; nothing of fewer than two different counts.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let (slope, intercept) = least_squares(points)?;
        let most = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let off = points
            .iter()
            .map(|p| (p.1 - slope * p.0 - intercept).abs())
            .fold(0.0, f64::max);
        let above: Vec<(f64, f64)> = points
            .iter()
            .map(|p| (p.0, p.1 - intercept.max(0.0)))
            .collect();
        let logs: Vec<(f64, f64)> = above
            .iter()
            .filter(|p| p.0 > 0.0 && p.1 > 0.0)
            .map(|p| (p.0.ln(), p.1.ln()))
            .collect();
        let power = least_squares(&logs).map_or(0.0, |l| l.0);
        Some(Line {
            slope,
            intercept,
            residual: off / most,
            power,
        })
    }

    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    Some((slope, y - slope * x))
}
