//! Statistics of samples: means with confidence intervals, Welch's test, and least squares.

/// Two-sided 95% points of Student's t distribution for 1 to 30 degrees of freedom.
const STUDENT_T_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// Means of samples without variance differ only if they are farther apart than this, which is more
/// than rounding errors amount to.
const ROUNDING: f64 = 1e-12;

/// Mean and variance of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// Number of values in the sample.
    pub of: usize,
    /// Arithmetic mean; zero for an empty sample.
    pub mean: f64,
    /// Unbiased variance of a single value; zero for fewer than two.
    pub variance: f64,
}

/// Returns the two-sided 95% point of Student's t distribution, approximated beyond 30 degrees of
/// freedom. It is infinite for less than one degree of freedom.
fn student_t(degrees_of_freedom: f64) -> f64 {
    match degrees_of_freedom.floor() as usize {
        0 => f64::INFINITY,
        n @ 1..=30 => STUDENT_T_95[n - 1],
        _ => 1.96 + 2.5 / degrees_of_freedom,
    }
}

impl Mean {
    /// Computes the mean and the variance of these values.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n.max(1.0);
        let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
        Mean {
            of: values.len(),
            mean,
            variance: if n > 1.0 { squares / (n - 1.0) } else { 0.0 },
        }
    }

    /// Returns half the width of the 95% confidence interval of the mean; infinite for fewer than
    /// two values.
    pub fn half_width(&self) -> f64 {
        if self.of < 2 {
            return f64::INFINITY;
        }
        let n = self.of as f64;
        student_t(n - 1.0) * (self.variance / n).sqrt()
    }

    /// Returns whether the two means differ significantly at the 5% level by Welch's t-test, which
    /// allows for unequal variances. Always false if a sample has fewer than two values.
    pub fn differs(&self, other: &Mean) -> bool {
        if self.of < 2 || other.of < 2 {
            return false;
        }
        let difference = (self.mean - other.mean).abs();
        let a = self.variance / self.of as f64;
        let b = other.variance / other.of as f64;
        if a + b <= 0.0 {
            return difference > ROUNDING;
        }
        // Welch-Satterthwaite equation.
        let degrees_of_freedom =
            (a + b).powi(2) / (a * a / (self.of - 1) as f64 + b * b / (other.of - 1) as f64);
        difference / (a + b).sqrt() > student_t(degrees_of_freedom)
    }
}

/// A straight line, `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StraightLine {
    /// Change of `y` per unit of `x`.
    pub slope: f64,
    /// Value of `y` where `x` is zero.
    pub intercept: f64,
}

/// Fits a straight line to points by least squares. Returns `None` for fewer than two different
/// values of `x`.
pub fn least_squares(points: &[(f64, f64)]) -> Option<StraightLine> {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let variation: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || variation <= 0.0 {
        return None;
    }
    let covariation: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = covariation / variation;
    Some(StraightLine {
        slope,
        intercept: mean_y - slope * mean_x,
    })
}
