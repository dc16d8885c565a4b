//! A test cluster of a few proxies on one virtual time, each with its own clock rate and disk. After every
//! step it checks that no two proxies decide differently at an index and that no two lead in the same term.

use std::collections::BTreeMap;

use links::Links;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Fault;
use super::fakes::{Disk, Keys, RecordingMachine};
use crate::agreement::{Agreement, AgreementTerms};
use crate::council::{Council, Voter};
use crate::{AgreementStatus, Hash, Id, Index, Outcome, Role, Term, disk};

pub const HEARTBEAT_MS: f64 = 50.0;
pub const LEASE_MS: f64 = 1500.0;
const STEP_MS: f64 = 5.0;

pub type Proxy = Agreement<RecordingMachine, Keys>;

/// A write or a read: when it started, and when its answer came, with the index at which it was decided or
/// up to which it read.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    pub line: Option<u64>,
    pub started_at: f64,
    pub completed: Option<(f64, Index)>,
}

/// The proxies, their disks and the network between them.
pub struct Cluster {
    pub now: f64,
    pub proxies: Vec<Option<Proxy>>,
    pub disks: Vec<Disk>,
    /// The virtual time until which a paused proxy gets no turns and no messages.
    pub paused_until: Vec<f64>,
    clock_rates: Vec<f64>,
    voters: usize,
    pub links: Links<Vec<u8>>,
    /// Bytes of messages, without the overhead of the carrier.
    pub bytes: u64,
    pub rng: Pcg64Mcg,
    pub fault: Option<Fault>,
    /// Longest time that a disk write takes.
    pub max_write_ms: f64,
    decided_hashes: BTreeMap<Index, Hash>,
    checked_up_to: Vec<Index>,
    leaders_by_term: BTreeMap<Term, Id>,
    pub violations: Vec<String>,
    pending_requests: BTreeMap<(usize, u64), usize>,
    pub history: Vec<Operation>,
    line_count: u64,
    /// Reads that wait for fresh knowledge: the proxy, the operation in the history, and the start by the
    /// proxy's own clock.
    reads: Vec<(usize, usize, f64)>,
}

impl Cluster {
    /// A cluster whose first `voters` proxies are the bootstrap members; all have just started.
    pub fn new(proxies: usize, voters: usize, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let clock_rates = (0..proxies).map(|_| 0.95 + 0.1 * rng.random::<f64>()).collect();
        let mut cluster = Self {
            now: 0.0,
            proxies: (0..proxies).map(|_| None).collect(),
            disks: vec![Disk::default(); proxies],
            paused_until: vec![0.0; proxies],
            clock_rates,
            voters,
            links: Links::new(10.0, seed ^ 1),
            bytes: 0,
            rng,
            fault: None,
            max_write_ms: 8.0,
            decided_hashes: BTreeMap::new(),
            checked_up_to: vec![0; proxies],
            leaders_by_term: BTreeMap::new(),
            violations: Vec::new(),
            pending_requests: BTreeMap::new(),
            history: Vec::new(),
            line_count: 0,
            reads: Vec::new(),
        };
        (0..proxies).for_each(|node| cluster.start(node));
        cluster
    }

    /// The time by a proxy's own clock.
    pub fn clock(&self, node: usize) -> f64 {
        self.now * self.clock_rates[node]
    }

    /// Starts a proxy from its disk.
    pub fn start(&mut self, node: usize) {
        let terms = AgreementTerms {
            bootstrap_members: (0..self.voters as Id).collect(),
            heartbeat: HEARTBEAT_MS,
            lease: LEASE_MS,
        };
        let file = disk::recover(&self.disks[node].contents);
        let (id, seed, now) = (node as Id, self.rng.random(), self.clock(node));
        let created = Agreement::new(id, terms, Keys(id), RecordingMachine::default(), file, seed, now);
        let mut proxy = created.expect("its own snapshot is readable");
        proxy.set_peers(0..self.proxies.len() as Id);
        proxy.fault = self.fault;
        self.checked_up_to[node] = 0;
        self.proxies[node] = Some(proxy);
    }

    /// Stops a proxy with a power failure.
    pub fn crash(&mut self, node: usize) {
        let part = self.rng.random();
        self.disks[node].crash(part);
        self.proxies[node] = None;
        self.pending_requests.retain(|(at, _), _| *at != node);
        self.reads.retain(|(at, ..)| *at != node);
    }

    pub fn restart(&mut self, node: usize) {
        self.crash(node);
        self.start(node);
    }

    /// Pauses a proxy for a while, as with SIGSTOP. Its messages wait in the meantime.
    pub fn pause(&mut self, node: usize, duration: f64) {
        self.paused_until[node] = self.now + duration;
    }

    pub fn proxy(&mut self, node: usize) -> &mut Proxy {
        self.proxies[node].as_mut().expect("the proxy runs")
    }

