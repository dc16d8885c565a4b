//! Gossip in a drill as its driver observes it: what each member sent in any second, which proxy suspected
//! which server and when, and faulty members.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use border::pool::{PoolList, PoolUpdates};
use frostthread::host::Server;
use gossip::keys::{Roster, Secrets};
use gossip::{GossipTerms, Node};

use crate::drill::{GossipSettings, RESEND_INTERVAL_MS};

/// Number of members that all know from the start.
const SEEDS: usize = 3;
/// How often a faulty member reports each server.
const FALSE_REPORT_INTERVAL_MS: f64 = 500.0;
/// The fleet's key in every drill.
pub const FLEET_KEY: [u8; 32] = [0xf7; 32];

/// A member's own key in a drill: a fixed pattern, not secret.
pub fn own_key(member: usize) -> [u8; 32] {
    let mut own = [0x5f; 32];
    own[..8].copy_from_slice(&(member as u64).to_le_bytes());
    own
}

/// A member's secrets.
pub fn secrets(member: usize) -> Secrets {
    Secrets::new(own_key(member), vec![FLEET_KEY]).expect("a fleet key")
}

/// A member's name.
pub fn name(member: usize) -> String {
    format!("p{member}")
}

/// All members of a drill: its proxies, then its faulty members.
pub fn roster(members: usize) -> Roster {
    let names: Vec<String> = (0..members).map(name).collect();
    let keys = (0..members).map(|member| secrets(member).public_key());
    Roster::new(names.iter().map(String::as_str).zip(keys)).expect("keys of their own")
}

/// A member's gossip terms; `addresses` are all members'.
pub fn terms(play: &GossipSettings, member: usize, addresses: &[SocketAddr]) -> GossipTerms {
    GossipTerms {
        address: addresses[member],
        seeds: addresses.iter().copied().take(SEEDS).collect(),
        max_bytes_per_second: play.max_bytes_per_second,
        probe_interval: play.probe_interval * 1000.0,
        max_faulty: play.max_faulty,
        resend_interval: RESEND_INTERVAL_MS,
    }
}

/// What is observed of all members' gossip.
#[derive(Default)]
pub struct GossipStats {
    sent: BTreeMap<usize, VecDeque<(f64, usize)>>,
    pub bytes: u64,
    /// The most bytes that any member sent in any second.
    pub max_bytes_per_second: usize,
    /// By proxy and server: when it was first suspected while it was silent.
    pub detected_at: BTreeMap<(usize, usize), f64>,
    /// Pairs of a proxy and a server that it suspected while it was healthy.
    pub false_suspicions: BTreeSet<(usize, usize)>,
    /// Since when servers have been silent, the first time for each.
    pub silent_since: BTreeMap<usize, f64>,
    /// Attempts that reached silent servers after the detection time was over.
    pub late_attempts: u64,
}

impl GossipStats {
    /// Records the size of a message that a member sent.
    pub fn sent(&mut self, now: f64, member: usize, bytes: usize) {
        self.bytes += bytes as u64;
        let sent = self.sent.entry(member).or_default();
        sent.push_back((now, bytes));
        while sent.front().is_some_and(|packet| packet.0 <= now - 1000.0) {
            sent.pop_front();
        }
        self.max_bytes_per_second = self.max_bytes_per_second.max(sent.iter().map(|packet| packet.1).sum());
    }

    /// Records that a proxy suspects a server; `silent` tells whether it is silent.
    pub fn record_suspicion(&mut self, now: f64, proxy: usize, server: usize, silent: bool) {
        if silent {
            self.detected_at.entry((proxy, server)).or_insert(now);
        } else {
            self.false_suspicions.insert((proxy, server));
        }
    }

    /// Time from when a server became silent until each proxy suspected it, in ascending order.
    pub fn detection_times(&self) -> Vec<f64> {
        let detection_times =
            |(&(_, server), at): (&(usize, usize), &f64)| Some(at - self.silent_since.get(&server)?);
        let mut detection_times: Vec<f64> = self.detected_at.iter().filter_map(detection_times).collect();
        detection_times.sort_by(f64::total_cmp);
        detection_times
    }
}

/// Members that report every server as silent.
pub struct FaultyMembers {
    nodes: Vec<Node>,
    first: usize,
    pool: PoolList,
    report_at: f64,
}

impl FaultyMembers {
    /// Creates the drill's last members, from index `first` on, with their nodes.
    pub fn new(first: usize, nodes: Vec<Node>) -> Self {
        Self { nodes, first, pool: PoolList::default(), report_at: 0.0 }
    }

    /// Updates the list of servers that they report.
    pub fn update_server_list(&mut self, now: f64, unix: f64, updates: &PoolUpdates) {
        // A change that does not follow the version they have is ignored.
        let _ = self.pool.apply(updates, now, unix);
    }

    /// Handles a datagram for a member.
    pub fn receive(&mut self, now: f64, member: usize, from: SocketAddr, datagram: &[u8]) {
        if let Some(node) = self.nodes.get_mut(member.wrapping_sub(self.first)) {
            node.receive(now, from, datagram);
        }
    }

    /// Sends false reports and runs the nodes.
    pub fn turn(&mut self, now: f64) {
        let reports = now >= self.report_at;
        if reports {
            self.report_at = now + FALSE_REPORT_INTERVAL_MS;
        }
        for node in &mut self.nodes {
            let servers: Vec<Server> = self.pool.servers().collect();
            for generation in
                servers.into_iter().filter(|_| reports).filter_map(|server| self.pool.generation(server))
            {
                node.evidence.attempt_sent(now, generation);
            }
            if node.due() <= now {
                node.turn(now);
            }
        }
    }

    /// When [`FaultyMembers::turn`] is due, in milliseconds.
    pub fn due(&self) -> f64 {
        self.nodes.iter().map(Node::due).fold(f64::INFINITY, f64::min)
    }

    /// The next datagram, with the member that sends it.
    pub fn outgoing(&mut self) -> Option<(usize, SocketAddr, Vec<u8>)> {
        let first = self.first;
        self.nodes.iter_mut().enumerate().find_map(|(i, node)| {
            let out = node.outgoing()?;
            Some((first + i, out.peer, out.bytes))
        })
    }
}
