//! Decided state by scope: a proxy that subscribes to it has it of a control machine ([`Subscription`]); a
//! control machine serves it from what it decides with others ([`Service`]). Both speak signed packets on the
//! peers' socket; docs/distribution.md tells how.

mod service;
mod status;
mod subscription;

use std::collections::BTreeSet;

use gossip::Outgoing;
use gossip::keys::{Roster, Secrets};

use crate::decided::DecidedState;

pub use service::{Service, ServiceTerms};
pub use status::{
    ChangeStatus, DistributedDrain, DistributionRole, DistributionStatus, LackingStatus, ScopeStatus,
    SubscribersStatus,
};
pub use subscription::{ControlAddress, STATE_WRITE_INTERVAL, Subscription, SubscriptionTerms};

/// A proxy's part in the distribution.
pub enum Distribution {
    /// It holds the scopes that it uses.
    Subscribes(Box<Subscription>),
    /// It serves others.
    Serves(Box<Service>),
}

impl Distribution {
    /// A datagram came on the peers' socket. False where it is none of the distribution's.
    pub fn receive(&mut self, now: f64, peer: std::net::SocketAddr, datagram: &[u8]) -> bool {
        match self {
            Self::Subscribes(subscription) => {
                subscription.receive(now, datagram);
                true
            }
            Self::Serves(service) => service.receive(now, peer, datagram),
        }
    }

    /// Does what has fallen due; `decided` is what a control machine serves.
    pub fn turn(&mut self, now: f64, decided: Option<&mut DecidedState>) {
        match self {
            Self::Subscribes(subscription) => subscription.turn(now),
            Self::Serves(service) => decided.into_iter().for_each(|decided| service.turn(now, decided)),
        }
    }

    /// When [`Distribution::turn`] is wanted.
    pub fn due(&self) -> f64 {
        match self {
            Self::Subscribes(subscription) => subscription.due(),
            Self::Serves(service) => service.due(),
        }
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        match self {
            Self::Subscribes(subscription) => subscription.outgoing(),
            Self::Serves(service) => service.outgoing(),
        }
    }

    /// The servers that get nothing new by what a subscriber holds, where that has changed since this was
    /// last asked.
    pub fn drained_update(&mut self) -> Option<BTreeSet<String>> {
        match self {
            Self::Subscribes(subscription) => subscription.take_changed().then(|| subscription.drained()),
            // It obeys what it decides with others.
            Self::Serves(_) => None,
        }
    }

    /// What a subscriber is to keep on its disk, where that has changed since this was last asked.
    pub fn state_to_save(&mut self) -> Option<Vec<u8>> {
        match self {
            Self::Subscribes(subscription) => subscription.state_to_save(),
            Self::Serves(_) => None,
        }
    }

    /// Goes on with other secrets, and with another roster of those whom it hears.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        match self {
            Self::Subscribes(subscription) => subscription.rekey(secrets, roster),
            Self::Serves(service) => service.rekey(secrets, roster),
        }
    }

    /// The control machines that a subscriber's operator is to ask; none at one of those.
    pub fn controls(&self) -> Option<Vec<String>> {
        match self {
            Self::Subscribes(subscription) => Some(subscription.controls()),
            Self::Serves(_) => None,
        }
    }

    /// How it stands; `decided` is what a control machine serves, and without it there is nothing to tell.
    pub fn status(&self, now: f64, decided: Option<&DecidedState>) -> Option<DistributionStatus> {
        match self {
            Self::Subscribes(subscription) => Some(subscription.status(now)),
            Self::Serves(service) => decided.map(|decided| service.status(decided)),
        }
    }

    /// Who has the newest changes; none at a subscriber.
    pub fn changes(&self, now: f64) -> Option<Vec<ChangeStatus>> {
        match self {
            Self::Subscribes(_) => None,
            Self::Serves(service) => Some(service.changes(now)),
        }
    }
}
