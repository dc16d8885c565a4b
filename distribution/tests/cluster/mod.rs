//! A council, control machines and subscribers on one virtual clock. At every step each subscriber is
//! checked: no scope goes back a version within a process, what is in force is what was decided at its index,
//! and nothing that its age covers is missing.

#![allow(dead_code)]

pub mod council;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use agree::Id;
use agree::freshness::FreshnessProof;
use council::{Council, Keys};
use distribution::placement::ControlMachine;
use distribution::{Control, ControlTerms, Scope, Subscriber, SubscriberTerms, Version};
use links::{Links, NodeIndex};

pub const HEARTBEAT_MS: f64 = 1000.0;
pub const LEASE_MS: f64 = 10_000.0;
pub const STEP_MS: f64 = 5.0;
/// Time within which a change has to be in force everywhere, in milliseconds.
pub const IN_FORCE_WITHIN_MS: f64 = 4_000.0;
/// Bytes of the packet around each datagram, which count against the limits.
const PACKET_OVERHEAD_BYTES: usize = 120;
/// Time that the council takes to answer with a freshness proof, in milliseconds.
const FRESHNESS_DELAY_MS: f64 = 30.0;
pub const COUNCIL: NodeIndex = 0;
/// First node index of the subscribers.
pub const SUBSCRIBERS: NodeIndex = 100;
pub const REGION: u16 = 1;

pub fn control_id(number: usize) -> Id {
    1 + number as Id
}

pub fn subscriber_id(number: usize) -> Id {
    (SUBSCRIBERS + number) as Id
}

fn node_index(id: Id) -> NodeIndex {
    id as NodeIndex
}

pub fn control_terms() -> ControlTerms {
    ControlTerms {
        heartbeat: HEARTBEAT_MS,
        max_subscribers: 3000,
        bytes_per_second: 8e6,
        subscriber_bytes_per_second: 6000.0,
        snapshots_at_once: 128,
    }
}

/// A control machine, and how it follows the council.
pub struct Machine {
    pub control: Option<Control>,
    /// The index up to which it has followed the council.
    pub followed: Version,
    /// It follows no further than this index.
    pub follows_until: Version,
    pub region: u16,
    /// The current second and the bytes sent in it.
    pub current_second: (u64, u64),
    pub max_bytes_per_second: u64,
    pub max_snapshots: usize,
}

/// A border proxy's subscriber.
pub struct Proxy {
    pub subscriber: Option<Subscriber<Keys>>,
    pub scopes: BTreeSet<Scope>,
    pub disk: Vec<u8>,
    /// Whether what is in force is written to the disk at once.
    pub persists: bool,
    pub region: u16,
    in_force: BTreeMap<Scope, Version>,
    /// When each version first came in force.
    pub reached: BTreeMap<(Scope, Version), f64>,
    pub current_second: (u64, u64),
    pub max_bytes_per_second: u64,
    pub total_bytes: u64,
}

pub struct Cluster {
    pub now: f64,
    pub council: Council,
    pub machines: Vec<Machine>,
    pub proxies: Vec<Proxy>,
    pub links: Links<Vec<u8>>,
    pub terms: ControlTerms,
    /// No voter leads: no freshness proofs are given.
    pub leaderless: bool,
    /// All control machines are honest: the content of every transfer matches its proof.
    pub honest: bool,
    freshness_proofs: VecDeque<(f64, NodeIndex, FreshnessProof)>,
    next_seed: u64,
}

impl Cluster {
    /// A cluster with control machines in one region and no subscribers.
    pub fn new(machines: usize, seed: u64) -> Self {
        let council = Council::new(3);
        let mut cluster = Self {
            now: 0.0,
            council,
            machines: Vec::new(),
            proxies: Vec::new(),
            links: Links::new(20.0, seed),
            terms: control_terms(),
            leaderless: false,
            honest: true,
            freshness_proofs: VecDeque::new(),
            next_seed: seed * 1_000_000,
        };
        (0..machines).for_each(|_| cluster.add_machine(REGION));
        cluster
    }

    fn seed(&mut self) -> u64 {
        self.next_seed += 1;
        self.next_seed
    }

    pub fn add_machine(&mut self, region: u16) {
        let (control, current_second) = (None, (0, 0));
        let (followed, follows_until, max_bytes_per_second, max_snapshots) = (0, Version::MAX, 0, 0);
        self.machines.push(Machine {
            control,
            followed,
            follows_until,
            region,
            current_second,
            max_bytes_per_second,
            max_snapshots,
        });
        self.start_machine(self.machines.len() - 1);
    }

    /// Starts a control machine from the newest decided state.
    pub fn start_machine(&mut self, number: usize) {
        let newest = self.council.index();
        self.start_machine_from(number, newest);
    }

    /// Starts a control machine from the state of an earlier index, as after a restart from an old disk.
    pub fn start_machine_from(&mut self, number: usize, index: Version) {
        let (seed, now) = (self.seed(), self.now);
        let mut control = Control::new(self.terms.clone(), seed, now);
        control.restore(index, self.council.state(index).clone());
        (self.machines[number].control, self.machines[number].followed) = (Some(control), index);
    }

