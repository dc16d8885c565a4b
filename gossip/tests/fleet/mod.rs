//! A fleet of members and some servers on a virtual clock: datagrams are lost at random, servers answer or
//! stay silent.

#![allow(dead_code)] // each test file uses a part of it

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use gossip::keys::{Roster, Secrets};
use gossip::wire::Generation;
use gossip::{GossipTerms, Node};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const CAP: f64 = 16_000.0;
pub const PROBE_INTERVAL: f64 = 200.0;
const STEP_MS: f64 = 10.0;

pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (member >> 8) as u8, member as u8], 7000))
}

pub fn generation(server: u64) -> Generation {
    Generation { server, started: 1 }
}

pub fn secret(member: usize) -> [u8; 32] {
    let mut key = [7; 32];
    key[..8].copy_from_slice(&(member as u64 + 1).to_le_bytes());
    key
}

pub fn secrets(member: usize) -> Secrets {
    Secrets::new(secret(member), vec![[9; 32]]).expect("a key")
}

pub fn roster(members: usize) -> Roster {
    let names: Vec<String> = (0..members).map(|m| format!("p{m}")).collect();
    let keys = (0..members).map(|m| secrets(m).public_key());
    Roster::new(names.iter().map(|n| &n[..]).zip(keys)).expect("valid keys")
}

pub fn node(member: usize, members: usize, max_faulty: usize, now: f64, wall_clock_ms: f64) -> Node {
    let terms = GossipTerms {
        address: address(member),
        seeds: vec![address(0), address(1), address(2)],
        max_bytes_per_second: CAP,
        probe_interval: PROBE_INTERVAL,
        max_faulty,
        resend_interval: 500.0,
    };
    Node::new(terms, secrets(member), roster(members), member as u64, now, wall_clock_ms)
}

pub struct Fleet {
    pub nodes: Vec<Option<Node>>,
    pub servers: u64,
    /// Servers that are silent, with the time since when.
    pub silent: BTreeMap<u64, f64>,
    /// Faulty members that claim that all servers are silent.
    pub accusers: Vec<usize>,
    /// Faulty members that claim that all servers answer.
    pub vouchers: Vec<usize>,
    pub loss: f64,
    /// Members below this index and the others cannot reach each other.
    pub cut: Option<usize>,
    pub now: f64,
    pub stalled: BTreeMap<usize, f64>,
    rng: Pcg64Mcg,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    answers: VecDeque<(f64, usize, u64)>,
    sent: Vec<VecDeque<(f64, usize)>>,
    sequence: u64,
    /// The most bytes that any member sent in any second.
    pub max_bytes_per_second: usize,
    /// When each member first believed a server silent.
    pub believed: BTreeMap<(usize, u64), f64>,
    /// Attempts per second of each member at each server.
    pub attempts_per_second: f64,
}

impl Fleet {
    pub fn new(members: usize, servers: u64, max_faulty: usize, loss: f64, seed: u64) -> Self {
        Self {
            nodes: (0..members).map(|m| Some(node(m, members, max_faulty, 0.0, 1e12))).collect(),
            servers,
            silent: BTreeMap::new(),
            accusers: Vec::new(),
            vouchers: Vec::new(),
            loss,
            cut: None,
            now: 0.0,
            stalled: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            answers: VecDeque::new(),
            sent: vec![VecDeque::new(); members],
            sequence: 0,
            max_bytes_per_second: 0,
            believed: BTreeMap::new(),
            attempts_per_second: 0.4,
        }
    }

    fn member_at(to: SocketAddr) -> usize {
        let SocketAddr::V4(v4) = to else { unreachable!() };
        usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3])
    }

    pub fn run(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        while let Some((_, member, server)) = self.answers.pop_front_if(|answer| answer.0 <= now) {
            if let Some(node) = &mut self.nodes[member] {
                node.evidence.answered(now, generation(server));
            }
        }
        for member in 0..self.nodes.len() {
            for server in 0..self.servers {
                if self.rng.random::<f64>() < self.attempts_per_second * STEP_MS / 1000.0 {
                    self.send_attempt(member, server);
                }
            }
        }
        let due = (now * 1000.0) as u64;
        let arrived = self.in_flight.range(..=(due, u64::MAX)).map(|(&key, _)| key).collect::<Vec<_>>();
        for key in arrived {
            let (from, to, bytes) = self.in_flight.remove(&key).expect("listed above");
            if self.stalled.get(&to).is_some_and(|&until| now < until) {
                let later = (self.stalled[&to] * 1000.0) as u64;
                self.in_flight.insert((later, key.1), (from, to, bytes));
            } else if let Some(node) = &mut self.nodes[to] {
                node.receive(now, address(from), &bytes);
            }
        }
        for member in 0..self.nodes.len() {
            if self.stalled.get(&member).is_some_and(|&until| now < until) {
                continue;
            }
            let Some(node) = &mut self.nodes[member] else { continue };
            if node.due() <= now {
                node.turn(now);
            }
            for accused in node.accused(now).into_iter().filter(|accused| accused.believed) {
                self.believed.entry((member, accused.generation.server)).or_insert(now);
            }
            let mut out = Vec::new();
            while let Some(outgoing) = node.outgoing() {
                out.push(outgoing);
            }
            for outgoing in out {
                self.send(member, Self::member_at(outgoing.peer), outgoing.bytes);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let now = self.now;
        let sent = &mut self.sent[from];
        sent.push_back((now, bytes.len()));
        while sent.front().is_some_and(|s| s.0 <= now - 1000.0) {
            sent.pop_front();
        }
        self.max_bytes_per_second = self.max_bytes_per_second.max(sent.iter().map(|s| s.1).sum());
        let across = self.cut.is_some_and(|cut| (from < cut) != (to < cut));
        if !across && self.rng.random::<f64>() >= self.loss {
            self.sequence += 1;
            let at = now + 3.0 + 20.0 * self.rng.random::<f64>();
            self.in_flight.insert(((at * 1000.0) as u64, self.sequence), (from, to, bytes));
        }
    }

    fn send_attempt(&mut self, member: usize, server: u64) {
        let now = self.now;
        let silent = self.silent.get(&server).is_some_and(|&since| now >= since);
        let Some(node) = &mut self.nodes[member] else { return };
        node.evidence.attempt_sent(now, generation(server));
        if self.vouchers.contains(&member) {
            node.evidence.answered(now, generation(server));
        } else if !silent && !self.accusers.contains(&member) {
            let delay = 30.0 + 60.0 * self.rng.random::<f64>();
            let index = self.answers.iter().position(|a| a.0 > now + delay).unwrap_or(self.answers.len());
            self.answers.insert(index, (now + delay, member, server));
        }
    }

    /// Honest running members that have not believed the server silent so far.
    pub fn members_not_believing(&self, server: u64) -> Vec<usize> {
        let faulty = |m: &usize| self.accusers.contains(m) || self.vouchers.contains(m);
        let running = (0..self.nodes.len()).filter(|&m| self.nodes[m].is_some() && !faulty(&m));
        running.filter(|&m| !self.believed.contains_key(&(m, server))).collect()
    }

    /// Milliseconds after `since` at which members came to believe the server silent, in ascending order.
    pub fn detection_times(&self, server: u64, since: f64) -> Vec<f64> {
        let mut times: Vec<f64> =
            self.believed.iter().filter(|((_, s), _)| *s == server).map(|(_, at)| at - since).collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Number of members that this member believes alive.
    pub fn alive(&self, member: usize) -> usize {
        self.nodes[member].as_ref().map_or(0, |node| node.members.alive())
    }
}
