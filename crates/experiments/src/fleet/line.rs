//! A straight line through points, by least squares.

/// `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// Of the points around it: the root of their mean square, and the largest.
    pub residual: f64,
    pub residual_most: f64,
    /// The part of the variance that it accounts for, 0 to 1.
    pub r2: f64,
}

impl Line {
    /// Through all of them; none where they do not have two different `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let n = points.len() as f64;
        let (mx, my) = (
            points.iter().map(|p| p.0).sum::<f64>() / n,
            points.iter().map(|p| p.1).sum::<f64>() / n,
        );
        let square = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
        let (xx, yy) = (
            square(&|p| (p.0 - mx).powi(2)),
            square(&|p| (p.1 - my).powi(2)),
        );
        if points.len() < 2 || xx <= 0.0 || !yy.is_finite() {
            return None;
        }
        let slope = square(&|p| (p.0 - mx) * (p.1 - my)) / xx;
        let intercept = my - slope * mx;
        let off = |p: &(f64, f64)| p.1 - intercept - slope * p.0;
        let left = square(&|p| off(p).powi(2));
        let residual_most = points.iter().map(|p| off(p).abs()).fold(0.0, f64::max);
        let r2 = if yy > 0.0 { 1.0 - left / yy } else { 1.0 };
        Some(Line {
            slope,
            intercept,
            residual: (left / n).sqrt(),
            residual_most,
            r2,
        })
    }
}