    pub fn kill_machine(&mut self, number: usize) {
        self.machines[number].control = None;
    }

    pub fn controls(&self) -> Vec<ControlMachine> {
        let machines = self.machines.iter().enumerate();
        machines.map(|(n, of)| ControlMachine { id: control_id(n), region: of.region }).collect()
    }

    /// Adds a subscriber of some scopes, with an empty disk.
    pub fn add_proxy(&mut self, scopes: &[Scope]) -> usize {
        self.proxies.push(Proxy {
            subscriber: None,
            scopes: scopes.iter().copied().collect(),
            disk: Vec::new(),
            persists: true,
            region: REGION,
            in_force: BTreeMap::new(),
            reached: BTreeMap::new(),
            current_second: (0, 0),
            max_bytes_per_second: 0,
            total_bytes: 0,
        });
        let number = self.proxies.len() - 1;
        self.start_proxy(number);
        number
    }

    /// Starts a subscriber from its disk.
    pub fn start_proxy(&mut self, number: usize) {
        let (seed, now, controls) = (self.seed(), self.now, self.controls());
        let proxy = &mut self.proxies[number];
        let terms = SubscriberTerms {
            id: subscriber_id(number),
            region: proxy.region,
            controls,
            bootstrap_members: self.council.bootstrap_members(),
            heartbeat: HEARTBEAT_MS,
            lease: LEASE_MS,
            max_scope_bytes: 1 << 20,
        };
        let mut subscriber = Subscriber::new(terms, Keys(subscriber_id(number)), seed, now);
        proxy.scopes.iter().for_each(|&scope| subscriber.subscribe(scope, now));
        subscriber.restore(&proxy.disk);
        proxy.in_force = BTreeMap::new();
        proxy.subscriber = Some(subscriber);
    }

    pub fn kill_proxy(&mut self, number: usize) {
        self.proxies[number].subscriber = None;
    }

    pub fn subscribe(&mut self, number: usize, scope: Scope) {
        let proxy = &mut self.proxies[number];
        proxy.scopes.insert(scope);
        proxy.subscriber.as_mut().expect("running").subscribe(scope, self.now);
    }

    pub fn unsubscribe(&mut self, number: usize, scope: Scope) {
        let proxy = &mut self.proxies[number];
        proxy.scopes.remove(&scope);
        proxy.in_force.remove(&scope);
        proxy.subscriber.as_mut().expect("running").unsubscribe(scope);
    }

    pub fn subscriber(&self, number: usize) -> &Subscriber<Keys> {
        self.proxies[number].subscriber.as_ref().expect("running")
    }

    pub fn control(&self, number: usize) -> &Control {
        self.machines[number].control.as_ref().expect("running")
    }

    /// Decides changes and returns their index.
    pub fn decide(&mut self, changes: &[(Scope, &str, Option<&[u8]>)]) -> Version {
        self.council.decide(self.now, changes)
    }

    pub fn set(&mut self, scope: Scope, key: &str, value: &[u8]) -> Version {
        self.decide(&[(scope, key, Some(value))])
    }

    /// Runs for a time in milliseconds.
    pub fn run(&mut self, time: f64) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until all running subscribers have the newest version of their scopes in force; returns how long
    /// it took.
    pub fn run_until_converged(&mut self, max_time: f64) -> f64 {
        let started_at = self.now;
        while !self.missing().is_empty() {
            let took = self.now - started_at;
            assert!(took < max_time, "after {took} ms: {:?}", &self.missing()[..self.missing().len().min(3)]);
            self.step();
        }
        self.now - started_at
    }

    /// Subscribers that are missing the newest version of a scope: subscriber, scope, and index in force.
    pub fn missing(&self) -> Vec<(usize, Scope, Version)> {
        let running =
            self.proxies.iter().enumerate().filter_map(|(n, of)| Some((n, of.subscriber.as_ref()?)));
        let scopes = running.flat_map(|(n, of)| of.scopes().map(move |scope| (n, scope, of.index(scope))));
        let newest = |scope| self.council.scope_version(scope).max(1).min(self.council.index());
        scopes.filter(|(_, scope, index)| *index < newest(*scope)).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.follow();
        self.deliver_freshness_proofs();
        while let Some((from, to, bytes)) = self.links.next_arrival(self.now) {
            self.deliver(from, to, &bytes);
        }
        for number in 0..self.machines.len() {
            self.turn_machine(number);
        }
        for number in 0..self.proxies.len() {
            self.turn_proxy(number);
        }
    }

    /// Control machines follow the council unless they are cut off.
    fn follow(&mut self) {
        for (number, machine) in self.machines.iter_mut().enumerate() {
            let cut = self.links.is_cut(COUNCIL, node_index(control_id(number)));
            let Some(control) = machine.control.as_mut().filter(|_| !cut) else { continue };
            while machine.followed < self.council.index().min(machine.follows_until) {
                machine.followed += 1;
                control
                    .add_decided_changes(machine.followed, self.council.changes(machine.followed).to_vec());
            }
            if let Some(certificate) = self.council.certificate(machine.followed) {
                control.update_certificate(certificate, self.council.council_proofs());
            }
        }
    }

