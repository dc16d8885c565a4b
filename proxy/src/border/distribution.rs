//! Decided state by scope, as this proxy has it of others or serves it.

use std::net::SocketAddr;

use gossip::keys::{Roster, Secrets};

use super::BorderProxy;
use crate::decisions::Decisions;
use crate::distributed::{ChangeStatus, Distribution, DistributionStatus};

impl<D: Decisions> BorderProxy<D> {
    /// Takes part in the distribution of decided state from now on. A control machine has to decide with
    /// others before.
    pub fn enable_distribution(&mut self, distribution: Distribution) {
        self.host.distribution = Some(distribution);
        self.apply_drains();
    }

    /// A datagram came on the peers' socket; whether it was the distribution's.
    pub(super) fn receive_distribution(&mut self, peer: SocketAddr, datagram: &[u8]) -> bool {
        let now = self.host.now;
        self.host.distribution.as_mut().is_some_and(|distribution| distribution.receive(now, peer, datagram))
    }

    /// Does what has fallen due.
    pub(super) fn turn_distribution(&mut self) {
        let host = &mut self.host;
        if let Some(distribution) = &mut host.distribution {
            distribution.turn(host.now, host.decided.as_mut());
        }
    }

    /// Goes on with other keys on the distribution's channel; `roster` names those whom it hears there.
    pub fn rekey_distribution(&mut self, secrets: Secrets, roster: Roster) {
        if let Some(distribution) = &mut self.host.distribution {
            distribution.rekey(secrets, roster);
        }
    }

    /// What is to be kept of the distributed state, where that has changed since this was last asked.
    pub fn distribution_state_to_save(&mut self) -> Option<Vec<u8>> {
        self.host.distribution.as_mut()?.state_to_save()
    }

    /// How decided state reaches this proxy by scope, or how it serves that; none where neither is so.
    pub fn distribution(&self) -> Option<DistributionStatus> {
        let host = &self.host;
        host.distribution.as_ref()?.status(host.now, host.decided.as_ref())
    }

    /// Who has the newest changes; none where this proxy serves nobody.
    pub fn changes(&self) -> Option<Vec<ChangeStatus>> {
        self.host.distribution.as_ref()?.changes(self.host.now)
    }
}
