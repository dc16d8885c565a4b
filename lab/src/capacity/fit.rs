//! Least-squares fit of a straight line through measured points.

use serde::{Deserialize, Serialize};

/// The line `slope * size + base`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Increase of the value for each additional unit of size.
    pub slope: f64,
    pub base: f64,
    /// Root mean square of the points' distances from the line.
    pub spread: f64,
}

impl Fit {
    /// Fits a line; `None` if the points have fewer than two sizes.
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if points.is_empty() || variance <= f64::EPSILON {
            return None;
        }
        let covariance: f64 =
            points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = covariance / variance;
        let base = mean_value - slope * mean_size;
        let squares: f64 = points.iter().map(|(size, value)| (value - slope * size - base).powi(2)).sum();
        Some(Self { slope, base, spread: (squares / count).sqrt() })
    }

    /// Value of the line at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.slope * size + self.base
    }

    /// Size at which the line reaches `limit`: 0 if it is above from the start, `None` if it never does.
    pub fn size_at_limit(&self, limit: f64) -> Option<f64> {
        if self.base >= limit {
            return Some(0.0);
        }
        (self.slope > 0.0).then(|| (limit - self.base) / self.slope)
    }
}
