//! The distribution of decided state by scope: this proxy subscribes to it or serves it.

use std::net::SocketAddr;

use gossip::keys::{Roster, Secrets};

use super::BorderProxy;
use crate::decisions::Decisions;
use crate::distributed::{ChangeStatus, Distribution, DistributionStatus};

impl<D: Decisions> BorderProxy<D> {
    /// Takes part in the distribution of decided state from now on. A control machine must call
    /// [`BorderProxy::enable_decisions`] first.
    pub fn enable_distribution(&mut self, distribution: Distribution) {
        self.host.distribution = Some(distribution);
        self.apply_drains();
    }

    /// Handles a datagram of the peers' socket; returns whether it belonged to the distribution.
    pub(super) fn receive_distribution(&mut self, peer: SocketAddr, datagram: &[u8]) -> bool {
        let now = self.host.now;
        self.host.distribution.as_mut().is_some_and(|distribution| distribution.receive(now, peer, datagram))
    }

    /// Runs one turn of the distribution.
    pub(super) fn turn_distribution(&mut self) {
        let host = &mut self.host;
        if let Some(distribution) = &mut host.distribution {
            distribution.turn(host.now, host.decided.as_mut());
        }
    }

    /// Replaces the keys of the distribution's channel; `roster` lists the members that it accepts packets
    /// from.
    pub fn rekey_distribution(&mut self, secrets: Secrets, roster: Roster) {
        if let Some(distribution) = &mut self.host.distribution {
            distribution.rekey(secrets, roster);
        }
    }

    /// The state to save on disk, if it changed since the last call.
    pub fn distribution_state_to_save(&mut self) -> Option<Vec<u8>> {
        self.host.distribution.as_mut()?.state_to_save()
    }

    /// How this proxy receives or serves decided state; `None` where it does neither.
    pub fn distribution(&self) -> Option<DistributionStatus> {
        let host = &self.host;
        host.distribution.as_ref()?.status(host.now, host.decided.as_ref())
    }

    /// The progress of the newest changes at the subscribers; `None` where this proxy serves none.
    pub fn changes(&self) -> Option<Vec<ChangeStatus>> {
        self.host.distribution.as_ref()?.changes(self.host.now)
    }
}
