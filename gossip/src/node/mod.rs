//! One member's gossip: what it sends when, within its cap, and how it handles what it receives.

mod own_statement;
mod receive;
mod replay;
mod send;
mod turn;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::budget::{Budget, Priority};
use crate::evidence::Evidence;
use crate::keys::{Id, Roster, Secrets};
use crate::members::Members;
use crate::statements::{AccusedServer, Statements};
use crate::wire::{self, Generation, Message, Statement, Subsystem};
pub(crate) use replay::ReplayWindow;

/// Members that are requested to probe a member that does not answer.
const PROBE_HELPERS: usize = 3;
/// Authors whose clocks are requested in one probe interval because their statements decide whether a server
/// is believed silent.
const CLOCK_REQUESTS: usize = 4;
/// Random members that updates are pushed to in each probe interval.
const FANOUT: usize = 2;
/// Probe intervals between comparisons of statements with a peer.
const COMPARE_INTERVALS: u32 = 5;
/// Authors named in one comparison.
const DIGESTS_PER_COMPARE: usize = 32;
/// Probe intervals between pings to a seed while some members of the roster are not known.
const SEED_INTERVALS: u32 = 15;
/// Rumours piggybacked on one packet.
const RUMOURS_PER_PACKET: usize = 12;
/// Statements piggybacked on one packet.
const STATEMENTS_PER_PACKET: usize = 8;
/// Probe intervals after which an unchanged statement is made again, so that it does not become too old.
const RESTATE_INTERVALS: f64 = 25.0;
/// An answer is claimed for an accused server if it is at most this many probe intervals old.
const VOUCH_INTERVALS: f64 = 50.0;
/// Statements that may be older than this many probe intervals accuse no server any more, however late they
/// arrived.
const MAX_AGE_INTERVALS: f64 = 75.0;
/// Probe intervals before an accusation can be believed: it has to reach the members that had answers
/// meanwhile, and their statements have to come back.
const BELIEF_DELAY_INTERVALS: f64 = 10.0;
/// A turn that is late by this many probe intervals means that this process itself was stalled.
const STALL_INTERVALS: f64 = 3.0;
/// Probe intervals between reactions to another process that uses this member's key.
const CLASH_INTERVALS: f64 = 50.0;

/// Payloads queued for one subsystem; more are dropped, as the network might.
const MAX_QUEUED_PAYLOADS: usize = 256;

/// Configuration of a member's gossip.
#[derive(Clone, Debug)]
pub struct GossipTerms {
    /// Address at which this member receives datagrams.
    pub address: SocketAddr,
    /// Members to contact while few are known.
    pub seeds: Vec<SocketAddr>,
    /// Cap of bytes sent in any second.
    pub max_bytes_per_second: f64,
    /// How often each member probes another, in milliseconds.
    pub probe_interval: f64,
    /// How many members may make false statements without effect.
    pub max_faulty: usize,
    /// Time after which an unanswered set-up is sent again, in milliseconds.
    pub resend_interval: f64,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to send it.
    pub peer: SocketAddr,
    pub bytes: Vec<u8>,
}

/// What was sent and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub sent_bytes: u64,
    pub packets: u64,
    pub malformed: u64,
    pub untagged: u64,
    pub forged: u64,
    pub replayed: u64,
    pub bad_statements: u64,
    /// How often another process was found to use this member's key.
    pub clashes: u64,
}

/// A ping that waits for its answer.
struct Ping {
    target: Id,
    deadline: f64,
    sent_at: f64,
    indirect: bool,
    /// Only its clock is requested: a missing answer says nothing about the member.
    clock_only: bool,
    /// The member that requested this ping, and its nonce.
    on_behalf_of: Option<(SocketAddr, u64)>,
}

/// One member of the gossip.
pub struct Node {
    terms: GossipTerms,
    secrets: Secrets,
    roster: Roster,
    id: Id,
    rng: Pcg64Mcg,
    pub members: Members,
    statements: Statements,
    pub evidence: Evidence,
    budget: Budget,
    incarnation: u64,
    /// The incarnation that this process started with.
    generation: u64,
    /// When this process started; times in statements count from here.
    started_at: f64,
    counter: u64,
    version: u32,
    last_claims: Option<(Vec<wire::Claim>, f64)>,
    pending_pings: BTreeMap<u64, Ping>,
    replay_windows: BTreeMap<Id, ReplayWindow>,
    send_queue: VecDeque<Outgoing>,
    next_probe_at: f64,
    probe_rounds: u32,
    compare_from: Id,
    leaving: bool,
    last_clash_at: f64,
    counts: Counts,
    /// Payloads for other subsystems, each with its sender.
    payloads: BTreeMap<Subsystem, VecDeque<(Id, Vec<u8>)>>,
}

