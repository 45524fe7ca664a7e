//! Means with their confidence, and whether two differ beyond chance.

/// Two-sided 95% points of Student's t distribution for 1 to 30 degrees of freedom.
const T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub of: usize,
    pub mean: f64,
    /// Of a single run, unbiased.
    pub variance: f64,
}

fn t(freedom: f64) -> f64 {
    match freedom.floor() as usize {
        0 => f64::INFINITY,
        n @ 1..=30 => T[n - 1],
        _ => 1.96 + 2.5 / freedom,
    }
}

impl Mean {
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n.max(1.0);
        let square: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
        Mean {
            of: values.len(),
            mean,
            variance: if n > 1.0 { square / (n - 1.0) } else { 0.0 },
        }
    }

    /// Half of the interval that holds the true mean with 95% confidence; infinite for a single
    /// run.
    pub fn half(&self) -> f64 {
        let n = self.of as f64;
        if self.of < 2 {
            f64::INFINITY
        } else {
            t(n - 1.0) * (self.variance / n).sqrt()
        }
    }

    /// Whether it differs from another beyond chance: Welch's test at 5%, for unequal variances.
    pub fn differs(&self, o: &Mean) -> bool {
        if self.of < 2 || o.of < 2 {
            return false;
        }
        let (a, b) = (self.variance / self.of as f64, o.variance / o.of as f64);
        if a + b <= 0.0 {
            return (self.mean - o.mean).abs() > 1e-12;
        }
        let freedom = (a + b).powi(2) / (a * a / (self.of - 1) as f64 + b * b / (o.of - 1) as f64);
        (self.mean - o.mean).abs() / (a + b).sqrt() > t(freedom)
    }
}
