//! What is told of central servers: by the list, by their reports, by other proxies.

use super::*;

impl Proxy {
    /// News of the list. A whole list replaces the old one.
    pub fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host) {
        if whole {
            let named = |i: usize| lines.iter().any(|line| line.server.0 as usize == i);
            for (i, central) in self.centrals.iter_mut().enumerate() {
                if let Some(central) = central.as_mut().filter(|c| c.state != State::Gone && !named(i)) {
                    central.state = State::Gone;
                    host.log(&format!("central server {i} is Gone"));
                }
            }
        }
        for line in lines {
            let index = line.server.0 as usize;
            if self.centrals.len() <= index {
                self.centrals.resize_with(index + 1, || None);
            }
            let weight = self.lowest_weight();
            let span = self.cold_gap(0.0);
            let entry = (self.now + self.rng.random::<f64>() * span, span);
            let started = line.started_at.unwrap_or(f64::NEG_INFINITY);
            let first = FIRST_OUT / f64::from(self.terms.proxies);
            let fresh = Central::new(line, self.now, weight, entry, first);
            let central = self.centrals[index].get_or_insert_with(|| fresh.clone());
            if central.state != line.state {
                central.state = line.state;
                host.log(&format!("central server {index} is {:?}", line.state));
            }
            if started > central.started {
                // A new processor: what the old one took so long for says nothing of it.
                *central = Central { out: std::mem::take(&mut central.out), ..fresh };
                host.log(&format!("central server {index} has started anew"));
            }
            central.pool = line.pool;
        }
    }

    pub(super) fn lowest_weight(&self) -> f64 {
        let weights = self.centrals.iter().flatten().map(|c| c.weight);
        weights.fold(f64::INFINITY, f64::min).min(BINS as f64)
    }

    /// A central server's report.
    pub fn reported(&mut self, server: Server, report: Report) {
        let now = self.now;
        let cold_gap = self.cold_gap(report.lines.unwrap_or(0.0));
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if let Some(free) = report.free {
            central.word_gap += 0.25 * (now - central.told_free - central.word_gap);
            (central.free, central.told_free) = (free, now);
        }
        if let Some(lines) = report.lines {
            central.enter_within(now, cold_gap);
            central.lines = lines;
        }
        central.tells_wait |= report.wait.is_some();
        // A wait over any time limit is not believed.
        if let Some(wait) = report.retry_after.filter(|&wait| wait <= self.longest_limit) {
            central.back_at = now + wait;
        }
        if let Some(rate) = report.rate {
            central.enter_within(now, f64::from(self.terms.proxies) * 1000.0 / rate.max(1.0));
            (central.rate, central.told_rate) = (rate, now);
            central.best_rate = central.best_rate.max(rate);
            // What one proxy's line rests after can be long over: the server itself knows.
            if RATE_SLACK * rate >= central.best_rate && now - central.rests > self.window {
                central.rest = 0.0;
            }
        }
    }

    /// Others' word on a central server, or that they have taken it back.
    pub fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        let gap = self.trial_gap();
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return };
        if central.suspicion.is_none() && suspicion.is_some() {
            central.trial = self.now + gap * self.rng.random::<f64>();
        }
        central.suspicion = suspicion;
    }

    pub(super) fn trial_gap(&self) -> f64 {
        f64::from(self.terms.proxies) * self.standing
    }

    /// Departure: while enough others say that a central server is silent, and nothing was heard from it here
    /// since, it gets single trial shots, at times drawn by chance so that the fleet tries it about once a
    /// standing delay. Guards against each proxy learning of a silent one by shots of its own; holds for any
    /// cause that leaves shots unanswered. Hurts where their way to it is broken and this proxy's is not:
    /// until one answer here, which ends it at once.
    pub(super) fn shunned(&self, central: &Central) -> bool {
        let silent = |s: Suspicion| s.strength >= 1.0 && central.heard <= s.since;
        central.suspicion.is_some_and(silent) && self.now < central.trial
    }

    /// How many shots may go to a central server now by a limit that holds for the whole fleet, or none where
    /// there is no limit; to be told before each [`Proxy::run_pending`]. Gives how many conversations the former
    /// word alone kept away.
    pub fn set_fleet_limit(&mut self, server: Server, shots: Option<u32>) -> u32 {
        let Some(Some(central)) = self.centrals.get_mut(server.0 as usize) else { return 0 };
        central.allotted = shots;
        std::mem::take(&mut central.short)
    }

    /// Whether a tenant's next conversation is within its share of all proxies' traffic, or none where that
    /// is not known; to be told before each [`Proxy::accept`].
    pub fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        self.shares[tenant] = within;
    }
}
