//! What is told of central servers: by the list, by their reports, by other proxies.

use super::*;

impl Proxy {
    /// News of the list. A whole list replaces the old one.
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
                // A new processor: what the old one took so long for says nothing of it.
                *central = Central { in_flight: std::mem::take(&mut central.in_flight), ..fresh };
                host.log(&format!("central server {index} has started anew"));
            }
            central.pool = entry.pool;
        }
    }

    pub(super) fn min_weight(&self) -> f64 {
        let weights = self.centrals.iter().flatten().map(|c| c.weight);
        weights.fold(f64::INFINITY, f64::min).min(BIN_COUNT as f64)
    }

    /// A central server's report.
    pub fn reported(&mut self, server: Server, report: Report) {
        let now = self.now;
        let cold_interval = self.cold_interval(report.lines.unwrap_or(0.0));
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if let Some(free_lines) = report.free {
            central.lines_report_interval +=
                0.25 * (now - central.free_lines_reported_at - central.lines_report_interval);
            (central.free_lines, central.free_lines_reported_at) = (free_lines, now);
        }
        if let Some(lines) = report.lines {
            central.shorten_cold_entry(now, cold_interval);
            central.lines = lines;
        }
        central.reports_wait |= report.wait.is_some();
        // A wait over any time limit is not believed.
        if let Some(wait) = report.retry_after.filter(|&wait| wait <= self.max_time_limit) {
            central.retry_at = now + wait;
        }
        if let Some(rate) = report.rate {
            central.shorten_cold_entry(now, f64::from(self.terms.proxies) * 1000.0 / rate.max(1.0));
            (central.reported_rate, central.rate_reported_at) = (rate, now);
            central.best_reported_rate = central.best_reported_rate.max(rate);
            // What one proxy's line rests after can be long over: the server itself knows.
            if RATE_TOLERANCE * rate >= central.best_reported_rate
                && now - central.cool_down_since > self.window
            {
                central.cool_down = 0.0;
            }
        }
    }

    /// Others' word on a central server, or that they have taken it back.
    pub fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        let half_open_interval = self.half_open_interval();
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if central.suspicion.is_none() && suspicion.is_some() {
            central.next_half_open_at = self.now + half_open_interval * self.rng.random::<f64>();
        }
        central.suspicion = suspicion;
    }

    pub(super) fn half_open_interval(&self) -> f64 {
        f64::from(self.terms.proxies) * self.target_delay
    }

    /// Departure: while enough others say that a central server is silent, and nothing was heard from it here
    /// since, it gets single trial shots, at times drawn by chance so that the fleet tries it about once a
    /// standing delay. Guards against each proxy learning of a silent one by shots of its own; holds for any
    /// cause that leaves shots unanswered. Hurts where their way to it is broken and this proxy's is not:
    /// until one answer here, which ends it at once.
    pub(super) fn is_suspected_silent(&self, central: &Central) -> bool {
        let silent = |s: Suspicion| s.strength >= 1.0 && central.last_heard_at <= s.since;
        central.suspicion.is_some_and(silent) && self.now < central.next_half_open_at
    }

    /// How many shots may go to a central server now by a limit that holds for the whole fleet, or none where
    /// there is no limit; to be told before each [`Proxy::run_pending`]. Gives how many conversations the former
    /// word alone kept away.
    pub fn set_fleet_limit(&mut self, server: Server, attempts: Option<u32>) -> u32 {
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return 0 };
        central.fleet_limit = attempts;
        std::mem::take(&mut central.withheld_by_limit)
    }

    /// Whether a tenant's next conversation is within its share of all proxies' traffic, or none where that
    /// is not known; to be told before each [`Proxy::accept`].
    pub fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        self.tenants_within_share[tenant] = within;
    }
}
