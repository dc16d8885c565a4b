//! Central servers that have just started: guarded by each proxy alone, and probed.

use super::*;

/// A cold central server is probed about once in such a part of the time that it takes to be warm, one whose
/// line rests for long about once in so many windows.
const PROBE_INTERVAL_IN_COLD_DURATIONS: f64 = 0.25;
const PROBE_INTERVAL_IN_WINDOWS: f64 = 2.0;
/// An answer of a cold central server is quick under this share of the work that would push it over.
const QUICK_COLD_ANSWER_SHARE: f64 = 0.25;
/// How much more than its part of the told rate a proxy sends to a cold one that is quick.
const QUICK_COLD_RATE_FACTOR: f64 = 1.5;
/// Set-ups that any central server is taken to do in the span of a fall, however cold, and the part of what
/// its lines turn over that its processor is taken to serve: speeds differ widely.
const MIN_COLD_SETUPS: f64 = 1.0;
const COLD_TURNOVER_SHARE: f64 = 0.25;

impl Proxy {
    /// Guards a central server that has just started, by this proxy alone. Where it tells its rate it gets
    /// this proxy's part of that, and somewhat more while it answers quickly. Else it gets this proxy's part
    /// of what it could bear, entered at a time drawn by chance, and beyond that single shots while it
    /// answers quickly. What others carry tells nothing: their speeds differ widely.
    pub(super) fn is_too_cold(&self, central: &Central) -> bool {
        // Departure: under a limit of the whole fleet no proxy need keep to an equal part, which starves busy
        // ones.
        let has_fleet_limit = central.fleet_limit.is_some() && central.reports_rate();
        if self.now - central.started_at >= self.terms.cold_duration || has_fleet_limit {
            return false;
        }
        let quick_delay =
            QUICK_COLD_ANSWER_SHARE * (self.terms.overload_factor - 1.0) * self.terms.overload_duration;
        let quick = central.in_flight.is_empty()
            && !central.samples.is_empty()
            && central.latest_delay <= quick_delay;
        if central.reports_rate() {
            let attempts_per_second = central.reported_rate / f64::from(self.terms.proxies)
                * if quick { QUICK_COLD_RATE_FACTOR } else { 1.0 };
            return self.now
                < central
                    .sent_times
                    .back()
                    .map_or(central.cold_entry.0, |&sent_at| sent_at + 1000.0 / attempts_per_second);
        }
        if quick {
            return false;
        }
        let next_send_at = central
            .sent_times
            .back()
            .map_or(f64::NEG_INFINITY, |&sent_at| sent_at + self.cold_interval(central.lines));
        self.now < next_send_at.max(central.cold_entry.0)
    }

    /// A proxy's part of what a cold central server may get, as the gap between its shots. Departure: where
    /// its lines are told, what turns over on them is the guide, times the share of its capacity that it
    /// starts with. Guards against starving a new one for all its cold time where it can't be probed and its
    /// rate comes only with a conversation's end; holds for any start. Hurts one with far more lines than its
    /// processor can serve, and of that `COLD_TURNOVER_SHARE` takes account.
    pub(super) fn cold_interval(&self, lines: f64) -> f64 {
        let (terms, overload_duration) = (&self.terms, self.terms.overload_duration);
        let setups =
            COLD_TURNOVER_SHARE * terms.initial_capacity_share * lines / self.mean_hold * overload_duration;
        overload_duration * f64::from(terms.proxies) / (terms.overload_factor * setups.max(MIN_COLD_SETUPS))
    }

    /// Departure: where rates are told, a cold central server is probed now and then, and one whose line has
    /// rested for over a window, since hundreds of proxies with few shots each would leave it idle for long
    /// after a jam. Costs the probes' work; a rate told too high ends rests too soon.
    pub(super) fn probe(&mut self, host: &mut impl Host) {
        if !self.terms.may_probe || !self.centrals.iter().flatten().any(Central::reports_rate) {
            return;
        }
        let (now, window, cold_duration) = (self.now, self.window, self.terms.cold_duration);
        for (i, central) in self.centrals.iter_mut().enumerate() {
            let Some(central) = central else { continue };
            let interval = if now - central.started_at < cold_duration {
                cold_duration * PROBE_INTERVAL_IN_COLD_DURATIONS
            } else if now - central.cool_down_since > window
                && now - central.cool_down_since < central.cool_down
            {
                PROBE_INTERVAL_IN_WINDOWS * window
            } else {
                continue;
            };
            if central.state == State::Running && now >= central.next_probe_at {
                // The first wait is drawn from the start on, so that the proxies do not all ask at once.
                let first = central.next_probe_at == f64::NEG_INFINITY;
                central.next_probe_at =
                    now + interval * (self.rng.random::<f64>() + if first { 0.0 } else { 0.5 });
                // Answers that came meanwhile have told what a probe would ask for.
                if !first && now - central.rate_reported_at >= interval {
                    host.probe(Server(i as u32));
                }
            }
        }
    }
}
