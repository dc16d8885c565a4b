//! Whether a release does harm: proxies that run it beside those that do not, in the same spans of time.
//!
//! Each proxy tells the council, span by span, what became of its conversations ([`Report`]). In each span a
//! released proxy is ranked among those not released, by how much each has changed against its own spans
//! before the release: if the release does nothing, its rank is anybody's. The mean rank over some spans is
//! held against what chance gives (Mann and Whitney's test, spans taken as independent), for each of three
//! measures. A release that does nothing is halted with a chance of [`FALSE_ALARM`] at the most, over all
//! waves and measures together. Too little traffic means to wait, not to go.

use std::collections::{BTreeMap, VecDeque};

use agree::Id;
use serde::{Deserialize, Serialize};

/// The chance that a release that does nothing is halted.
pub const FALSE_ALARM: f64 = 0.02;
/// Measures that are tested, and waves after which they are.
const MEASURES: usize = 3;
const TESTED_WAVES: f64 = 4.0;
/// Spans that are compared after each wave, and the most before the release that they are held against.
pub const COMPARED_PERIODS: usize = 8;
const BASELINE_PERIODS: usize = 32;
/// Conversations of a proxy in a span, under which it tells nothing.
pub const MIN_CONVERSATIONS: u16 = 5;
/// Spans that are kept of each proxy.
const KEPT_REPORTS: usize = 64;

/// What became of a proxy's conversations in a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub conversations: u16,
    /// Of what they could have earned, the part that was kept.
    pub earned: f32,
    /// The part that was refused, failed or cut.
    pub failed: f32,
    /// The design's quantile of set-up delay over time limit.
    pub setup_quantile: f32,
}

impl Report {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data")
    }

    /// A report whose numbers can be used.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (report, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let fractions = [report.earned, report.failed, report.setup_quantile];
        (rest.is_empty() && fractions.iter().all(|fraction| (0.0..=1.0).contains(fraction))).then_some(report)
    }

    /// Each measure, more being better.
    fn measures(&self) -> [f64; MEASURES] {
        [f64::from(self.earned), -f64::from(self.failed), -f64::from(self.setup_quantile)]
    }
}

/// What the evidence says.
#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    Wait,
    Go,
    Halt { why: String },
}

/// What each proxy was like before a release, and the fewest spans that any of them is known by.
#[derive(Clone, Debug, Default)]
struct Baseline {
    means: BTreeMap<Id, [f64; MEASURES]>,
    periods: usize,
}

/// Reports of all proxies, by span of this member's clock.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    reports: BTreeMap<Id, VecDeque<(u64, Report)>>,
    /// Each proxy's own measures before the release of that number.
    baseline: Option<(u64, Baseline)>,
    /// Since which span all that is open of which release and wave runs it.
    since: Option<(u64, usize, u64)>,
}

impl Evidence {
    /// A proxy's report came, in a span.
    pub fn record(&mut self, period: u64, proxy: Id, report: Report) {
        let reports = self.reports.entry(proxy).or_default();
        if report.conversations >= MIN_CONVERSATIONS && reports.back().is_none_or(|(at, _)| *at < period) {
            reports.push_back((period, report));
            if reports.len() > KEPT_REPORTS {
                reports.pop_front();
            }
        }
    }

    /// A release is about to begin: what each proxy was like until now.
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

    /// All of the waves that are open run the release: is there harm? `runs` tells who runs it; asked again
    /// in each span.
    pub fn judge(&mut self, period: u64, release: u64, wave: usize, runs: impl Fn(Id) -> bool) -> Judgement {
        let since = match self.since {
            Some((of, at, since)) if (of, at) == (release, wave) => since,
            _ => {
                self.since = Some((release, wave, period));
                period
            }
        };
        // Spans after the one in which the last of them came back.
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
            // What is wrong by chance in a proxy's spans before is so in all of its spans after.
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

    /// The mean rank of those released among the others in a span, by measure, and its variance by chance;
    /// none where too few have told enough.
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
        // The last wave has nobody left to be held against: by then nine in ten are not yet out.
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
