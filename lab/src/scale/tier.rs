//! The fleet with control machines: these agree among themselves and serve subscribers by scope. A border
//! proxy subscribes to the scopes it uses and neither gossips nor follows the log.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use agree::Id;
use distribution::placement::ControlMachine;
use distribution::{Control, ControlTerms, Subscriber, SubscriberTerms};
use gossip::channel::Channel;
use gossip::keys::Roster;
use gossip::wire::Subsystem;

use super::council::{CouncilNode, CouncilTerms, EPOCH_UNIX_MS};
use super::keys::{self, SharedKeys};
use super::layout::{Layout, NodeId, Scope};
use super::node::{ConfigChange, Fleet, Node, NotReady, Version};
use super::scoped_machine::ScopedMachine;

/// Milliseconds between two polls of a subscriber, and the maximum age of its state.
const POLL_INTERVAL_MS: f64 = 1_000.0;
const LEASE_MS: f64 = 10_000.0;
/// Limits of a control machine, as in the example settings: subscribers, bytes per second to all and to each,
/// concurrent snapshots.
const MAX_SUBSCRIBERS: usize = 4_096;
const BYTES_PER_SECOND: f64 = 8e6;
const SUBSCRIBER_BYTES_PER_SECOND: f64 = 3_000.0;
const SNAPSHOTS_AT_ONCE: usize = 64;
/// Maximum bytes of a scope that a subscriber accepts.
const MAX_SCOPE_BYTES: usize = 1 << 20;

/// A fleet with control machines: the terms and keys shared by its nodes.
pub struct TierFleet {
    layout: Layout,
    council: CouncilTerms,
    /// Keys of all nodes, known to the control machines.
    all_nodes: Roster,
    controls: Vec<ControlMachine>,
    addresses: Arc<BTreeMap<Id, SocketAddr>>,
    seed: u64,
}

impl TierFleet {
    pub fn new(layout: &Layout, seed: u64) -> Self {
        let controls_roster = keys::roster(0..layout.controls);
        let id = |control| keys::secrets(control).id();
        let control_machine =
            |control| ControlMachine { id: id(control), region: layout.site(control).region as u16 };
        Self {
            council: CouncilTerms::for_controls(controls_roster, layout.voters()),
            all_nodes: keys::roster(0..layout.node_count()),
            controls: (0..layout.controls).map(control_machine).collect(),
            addresses: Arc::new(
                (0..layout.controls).map(|control| (id(control), Layout::address(control))).collect(),
            ),
            layout: layout.clone(),
            seed,
        }
    }
}

impl Fleet for TierFleet {
    type Node = TierNode;

    fn start(&self, node: NodeId, generation: u32, disk: &[u8], now: f64) -> TierNode {
        let seed = self.seed ^ node as u64 ^ u64::from(generation) << 32;
        if self.layout.is_control(node) {
            TierNode::Control(Box::new(ControlNode::start(self, node, generation, disk, (seed, now))))
        } else {
            TierNode::Subscriber(Box::new(SubscriberNode::start(self, node, disk, (seed, now))))
        }
    }
}

/// A border proxy: subscribes to its scopes.
pub struct SubscriberNode {
    channel: Channel,
    subscriber: Subscriber<SharedKeys>,
    controls: Arc<BTreeMap<Id, SocketAddr>>,
    /// The version of the newest entry in force, by scope.
    versions: BTreeMap<Scope, Version>,
    disk: Vec<u8>,
}

