//! How often each ratio of set-up delay to time limit was met, and the quantile that is to be expected.

/// Bins of a central server's histogram of set-up delay / time limit.
pub(super) const BINS: usize = 50;

#[derive(Clone)]
pub struct Histogram {
    bins: [u32; BINS],
    samples: usize,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { bins: [0; BINS], samples: 0 }
    }
}

impl Histogram {
    fn bin(ratio: f64) -> usize {
        ((ratio.clamp(0.0, 1.0) * BINS as f64) as usize).min(BINS - 1)
    }

    pub fn record(&mut self, ratio: f64) {
        self.bins[Self::bin(ratio)] += 1;
        self.samples += 1;
    }

    pub(super) fn discount(&mut self, ratio: f64) {
        self.bins[Self::bin(ratio)] -= 1;
        self.samples -= 1;
    }

    pub fn samples(&self) -> usize {
        self.samples
    }

    /// The upper edge of the bin that holds the quantile; `extra` samples are spread over all bins.
    pub(super) fn quantile(&self, extra: f64, p: f64) -> f64 {
        let wanted = p * (self.samples as f64 + extra) - 1e-9;
        let mut seen = 0.0;
        let at = self.bins.iter().position(|&n| {
            seen += f64::from(n) + extra / BINS as f64;
            seen >= wanted
        });
        (at.unwrap_or(BINS - 1) + 1) as f64 / BINS as f64
    }

    /// The mean ratio, taking each bin's middle; half a bin where there are no samples.
    pub(super) fn mean(&self) -> f64 {
        let sum: f64 = self.bins.iter().enumerate().map(|(i, &n)| (i as f64 + 0.5) * f64::from(n)).sum();
        if self.samples > 0 { sum / (self.samples * BINS) as f64 } else { 0.5 / BINS as f64 }
    }
}

/// Equation (4): the quantile at 1 - `violation` that is to be expected with one more set-up, whose share of
/// those sent there is `alpha`. Below 1 / `violation` samples no uniform share is mixed in.
pub fn quantile_after(histogram: &Histogram, violation: f64, alpha: f64) -> f64 {
    let old = histogram.quantile(0.0, 1.0 - violation);
    if (histogram.samples as f64) < 1.0 / violation {
        return old;
    }
    alpha * histogram.quantile(1.0, 1.0 - violation) + (1.0 - alpha) * old
}