    pub fn status(&mut self, node: usize) -> AgreementStatus {
        let now = self.clock(node);
        self.proxy(node).status(now)
    }

    /// Proposes a line at a proxy.
    pub fn propose_line(&mut self, node: usize) {
        let now = self.clock(node);
        self.line_count += 1;
        let line = self.line_count;
        let Some(proxy) = &mut self.proxies[node] else { return };
        if let Ok(request) = proxy.propose(now, 0, line.to_le_bytes().to_vec()) {
            self.pending_requests.insert((node, request), self.history.len());
            self.history.push(Operation { line: Some(line), started_at: self.now, completed: None });
        }
    }

    /// Proposes a council at a proxy. Returns the operation's place in the history, where it counts as a
    /// read of its index.
    pub fn propose_council(&mut self, node: usize, council: Council) -> usize {
        let now = self.clock(node);
        let request = self.proxy(node).propose_council(now, council).expect("changes one voter");
        self.pending_requests.insert((node, request), self.history.len());
        self.history.push(Operation { line: None, started_at: self.now, completed: None });
        self.history.len() - 1
    }

    /// Starts a read at a proxy.
    pub fn read(&mut self, node: usize) {
        let now = self.clock(node);
        let Some(proxy) = &mut self.proxies[node] else { return };
        proxy.refresh(now);
        self.reads.push((node, self.history.len(), now));
        self.history.push(Operation { line: None, started_at: self.now, completed: None });
    }

    /// Readmits one member that lost its vote, one step of a council change at a time, as an operator
    /// would.
    pub fn readmit_disks(&mut self) {
        let Some(leader) = self.leader() else { return };
        let now = self.clock(leader);
        let status = self.status(leader);
        let excluded = status.unadmitted_disks.iter().find(|(id, disk_id)| {
            let voter = status.council.voter(**id);
            voter.is_none_or(|voter| voter.disk_id != **disk_id)
        });
        let Some((&id, &disk_id)) = excluded else { return };
        let council: Council = match status.council.voter(id) {
            Some(_) => status.council.without(id),
            None => status.council.with(Voter { id, disk_id }),
        };
        let _ = self.proxy(leader).propose_council(now, council);
    }

