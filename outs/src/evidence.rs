//! Statistics on whether a release does harm: proxies that run it are compared with those that do not, in
//! the same periods of time.
//!
//! In each period, each proxy reports the results of its conversations to the council ([`Report`]). A
//! released proxy is ranked among those not released, by how much each has changed against its own periods
//! before the release: if the release has no effect, every rank is equally likely. The mean rank over
//! several periods is tested against chance (Mann-Whitney test, with periods taken as independent) for each
//! of three measures. A release without effect is halted with a probability of at most [`FALSE_ALARM`],
//! over all waves and measures together. With too little traffic the verdict is to wait, not to go on.

use std::collections::{BTreeMap, VecDeque};

use agree::Id;
use serde::{Deserialize, Serialize};

/// Probability that a release without effect is halted.
pub const FALSE_ALARM: f64 = 0.02;
/// Measures that are tested, and waves after which they are.
const MEASURES: usize = 3;
const TESTED_WAVES: f64 = 4.0;
/// Periods that are compared after each wave, and most periods before the release for the baseline.
pub const COMPARED_PERIODS: usize = 8;
const BASELINE_PERIODS: usize = 32;
/// Fewest conversations of a proxy in a period for its report to count.
pub const MIN_CONVERSATIONS: u16 = 5;
/// Reports that are kept of each proxy.
const KEPT_REPORTS: usize = 64;

/// The results of a proxy's conversations in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub conversations: u16,
    /// The fraction of the possible earnings that was earned.
    pub earned: f32,
    /// The fraction of conversations that was refused, failed or cut.
    pub failed: f32,
    /// The design's quantile of set-up delay divided by time limit.
    pub setup_quantile: f32,
}

impl Report {
    /// Encodes a report.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data can be encoded")
    }

    /// Reads a report; `None` if it is malformed or a number is out of range.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (report, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let fractions = [report.earned, report.failed, report.setup_quantile];
        (rest.is_empty() && fractions.iter().all(|fraction| (0.0..=1.0).contains(fraction))).then_some(report)
    }

    /// The measures; a higher value is better.
    fn measures(&self) -> [f64; MEASURES] {
        [f64::from(self.earned), -f64::from(self.failed), -f64::from(self.setup_quantile)]
    }
}

/// The result of the test.
#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// There is not enough evidence yet.
    Wait,
    /// No harm was found.
    Go,
    /// A measure is worse than chance explains.
    Halt { why: String },
}

/// Each proxy's mean measures before a release, and the smallest number of periods behind any of them.
#[derive(Clone, Debug, Default)]
struct Baseline {
    means: BTreeMap<Id, [f64; MEASURES]>,
    periods: usize,
}

/// The reports of all proxies, by period of this member's clock.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    reports: BTreeMap<Id, VecDeque<(u64, Report)>>,
    /// Each proxy's own measures before the release with that number.
    baseline: Option<(u64, Baseline)>,
    /// The release, its wave, and the period since which all proxies of the open waves run the release.
    since: Option<(u64, usize, u64)>,
}

impl Evidence {
    /// Records a proxy's report for a period.
    pub fn record(&mut self, period: u64, proxy: Id, report: Report) {
        let reports = self.reports.entry(proxy).or_default();
        if report.conversations >= MIN_CONVERSATIONS && reports.back().is_none_or(|(at, _)| *at < period) {
            reports.push_back((period, report));
            if reports.len() > KEPT_REPORTS {
                reports.pop_front();
            }
        }
    }

    /// Records the baseline of all proxies before a release.
    pub fn start_release(&mut self, release: u64) {
        if self.baseline.as_ref().is_some_and(|(of, _)| *of == release) {
            return;
        }
        let mean = |reports: &VecDeque<(u64, Report)>| {
            let latest: Vec<_> =
                reports.iter().rev().take(BASELINE_PERIODS).map(|(_, report)| report.measures()).collect();
            std::array::from_fn(|i| latest.iter().map(|of| of[i]).sum::<f64>() / latest.len().max(1) as f64)
        };
        let means = self.reports.iter().map(|(&id, reports)| (id, mean(reports))).collect();
        let periods =
            self.reports.values().map(|reports| reports.len().min(BASELINE_PERIODS)).min().unwrap_or(0);
        self.baseline = Some((release, Baseline { means, periods }));
    }

