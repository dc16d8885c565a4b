//! Straight lines through measured points, by least squares.

use serde::{Deserialize, Serialize};

/// `slope` x size + `base`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Unit of the figure for each one more.
    pub slope: f64,
    pub base: f64,
    /// Root of the mean squared distance of the points from the line.
    pub spread: f64,
}

impl Fit {
    /// None where the points are of fewer than two sizes.
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

    /// What the line says of a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.slope * size + self.base
    }

    /// The size at which a limit is crossed; 0 where it is crossed from the start, none where never.
    pub fn size_at_limit(&self, limit: f64) -> Option<f64> {
        if self.base >= limit {
            return Some(0.0);
        }
        (self.slope > 0.0).then(|| (limit - self.base) / self.slope)
    }
}
