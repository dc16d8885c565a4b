//! One member's gossip: what it sends when, within its cap, and what it makes of what comes.

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

/// Helpers asked to reach one that does not answer.
const PROBE_HELPERS: usize = 3;
/// Authors that are asked for their clocks at once, in a beat, where a server's standing hangs on what they
/// say.
const CLOCK_REQUESTS: usize = 4;
/// Others that news is pushed to at each beat.
const FANOUT: usize = 2;
/// A comparison goes out once in so many beats, and names so many authors.
const COMPARE_INTERVALS: u32 = 5;
const DIGESTS_PER_COMPARE: usize = 32;
/// While some of the roster are not known, a seed is asked again once in so many beats.
const SEED_INTERVALS: u32 = 15;
/// Rumours carried along by one packet.
const RUMOURS_PER_PACKET: usize = 12;
/// Unless something changes, a member says again what it says after so many beats, so that it does not age.
const RESTATE_INTERVALS: f64 = 25.0;
/// An answer is said for accused servers if it is no older than so many beats.
const VOUCH_INTERVALS: f64 = 50.0;
/// Statements that may be older than this many beats accuse nobody any more, however late they came.
const MAX_AGE_INTERVALS: f64 = 75.0;
/// An accusation is believed so many beats after it began at the earliest: it has to reach those who had
/// answers meanwhile, and their word has to come back.
const BELIEF_DELAY_INTERVALS: f64 = 10.0;
/// Late by so many beats, the member takes itself for stalled.
const STALL_INTERVALS: f64 = 3.0;
/// Another generation under this member's own key is told of at most once in so many beats.
const CLASH_INTERVALS: f64 = 50.0;

/// Payload that wait for a subsystem; more are dropped, as the network might.
const MAX_QUEUED_PAYLOADS: usize = 256;

/// What is agreed for gossip.
#[derive(Clone, Debug)]
pub struct GossipTerms {
    /// Where this member is heard.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Bytes a second that are never exceeded.
    pub max_bytes_per_second: f64,
    /// How often each member looks at another, in milliseconds.
    pub probe_interval: f64,
    /// Of how many members it must be borne that they lie.
    pub max_faulty: usize,
    /// The gap after which an unanswered set-up is sent again, in milliseconds.
    pub resend_interval: f64,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub peer: SocketAddr,
    pub bytes: Vec<u8>,
}

/// What was dropped, and what was done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub sent_bytes: u64,
    pub packets: u64,
    pub malformed: u64,
    pub untagged: u64,
    pub forged: u64,
    pub replayed: u64,
    pub bad_statements: u64,
    /// Another process speaks with this one's key.
    pub clashes: u64,
}

struct Ping {
    target: Id,
    deadline: f64,
    sent_at: f64,
    indirect: bool,
    /// Only its clock is asked for: no answer says nothing of it.
    clock_only: bool,
    /// Who asked for it, and by which nonce.
    on_behalf_of: Option<(SocketAddr, u64)>,
}

/// One member.
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
    /// The incarnation that this process began with.
    generation: u64,
    /// The clock at which this generation began, which statements count from.
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
    /// Payload to other subsystems, with who said them.
    payloads: BTreeMap<Subsystem, VecDeque<(Id, Vec<u8>)>>,
}

impl Node {
    /// `unix` is the wall clock in milliseconds; it only orders this member's lives.
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
        let first = rng.random::<f64>() * terms.probe_interval;
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
            next_probe_at: now + first,
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

    pub fn id(&self) -> Id {
        self.id
    }

    /// All members of the roster, this one too.
    pub fn roster_ids(&self) -> impl Iterator<Item = Id> {
        self.roster.ids()
    }

    /// Where this member is heard.
    pub fn address(&self) -> SocketAddr {
        self.terms.address
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// How often the cap put a send off.
    pub fn deferred(&self) -> u64 {
        self.budget.refused()
    }

    /// Goes on with other keys, as in a rotation; whoever is no more in the roster is forgotten with all that
    /// it said. Its own key must be the same: another would be another member.
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

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn name(&self, id: Id) -> Option<&str> {
        self.roster.name(id)
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.send_queue.pop_front()
    }

    /// When [`Node::turn`] is wanted.
    pub fn due(&self) -> f64 {
        self.pending_pings.values().map(|ping| ping.deadline).fold(self.next_probe_at, f64::min)
    }

    /// Servers that are accused, and whether it is believed.
    pub fn accused(&self, now: f64) -> Vec<AccusedServer> {
        let begun_before = now - BELIEF_DELAY_INTERVALS * self.terms.probe_interval;
        self.statements.accused(
            now,
            self.terms.max_faulty,
            MAX_AGE_INTERVALS * self.terms.probe_interval,
            begun_before,
        )
    }

    /// What the members say.
    pub fn statements(&self) -> impl Iterator<Item = &Statement> {
        self.statements.iter()
    }

    /// Who says that the server is silent.
    pub fn accusers(&self, generation: Generation) -> Vec<Id> {
        let silent =
            |claim: &wire::Claim| claim.generation == generation && claim.kind == wire::ClaimKind::Silent;
        let accuses = |statement: &&Statement| statement.claims.iter().any(silent) && !statement.leaving;
        self.statements().filter(accuses).map(|statement| statement.author).collect()
    }

    /// Sends another subsystem's words to one member. False where it is not known, or the cap forbids.
    pub fn send_payload(&mut self, now: f64, to: Id, subsystem: Subsystem, bytes: Vec<u8>) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.address) else { return false };
        self.send_with(now, address, Message::Payload { subsystem, bytes }, Priority::Update, Vec::new())
    }

    /// The next words that a member said to a subsystem here, with its id.
    pub fn next_payload(&mut self, subsystem: Subsystem) -> Option<(Id, Vec<u8>)> {
        self.payloads.get_mut(&subsystem)?.pop_front()
    }
}
