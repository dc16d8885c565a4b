//! One measured figure, with its fit, its check by a size that was left out, and its row on the page.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};

use super::fit::Fit;

/// Sizes that a fit needs at the least.
const MIN_SIZES: usize = 4;
/// The operators' target, in proxies.
const TARGET_PROXIES: f64 = 33_000.0;
/// Ten times what runs today, in proxies.
const TENFOLD_PROXIES: f64 = 3_000.0;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub size: f64,
    pub seed: u64,
    pub value: f64,
}

/// What is measured, and what for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Subject {
    /// Unique on the page.
    pub id: String,
    pub unit: String,
    /// What the size counts: members, or limits in use.
    pub by: String,
    /// The file that carries the cost.
    pub mechanism: String,
    /// In the figure's unit; none where the target names none.
    pub limit: Option<f64>,
}

/// A figure as it stands in a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub subject: Subject,
    pub samples: Vec<Sample>,
    pub left_out: f64,
    pub fit: Fit,
    pub predicted: f64,
    pub measured: f64,
    /// Predicted over measured, less one.
    pub error: f64,
    pub crossed_at: Option<f64>,
}

impl Figure {
    /// Fits all samples but those of the size that is left out, and predicts these.
    ///
    /// # Errors
    ///
    /// With fewer than four sizes in the fit, or no sample of the size that is left out.
    pub fn from_samples(subject: Subject, samples: Vec<Sample>, left_out: f64) -> Result<Self> {
        let (held_out, fitted): (Vec<&Sample>, Vec<&Sample>) =
            samples.iter().partition(|sample| sample.size == left_out);
        let mut sizes: Vec<u64> = fitted.iter().map(|sample| sample.size as u64).collect();
        sizes.sort_unstable();
        sizes.dedup();
        ensure!(sizes.len() >= MIN_SIZES, "{}: {} sizes in the fit", subject.id, sizes.len());
        ensure!(!held_out.is_empty(), "{}: nothing measured at {left_out}", subject.id);
        let points: Vec<(f64, f64)> = fitted.iter().map(|sample| (sample.size, sample.value)).collect();
        let fit = Fit::least_squares(&points).context("sizes that differ")?;
        let measured = held_out.iter().map(|sample| sample.value).sum::<f64>() / held_out.len() as f64;
        let predicted = fit.predict(left_out);
        let error = predicted / measured - 1.0;
        let crossed_at = subject.limit.and_then(|limit| fit.size_at_limit(limit));
        Ok(Self { subject, left_out, fit, predicted, measured, error, crossed_at, samples })
    }

    /// The same, reckoned anew from the raw samples.
    pub fn recompute(&self) -> Result<Self> {
        Self::from_samples(self.subject.clone(), self.samples.clone(), self.left_out)
    }

    /// Its row on the page.
    pub fn markdown_row(&self) -> String {
        let Subject { id, unit, by, mechanism, limit } = &self.subject;
        // A line that falls says nothing of sizes far past those that were measured.
        let predictions = if by == "members" && self.fit.slope > 0.0 {
            format!(
                "{} | {}",
                three_digits(self.fit.predict(TENFOLD_PROXIES)),
                three_digits(self.fit.predict(TARGET_PROXIES))
            )
        } else {
            "- | -".to_owned()
        };
        let crossed = match (limit, self.crossed_at) {
            (None, _) => "-".to_owned(),
            (_, None) => "never by this line".to_owned(),
            (_, Some(size)) => format!("{size:.0}"),
        };
        format!(
            "| {id}, {unit} | {} x {by} + {} | {} | {:.0}: {} of {}, {:+.0}% | {predictions} | {} | {crossed} \
             | {mechanism} |",
            three_digits(self.fit.slope),
            three_digits(self.fit.base),
            three_digits(self.fit.spread),
            self.left_out,
            three_digits(self.predicted),
            three_digits(self.measured),
            self.error * 100.0,
            limit.map_or("-".to_owned(), three_digits),
        )
    }
}

/// Three digits that count.
fn three_digits(value: f64) -> String {
    let digits = 2 - value.abs().max(f64::MIN_POSITIVE).log10().floor().clamp(-3.0, 2.0) as i32;
    format!("{value:.*}", digits.max(0) as usize)
}