    /// The proxy that leads in the latest term, among those that are not paused.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &usize| self.proxies[*node].as_ref().is_some_and(|p| p.role() == Role::Leads);
        let all = (0..self.proxies.len()).filter(|&node| self.paused_until[node] <= self.now);
        all.filter(leads).max_by_key(|&node| self.proxies[node].as_ref().map(|p| p.persisted.term))
    }

    /// Advances the virtual time.
    pub fn advance(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    /// Advances the time until a condition holds; panics after `max_ms`. Returns how long it took.
    pub fn run_until(&mut self, what: &str, max_ms: f64, condition: impl Fn(&mut Self) -> bool) -> f64 {
        let started_at = self.now;
        while !condition(self) {
            if self.now - started_at >= max_ms {
                let all: Vec<_> =
                    (0..self.proxies.len()).filter(|&node| self.proxies[node].is_some()).collect();
                let all: Vec<_> = all.into_iter().map(|node| self.status(node)).collect();
                panic!("{what}: not within {max_ms} ms; violations: {:?}; {all:#?}", self.violations);
            }
            self.advance(STEP_MS);
        }
        self.now - started_at
    }

    fn step(&mut self) {
        while let Some((from, to, bytes)) = self.links.next_arrival(self.now) {
            if self.paused_until[to] > self.now {
                // The message waits in the paused proxy's socket: it arrives without loss, duplication or
                // delay when the proxy resumes.
                let way = std::mem::replace(&mut self.links.max_delay, 0.0);
                let (loss, double) = (self.links.loss, self.links.duplication);
                (self.links.loss, self.links.duplication) = (0.0, 0.0);
                if !self.links.is_cut(from, to) {
                    let later = self.paused_until[to];
                    self.links.send(later, from, to, bytes);
                }
                (self.links.max_delay, self.links.loss, self.links.duplication) = (way, loss, double);
                continue;
            }
            let now = self.clock(to);
            if let Some(proxy) = &mut self.proxies[to] {
                proxy.receive(now, from as Id, &bytes);
                self.process_outputs(to);
            }
        }
        for node in 0..self.proxies.len() {
            if self.paused_until[node] <= self.now && self.proxies[node].is_some() {
                let now = self.clock(node);
                self.proxy(node).turn(now);
                self.process_outputs(node);
            }
        }
    }

    /// Handles the disk writes, messages and outcomes of one proxy.
    fn process_outputs(&mut self, node: usize) {
        let now = self.clock(node);
        let done_at = self.now + self.max_write_ms * self.rng.random::<f64>();
        let (cluster_now, disk) = (self.now, &mut self.disks[node]);
        let proxy = self.proxies[node].as_mut().expect("the proxy runs");
        if disk.writing.as_ref().is_some_and(|(_, done)| *done <= cluster_now) {
            if std::mem::take(&mut disk.fails_next_write) {
                disk.writing = None;
                proxy.write_failed(now);
            } else {
                disk.sync();
                if self.fault != Some(Fault::Unsynced) {
                    proxy.write_succeeded(now);
                }
            }
        }
        if disk.writing.is_none()
            && let Some(write) = proxy.next_write(now)
        {
            disk.writing = Some((write, done_at));
            if self.fault == Some(Fault::Unsynced) {
                proxy.write_succeeded(now);
            }
        }
        while let Some(out) = proxy.outgoing() {
            self.bytes += out.bytes.len() as u64;
            self.links.send(self.now, node, out.to as usize, out.bytes);
        }
        while let Some((request, outcome)) = proxy.outcome() {
            let operation = self.pending_requests.remove(&(node, request));
            if let Some(operation) = operation
                && let Outcome::Decided { index, .. } = outcome
            {
                self.history[operation].completed = Some((self.now, index));
            }
        }
        let (age, applied) = (proxy.age(now), proxy.applied);
        for (_, operation, _) in
            self.reads.extract_if(.., |(at, _, since)| *at == node && now - age >= *since)
        {
            self.history[operation].completed = Some((self.now, applied));
        }
        self.check(node);
    }

    /// Records a violation if a proxy decides differently from another or leads a term that another leads.
    fn check(&mut self, node: usize) {
        let proxy = self.proxies[node].as_ref().expect("the proxy runs");
        for index in self.checked_up_to[node] + 1..=proxy.applied {
            let Some(hash) = proxy.hash_at(index) else { continue };
            let known = *self.decided_hashes.entry(index).or_insert(hash);
            if known != hash {
                self.violations
                    .push(format!("{:.0} ms: p{node} decided a different entry at {index}", self.now));
            }
        }
        self.checked_up_to[node] = proxy.applied;
        if proxy.role() == Role::Leads {
            let (term, id) = (proxy.persisted.term, node as Id);
            if *self.leaders_by_term.entry(term).or_insert(id) != id {
                self.violations.push(format!("{:.0} ms: p{node} also leads term {term}", self.now));
            }
        }
    }

    /// Checks that the completed operations have an order that agrees with their start and completion
    /// times.
    pub fn check_linearizability(&mut self) {
        let is_completed = |operation: &&Operation| operation.completed.is_some();
        for later in self.history.iter().filter(is_completed) {
            let (_, index) = later.completed.expect("filtered above");
            let before = self
                .history
                .iter()
                .filter(|operation| operation.completed.is_some_and(|(end, _)| end < later.started_at));
            let newest =
                before.filter_map(|operation| operation.completed).map(|(_, index)| index).max().unwrap_or(0);
            // A write follows everything that was known before it started; a read sees all of that.
            if index < newest || later.line.is_some() && index == newest {
                self.violations.push(format!("{later:?} although {newest} was known before"));
            }
        }
        let mut lines: Vec<u64> = Vec::new();
        for node in 0..self.proxies.len() {
            if let Some(proxy) = &self.proxies[node]
                && proxy.machine.lines.len() > lines.len()
            {
                lines = proxy.machine.lines.clone();
            }
        }
        let mut unique = lines.clone();
        unique.sort_unstable();
        unique.dedup();
        if unique.len() != lines.len() {
            self.violations.push("a line was written twice".to_owned());
        }
        let answered = self
            .history
            .iter()
            .filter(|operation| operation.completed.is_some())
            .filter_map(|operation| operation.line);
        for line in answered.filter(|line| !lines.contains(line)) {
            self.violations.push(format!("line {line} was answered but is missing"));
        }
    }

    /// Resumes and starts all proxies, and repairs all links and disks.
    fn heal_all(&mut self) {
        self.links.heal();
        for node in 0..self.proxies.len() {
            self.paused_until[node] = 0.0;
            self.disks[node].fails_next_write = false;
            if self.proxies[node].is_none() {
                self.start(node);
            }
        }
    }

    /// Repairs everything and waits until all proxies have applied the same entries.
    pub fn converge(&mut self, max_ms: f64) -> f64 {
        self.heal_all();
        self.run_until("all have applied the same", max_ms, |cluster| {
            let leads = cluster.leader();
            let mut positions: Vec<(Index, Hash)> = Vec::new();
            for node in 0..cluster.proxies.len() {
                let status = cluster.status(node);
                positions.push((status.applied, status.hash));
            }
            // What a new leader found in its log has to be decided too.
            let last_index =
                |node: usize| cluster.proxies[node].as_ref().map(|p| p.persisted.log.last().index);
            leads.and_then(last_index) == Some(positions[0].0)
                && positions.windows(2).all(|pair| pair[0] == pair[1])
        })
    }
}
