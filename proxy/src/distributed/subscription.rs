//! A proxy that takes no part in gossip or in the log. It holds the scopes that it uses, which it receives
//! from one control machine at a time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use agree::Id;
use agree::certificate::FleetKeys;
use distribution::Scope;
use distribution::placement::ControlMachine;
use distribution::saved::Restored;
use distribution::subscriber::{LEASE_HEARTBEATS, MAX_SCOPE_BYTES, Subscriber, SubscriberTerms};
use gossip::Outgoing;
use gossip::channel::Channel;
use gossip::keys::{Roster, Secrets};
use gossip::wire::Subsystem;
use outs::drains::{self, Notice};

use super::status::{DistributedDrain, DistributionRole, DistributionStatus, ScopeStatus, finite};

/// The interval between writes of [`Subscription::state_to_save`], in milliseconds. A shorter one writes more
/// often while much changes; what a crash loses is fetched again from a control machine, if one can be
/// reached.
pub const STATE_WRITE_INTERVAL: f64 = 1_000.0;

/// A control machine and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    /// The control machine and its region.
    pub machine: ControlMachine,
    /// Where it receives packets.
    pub address: SocketAddr,
}

/// The configuration of a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriptionTerms {
    /// The region of the subscriber.
    pub region: u16,
    /// All control machines.
    pub controls: Vec<ControlAddress>,
    /// The first voters of the council.
    pub bootstrap_members: Vec<Id>,
    /// The scopes to subscribe to.
    pub scopes: BTreeSet<Scope>,
    /// The heartbeat interval, in milliseconds.
    pub heartbeat: f64,
}

/// A subscriber and its channel.
pub struct Subscription {
    channel: Channel,
    subscriber: Subscriber<FleetKeys>,
    addresses: BTreeMap<Id, SocketAddr>,
    queue: VecDeque<Outgoing>,
}

impl Subscription {
    /// `unix` is the wall clock in milliseconds; `seed` must be unknown to others.
    pub fn new(terms: SubscriptionTerms, keys: FleetKeys, seed: u64, now: f64, unix: f64) -> Self {
        let channel = Channel::new(keys.secrets.clone(), keys.roster.clone(), unix);
        let subscriber_terms = SubscriberTerms {
            id: channel.id(),
            region: terms.region,
            controls: terms.controls.iter().map(|control| control.machine).collect(),
            bootstrap_members: terms.bootstrap_members,
            heartbeat: terms.heartbeat,
            lease: LEASE_HEARTBEATS * terms.heartbeat,
            max_scope_bytes: MAX_SCOPE_BYTES,
        };
        let mut subscriber = Subscriber::new(subscriber_terms, keys, seed, now);
        terms.scopes.into_iter().for_each(|scope| subscriber.subscribe(scope, now));
        let addresses = terms.controls.iter().map(|control| (control.machine.id, control.address)).collect();
        Self { channel, subscriber, addresses, queue: VecDeque::new() }
    }

    /// Puts state from an earlier [`Subscription::state_to_save`] in force, as far as it is proved.
    pub fn restore(&mut self, bytes: &[u8]) -> Restored {
        self.subscriber.restore(bytes)
    }

    /// The state to save on disk, if it changed since the last call.
    pub fn state_to_save(&mut self) -> Option<Vec<u8>> {
        self.subscriber.state_to_save()
    }

    /// Replaces the keys, as in a rotation.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        self.subscriber.rekey(FleetKeys { secrets: secrets.clone(), roster: roster.clone() });
        self.channel.rekey(secrets, roster);
    }

    /// Handles a datagram, whose contents are not trusted.
    pub fn receive(&mut self, now: f64, datagram: &[u8]) {
        if let Some(received) =
            self.channel.verify(datagram).filter(|received| received.subsystem == Subsystem::State)
        {
            self.subscriber.receive(now, received.from, &received.bytes);
            self.queue_outgoing();
        }
    }

    /// Runs everything that is due.
    pub fn turn(&mut self, now: f64) {
        if self.subscriber.due() <= now {
            self.subscriber.turn(now);
        }
        self.queue_outgoing();
    }

    fn queue_outgoing(&mut self) {
        while let Some(message) = self.subscriber.outgoing() {
            let Some(&peer) = self.addresses.get(&message.to) else { continue };
            let packet = self.channel.authenticate(Subsystem::State, message.bytes);
            self.queue.extend(packet.map(|bytes| Outgoing { peer, bytes }));
        }
    }

    /// The time of the next [`Subscription::turn`].
    pub fn due(&self) -> f64 {
        self.subscriber.due()
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.queue.pop_front()
    }

    /// Whether the state in force has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::iter::from_fn(|| self.subscriber.next_changed_scope()).count() > 0
    }

    /// The servers drained by the state in force.
    pub fn drained(&self) -> BTreeSet<String> {
        self.drains().into_iter().map(|drain| drain.server).collect()
    }

    fn drains(&self) -> Vec<DistributedDrain> {
        let contents = self.subscriber.scopes().filter_map(|scope| self.subscriber.content(scope));
        let entries = contents.flat_map(distribution::content::Content::entries);
        let drain = |entry: distribution::Entry| {
            let server = drains::server_of(&entry.key)?.to_owned();
            // A notice of an unknown format drains the server all the same.
            let notice = Notice::decode(&entry.value);
            let (by, why) = notice.map(|notice| (notice.by, notice.why)).unwrap_or_default();
            Some(DistributedDrain { server, by, why, decision: entry.version })
        };
        entries.filter_map(drain).collect()
    }

    /// The names of the control machines, which operators can turn to.
    pub fn controls(&self) -> Vec<String> {
        self.addresses.keys().map(|&id| self.name(id)).collect()
    }

    fn name(&self, id: Id) -> String {
        self.channel.roster().name(id).unwrap_or("?").to_owned()
    }

    /// The status for operators.
    pub fn status(&self, now: f64) -> DistributionStatus {
        let standing = self.subscriber.status(now);
        let scope = |(scope, (index, age)): (&Scope, &(u64, f64))| ScopeStatus {
            scope: scope.to_string(),
            version: *index,
            entries: self.subscriber.content(*scope).map_or(0, |content| content.len()),
            age_ms: finite(*age),
        };
        let (control, since) = standing.control;
        let counts = standing.counts;
        DistributionStatus {
            role: DistributionRole::Subscriber,
            control: Some(self.name(control)),
            control_since_ms: Some(since),
            council: standing.council_since,
            scopes: standing.scopes.iter().map(scope).collect(),
            drains: self.drains(),
            subscribers: None,
            channel: self.channel.counts(),
            counts: BTreeMap::from([
                ("malformed".to_owned(), counts.malformed),
                ("stray".to_owned(), counts.unexpected),
                ("unproved".to_owned(), counts.unverified),
                ("crowded".to_owned(), counts.rate_limited),
                ("mismatched".to_owned(), counts.mismatched),
                ("switched".to_owned(), counts.switched),
                ("deferred".to_owned(), counts.deferred),
            ]),
        }
    }
}
