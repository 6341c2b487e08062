//! Straight lines through points.

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size of what was measured.
    pub x: f64,
    /// What it cost.
    pub y: f64,
}

/// The line `y = base + slope * x` nearest to some points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Cost at size zero.
    pub base: f64,
    /// Cost of one more.
    pub slope: f64,
    /// How much of the variance the line explains; 1 is straight.
    pub straight: f64,
}

impl Fit {
    /// The line of least squares. Without two different sizes its slope is zero.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let product = |point: &Point| (point.x - mean_x) * (point.y - mean_y);
        let covariance: f64 = points.iter().map(product).sum();
        let spread_x: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|point| (point.y - mean_y).powi(2)).sum();
        let slope = if spread_x > 0.0 {
            covariance / spread_x
        } else {
            0.0
        };
        let straight = if spread_y > 0.0 {
            slope * covariance / spread_y
        } else {
            1.0
        };
        Self {
            base: mean_y - slope * mean_x,
            slope,
            straight,
        }
    }
}
