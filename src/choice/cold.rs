//! Central servers that have just started: guarded by each proxy alone, and probed.

use super::*;

/// A cold central server is probed about once in such a part of the time that it takes to be warm, one whose
/// line rests for long about once in so many windows.
const PROBE_SPAN: f64 = 0.25;
const PROBE_RESTING: f64 = 2.0;
/// An answer of a cold central server is quick under this share of the work that would push it over.
const COLD_QUICK: f64 = 0.25;
/// How much more than its part of the told rate a proxy sends to a cold one that is quick.
const COLD_MORE: f64 = 1.5;
/// Set-ups that any central server is taken to do in the span of a fall, however cold, and the part of what
/// its lines turn over that its processor is taken to serve: speeds differ widely.
const COLD_SETUPS: f64 = 1.0;
const COLD_PART: f64 = 0.25;

impl Proxy {
    /// Guards a central server that has just started, by this proxy alone. Where it tells its rate it gets
    /// this proxy's part of that, and somewhat more while it answers quickly. Else it gets this proxy's part
    /// of what it could bear, entered at a time drawn by chance, and beyond that single shots while it
    /// answers quickly. What others carry tells nothing: their speeds differ widely.
    pub(super) fn too_cold(&self, central: &Central) -> bool {
        // Departure: under a limit of the whole fleet no proxy need keep to an equal part, which starves busy
        // ones.
        let limited = central.allotted.is_some() && central.tells_rate();
        if self.now - central.started >= self.terms.cold_duration || limited {
            return false;
        }
        let quick = COLD_QUICK * (self.terms.overload_factor - 1.0) * self.terms.overload_duration;
        let quick = central.out.is_empty() && !central.samples.is_empty() && central.latest <= quick;
        if central.tells_rate() {
            let part = central.rate / f64::from(self.terms.proxies) * if quick { COLD_MORE } else { 1.0 };
            return self.now < central.sent.back().map_or(central.entry.0, |&at| at + 1000.0 / part);
        }
        if quick {
            return false;
        }
        let last = central.sent.back().map_or(f64::NEG_INFINITY, |&at| at + self.cold_gap(central.lines));
        self.now < last.max(central.entry.0)
    }

    /// A proxy's part of what a cold central server may get, as the gap between its shots. Departure: where
    /// its lines are told, what turns over on them is the guide, times the share of its capacity that it
    /// starts with. Guards against starving a new one for all its cold time where it can't be probed and its
    /// rate comes only with a conversation's end; holds for any start. Hurts one with far more lines than its
    /// processor can serve, and of that `COLD_PART` takes account.
    pub(super) fn cold_gap(&self, lines: f64) -> f64 {
        let (terms, span) = (&self.terms, self.terms.overload_duration);
        let setups = COLD_PART * terms.initial_capacity_share * lines / self.mean_hold * span;
        span * f64::from(terms.proxies) / (terms.overload_factor * setups.max(COLD_SETUPS))
    }

    /// Departure: where rates are told, a cold central server is probed now and then, and one whose line has
    /// rested for over a window, since hundreds of proxies with few shots each would leave it idle for long
    /// after a jam. Costs the probes' work; a rate told too high ends rests too soon.
    pub(super) fn probe(&mut self, host: &mut impl Host) {
        if !self.terms.may_probe || !self.centrals.iter().flatten().any(Central::tells_rate) {
            return;
        }
        let (now, window, cold) = (self.now, self.window, self.terms.cold_duration);
        for (i, central) in self.centrals.iter_mut().enumerate() {
            let Some(central) = central else { continue };
            let span = if now - central.started < cold {
                cold * PROBE_SPAN
            } else if now - central.rests > window && now - central.rests < central.rest {
                PROBE_RESTING * window
            } else {
                continue;
            };
            if central.state == State::Running && now >= central.probe_at {
                // The first wait is drawn from the start on, so that the proxies do not all ask at once.
                let first = central.probe_at == f64::NEG_INFINITY;
                central.probe_at = now + span * (self.rng.random::<f64>() + if first { 0.0 } else { 0.5 });
                // Answers that came meanwhile have told what a probe would ask for.
                if !first && now - central.told_rate >= span {
                    host.probe(Server(i as u32));
                }
            }
        }
    }
}