impl SubscriberNode {
    fn start(fleet: &TierFleet, node: NodeId, disk: &[u8], (seed, now): (u64, f64)) -> Self {
        let (secrets, roster) = (keys::secrets(node), fleet.council.roster.clone());
        let terms = SubscriberTerms {
            id: secrets.id(),
            region: fleet.layout.site(node).region as u16,
            controls: fleet.controls.clone(),
            bootstrap_members: fleet.council.voters.iter().map(|&voter| keys::secrets(voter).id()).collect(),
            heartbeat: POLL_INTERVAL_MS,
            lease: LEASE_MS,
            max_scope_bytes: MAX_SCOPE_BYTES,
        };
        let channel = Channel::new(secrets.clone(), (*roster).clone(), EPOCH_UNIX_MS + now);
        let mut subscriber = Subscriber::new(terms, SharedKeys { secrets, roster }, seed, now);
        fleet.layout.scopes(node).into_iter().for_each(|scope| subscriber.subscribe(scope, now));
        if !disk.is_empty() {
            subscriber.restore(disk);
        }
        let controls = fleet.addresses.clone();
        let mut started =
            Self { channel, subscriber, controls, versions: BTreeMap::new(), disk: disk.to_vec() };
        started.apply_changes();
        started
    }

    /// Records the versions that have come into force, and saves the state if it changed.
    fn apply_changes(&mut self) {
        while let Some(scope) = self.subscriber.next_changed_scope() {
            let newest =
                self.subscriber.content(scope).and_then(|content| content.iter().map(|entry| entry.1).max());
            self.versions.insert(scope, newest.unwrap_or(0));
        }
        if let Some(saved) = self.subscriber.state_to_save() {
            self.disk = saved;
        }
    }
}

impl Node for SubscriberNode {
    fn receive(&mut self, now: f64, _: SocketAddr, datagram: &[u8]) {
        if let Some(received) =
            self.channel.verify(datagram).filter(|received| received.subsystem == Subsystem::State)
        {
            self.subscriber.receive(now, received.from, &received.bytes);
        }
    }

    fn turn(&mut self, now: f64) {
        if self.subscriber.due() <= now {
            self.subscriber.turn(now);
        }
        self.apply_changes();
    }

    fn due(&self) -> f64 {
        self.subscriber.due()
    }

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let out = self.subscriber.outgoing()?;
        let to = *self.controls.get(&out.to)?;
        Some((to, self.channel.authenticate(Subsystem::State, out.bytes)?))
    }

    fn in_force(&self, scope: Scope) -> Version {
        self.versions.get(&scope).copied().unwrap_or(0)
    }

    /// Always fails: a border proxy does not take part in decisions.
    fn propose(&mut self, _: f64, _: usize, _: &ConfigChange) -> Result<(), NotReady> {
        Err(NotReady)
    }

    fn next_decided(&mut self) -> Option<(usize, Version)> {
        None
    }

    fn disk(&self) -> Vec<u8> {
        self.disk.clone()
    }

    fn state_bytes(&self) -> usize {
        self.disk.len()
    }
}

/// A control machine: follows the log and serves subscribers.
pub struct ControlNode {
    council: CouncilNode<ScopedMachine>,
    channel: Channel,
    control: Control,
    /// Address from which each subscriber's last message came.
    addresses: HashMap<Id, SocketAddr>,
    control_roster: Arc<Roster>,
    certified: Version,
}

impl ControlNode {
    fn start(fleet: &TierFleet, node: NodeId, generation: u32, disk: &[u8], (seed, now): (u64, f64)) -> Self {
        let terms = ControlTerms {
            heartbeat: POLL_INTERVAL_MS,
            max_subscribers: MAX_SUBSCRIBERS,
            bytes_per_second: BYTES_PER_SECOND,
            subscriber_bytes_per_second: SUBSCRIBER_BYTES_PER_SECOND,
            snapshots_at_once: SNAPSHOTS_AT_ONCE,
        };
        Self {
            council: CouncilNode::start(
                &fleet.council,
                node,
                generation,
                ScopedMachine::default(),
                disk,
                now,
            ),
            channel: Channel::new(keys::secrets(node), fleet.all_nodes.clone(), EPOCH_UNIX_MS + now),
            control: Control::new(terms, seed, now),
            addresses: HashMap::new(),
            control_roster: fleet.council.roster.clone(),
            certified: 0,
        }
    }

