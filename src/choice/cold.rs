//! Protection and probing of central servers that have just started.

use super::*;

/// Mean interval between probes of a cold central server, as a share of the cold duration.
const PROBE_INTERVAL_IN_COLD_DURATIONS: f64 = 0.25;
/// Mean interval between probes of a central server in a long cool-down, in windows.
const PROBE_INTERVAL_IN_WINDOWS: f64 = 2.0;
/// An answer of a cold central server is quick up to this share of the work, in milliseconds, that would
/// overload the server.
const QUICK_COLD_ANSWER_SHARE: f64 = 0.25;
/// Factor on the share of the reported rate that a proxy sends to a cold server with quick answers.
const QUICK_COLD_RATE_FACTOR: f64 = 1.5;
/// Set-ups that any central server is assumed to handle in the overload duration, however cold.
const MIN_COLD_SETUPS: f64 = 1.0;
/// Share of the turnover of its lines that its processor is assumed to handle, since speeds differ widely.
const COLD_TURNOVER_SHARE: f64 = 0.25;

impl Proxy {
    /// Whether a central server that has just started gets no attempt from this proxy now. If the server
    /// reports its rate, it gets this proxy's share of that, and somewhat more while it answers quickly.
    /// Otherwise it gets this proxy's share of the load that it can tolerate, from a random start time on,
    /// and more than that only as single attempts while it answers quickly. The load of other servers is no
    /// guide, since their speeds differ widely.
    pub(super) fn is_too_cold(&self, central: &Central) -> bool {
        // Departure from the design: under a fleet-wide limit no proxy has to keep to an equal share, which
        // would starve busy proxies.
        let has_fleet_limit = central.fleet_limit.is_some() && central.reports_rate();
        if self.now - central.started_at >= self.terms.cold_duration || has_fleet_limit {
            return false;
        }
        let quick_delay =
            QUICK_COLD_ANSWER_SHARE * (self.terms.overload_factor - 1.0) * self.terms.overload_duration;
        let quick = central.latest_was_established_within(quick_delay);
        let interval = if central.reports_rate() {
            let attempts_per_second = central.reported_rate / f64::from(self.terms.proxies)
                * if quick { QUICK_COLD_RATE_FACTOR } else { 1.0 };
            MS_PER_SECOND / attempts_per_second
        } else if quick {
            return false;
        } else {
            self.cold_interval(central.lines)
        };
        self.now < central.cold_entry.0.max(central.last_sent_at + interval)
    }

    /// The interval between this proxy's attempts at a cold central server, in milliseconds. Departure from
    /// the design: if the server reports its lines, the limit is the turnover of those lines times the share
    /// of its capacity that it starts with. This guards against starving a new server for its whole cold
    /// duration where it cannot be probed and reports its rate only at the end of a conversation. It applies
    /// to any start. It hurts a server with far more lines than its processor can serve;
    /// `COLD_TURNOVER_SHARE` allows for that.
    pub(super) fn cold_interval(&self, lines: f64) -> f64 {
        let (terms, overload_duration) = (&self.terms, self.terms.overload_duration);
        let setups =
            COLD_TURNOVER_SHARE * terms.initial_capacity_share * lines / self.mean_hold * overload_duration;
        overload_duration * f64::from(terms.proxies) / (terms.overload_factor * setups.max(MIN_COLD_SETUPS))
    }

    /// Departure from the design: where rates are reported, this proxy occasionally probes cold central
    /// servers and those in a cool-down of more than a window. Otherwise hundreds of proxies with few
    /// attempts each would leave a server idle for long after an overload. It costs the work for the probes,
    /// and a reported rate that is too high ends cool-downs too early.
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
                // The first interval is random from 0 on, so that not all proxies probe at the same time.
                let first = central.next_probe_at == f64::NEG_INFINITY;
                central.next_probe_at =
                    now + interval * (self.rng.random::<f64>() + if first { 0.0 } else { 0.5 });
                // Recent answers have already reported what a probe would request.
                if !first && now - central.rate_reported_at >= interval {
                    host.probe(Server(i as u32));
                }
            }
        }
    }
}
