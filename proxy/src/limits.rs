//! Connects the fleet's limits with the list of central servers and with gossip, which carries the members'
//! messages. [`FleetLimits`] receives reported rates; [`FleetLimits::exchange`] moves messages in both
//! directions.

use fleet::{Counts, Fleet, FleetTerms, LimitState};
use frostthread::host::{Server, State};
use gossip::Node;
use gossip::wire::Subsystem;

use crate::pool::PoolList;

/// The configuration of limits on central servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTerms {
    /// The configuration of the protocol between members.
    pub fleet: FleetTerms,
    /// The length of the window in which set-ups are counted, in milliseconds.
    pub window: f64,
    /// The maximum of set-ups per second at any central server, whatever rate it reports.
    pub max_rate: Option<f64>,
    /// The length of the window in which tenants' shares are counted over the whole fleet, in milliseconds.
    /// If `None`, each proxy estimates shares by itself.
    pub share_window: Option<f64>,
}

/// Limits on central servers that apply to the whole fleet.
pub struct FleetLimits {
    fleet: Fleet,
    terms: LimitTerms,
    /// Names by server, as used between members: each names one generation of the server.
    names: Vec<Option<String>>,
    reported_rates: Vec<Option<f64>>,
    /// Names of the limits for tenants' shares, by tenant.
    tenant_limits: Vec<String>,
}

impl FleetLimits {
    /// Creates the limits for the member that gossips as `node`. `tenants` are the tenants' names and shares,
    /// in conversations per second over all proxies.
    pub fn new(
        node: &Node,
        terms: LimitTerms,
        tenants: impl IntoIterator<Item = (String, f64)>,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut fleet = Fleet::new(node.id(), node.roster_ids(), terms.fleet, seed, now);
        let mut tenant_limits = Vec::new();
        for (name, quota) in tenants.into_iter().take_while(|_| terms.share_window.is_some()) {
            // No server's name ends like this.
            let name = format!("{name} (tenant)");
            let window = terms.share_window.unwrap_or_default();
            // With less than one whole conversation per window nobody could get any; such shares are
            // estimated by each proxy.
            if quota * window >= 1000.0 {
                fleet.set_limit(&name, quota, window);
            }
            tenant_limits.push(name);
        }
        Self { fleet, terms, names: Vec::new(), reported_rates: Vec::new(), tenant_limits }
    }

    /// Whether the next conversation of a tenant is within the tenant's share; `None` while that is unknown,
    /// as for a while after a start.
    pub fn within_share(&mut self, now: f64, tenant: usize) -> Option<bool> {
        let name = self.tenant_limits.get(tenant)?;
        let free = self.fleet.free_permits(now, name).filter(|_| self.fleet.is_recovered(now, name))?;
        if free == 0 {
            self.fleet.record_shortage(now, name, 1);
        }
        Some(free > 0 && self.fleet.try_acquire(now, name))
    }

    /// Applies a change of the pool list: withdraws the limits of servers that no longer run. A new
    /// generation counts as another server.
    pub fn update_server_list(&mut self, now: f64, pool: &PoolList) {
        for server in pool.servers() {
            let index = server.0 as usize;
            if self.names.len() <= index {
                self.names.resize(index + 1, None);
                self.reported_rates.resize(index + 1, None);
            }
            let generation = pool.generation(server).filter(|_| pool.state(server) == State::Running);
            let name = generation.map(|generation| format!("{}@{}", pool.name(server), generation.started));
            if name != self.names[index] {
                if let Some(previous) = std::mem::replace(&mut self.names[index], name) {
                    self.fleet.remove_limit(now, &previous);
                }
                self.reported_rates[index] = None;
                self.apply_limit(server);
            }
        }
    }

    /// Sets the rate that a central server reported, in set-ups per second.
    pub fn set_reported_rate(&mut self, server: Server, rate: f64) {
        if let Some(reported) = self.reported_rates.get_mut(server.0 as usize) {
            *reported = Some(rate);
            self.apply_limit(server);
        }
    }

    fn apply_limit(&mut self, server: Server) {
        let index = server.0 as usize;
        let rate = match (self.reported_rates[index], self.terms.max_rate) {
            (Some(reported), Some(max)) => reported.min(max),
            (reported, max) => match reported.or(max) {
                Some(rate) => rate,
                None => return,
            },
        };
        if let Some(name) = &self.names[index] {
            self.fleet.set_limit(name, rate, self.terms.window);
        }
    }

    /// How many set-ups may be sent to the server now; `None` without a limit.
    pub fn free(&mut self, now: f64, server: Server) -> Option<u32> {
        let name = self.names.get(server.0 as usize)?.as_ref()?;
        self.fleet.free_permits(now, name).map(|free| free as u32)
    }

    /// Counts a set-up that was sent to the server.
    pub fn record_attempt(&mut self, now: f64, server: Server) {
        if let Some(Some(name)) = self.names.get(server.0 as usize) {
            let recorded = self.fleet.try_acquire(now, name);
            debug_assert!(recorded, "the module sends no more than the fleet's limit allows");
        }
    }

    /// Reports that `count` set-ups were held back for lack of permits.
    pub fn record_shortage(&mut self, now: f64, server: Server, count: u32) {
        if let Some(Some(name)) = self.names.get(server.0 as usize) {
            self.fleet.record_shortage(now, name, count as usize);
        }
    }

    /// Runs everything that is due, and moves messages between the limits and gossip.
    pub fn exchange(&mut self, now: f64, node: &mut Node) {
        while let Some((from, bytes)) = node.next_payload(Subsystem::Limits) {
            self.fleet.receive(now, from, &bytes);
        }
        self.fleet.turn(now);
        while let Some(message) = self.fleet.outgoing() {
            // A message over the cap is dropped like one lost on the network; the loan then expires.
            node.send_payload(now, message.to, Subsystem::Limits, message.bytes);
        }
    }

    /// The time of the next [`FleetLimits::exchange`].
    pub fn due(&self, now: f64) -> f64 {
        self.fleet.due(now)
    }

    /// Updates the members of the fleet.
    pub fn set_members(&mut self, node: &Node) {
        self.fleet.set_members(node.roster_ids());
    }

    /// The state of all limits, and counts of messages.
    pub fn statuses(&mut self, now: f64) -> (Vec<LimitState>, Counts) {
        (self.fleet.limit_states(now), self.fleet.counts())
    }
}
