//! A measured figure: its samples, the fitted line, the check against a size left out of the fit, and its
//! row in the table of docs/CAPACITY.md.

use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};

use super::fit::Fit;

/// Minimum number of different sizes in a fit.
const MIN_SIZES: usize = 4;
/// Fleet size of the operators' target, in proxies.
const TARGET_PROXIES: f64 = 33_000.0;
/// Ten times today's fleet, in proxies.
const TENFOLD_PROXIES: f64 = 3_000.0;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub size: f64,
    pub seed: u64,
    pub value: f64,
}

/// What a figure measures, and the limit that it must keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Subject {
    /// Unique on the page.
    pub id: String,
    pub unit: String,
    /// What the size counts: members, or limits in use.
    pub by: String,
    /// The source file whose code causes the cost.
    pub mechanism: String,
    /// In the figure's unit; `None` where the target sets no limit.
    pub limit: Option<f64>,
}

/// A figure as stored in a report file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub subject: Subject,
    pub samples: Vec<Sample>,
    pub left_out: f64,
    pub fit: Fit,
    pub predicted: f64,
    pub measured: f64,
    /// `predicted / measured - 1`.
    pub error: f64,
    pub crossed_at: Option<f64>,
}

impl Figure {
    /// Fits a line through all samples except those of size `left_out`, and predicts the value there.
    ///
    /// # Errors
    ///
    /// Fails with fewer than four sizes in the fit, or without a sample of size `left_out`.
    pub fn from_samples(subject: Subject, samples: Vec<Sample>, left_out: f64) -> Result<Self> {
        let (held_out, fitted): (Vec<&Sample>, Vec<&Sample>) =
            samples.iter().partition(|sample| sample.size == left_out);
        let mut sizes: Vec<u64> = fitted.iter().map(|sample| sample.size as u64).collect();
        sizes.sort_unstable();
        sizes.dedup();
        ensure!(
            sizes.len() >= MIN_SIZES,
            "{}: {} sizes in the fit, wanted at least {MIN_SIZES}",
            subject.id,
            sizes.len()
        );
        ensure!(!held_out.is_empty(), "{}: nothing measured at {left_out}", subject.id);
        let points: Vec<(f64, f64)> = fitted.iter().map(|sample| (sample.size, sample.value)).collect();
        let fit = Fit::least_squares(&points).context("the fit needs at least two different sizes")?;
        let measured = held_out.iter().map(|sample| sample.value).sum::<f64>() / held_out.len() as f64;
        let predicted = fit.predict(left_out);
        let error = predicted / measured - 1.0;
        let crossed_at = subject.limit.and_then(|limit| fit.size_at_limit(limit));
        Ok(Self { subject, left_out, fit, predicted, measured, error, crossed_at, samples })
    }

    /// Recomputes the figure from its raw samples.
    pub fn recompute(&self) -> Result<Self> {
        Self::from_samples(self.subject.clone(), self.samples.clone(), self.left_out)
    }

    /// The row in the Markdown table.
    pub fn markdown_row(&self) -> String {
        let Subject { id, unit, by, mechanism, limit } = &self.subject;
        // A falling line predicts nothing for sizes far beyond the measured ones.
        let at_sizes = if by == "members" && self.fit.slope > 0.0 {
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
            "| {id}, {unit} | {} x {by} + {} | {} | {:.0}: {} of {}, {:+.0}% | {at_sizes} | {} | {crossed} \
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

/// Formats a value with three significant digits; a value above 999 keeps all its integer digits.
fn three_digits(value: f64) -> String {
    let digits = 2 - value.abs().max(f64::MIN_POSITIVE).log10().floor().clamp(-3.0, 2.0) as i32;
    format!("{value:.*}", digits.max(0) as usize)
}
