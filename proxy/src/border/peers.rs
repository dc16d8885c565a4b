//! The other proxies: gossip, limits that hold for all, what is decided for all.

use agree::certificate::FleetKeys;
use agree::disk::{DiskWrite, PersistedState, RecoveryError};
use agree::{AgreementTerms, UnsupportedDecision};
use frostthread::host::{Server, Suspicion};
use gossip::Node;
use gossip::keys::{Roster, Secrets};

use super::BorderProxy;
use crate::decided::{
    AvailabilityStatus, AvailabilityTerms, CommandOutcome, CouncilStatus, DecidedState, OperatorCommand,
    ProcessInfo,
};
use crate::decisions::Decisions;
use crate::distributed::Distribution;
use crate::limits::{FleetLimits, LimitTerms};
use crate::status::{GossipStatus, LimitsStatus};

impl<D: Decisions> BorderProxy<D> {
    /// Lets the proxy gossip with others of its fleet.
    pub fn join(&mut self, node: Node) {
        self.hands.gossip = Some(node);
    }

    /// Holds the fleet's limits on central servers from now on, with those it gossips with; nothing where it
    /// does not. `tenants` are their names and shares, as in [`FleetLimits::new`].
    pub fn enable_fleet_limits(
        &mut self,
        terms: LimitTerms,
        tenants: impl IntoIterator<Item = (String, f64)>,
        seed: u64,
        now: f64,
    ) {
        let node = self.hands.gossip.as_ref();
        let limits = node.map(|node| FleetLimits::new(node, terms, tenants, seed, now));
        self.hands.limits = limits;
        if let Some(limits) = &mut self.hands.limits {
            limits.update_server_list(now, &self.hands.pool);
        }
    }

    /// Where this proxy stands with the fleet's limits, if it holds any.
    pub fn limits(&mut self) -> Option<LimitsStatus> {
        let now = self.hands.now;
        self.hands.limits.as_mut().map(|limits| LimitsStatus::of(limits.statuses(now)))
    }

