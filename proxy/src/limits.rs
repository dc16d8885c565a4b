//! The tie between the fleet's limits, the list of central servers and the gossip that carries what members
//! say. [`FleetLimits`] is told rates; [`FleetLimits::exchange`] moves words both ways.

use fleet::{Counts, Fleet, FleetTerms, LimitStanding};
use frostthread::host::{Server, State};
use gossip::Node;
use gossip::wire::Part;

use crate::pool::PoolList;

/// What is agreed for limits on central servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitTerms {
    pub fleet: FleetTerms,
    /// Whole set-ups are counted in windows of this length, in milliseconds.
    pub window: f64,
    /// Set-ups a second that any central server gets at the most, whatever it tells.
    pub max_rate: Option<f64>,
    /// Tenants' shares are counted over the whole fleet in windows of this length, in milliseconds; guessed
    /// by each proxy where there is none.
    pub share_window: Option<f64>,
}

/// The limits on central servers that hold for the whole fleet.
pub struct FleetLimits {
    fleet: Fleet,
    terms: LimitTerms,
    /// Names by server, as members speak of them: one life of it.
    names: Vec<Option<String>>,
    reported_rates: Vec<Option<f64>>,
    /// Names of tenants' shares, by tenant.
    tenant_limits: Vec<String>,
}

impl FleetLimits {
    /// For the member that gossips as `node`; `tenants` are their names and what is in their shares, in
    /// conversations a second over all proxies.
    pub fn new(
        node: &Node,
        terms: LimitTerms,
        tenants: impl IntoIterator<Item = (String, f64)>,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut fleet = Fleet::new(node.id(), node.fleet(), terms.fleet, seed, now);
        let mut tenant_limits = Vec::new();
        for (name, quota) in tenants.into_iter().take_while(|_| terms.share_window.is_some()) {
            // No server's name ends so.
            let name = format!("{name} (tenant)");
            let window = terms.share_window.unwrap_or_default();
            // Under one whole conversation in a window nobody could have any: that is guessed.
            if quota * window >= 1000.0 {
                fleet.limit(&name, quota, window);
            }
            tenant_limits.push(name);
        }
        Self { fleet, terms, names: Vec::new(), reported_rates: Vec::new(), tenant_limits }
    }

    /// A conversation of a tenant has come: whether it is within the tenant's share; none where that is not
    /// known, as for a while after a start.
    pub fn within_share(&mut self, now: f64, tenant: usize) -> Option<bool> {
        let name = self.tenant_limits.get(tenant)?;
        let free = self.fleet.free(now, name).filter(|_| self.fleet.is_sure(now, name))?;
        if free == 0 {
            self.fleet.missed(now, name, 1);
        }
        Some(free > 0 && self.fleet.take(now, name))
    }

    /// The list has changed: limits on what runs no more are withdrawn, a new life is another server.
    pub fn update_server_list(&mut self, now: f64, pool: &PoolList) {
        for server in pool.servers() {
            let index = server.0 as usize;
            if self.names.len() <= index {
                self.names.resize(index + 1, None);
                self.reported_rates.resize(index + 1, None);
            }
            let life = pool.generation(server).filter(|_| pool.state(server) == State::Running);
            let name = life.map(|life| format!("{}@{}", pool.name(server), life.started));
            if name != self.names[index] {
                if let Some(former) = std::mem::replace(&mut self.names[index], name) {
                    self.fleet.withdraw(now, &former);
                }
                self.reported_rates[index] = None;
                self.apply_limit(server);
            }
        }
    }

    /// A central server has told how many set-ups a second it can take.
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
            self.fleet.limit(name, rate, self.terms.window);
        }
    }

    /// How many set-ups may go there now; none told where there is no limit.
    pub fn free(&mut self, now: f64, server: Server) -> Option<u32> {
        let name = self.names.get(server.0 as usize)?.as_ref()?;
        self.fleet.free(now, name).map(|free| free as u32)
    }

    /// A set-up has been sent there.
    pub fn record_attempt(&mut self, now: f64, server: Server) {
        if let Some(Some(name)) = self.names.get(server.0 as usize) {
            let recorded = self.fleet.take(now, name);
            debug_assert!(recorded, "the module sends no more than it is allotted");
        }
    }

    pub fn record_shortage(&mut self, now: f64, server: Server, count: u32) {
        if let Some(Some(name)) = self.names.get(server.0 as usize) {
            self.fleet.missed(now, name, count as usize);
        }
    }

    /// Does what has fallen due, and moves words between the fleet and the gossip.
    pub fn exchange(&mut self, now: f64, node: &mut Node) {
        while let Some((from, bytes)) = node.said_to(Part::Limits) {
            self.fleet.receive(now, from, &bytes);
        }
        self.fleet.turn(now);
        while let Some(message) = self.fleet.outgoing() {
            // What the cap forbids is lost, as on the network: it lapses.
            node.say_to(now, message.to, Part::Limits, message.bytes);
        }
    }

    pub fn due(&self, now: f64) -> f64 {
        self.fleet.due(now)
    }

    pub fn set_members(&mut self, node: &Node) {
        self.fleet.set_members(node.fleet());
    }

    pub fn statuses(&mut self, now: f64) -> (Vec<LimitStanding>, Counts) {
        (self.fleet.standings(now), self.fleet.counts())
    }
}
