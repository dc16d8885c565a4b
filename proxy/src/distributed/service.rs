//! A control machine's service: passes what it decides with others on to subscribers, by scope.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use agree::Id;
use distribution::progress::{ChangeProgress, MissingSubscriber};
use distribution::{Control, ControlTerms};
use gossip::Outgoing;
use gossip::channel::Channel;
use gossip::keys::{Roster, Secrets};
use gossip::wire::Subsystem;
use outs::Changes;

use super::status::{
    ChangeStatus, DistributionRole, DistributionStatus, LackingStatus, ScopeStatus, SubscribersStatus,
};
use crate::decided::DecidedState;

/// The configuration of a control machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTerms {
    /// The heartbeat interval, in milliseconds.
    pub heartbeat: f64,
    /// The maximum number of subscribers.
    pub max_subscribers: usize,
    /// Bytes per second to all subscribers together.
    pub bytes_per_second: f64,
    /// Bytes per second to each subscriber.
    pub subscriber_bytes_per_second: f64,
    /// How many subscribers may fetch whole scopes at a time.
    pub snapshots_at_once: usize,
}

/// A control machine's end of the channel.
pub struct Service {
    channel: Channel,
    control: Control,
    /// The last known address of each subscriber; bounded by the roster.
    addresses: BTreeMap<Id, SocketAddr>,
    queue: VecDeque<Outgoing>,
}

impl Service {
    /// `roster` lists the subscribers; `unix` is the wall clock in milliseconds.
    pub fn new(
        terms: ServiceTerms,
        secrets: Secrets,
        roster: Roster,
        seed: u64,
        now: f64,
        unix: f64,
    ) -> Self {
        let control_terms = ControlTerms {
            heartbeat: terms.heartbeat,
            max_subscribers: terms.max_subscribers,
            bytes_per_second: terms.bytes_per_second,
            subscriber_bytes_per_second: terms.subscriber_bytes_per_second,
            snapshots_at_once: terms.snapshots_at_once,
        };
        Self {
            channel: Channel::new(secrets, roster, unix),
            control: Control::new(control_terms, seed, now),
            addresses: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Handles a datagram of the peers' socket. Returns false if its sender is no subscriber: then it belongs
    /// to gossip.
    pub fn receive(&mut self, now: f64, peer: SocketAddr, datagram: &[u8]) -> bool {
        if !Channel::sender(datagram).is_some_and(|from| self.channel.roster().contains(from)) {
            return false;
        }
        if let Some(received) =
            self.channel.verify(datagram).filter(|received| received.subsystem == Subsystem::State)
        {
            self.addresses.insert(received.from, peer);
            self.control.receive(now, received.from, &received.bytes);
            self.queue_outgoing();
        }
        true
    }

    /// Takes over new decisions, and runs everything that is due.
    pub fn turn(&mut self, now: f64, decided: &mut DecidedState) {
        let agreement = decided.agreement();
        let applied = agreement.applied();
        match agreement.machine_mut().take_changes() {
            Changes::Since(changes) => self.control.add_decided_changes(applied, changes),
            Changes::Reset => self.control.restore(applied, agreement.machine().scoped().clone()),
        }
        if self.control.needs_state() {
            self.control.restore(applied, agreement.machine().scoped().clone());
        }
        if let Some(seal) = agreement.certificate() {
            self.control.update_certificate(seal, agreement.council_proofs());
        }
        while let Some(proof) = agreement.next_freshness_proof() {
            self.control.receive_freshness_proof(now, proof);
        }
        self.control.turn(now);
        while let Some(nonce) = self.control.next_freshness_request() {
            agreement.request_freshness(nonce);
        }
        self.queue_outgoing();
    }

    fn queue_outgoing(&mut self) {
        while let Some(message) = self.control.outgoing() {
            let Some(&peer) = self.addresses.get(&message.to) else { continue };
            let packet = self.channel.authenticate(Subsystem::State, message.bytes);
            self.queue.extend(packet.map(|bytes| Outgoing { peer, bytes }));
        }
    }

    /// The time of the next [`Service::turn`].
    pub fn due(&self) -> f64 {
        self.control.due()
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.queue.pop_front()
    }

    /// Replaces the keys, as in a rotation; `roster` lists the subscribers.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        for (removed, _) in self.addresses.extract_if(.., |id, _| !roster.contains(*id)) {
            self.control.remove_subscriber(removed);
        }
        self.channel.rekey(secrets, roster);
    }

    fn name(&self, id: Id) -> String {
        self.channel.roster().name(id).unwrap_or("?").to_owned()
    }

    /// The status for operators; `decided` is the state that is served.
    pub fn status(&self, decided: &DecidedState) -> DistributionStatus {
        let standing = self.control.status();
        let counts = standing.counts;
        let scoped = decided.scoped();
        let scope = |scope| ScopeStatus {
            scope: format!("{scope}"),
            version: scoped.summary(scope).version,
            entries: scoped.content(scope).map_or(0, |content| content.len()),
            age_ms: None,
        };
        DistributionStatus {
            role: DistributionRole::Control,
            control: None,
            control_since_ms: None,
            council: decided.council_since(),
            scopes: scoped.scopes().map(scope).collect(),
            drains: Vec::new(),
            subscribers: Some(SubscribersStatus {
                sessions: standing.subscribers,
                snapshots: standing.snapshots,
                certified: standing.index,
            }),
            channel: self.channel.counts(),
            counts: BTreeMap::from([
                ("malformed".to_owned(), counts.malformed),
                ("stray".to_owned(), counts.unexpected),
                ("crowded".to_owned(), counts.rate_limited),
                ("deferred".to_owned(), counts.deferred),
                ("expired".to_owned(), counts.expired),
                ("dropped".to_owned(), counts.dropped),
                ("ahead".to_owned(), counts.ahead),
                ("diverged".to_owned(), counts.diverged),
            ]),
        }
    }

    /// The progress of the newest changes at the subscribers of this control machine.
    pub fn changes(&self, now: f64) -> Vec<ChangeStatus> {
        let lacking = |lacking: &MissingSubscriber| LackingStatus {
            subscriber: self.name(lacking.id),
            since_ms: lacking.since_ms,
            silent_ms: lacking.silent_ms,
        };
        let change_status = |change: ChangeProgress| ChangeStatus {
            scope: change.scope.to_string(),
            key: change.key.to_string(),
            version: change.version,
            removed: change.removed,
            since_ms: change.since_ms,
            have: change.acknowledged,
            of: change.acknowledged + change.missing,
            lacking: change.longest_missing.iter().map(lacking).collect(),
        };
        self.control.changes(now).into_iter().map(change_status).collect()
    }
}