    /// Goes on gossiping with other keys: its own stays the same.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        if let Some(node) = &mut self.hands.gossip {
            let keys = FleetKeys { secrets: secrets.clone(), roster: roster.clone() };
            node.rekey(secrets, roster);
            if let Some(decided) = &mut self.hands.decided {
                decided.rekey(keys);
            }
            self.hands.gossiped = true;
            if let Some(limits) = &mut self.hands.limits {
                limits.set_members(node);
            }
        }
    }

    /// Tells the other proxies that this one goes.
    pub fn leave(&mut self, now: f64) {
        if let Some(node) = &mut self.hands.gossip {
            node.leave(now);
        }
    }

    /// Servers that gossip has this proxy believe silent.
    pub fn suspected_servers(&self) -> &[Server] {
        &self.hands.believed
    }

    /// Members and suspicions as this proxy sees them, where there is gossip.
    pub fn gossip(&self) -> Option<GossipStatus> {
        let hands = &self.hands;
        hands.gossip.as_ref().map(|node| GossipStatus::of(node, &hands.pool, hands.now))
    }

    /// Brings what the fleet's limits leave here to whoever decides, and back what it was short of.
    pub(super) fn allot(&mut self) {
        let now = self.hands.now;
        let Some(limits) = &mut self.hands.limits else { return };
        for server in self.hands.pool.servers() {
            let short = self.module.set_fleet_limit(server, limits.free(now, server));
            limits.record_shortage(now, server, short);
        }
    }

    /// Brings what is believed of servers to whoever decides.
    pub(super) fn suspect(&mut self) {
        let Some(node) = &self.hands.gossip else { return };
        let accused = node.accused(self.hands.now);
        self.hands.believed.clear();
        for server in self.hands.pool.servers() {
            let Some(life) = self.hands.pool.generation(server) else { continue };
            let of = accused.iter().find(|accused| accused.generation == life && accused.believed);
            self.hands.believed.extend(of.map(|_| server));
            self.module.set_suspicion(server, of.map(|of| Suspicion { strength: 1.0, since: of.since }));
        }
    }

    /// Knows, from now on, what is decided for all; nothing where it does not gossip.
    /// `file` is what the disk gave.
    pub fn enable_decisions(
        &mut self,
        terms: (AgreementTerms, AvailabilityTerms),
        life: ProcessInfo,
        keys: FleetKeys,
        file: Result<PersistedState, RecoveryError>,
        seed: u64,
        now: f64,
    ) -> Result<(), UnsupportedDecision> {
        if let Some(node) = &self.hands.gossip {
            self.hands.decided = Some(DecidedState::new(node, terms, life, keys, file, seed, now)?);
        }
        Ok(())
    }

    /// What is decided of this proxy itself, and what the shell is to see to for it.
    pub fn decided(&mut self) -> Option<&mut DecidedState> {
        self.hands.decided.as_mut()
    }

    /// Brings servers that the fleet drains, or drains no more, to whoever decides; looks at proxies that are
    /// back.
    pub(super) fn drain(&mut self) {
        let now = self.hands.now;
        for at in self.hands.decided.as_mut().map(DecidedState::addresses_to_probe).unwrap_or_default() {
            self.hands.servers.poke(now, at);
        }
        let hands = &mut self.hands;
        let lines = if let Some(drained) = hands.decided.as_mut().and_then(DecidedState::drained_update) {
            hands.pool.set_drained(drained)
        } else if let Some(drained) = hands.distributed.as_mut().and_then(Distribution::drained_update) {
            hands.pool.set_drained(&drained)
        } else {
            return;
        };
        self.module.update_server_list(&lines, false, &mut self.hands);
        if let Some(limits) = &mut self.hands.limits {
            limits.update_server_list(now, &self.hands.pool);
        }
    }

    /// The council and how this proxy stands with it, where there is one.
    pub fn council(&self) -> Option<CouncilStatus> {
        let (decided, node) = self.hands.decided.as_ref().zip(self.hands.gossip.as_ref())?;
        Some(CouncilStatus::of(decided.status(self.hands.now), node))
    }

    /// Who is out by what is decided, where anything can be.
    pub fn availability(&self) -> Option<AvailabilityStatus> {
        let hands = &self.hands;
        let here = |name: &str| {
            let server = hands.pool.server_by_name(name);
            let shots = hands.conversations.iter().flatten().filter_map(|c| c.shot.as_ref());
            shots.filter(|shot| Some(shot.server) == server).count()
        };
        let (decided, node) = hands.decided.as_ref().zip(hands.gossip.as_ref())?;
        Some(AvailabilityStatus::of(decided, node, hands.now, here))
    }

    /// Asks for a decision; gives the number that [`BorderProxy::next_command_outcome`] tells its outcome by. With `dry`
    /// nothing is asked for, and the answer is what it would come to by what is known here.
    pub fn submit_command(
        &mut self,
        now: f64,
        unix: f64,
        wish: &OperatorCommand,
        dry: bool,
    ) -> Result<Result<u64, CommandOutcome>, String> {
        let hands = &mut self.hands;
        if let Some(controls) = hands.distributed.as_ref().and_then(Distribution::controls) {
            return Err(format!("a subscriber decides nothing: ask one of {}", controls.join(", ")));
        }
        let (Some(decided), Some(node)) = (&mut hands.decided, &hands.gossip) else {
            return Err("this proxy has no [council]".to_owned());
        };
        if dry {
            return decided.evaluate_command(wish, node, &hands.pool, unix).map(Err);
        }
        decided.submit_command(now, unix, wish, node, &hands.pool).map(Ok)
    }

    /// Nobody waits for a wish's outcome any more.
    pub fn forget_command(&mut self, request: u64) {
        if let Some(decided) = &mut self.hands.decided {
            decided.forget_command(request);
        }
    }

    /// What became of a wish.
    pub fn next_command_outcome(&mut self) -> Option<(u64, CommandOutcome)> {
        self.hands.decided.as_mut()?.next_outcome()
    }

    /// Bytes of the decisions that must last; tell [`BorderProxy::state_write_finished`] what came of them.
    pub fn next_state_write(&mut self, now: f64) -> Option<DiskWrite> {
        self.hands.decided.as_mut()?.next_write(now)
    }

    pub fn state_write_finished(&mut self, now: f64, well: bool) {
        if let Some(decided) = &mut self.hands.decided {
            decided.write_finished(now, well);
        }
    }
}
