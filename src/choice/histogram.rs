//! Histogram of the ratio of set-up delay to time limit, and the quantile expected after one more set-up.

/// Number of bins, equally wide over ratios from 0 to 1.
pub(super) const BIN_COUNT: usize = 50;

/// Histogram of set-up delay / time limit at one central server. Ratios over 1 count as 1.
#[derive(Clone)]
pub struct Histogram {
    bins: [u32; BIN_COUNT],
    samples: usize,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { bins: [0; BIN_COUNT], samples: 0 }
    }
}

impl Histogram {
    fn bin_index(ratio: f64) -> usize {
        ((ratio.clamp(0.0, 1.0) * BIN_COUNT as f64) as usize).min(BIN_COUNT - 1)
    }

    /// Adds a sample.
    pub fn record(&mut self, ratio: f64) {
        self.bins[Self::bin_index(ratio)] += 1;
        self.samples += 1;
    }

    /// Removes a sample that was recorded before.
    pub(super) fn remove(&mut self, ratio: f64) {
        self.bins[Self::bin_index(ratio)] -= 1;
        self.samples -= 1;
    }

    /// Number of samples.
    pub fn samples(&self) -> usize {
        self.samples
    }

    /// The upper edge of the bin that contains the quantile, with `extra` more samples spread evenly over all
    /// bins.
    pub(super) fn quantile(&self, extra: f64, probability: f64) -> f64 {
        let wanted_count = probability * (self.samples as f64 + extra) - 1e-9;
        let mut cumulative_count = 0.0;
        let position = self.bins.iter().position(|&n| {
            cumulative_count += f64::from(n) + extra / BIN_COUNT as f64;
            cumulative_count >= wanted_count
        });
        (position.unwrap_or(BIN_COUNT - 1) + 1) as f64 / BIN_COUNT as f64
    }

    /// The mean ratio, with each sample at the middle of its bin; half a bin width without samples.
    pub(super) fn mean(&self) -> f64 {
        let sum: f64 = self.bins.iter().enumerate().map(|(i, &n)| (i as f64 + 0.5) * f64::from(n)).sum();
        if self.samples > 0 { sum / (self.samples * BIN_COUNT) as f64 } else { 0.5 / BIN_COUNT as f64 }
    }
}

/// Equation (4): the quantile at 1 - `violation` that is expected after one more set-up, where `alpha` is the
/// share of that set-up in all set-ups sent there. With fewer than 1 / `violation` samples no uniform share
/// is mixed in.
pub fn quantile_after(histogram: &Histogram, violation: f64, alpha: f64) -> f64 {
    let current = histogram.quantile(0.0, 1.0 - violation);
    if (histogram.samples as f64) < 1.0 / violation {
        return current;
    }
    alpha * histogram.quantile(1.0, 1.0 - violation) + (1.0 - alpha) * current
}