    /// Passes decisions, certificates and freshness proofs to `control`, and its requests to the council.
    fn exchange(&mut self, now: f64) {
        let agreement = self.council.agreement();
        let applied = agreement.applied();
        if let Some(changes) = agreement.machine_mut().take_changes() {
            self.control.add_decided_changes(applied, changes);
        } else {
            self.control.restore(applied, agreement.machine().state().clone());
        }
        if self.control.needs_state() {
            self.control.restore(applied, agreement.machine().state().clone());
        }
        if let Some(certificate) =
            agreement.certificate().filter(|certificate| certificate.statement.index > self.certified)
        {
            self.certified = certificate.statement.index;
            self.control.update_certificate(certificate, agreement.council_proofs());
        }
        while let Some(proof) = agreement.next_freshness_proof() {
            self.control.receive_freshness_proof(now, proof);
        }
        if self.control.due() <= now {
            self.control.turn(now);
        }
        while let Some(nonce) = self.control.next_freshness_request() {
            agreement.request_freshness(nonce);
        }
    }
}

impl Node for ControlNode {
    fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]) {
        if Channel::sender(datagram).is_some_and(|sender| self.control_roster.contains(sender)) {
            return self.council.receive(now, from, datagram);
        }
        if let Some(received) =
            self.channel.verify(datagram).filter(|received| received.subsystem == Subsystem::State)
        {
            self.addresses.insert(received.from, from);
            self.control.receive(now, received.from, &received.bytes);
        }
    }

    fn turn(&mut self, now: f64) {
        self.council.turn(now);
        self.exchange(now);
    }

    fn due(&self) -> f64 {
        self.council.due().min(self.control.due())
    }

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        if let Some(out) = self.council.outgoing() {
            return Some(out);
        }
        let out = self.control.outgoing()?;
        let to = *self.addresses.get(&out.to)?;
        Some((to, self.channel.authenticate(Subsystem::State, out.bytes)?))
    }

    fn in_force(&self, _: Scope) -> Version {
        self.council.machine().newest()
    }

    fn propose(&mut self, now: f64, number: usize, change: &ConfigChange) -> Result<(), NotReady> {
        self.council.propose(now, number, change)
    }

    fn next_decided(&mut self) -> Option<(usize, Version)> {
        self.council.next_decided()
    }

    fn disk(&self) -> Vec<u8> {
        self.council.disk().to_vec()
    }

    fn state_bytes(&self) -> usize {
        self.council.state_bytes()
    }
}

/// A border proxy or a control machine.
pub enum TierNode {
    Subscriber(Box<SubscriberNode>),
    Control(Box<ControlNode>),
}

impl TierNode {
    fn inner(&self) -> &dyn Node {
        match self {
            Self::Subscriber(node) => &**node,
            Self::Control(node) => &**node,
        }
    }

    fn inner_mut(&mut self) -> &mut dyn Node {
        match self {
            Self::Subscriber(node) => &mut **node,
            Self::Control(node) => &mut **node,
        }
    }
}

impl Node for TierNode {
    fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]) {
        self.inner_mut().receive(now, from, datagram);
    }

    fn turn(&mut self, now: f64) {
        self.inner_mut().turn(now);
    }

    fn due(&self) -> f64 {
        self.inner().due()
    }

    fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.inner_mut().outgoing()
    }

    fn in_force(&self, scope: Scope) -> Version {
        self.inner().in_force(scope)
    }

    fn propose(&mut self, now: f64, number: usize, change: &ConfigChange) -> Result<(), NotReady> {
        self.inner_mut().propose(now, number, change)
    }

    fn next_decided(&mut self) -> Option<(usize, Version)> {
        self.inner_mut().next_decided()
    }

    fn disk(&self) -> Vec<u8> {
        self.inner().disk()
    }

    fn state_bytes(&self) -> usize {
        self.inner().state_bytes()
    }
}
