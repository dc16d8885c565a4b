//! Distribution of decided state by scope. A proxy that subscribes receives it from a control machine
//! ([`Subscription`]); a control machine serves what it decides with others ([`Service`]). Both exchange
//! signed packets on the peers' socket; docs/distribution.md specifies the protocol.

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
    /// It serves subscribers.
    Serves(Box<Service>),
}

impl Distribution {
    /// Handles a datagram of the peers' socket. Returns false if it does not belong to the distribution.
    pub fn receive(&mut self, now: f64, peer: std::net::SocketAddr, datagram: &[u8]) -> bool {
        match self {
            Self::Subscribes(subscription) => {
                subscription.receive(now, datagram);
                true
            }
            Self::Serves(service) => service.receive(now, peer, datagram),
        }
    }

    /// Runs everything that is due; `decided` is the state that a control machine serves.
    pub fn turn(&mut self, now: f64, decided: Option<&mut DecidedState>) {
        match self {
            Self::Subscribes(subscription) => subscription.turn(now),
            Self::Serves(service) => decided.into_iter().for_each(|decided| service.turn(now, decided)),
        }
    }

    /// The time of the next [`Distribution::turn`].
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

    /// The servers drained by the state that a subscriber holds, if they changed since the last call.
    pub fn drained_update(&mut self) -> Option<BTreeSet<String>> {
        match self {
            Self::Subscribes(subscription) => subscription.take_changed().then(|| subscription.drained()),
            // A control machine applies its own decisions.
            Self::Serves(_) => None,
        }
    }

    /// The state that a subscriber should save on disk, if it changed since the last call.
    pub fn state_to_save(&mut self) -> Option<Vec<u8>> {
        match self {
            Self::Subscribes(subscription) => subscription.state_to_save(),
            Self::Serves(_) => None,
        }
    }

    /// Replaces the secrets and the roster of accepted senders.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        match self {
            Self::Subscribes(subscription) => subscription.rekey(secrets, roster),
            Self::Serves(service) => service.rekey(secrets, roster),
        }
    }

    /// The control machines that a subscriber's operator should turn to; `None` at a control machine.
    pub fn controls(&self) -> Option<Vec<String>> {
        match self {
            Self::Subscribes(subscription) => Some(subscription.controls()),
            Self::Serves(_) => None,
        }
    }

    /// The status for operators. `decided` is the state that a control machine serves, which has no status
    /// without it.
    pub fn status(&self, now: f64, decided: Option<&DecidedState>) -> Option<DistributionStatus> {
        match self {
            Self::Subscribes(subscription) => Some(subscription.status(now)),
            Self::Serves(service) => decided.map(|decided| service.status(decided)),
        }
    }

    /// The progress of the newest changes; `None` at a subscriber.
    pub fn changes(&self, now: f64) -> Option<Vec<ChangeStatus>> {
        match self {
            Self::Subscribes(_) => None,
            Self::Serves(service) => Some(service.changes(now)),
        }
    }
}
