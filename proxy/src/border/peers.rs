//! The other proxies: gossip, limits of the whole fleet, decisions of the council.

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
    /// Starts gossip with the other proxies of the fleet.
    pub fn join(&mut self, node: Node) {
        self.host.gossip = Some(node);
    }

    /// Enforces the fleet's limits on central servers from now on, together with the members of the gossip;
    /// no effect without gossip. `tenants` are their names and shares, as in [`FleetLimits::new`].
    pub fn enable_fleet_limits(
        &mut self,
        terms: LimitTerms,
        tenants: impl IntoIterator<Item = (String, f64)>,
        seed: u64,
        now: f64,
    ) {
        let node = self.host.gossip.as_ref();
        let limits = node.map(|node| FleetLimits::new(node, terms, tenants, seed, now));
        self.host.limits = limits;
        if let Some(limits) = &mut self.host.limits {
            limits.update_server_list(now, &self.host.pool);
        }
    }

    /// The state of the fleet's limits at this proxy, if there are any.
    pub fn limits(&mut self) -> Option<LimitsStatus> {
        let now = self.host.now;
        self.host.limits.as_mut().map(|limits| LimitsStatus::of(limits.statuses(now)))
    }

    /// Replaces the fleet's keys and roster; this member's own key stays the same.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        if let Some(node) = &mut self.host.gossip {
            let keys = FleetKeys { secrets: secrets.clone(), roster: roster.clone() };
            node.rekey(secrets, roster);
            if let Some(decided) = &mut self.host.decided {
                decided.rekey(keys);
            }
            self.host.gossip_changed = true;
            if let Some(limits) = &mut self.host.limits {
                limits.set_members(node);
            }
        }
    }

    /// Announces to the other proxies that this one leaves.
    pub fn leave(&mut self, now: f64) {
        if let Some(node) = &mut self.host.gossip {
            node.leave(now);
        }
    }

    /// Servers that this proxy believes to be silent, by gossip.
    pub fn suspected_servers(&self) -> &[Server] {
        &self.host.suspected_servers
    }

    /// Members and suspicions as this proxy sees them; `None` without gossip.
    pub fn gossip(&self) -> Option<GossipStatus> {
        let host = &self.host;
        host.gossip.as_ref().map(|node| GossipStatus::of(node, &host.pool, host.now))
    }

    /// Passes the number of set-ups that the fleet's limits allow to the module, and reports the shortage
    /// back.
    pub(super) fn apply_fleet_limits(&mut self) {
        let now = self.host.now;
        let Some(limits) = &mut self.host.limits else { return };
        for server in self.host.pool.servers() {
            let shortage = self.module.set_fleet_limit(server, limits.free(now, server));
            limits.record_shortage(now, server, shortage);
        }
    }

    /// Passes the suspicions of servers to the module.
    pub(super) fn apply_suspicions(&mut self) {
        let Some(node) = &self.host.gossip else { return };
        let accused = node.accused(self.host.now);
        self.host.suspected_servers.clear();
        for server in self.host.pool.servers() {
            let Some(generation) = self.host.pool.generation(server) else { continue };
            let accusation =
                accused.iter().find(|accused| accused.generation == generation && accused.believed);
            self.host.suspected_servers.extend(accusation.map(|_| server));
            self.module.set_suspicion(
                server,
                accusation.map(|accusation| Suspicion { strength: 1.0, since: accusation.since }),
            );
        }
    }

    /// Follows the decisions of the council from now on; no effect without gossip. `file` is the stored
    /// state.
    pub fn enable_decisions(
        &mut self,
        terms: (AgreementTerms, AvailabilityTerms),
        process: ProcessInfo,
        keys: FleetKeys,
        file: Result<PersistedState, RecoveryError>,
        seed: u64,
        now: f64,
    ) -> Result<(), UnsupportedDecision> {
        if let Some(node) = &self.host.gossip {
            self.host.decided = Some(DecidedState::new(node, terms, process, keys, file, seed, now)?);
        }
        Ok(())
    }

    /// The decided state, including tasks that the daemon must carry out for this proxy.
    pub fn decided(&mut self) -> Option<&mut DecidedState> {
        self.host.decided.as_mut()
    }

    /// Passes changes of the drained servers to the module, and probes proxies that have returned.
    pub(super) fn apply_drains(&mut self) {
        let now = self.host.now;
        for address in self.host.decided.as_mut().map(DecidedState::addresses_to_probe).unwrap_or_default() {
            self.host.servers.poke(now, address);
        }
        let host = &mut self.host;
        let lines = if let Some(drained) = host.decided.as_mut().and_then(DecidedState::drained_update) {
            host.pool.set_drained(drained)
        } else if let Some(drained) = host.distribution.as_mut().and_then(Distribution::drained_update) {
            host.pool.set_drained(&drained)
        } else {
            return;
        };
        self.module.update_server_list(&lines, false, &mut self.host);
        if let Some(limits) = &mut self.host.limits {
            limits.update_server_list(now, &self.host.pool);
        }
    }

    /// The council and this proxy's state in it; `None` without a council.
    pub fn council(&self) -> Option<CouncilStatus> {
        let (decided, node) = self.host.decided.as_ref().zip(self.host.gossip.as_ref())?;
        Some(CouncilStatus::of(decided.status(self.host.now), node))
    }

    /// Servers and proxies that are unavailable by decision; `None` without a council.
    pub fn availability(&self) -> Option<AvailabilityStatus> {
        let host = &self.host;
        let conversations_at = |name: &str| {
            let server = host.pool.server_by_name(name);
            let attempts = host.conversations.iter().flatten().filter_map(|c| c.attempt.as_ref());
            attempts.filter(|attempt| Some(attempt.server) == server).count()
        };
        let (decided, node) = host.decided.as_ref().zip(host.gossip.as_ref())?;
        Some(AvailabilityStatus::of(decided, node, host.now, conversations_at))
    }

    /// Proposes an operator's command and returns the number under which
    /// [`BorderProxy::next_command_outcome`] gives its outcome. With `dry` nothing is proposed, and the
    /// result is the outcome by what is known here.
    pub fn submit_command(
        &mut self,
        now: f64,
        unix: f64,
        command: &OperatorCommand,
        dry: bool,
    ) -> Result<Result<u64, CommandOutcome>, String> {
        let host = &mut self.host;
        if let Some(controls) = host.distribution.as_ref().and_then(Distribution::controls) {
            return Err(format!("a subscriber proposes no decisions: ask one of {}", controls.join(", ")));
        }
        let (Some(decided), Some(node)) = (&mut host.decided, &host.gossip) else {
            return Err("this proxy has no [council]".to_owned());
        };
        if dry {
            return decided.evaluate_command(command, node, &host.pool, unix).map(Err);
        }
        decided.submit_command(now, unix, command, node, &host.pool).map(Ok)
    }

    /// Drops the outcome of a command that nothing waits for any more.
    pub fn forget_command(&mut self, request: u64) {
        if let Some(decided) = &mut self.host.decided {
            decided.forget_command(request);
        }
    }

    /// The next outcome of a command, with the command's number.
    pub fn next_command_outcome(&mut self) -> Option<(u64, CommandOutcome)> {
        self.host.decided.as_mut()?.next_outcome()
    }

    /// Bytes of the decisions that must be stored; report the result to
    /// [`BorderProxy::state_write_finished`].
    pub fn next_state_write(&mut self, now: f64) -> Option<DiskWrite> {
        self.host.decided.as_mut()?.next_write(now)
    }

    /// Reports whether the last write of the decisions succeeded.
    pub fn state_write_finished(&mut self, now: f64, succeeded: bool) {
        if let Some(decided) = &mut self.host.decided {
            decided.write_finished(now, succeeded);
        }
    }
}
