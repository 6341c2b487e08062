//! Linear regression.

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size, such as a number of blocks, runners or peers.
    pub x: f64,
    /// Cost at this size.
    pub y: f64,
}

/// A regression line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Cost at size zero.
    pub intercept: f64,
    /// Cost of one more unit of size.
    pub slope: f64,
    /// Coefficient of determination; 1 when every point is on the line.
    pub r_squared: f64,
}

impl Fit {
    /// Least-squares fit. The slope is zero when all sizes are equal.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let product = |point: &Point| (point.x - mean_x) * (point.y - mean_y);
        let covariance: f64 = points.iter().map(product).sum();
        let variation_x: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        let variation_y: f64 = points.iter().map(|point| (point.y - mean_y).powi(2)).sum();
        let slope = if variation_x > 0.0 {
            covariance / variation_x
        } else {
            0.0
        };
        let r_squared = if variation_y > 0.0 {
            slope * covariance / variation_y
        } else {
            1.0
        };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared,
        }
    }
}
