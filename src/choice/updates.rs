//! Updates about central servers and tenants: from the server list, from reports of servers, and from the
//! fleet.

use super::*;

impl Proxy {
    /// Applies entries of the server list. A complete list replaces the old one: servers that it does not
    /// name are gone.
    pub fn update_server_list(&mut self, entries: &[ServerEntry], complete: bool, host: &mut impl Host) {
        if complete {
            let is_listed = |i: usize| entries.iter().any(|entry| entry.server.0 as usize == i);
            for (i, central) in self.centrals.iter_mut().enumerate() {
                if let Some(central) = central.as_mut().filter(|c| c.state != State::Gone && !is_listed(i)) {
                    central.state = State::Gone;
                    host.log(&format!("central server {i} is Gone"));
                }
            }
        }
        for entry in entries {
            let index = entry.server.0 as usize;
            if self.centrals.len() <= index {
                self.centrals.resize_with(index + 1, || None);
            }
            let weight = self.min_weight();
            let interval = self.cold_interval(0.0);
            let cold_entry = (self.now + self.rng.random::<f64>() * interval, interval);
            let started_at = entry.started_at.unwrap_or(f64::NEG_INFINITY);
            let initial_limit = INITIAL_FLEET_IN_FLIGHT / f64::from(self.terms.proxies);
            let fresh = Central::new(entry, self.now, weight, cold_entry, initial_limit);
            let central = self.centrals[index].get_or_insert_with(|| fresh.clone());
            if central.state != entry.state {
                central.state = entry.state;
                host.log(&format!("central server {index} is {:?}", entry.state));
            }
            if started_at > central.started_at {
                // A new process: the delays of the old one tell nothing about it.
                *central = Central { in_flight: std::mem::take(&mut central.in_flight), ..fresh };
                host.log(&format!("central server {index} has restarted"));
            }
            central.pool = entry.pool;
        }
    }

    /// The lowest weight of any central server, which a new one starts with.
    pub(super) fn min_weight(&self) -> f64 {
        let weights = self.centrals.iter().flatten().map(|c| c.weight);
        weights.fold(f64::INFINITY, f64::min).min(BIN_COUNT as f64)
    }

    /// Applies the report of a central server.
    pub fn reported(&mut self, server: Server, report: Report) {
        let now = self.now;
        let cold_interval = self.cold_interval(report.lines.unwrap_or(0.0));
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if let Some(free_lines) = report.free {
            central.lines_report_interval +=
                NEW_VALUE_WEIGHT * (now - central.free_lines_reported_at - central.lines_report_interval);
            (central.free_lines, central.free_lines_reported_at) = (free_lines, now);
        }
        if let Some(lines) = report.lines {
            central.shorten_cold_entry(now, cold_interval);
            central.lines = lines;
        }
        central.reports_wait |= report.wait.is_some();
        // A wait longer than every time limit is ignored.
        if let Some(wait) = report.retry_after.filter(|&wait| wait <= self.max_time_limit) {
            central.retry_at = now + wait;
        }
        if let Some(rate) = report.rate {
            central.shorten_cold_entry(now, f64::from(self.terms.proxies) * MS_PER_SECOND / rate.max(1.0));
            (central.reported_rate, central.rate_reported_at) = (rate, now);
            central.best_reported_rate = central.best_reported_rate.max(rate);
            // The overload that caused a long cool-down may be over, which the server itself knows first.
            if RATE_TOLERANCE * rate >= central.best_reported_rate
                && now - central.cool_down_since > self.window
            {
                central.cool_down = 0.0;
            }
        }
    }

    /// Sets the suspicion of other proxies against a central server; `None` withdraws it.
    pub fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        let half_open_interval = self.half_open_interval();
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if central.suspicion.is_none() && suspicion.is_some() {
            central.next_half_open_at = self.now + half_open_interval * self.rng.random::<f64>();
        }
        central.suspicion = suspicion;
    }

    /// Mean interval, in milliseconds, between half-open attempts of one proxy at a suspected server.
    pub(super) fn half_open_interval(&self) -> f64 {
        f64::from(self.terms.proxies) * self.target_delay
    }

    /// Whether a central server gets no attempt now because other proxies suspect that it is silent.
    /// Departure from the design: while enough proxies report this and the server has sent no answer to this
    /// proxy since then, it gets single half-open attempts at random times, so that the fleet tries it about
    /// once per target delay. Otherwise each proxy would have to detect a silent server with attempts of its
    /// own. This applies to any cause that leaves attempts unanswered. It hurts where the other proxies'
    /// route to the server is broken and this proxy's is not, until one answer to this proxy, which ends it
    /// at once.
    pub(super) fn is_suspected_silent(&self, central: &Central) -> bool {
        let silent = |s: Suspicion| s.strength >= 1.0 && central.last_heard_at <= s.since;
        central.suspicion.is_some_and(silent) && self.now < central.next_half_open_at
    }

    /// Sets how many attempts this proxy may send to a central server now under the fleet-wide limit; `None`
    /// for no limit. Call it before each [`Proxy::run_pending`]. Returns how many conversations were withheld
    /// by the previous value alone.
    pub fn set_fleet_limit(&mut self, server: Server, attempts: Option<u32>) -> u32 {
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return 0 };
        central.fleet_limit = attempts;
        std::mem::take(&mut central.withheld_by_limit)
    }

    /// Sets whether a tenant's next conversation is within its share of all proxies' traffic; `None` where
    /// that is unknown. Call it before each [`Proxy::accept`].
    pub fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        self.tenants_within_share[tenant] = within;
    }
}
