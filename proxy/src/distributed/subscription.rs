//! A proxy that neither gossips nor follows the log: it holds the scopes that it uses, by one control machine
//! at a time.

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

/// Milliseconds between writes of what [`Subscription::state_to_save`] gives. Less writes more often while much changes;
/// what a crash loses is fetched anew from a control machine, if one can be reached.
pub const STATE_WRITE_INTERVAL: f64 = 1_000.0;

/// A control machine, and where it is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlAddress {
    pub machine: ControlMachine,
    pub address: SocketAddr,
}

/// What is agreed for a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriptionTerms {
    /// The region that it is in.
    pub region: u16,
    /// All control machines.
    pub controls: Vec<ControlAddress>,
    /// Who votes at first.
    pub bootstrap_members: Vec<Id>,
    /// What it holds.
    pub scopes: BTreeSet<Scope>,
    /// Milliseconds.
    pub heartbeat: f64,
}

/// A subscriber on a channel.
pub struct Subscription {
    channel: Channel,
    subscriber: Subscriber<FleetKeys>,
    addresses: BTreeMap<Id, SocketAddr>,
    out: VecDeque<Outgoing>,
}

impl Subscription {
    /// `unix` is the wall clock in milliseconds; `seed` must not be known to others.
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
        Self { channel, subscriber, addresses, out: VecDeque::new() }
    }

    /// Puts in force what [`Subscription::state_to_save`] gave before, as far as it is proved.
    pub fn restore(&mut self, bytes: &[u8]) -> Restored {
        self.subscriber.restore(bytes)
    }

    /// What is to be kept on the disk, where that has changed since it was last asked for.
    pub fn state_to_save(&mut self) -> Option<Vec<u8>> {
        self.subscriber.state_to_save()
    }

    /// Goes on with other keys, as in a rotation.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        self.subscriber.rekey(FleetKeys { secrets: secrets.clone(), roster: roster.clone() });
        self.channel.rekey(secrets, roster);
    }

    /// A datagram came. Anything may stand in it.
    pub fn receive(&mut self, now: f64, datagram: &[u8]) {
        if let Some(received) =
            self.channel.verify(datagram).filter(|received| received.subsystem == Subsystem::State)
        {
            self.subscriber.receive(now, received.from, &received.bytes);
            self.send();
        }
    }

    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        if self.subscriber.due() <= now {
            self.subscriber.turn(now);
        }
        self.send();
    }

    fn send(&mut self) {
        while let Some(out) = self.subscriber.outgoing() {
            let Some(&peer) = self.addresses.get(&out.to) else { continue };
            let sealed = self.channel.authenticate(Subsystem::State, out.bytes);
            self.out.extend(sealed.map(|bytes| Outgoing { peer, bytes }));
        }
    }

    /// When [`Subscription::turn`] is wanted.
    pub fn due(&self) -> f64 {
        self.subscriber.due()
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }

    /// Whether anything of what is in force has changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::iter::from_fn(|| self.subscriber.next_changed_scope()).count() > 0
    }

    /// The servers that get nothing new by what is in force.
    pub fn drained(&self) -> BTreeSet<String> {
        self.drains().into_iter().map(|drain| drain.server).collect()
    }

    fn drains(&self) -> Vec<DistributedDrain> {
        let contents = self.subscriber.scopes().filter_map(|scope| self.subscriber.content(scope));
        let entries = contents.flat_map(distribution::content::Content::entries);
        let drain = |entry: distribution::Entry| {
            let server = drains::server_of(&entry.key)?.to_owned();
            // Of another form than is known here, it drains all the same.
            let notice = Notice::decode(&entry.value);
            let (by, why) = notice.map(|notice| (notice.by, notice.why)).unwrap_or_default();
            Some(DistributedDrain { server, by, why, decision: entry.version })
        };
        entries.filter_map(drain).collect()
    }

    /// The control machines' names, for whoever is to be sent there.
    pub fn controls(&self) -> Vec<String> {
        self.addresses.keys().map(|&id| self.name(id)).collect()
    }

    fn name(&self, id: Id) -> String {
        self.channel.roster().name(id).unwrap_or("?").to_owned()
    }

    /// How it stands.
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