    fn deliver_freshness_proofs(&mut self) {
        while let Some((_, to, proof)) = self.freshness_proofs.pop_front_if(|(at, _, _)| *at <= self.now) {
            if let Some(control) = self.machines[to].control.as_mut() {
                control.receive_freshness_proof(self.now, proof);
            }
        }
    }

    fn deliver(&mut self, from: NodeIndex, to: NodeIndex, bytes: &[u8]) {
        let (now, from) = (self.now, from as Id);
        if to >= SUBSCRIBERS {
            let number = to - SUBSCRIBERS;
            let Some(proxy) = self.proxies.get_mut(number) else { return };
            proxy.count(now, bytes.len() + PACKET_OVERHEAD_BYTES);
            if let Some(subscriber) = proxy.subscriber.as_mut() {
                subscriber.receive(now, from, bytes);
                self.handle_updates(number);
            }
        } else if let Some(control) = self.machines[to - 1].control.as_mut() {
            control.receive(now, from, bytes);
        }
    }

    fn turn_machine(&mut self, number: usize) {
        let now = self.now;
        let cut = self.links.is_cut(node_index(control_id(number)), COUNCIL);
        let Some(control) = self.machines[number].control.as_mut() else { return };
        if control.due() <= now {
            control.turn(now);
        }
        while let Some(nonce) = control.next_freshness_request() {
            if !cut && !self.leaderless {
                self.freshness_proofs.push_back((
                    now + FRESHNESS_DELAY_MS,
                    number,
                    self.council.freshness_proof(nonce),
                ));
            }
        }
        let (mut sent, from) = (0, node_index(control_id(number)));
        while let Some(out) = control.outgoing() {
            sent += (out.bytes.len() + PACKET_OVERHEAD_BYTES) as u64;
            self.links.send(now, from, node_index(out.to), out.bytes);
        }
        let snapshots = control.status().snapshots;
        let machine = &mut self.machines[number];
        machine.max_snapshots = machine.max_snapshots.max(snapshots);
        record_bytes(&mut machine.current_second, &mut machine.max_bytes_per_second, now, sent);
    }

    fn turn_proxy(&mut self, number: usize) {
        let now = self.now;
        let Some(subscriber) = self.proxies[number].subscriber.as_mut() else { return };
        if subscriber.due() <= now {
            subscriber.turn(now);
            self.handle_updates(number);
        }
    }

    fn handle_updates(&mut self, number: usize) {
        let (now, proxy) = (self.now, &mut self.proxies[number]);
        let subscriber = proxy.subscriber.as_mut().expect("running");
        let mut sent = 0;
        while let Some(out) = subscriber.outgoing() {
            sent += out.bytes.len() + PACKET_OVERHEAD_BYTES;
            self.links.send(now, SUBSCRIBERS + number, node_index(out.to), out.bytes);
        }
        while subscriber.next_changed_scope().is_some() {}
        if proxy.persists
            && let Some(bytes) = subscriber.state_to_save()
        {
            proxy.disk = bytes;
        }
        proxy.count(now, sent);
        self.check_invariants(number);
    }

    fn check_invariants(&mut self, number: usize) {
        let (now, proxy) = (self.now, &mut self.proxies[number]);
        let subscriber = proxy.subscriber.as_ref().expect("running");
        for scope in subscriber.scopes() {
            let index = subscriber.index(scope);
            let before = proxy.in_force.insert(scope, index).unwrap_or(0);
            assert!(index >= before, "proxy {number}: {scope} went back from {before} to {index}");
            if index > before {
                let content = subscriber.content(scope).expect("in force");
                let decided = self.council.state(index).summary(scope).digest;
                assert_eq!(content.digest(), decided, "proxy {number}: {scope} at {index}");
                for version in before + 1..=index {
                    proxy.reached.entry((scope, version)).or_insert(now);
                }
            }
            let counts = subscriber.status(now).counts;
            assert!(
                !self.honest || counts.mismatched + counts.unverified + counts.malformed == 0,
                "{counts:?}"
            );
            let covered = self.council.decided_by(now - subscriber.age(scope, now));
            assert!(covered <= index, "proxy {number}: {scope} at {index} claims to cover {covered}");
        }
    }
}

impl Proxy {
    fn count(&mut self, now: f64, bytes: usize) {
        self.total_bytes += bytes as u64;
        record_bytes(&mut self.current_second, &mut self.max_bytes_per_second, now, bytes as u64);
    }
}

/// Adds bytes to the current second, and updates the maximum of any second.
fn record_bytes(current_second: &mut (u64, u64), max: &mut u64, now: f64, bytes: u64) {
    let current = (now / 1000.0) as u64;
    if current_second.0 != current {
        *current_second = (current, 0);
    }
    current_second.1 += bytes;
    *max = (*max).max(current_second.1);
}
