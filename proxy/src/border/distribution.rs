//! Decided state by scope, as this proxy has it of others or serves it.

use std::net::SocketAddr;

use gossip::keys::{Roster, Secrets};

use super::BorderProxy;
use crate::decisions::Decisions;
use crate::distributed::{ChangeStatus, Distribution, DistributionStatus};

impl<D: Decisions> BorderProxy<D> {
    /// Takes part in the distribution of decided state from now on. A control machine has to decide with
    /// others before.
    pub fn enable_distribution(&mut self, distributed: Distribution) {
        self.hands.distributed = Some(distributed);
        self.drain();
    }

    /// A datagram came on the peers' socket; whether it was the distribution's.
    pub(super) fn hear_distribution(&mut self, peer: SocketAddr, datagram: &[u8]) -> bool {
        let now = self.hands.now;
        self.hands.distributed.as_mut().is_some_and(|distributed| distributed.receive(now, peer, datagram))
    }

    /// Does what has fallen due.
    pub(super) fn turn_distribution(&mut self) {
        let hands = &mut self.hands;
        if let Some(distributed) = &mut hands.distributed {
            distributed.turn(hands.now, hands.decided.as_mut());
        }
    }

    /// Goes on with other keys on the distribution's channel; `roster` names those whom it hears there.
    pub fn rekey_distribution(&mut self, secrets: Secrets, roster: Roster) {
        if let Some(distributed) = &mut self.hands.distributed {
            distributed.rekey(secrets, roster);
        }
    }

    /// What is to be kept of the distributed state, where that has changed since this was last asked.
    pub fn distribution_state_to_save(&mut self) -> Option<Vec<u8>> {
        self.hands.distributed.as_mut()?.state_to_save()
    }

    /// How decided state reaches this proxy by scope, or how it serves that; none where neither is so.
    pub fn distribution(&self) -> Option<DistributionStatus> {
        let hands = &self.hands;
        hands.distributed.as_ref()?.status(hands.now, hands.decided.as_ref())
    }

    /// Who has the newest changes; none where this proxy serves nobody.
    pub fn changes(&self) -> Option<Vec<ChangeStatus>> {
        self.hands.distributed.as_ref()?.changes(self.hands.now)
    }
}