impl Node {
    /// `wall_clock_ms` is Unix time in milliseconds; it only orders this member's incarnations.
    pub fn new(
        terms: GossipTerms,
        secrets: Secrets,
        roster: Roster,
        seed: u64,
        now: f64,
        wall_clock_ms: f64,
    ) -> Self {
        let id = secrets.id();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first_probe_delay = rng.random::<f64>() * terms.probe_interval;
        let mut node = Self {
            members: Members::new(id, terms.probe_interval, roster.len()),
            evidence: Evidence::new(terms.resend_interval),
            budget: Budget::new(terms.max_bytes_per_second, now),
            secrets,
            roster,
            id,
            rng,
            statements: Statements::default(),
            incarnation: wall_clock_ms.max(1.0) as u64,
            generation: wall_clock_ms.max(1.0) as u64,
            started_at: now,
            counter: 0,
            version: 0,
            last_claims: None,
            pending_pings: BTreeMap::new(),
            replay_windows: BTreeMap::new(),
            send_queue: VecDeque::new(),
            next_probe_at: now + first_probe_delay,
            probe_rounds: 0,
            compare_from: 0,
            leaving: false,
            last_clash_at: f64::NEG_INFINITY,
            counts: Counts::default(),
            payloads: BTreeMap::new(),
            terms,
        };
        node.publish_statement(now);
        node
    }

    /// This member's id.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Ids of all members on the roster, including this one.
    pub fn roster_ids(&self) -> impl Iterator<Item = Id> {
        self.roster.ids()
    }

    /// Address at which this member receives datagrams.
    pub fn address(&self) -> SocketAddr {
        self.terms.address
    }

    /// This member's current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// How often the cap deferred a send.
    pub fn deferred(&self) -> u64 {
        self.budget.refused()
    }

    /// Replaces the keys and the roster, as in a key rotation. Members that are no longer on the roster are
    /// forgotten with their statements. The own key must be the same: another key would be another member.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        if secrets.id() != self.id {
            return;
        }
        for id in self.statements.ids().filter(|&id| !roster.contains(id)).collect::<Vec<_>>() {
            self.statements.forget(id);
        }
        self.members.retain(|id| roster.contains(id));
        self.replay_windows.retain(|&id, _| roster.contains(id));
        (self.secrets, self.roster) = (secrets, roster);
    }

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The name of a member on the roster.
    pub fn name(&self, id: Id) -> Option<&str> {
        self.roster.name(id)
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.send_queue.pop_front()
    }

    /// When [`Node::turn`] is to be called next.
    pub fn due(&self) -> f64 {
        self.pending_pings.values().map(|ping| ping.deadline).fold(self.next_probe_at, f64::min)
    }

    /// Accused servers, and whether each is believed silent.
    pub fn accused(&self, now: f64) -> Vec<AccusedServer> {
        let begun_before = now - BELIEF_DELAY_INTERVALS * self.terms.probe_interval;
        self.statements.accused(
            now,
            self.terms.max_faulty,
            MAX_AGE_INTERVALS * self.terms.probe_interval,
            begun_before,
        )
    }

    /// The latest statements of all members.
    pub fn statements(&self) -> impl Iterator<Item = &Statement> {
        self.statements.iter()
    }

    /// Members that accuse the server of being silent.
    pub fn accusers(&self, generation: Generation) -> Vec<Id> {
        let silent =
            |claim: &wire::Claim| claim.generation == generation && claim.kind == wire::ClaimKind::Silent;
        let accuses = |statement: &&Statement| statement.claims.iter().any(silent) && !statement.leaving;
        self.statements().filter(accuses).map(|statement| statement.author).collect()
    }

    /// Sends another subsystem's payload to one member. Returns false if the member is not known or the cap
    /// forbids it.
    pub fn send_payload(&mut self, now: f64, to: Id, subsystem: Subsystem, bytes: Vec<u8>) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.address) else { return false };
        self.send_with(now, address, Message::Payload { subsystem, bytes }, Priority::Update, Vec::new())
    }

    /// The next payload received for a subsystem, with its sender's id.
    pub fn next_payload(&mut self, subsystem: Subsystem) -> Option<(Id, Vec<u8>)> {
        self.payloads.get_mut(&subsystem)?.pop_front()
    }
}