    /// Tests for harm once all proxies of the open waves run the release. `runs` tells which proxies run
    /// it. Has to be called again in each period.
    pub fn judge(&mut self, period: u64, release: u64, wave: usize, runs: impl Fn(Id) -> bool) -> Judgement {
        let since = match self.since {
            Some((of, at, since)) if (of, at) == (release, wave) => since,
            _ => {
                self.since = Some((release, wave, period));
                period
            }
        };
        // Periods after the one in which the last of them returned.
        let periods = since + 1..period;
        let ranks: Vec<_> = periods.filter_map(|at| self.ranks(at, release, &runs)).collect();
        if ranks.len() < COMPARED_PERIODS {
            return Judgement::Wait;
        }
        let names = ["earnings kept", "refused, failed or cut", "set-up delay"];
        for (i, name) in names.iter().enumerate() {
            let mean = ranks.iter().map(|(mean, _)| mean[i]).sum::<f64>() / ranks.len() as f64;
            let variance =
                ranks.iter().map(|(_, variance)| variance).sum::<f64>() / (ranks.len() as f64).powi(2);
            // A chance deviation in a proxy's baseline affects all of its later periods.
            let baseline_periods =
                self.baseline.as_ref().filter(|(of, _)| *of == release).map_or(0, |(_, of)| of.periods);
            let variance = variance * (1.0 + (ranks.len() - 1) as f64 / (baseline_periods + 1) as f64);
            let z = (0.5 - mean) / variance.sqrt();
            let probability = 0.5 * libm::erfc(z / std::f64::consts::SQRT_2);
            if probability < FALSE_ALARM / (MEASURES as f64 * TESTED_WAVES) {
                let why = format!(
                    "{name}: mean rank {mean:.2} over {} spans, by chance once in {:.0}",
                    ranks.len(),
                    1.0 / probability
                );
                return Judgement::Halt { why };
            }
        }
        Judgement::Go
    }

    /// The mean rank of the released proxies among the others in a period, by measure, and its variance by
    /// chance; `None` if too few have reported.
    fn ranks(&self, period: u64, release: u64, runs: &impl Fn(Id) -> bool) -> Option<([f64; MEASURES], f64)> {
        let baseline =
            self.baseline.as_ref().filter(|(of, _)| *of == release).map(|(_, baseline)| &baseline.means);
        let (mut released, mut others) = (Vec::new(), Vec::new());
        for (&id, reports) in &self.reports {
            let Some((_, report)) = reports.iter().rfind(|(at, _)| *at == period) else { continue };
            let own_baseline = baseline.and_then(|baseline| baseline.get(&id)).copied().unwrap_or_default();
            let measures = report.measures();
            let changed: [f64; MEASURES] = std::array::from_fn(|i| measures[i] - own_baseline[i]);
            if runs(id) { released.push(changed) } else { others.push(changed) }
        }
        // In the last wave nobody is left for comparison; before it, nine in ten proxies are not released.
        if released.is_empty() || others.is_empty() {
            return None;
        }
        let rank = |i: usize, of: f64| {
            let worse = others.iter().filter(|other| other[i] < of).count() as f64;
            let same = others.iter().filter(|other| other[i] == of).count() as f64;
            (worse + same / 2.0) / others.len() as f64
        };
        let (r, o) = (released.len() as f64, others.len() as f64);
        let mean = std::array::from_fn(|i| released.iter().map(|of| rank(i, of[i])).sum::<f64>() / r);
        Some((mean, (r + o + 1.0) / (12.0 * r * o)))
    }
}
