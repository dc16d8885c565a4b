//! One member's gossip: what it sends when, within its cap, and what it makes of what comes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::budget::{Budget, Priority};
use crate::evidence::Evidence;
use crate::keys::{Id, Roster, Secrets};
use crate::members::Members;
use crate::statements::{Accused, Statements};
use crate::wire::{self, Dropped, LARGEST, Life, Message, Packet, Signed, Statement};

/// Helpers asked to reach one that does not answer.
const HELPERS: usize = 3;
/// Authors that are asked for their clocks at once, in a beat, where a server's standing hangs on what they
/// say.
const CLOCKS: usize = 4;
/// Others that news is pushed to at each beat.
const FAN_OUT: usize = 2;
/// A comparison goes out once in so many beats, and names so many authors.
const COMPARE_BEATS: u32 = 5;
const DIGESTS: usize = 32;
/// While some of the roster are not known, a seed is asked again once in so many beats.
const SEED_BEATS: u32 = 15;
/// Rumours carried along by one packet.
const RUMOURS: usize = 12;
/// Unless something changes, a member says again what it says after so many beats, so that it does not age.
const RESTATE_BEATS: f64 = 25.0;
/// An answer is said for accused servers if it is no older than so many beats.
const VOUCH_BEATS: f64 = 50.0;
/// Statements that may be older than this many beats accuse nobody any more, however late they came.
const AGED_BEATS: f64 = 75.0;
/// An accusation is believed so many beats after it began at the earliest: it has to reach those who had
/// answers meanwhile, and their word has to come back.
const RIPE_BEATS: f64 = 10.0;
/// Late by so many beats, the member takes itself for stalled.
const STALL_BEATS: f64 = 3.0;
/// Another life under this member's own key is told of at most once in so many beats.
const CLASH_BEATS: f64 = 50.0;

/// Words that wait for another subsystem; more are dropped, as the network might.
const MOST_WORDS: usize = 256;

/// What is agreed for gossip.
#[derive(Clone, Debug)]
pub struct GossipTerms {
    /// Where this member is heard.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Bytes a second that are never exceeded.
    pub cap: f64,
    /// How often each member looks at another, in milliseconds.
    pub beat: f64,
    /// Of how many members it must be borne that they lie.
    pub liars: usize,
    /// The gap after which an unanswered set-up is sent again, in milliseconds.
    pub resend: f64,
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

/// Which of a peer's packets have been seen: the highest counter, and the 64 before it.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u64,
}

impl Window {
    fn admit(&mut self, incarnation: u64, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, highest: counter, seen: 1 };
            return true;
        }
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = if ahead < 64 { self.seen << ahead | 1 } else { 1 };
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        let bit = if behind < 64 { 1u64 << behind } else { return false };
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}

struct Ping {
    target: Id,
    until: f64,
    asked: f64,
    helped: bool,
    /// Only its clock is asked for: no answer says nothing of it.
    for_clock: bool,
    /// Who asked for it, and by which nonce.
    for_other: Option<(SocketAddr, u64)>,
}

/// One member.
pub struct Node {
    terms: GossipTerms,
    secrets: Secrets,
    roster: Roster,
    id: Id,
    chance: Pcg64Mcg,
    pub members: Members,
    statements: Statements,
    pub evidence: Evidence,
    budget: Budget,
    incarnation: u64,
    /// The incarnation that this process began with.
    life: u64,
    /// The clock at which this life began, which statements count from.
    began: f64,
    counter: u64,
    version: u32,
    said: Option<(Vec<wire::Claim>, f64)>,
    pings: BTreeMap<u64, Ping>,
    windows: BTreeMap<Id, Window>,
    out: VecDeque<Outgoing>,
    beat_at: f64,
    beats: u32,
    compare_from: Id,
    leaving: bool,
    clash_at: f64,
    counts: Counts,
    /// Words of other subsystems, with who said them.
    words: VecDeque<(Id, Vec<u8>)>,
}

impl Node {
    /// `unix` is the wall clock in milliseconds; it only orders this member's lives.
    pub fn new(terms: GossipTerms, secrets: Secrets, roster: Roster, seed: u64, now: f64, unix: f64) -> Self {
        let id = secrets.id();
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let first = chance.random::<f64>() * terms.beat;
        let mut node = Self {
            members: Members::new(id, terms.beat, roster.len()),
            evidence: Evidence::new(terms.resend),
            budget: Budget::new(terms.cap, now),
            secrets,
            roster,
            id,
            chance,
            statements: Statements::default(),
            incarnation: unix.max(1.0) as u64,
            life: unix.max(1.0) as u64,
            began: now,
            counter: 0,
            version: 0,
            said: None,
            pings: BTreeMap::new(),
            windows: BTreeMap::new(),
            out: VecDeque::new(),
            beat_at: now + first,
            beats: 0,
            compare_from: 0,
            leaving: false,
            clash_at: f64::NEG_INFINITY,
            counts: Counts::default(),
            words: VecDeque::new(),
            terms,
        };
        node.say(now);
        node
    }

    pub fn id(&self) -> Id {
        self.id
    }

    /// All members of the roster, this one too.
    pub fn fleet(&self) -> impl Iterator<Item = Id> {
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
        self.members.keep(|id| roster.contains(id));
        self.windows.retain(|&id, _| roster.contains(id));
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
        self.out.pop_front()
    }

    /// When [`Node::turn`] is wanted.
    pub fn due(&self) -> f64 {
        self.pings.values().map(|ping| ping.until).fold(self.beat_at, f64::min)
    }

    /// Servers that are accused, and whether it is believed.
    pub fn accused(&self, now: f64) -> Vec<Accused> {
        let ripe = now - RIPE_BEATS * self.terms.beat;
        self.statements.accused(now, self.terms.liars, AGED_BEATS * self.terms.beat, ripe)
    }

    /// What the members say.
    pub fn statements(&self) -> impl Iterator<Item = &Statement> {
        self.statements.authors()
    }

    /// Who says that the server is silent.
    pub fn accusers(&self, life: Life) -> Vec<Id> {
        let silent = |claim: &wire::Claim| claim.life == life && claim.kind == wire::Kind::Silent;
        let accuses = |statement: &&Statement| statement.claims.iter().any(silent) && !statement.leaves;
        self.statements().filter(accuses).map(|statement| statement.author).collect()
    }

    /// Tells the others that this member goes.
    pub fn leave(&mut self, now: f64) {
        self.leaving = true;
        self.say(now);
        let most = FAN_OUT * HELPERS;
        for peer in self.members.some(&mut self.chance, most, None) {
            self.send(now, peer, Message::Carry, Priority::Answer);
        }
    }

    /// States anew what this member has to say.
    fn say(&mut self, now: f64) {
        let accused = self.accused(now);
        let since = |life: Life| self.to_vouch(&accused, life);
        // Evidence is kept on the proxy's clock, statements count from the life's begin.
        let window = VOUCH_BEATS * self.terms.beat;
        let mut claims = self.evidence.claims(now, since, window);
        claims.retain(|claim| self.to_accuse(&accused, claim));
        for claim in &mut claims {
            claim.at = claim.at.saturating_sub(self.began.max(0.0) as u32);
        }
        self.version += 1;
        let statement = Statement {
            author: self.id,
            incarnation: self.incarnation,
            version: self.version,
            life: self.life,
            address: self.terms.address,
            clock: self.clock(now),
            leaves: self.leaving,
            claims: claims.clone(),
        };
        self.said = Some((claims, now));
        let signed = Signed::new(&statement, &self.secrets);
        let passes = self.members.passes();
        self.statements.merge(now, statement, signed, passes);
        self.statements.clock(self.id, self.life, self.clock(now), now, now);
    }

    /// Milliseconds since this life began.
    fn clock(&self, now: f64) -> u32 {
        (now - self.began).max(0.0) as u32
    }

    /// Since when the server is accused, if this member's word for it is wanted: as many as outweigh those
    /// who accuse are enough, and those who spoke up stand by it.
    fn to_vouch(&self, accused: &[Accused], life: Life) -> Option<f64> {
        let of = accused.iter().find(|of| of.life == life)?;
        let spoke = self.said.as_ref().is_some_and(|(said, _)| {
            said.iter().any(|claim| claim.life == life && claim.kind == wire::Kind::Answering)
        });
        (spoke || of.vouchers <= of.accusers + self.terms.liars).then_some(of.since)
    }

    /// Whether one more accusation is of use: a whole fleet's would only fill the cap.
    fn to_accuse(&self, accused: &[Accused], claim: &wire::Claim) -> bool {
        let said = |(said, _): &(Vec<wire::Claim>, f64)| {
            said.iter().any(|former| former.life == claim.life && former.kind == wire::Kind::Silent)
        };
        let enough = 4 * (self.terms.liars + 1);
        claim.kind == wire::Kind::Answering
            || self.said.as_ref().is_some_and(said)
            || accused.iter().find(|of| of.life == claim.life).is_none_or(|of| of.accusers < enough)
    }

    /// Whether what it has to say is another than what it said.
    fn changed(&self, now: f64) -> bool {
        let Some((said, at)) = &self.said else { return true };
        // Who accuses nobody is known to be there by being looked at.
        if !said.is_empty() && now - at >= RESTATE_BEATS * self.terms.beat {
            return true;
        }
        let accused = self.accused(now);
        let since = |life: Life| self.to_vouch(&accused, life);
        let mut claims = self.evidence.claims(now, since, VOUCH_BEATS * self.terms.beat);
        claims.retain(|claim| self.to_accuse(&accused, claim));
        let same = |a: &wire::Claim, b: &wire::Claim| a.life == b.life && a.kind == b.kind;
        claims.len() != said.len() || !claims.iter().zip(said).all(|(a, b)| same(a, b))
    }

    /// Sends another subsystem's words to one member. False where it is not known, or the cap forbids.
    pub fn say_to(&mut self, now: f64, to: Id, bytes: Vec<u8>) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.address) else { return false };
        self.send_with(now, address, Message::Words { bytes }, Priority::News, Vec::new())
    }

    /// The next words that a member said to another subsystem here, with its id.
    pub fn said_to(&mut self) -> Option<(Id, Vec<u8>)> {
        self.words.pop_front()
    }

    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        if now - self.beat_at > STALL_BEATS * self.terms.beat {
            self.members.stalled();
            self.evidence.stalled(now);
            self.pings.clear();
        }
        let late: Vec<u64> =
            self.pings.iter().filter(|(_, ping)| ping.until <= now).map(|(&n, _)| n).collect();
        for nonce in late {
            self.unanswered(now, nonce);
        }
        if now >= self.beat_at {
            self.beat(now);
            let next = self.beat_at + self.terms.beat * (0.9 + 0.2 * self.chance.random::<f64>());
            self.beat_at = if next > now { next } else { now + self.terms.beat };
        }
    }

    fn beat(&mut self, now: f64) {
        self.beats += 1;
        self.members.bury(now);
        if self.changed(now) {
            self.say(now);
        }
        let seeds: Vec<SocketAddr> =
            self.terms.seeds.iter().copied().filter(|seed| *seed != self.terms.address).collect();
        if self.members.alive() < 2 {
            for &seed in &seeds {
                let nonce = self.chance.random();
                self.send_to(now, seed, Message::Ping { nonce }, Priority::Probe);
            }
        } else if self.beats.is_multiple_of(SEED_BEATS) && self.members.all().count() + 1 < self.roster.len()
        {
            // Groups that came together by different seeds know nothing of each other until one asks a seed
            // again.
            if let Some(&seed) = seeds.choose(&mut self.chance) {
                let nonce = self.chance.random();
                self.send_to(now, seed, Message::Ping { nonce }, Priority::Repair);
            }
        }
        let fresh = self.statements.fresh(self.terms.liars);
        if !fresh.is_empty() {
            for peer in self.members.some(&mut self.chance, FAN_OUT, None) {
                self.send(now, peer, Message::Carry, Priority::Spread);
            }
        }
        self.ask_clocks(now);
        if let Some(target) = self.members.next(&mut self.chance) {
            let nonce = self.chance.random();
            if self.send(now, target, Message::Ping { nonce }, Priority::Probe) {
                let until = now + self.members.patience();
                self.pings.insert(
                    nonce,
                    Ping { target, until, asked: now, helped: false, for_clock: false, for_other: None },
                );
            }
        }
        if self.beats.is_multiple_of(COMPARE_BEATS) {
            self.compare(now);
        }
    }

    /// Asks authors for their clocks where it matters how old their words are.
    fn ask_clocks(&mut self, now: f64) {
        let aged = AGED_BEATS * self.terms.beat;
        let authors = self.statements.unproven(now, self.terms.liars, aged);
        let mut asks: Vec<(bool, u32, Id)> = Vec::new();
        for (author, accuses) in authors.into_iter().filter(|(author, _)| *author != self.id) {
            asks.push((!accuses, self.chance.random(), author));
        }
        asks.sort_unstable();
        for (_, _, target) in asks.into_iter().take(CLOCKS) {
            let nonce = self.chance.random();
            let Some(address) = self.members.get(target).map(|member| member.address) else { continue };
            if self.send_with(now, address, Message::Clock { nonce }, Priority::News, Vec::new()) {
                let until = now + self.members.patience();
                let ping =
                    Ping { target, until, asked: now, helped: false, for_clock: true, for_other: None };
                self.pings.insert(nonce, ping);
            }
        }
    }

    /// Repairs what loss hid: shows a peer what this member has of some authors, a range after the other.
    fn compare(&mut self, now: f64) {
        let Some(&peer) = self.members.some(&mut self.chance, 1, None).first() else { return };
        let have = self.statements.digests(self.compare_from, DIGESTS);
        let from = self.compare_from;
        let to = if have.len() < DIGESTS { Id::MAX } else { have.last().map_or(Id::MAX, |last| last.0) };
        if self.send(now, peer, Message::Compare { from, to, have, asks: true }, Priority::Repair) {
            self.compare_from = to.wrapping_add(1);
        }
    }

    fn unanswered(&mut self, now: f64, nonce: u64) {
        let Some(ping) = self.pings.remove(&nonce) else { return };
        if ping.for_other.is_some() || ping.for_clock {
            return;
        }
        if ping.helped {
            return self.members.missed(now, ping.target);
        }
        for helper in self.members.some(&mut self.chance, HELPERS, Some(ping.target)) {
            self.send(now, helper, Message::PingFor { nonce, target: ping.target }, Priority::Probe);
        }
        let until = now + 2.0 * self.members.patience();
        self.pings.insert(nonce, Ping { helped: true, until, ..ping });
    }

    fn send(&mut self, now: f64, to: Id, message: Message, priority: Priority) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.address) else { return false };
        self.send_to(now, address, message, priority)
    }

    /// Sends, with as much news as fits, unless the cap forbids.
    fn send_to(&mut self, now: f64, peer: SocketAddr, message: Message, priority: Priority) -> bool {
        let fresh = self.statements.fresh(self.terms.liars);
        self.send_with(now, peer, message, priority, fresh)
    }

    fn send_with(
        &mut self,
        now: f64,
        peer: SocketAddr,
        message: Message,
        priority: Priority,
        authors: Vec<Id>,
    ) -> bool {
        let mut rumours = self.members.rumours(RUMOURS);
        rumours.extend(self.members.doubted_at(peer));
        let mut size = Packet::overhead(&message, rumours.len());
        let mut carried = Vec::new();
        let mut statements = Vec::new();
        // Its own statement goes along wherever it may not be known.
        let own = [self.id];
        let introduces = matches!(message, Message::Ping { .. });
        for id in own
            .iter()
            .filter(|_| introduces)
            .chain(authors.iter().filter(|id| !introduces || **id != self.id))
        {
            let Some(signed) = self.statements.signed(*id) else { continue };
            if size + signed.size() > LARGEST || statements.len() >= 8 {
                break;
            }
            size += signed.size();
            statements.push(signed.clone());
            carried.push(*id);
        }
        self.counter += 1;
        let packet = Packet {
            version: wire::VERSION,
            from: self.id,
            incarnation: self.incarnation,
            counter: self.counter,
            message,
            rumours,
            statements,
        };
        // Asked for at the most it can be, before the dearer sealing.
        if !self.budget.take(now, size, priority) {
            return false;
        }
        let bytes = packet.seal(&self.secrets);
        debug_assert!(bytes.len() <= size, "{} over {size}", bytes.len());
        carried.into_iter().for_each(|id| self.statements.passed(id));
        self.counts.sent_bytes += bytes.len() as u64;
        self.counts.packets += 1;
        self.out.push_back(Outgoing { peer, bytes });
        true
    }

    /// A datagram came. Anything may stand in it.
    pub fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]) {
        let packet = match wire::open(datagram, &self.secrets, &self.roster) {
            Ok(packet) => packet,
            Err(dropped) => {
                let count = match dropped {
                    Dropped::Tag => &mut self.counts.untagged,
                    Dropped::Stranger | Dropped::Signature => &mut self.counts.forged,
                    _ => &mut self.counts.malformed,
                };
                *count += 1;
                return;
            }
        };
        if packet.from == self.id {
            return;
        }
        if !self.windows.entry(packet.from).or_default().admit(packet.incarnation, packet.counter) {
            self.counts.replayed += 1;
            return;
        }
        self.members.seen(now, packet.from);
        for signed in &packet.statements {
            // Most are known already: only what would be new is worth the proof.
            match signed.read() {
                Some(known) if !self.statements.newer(&known) => {}
                Some(statement) if signed.proved(&statement, &self.roster) => {
                    self.take(now, statement, signed.clone())
                }
                _ => self.counts.bad_statements += 1,
            }
        }
        for rumour in &packet.rumours {
            if self.members.heard(now, *rumour, self.incarnation) {
                // Refuted by speaking up in a later incarnation.
                self.incarnation = rumour.incarnation.max(self.incarnation) + 1;
                self.version = 0;
                self.say(now);
            }
        }
        self.answer(now, from, packet);
    }

    fn take(&mut self, now: f64, statement: Statement, signed: Signed) {
        if statement.author == self.id {
            // A former life of its own, or another process with its key: it speaks up after that one.
            let own = (self.incarnation, self.version);
            if (statement.incarnation, statement.version) > own
                && now - self.clash_at > CLASH_BEATS * self.terms.beat
            {
                self.counts.clashes += 1;
                self.clash_at = now;
                self.incarnation = statement.incarnation + 1;
                self.version = 0;
                self.say(now);
            }
            return;
        }
        let (author, incarnation) = (statement.author, statement.incarnation);
        let (address, leaves) = (statement.address, statement.leaves);
        let passes = self.members.passes();
        if self.statements.merge(now, statement, signed, passes) {
            self.members.spoke(now, author, incarnation, address, leaves);
        }
    }

    fn answer(&mut self, now: f64, from: SocketAddr, packet: Packet) {
        match packet.message {
            Message::Ping { nonce } => {
                let (of, life, clock) = (self.id, self.life, self.clock(now));
                self.send_to(now, from, Message::Ack { nonce, of, life, clock }, Priority::Answer);
            }
            Message::Clock { nonce } => {
                let (of, life, clock) = (self.id, self.life, self.clock(now));
                let answer = Message::Ack { nonce, of, life, clock };
                self.send_with(now, from, answer, Priority::Answer, Vec::new());
            }
            Message::Ack { nonce, of, life, clock } => {
                let Some(ping) = self.pings.get(&nonce) else { return };
                // Only it can answer for itself, unless helpers were asked.
                if of != ping.target || (packet.from != of && !ping.helped) {
                    return;
                }
                let ping = self.pings.remove(&nonce).expect("just seen");
                self.members.answered(now, of);
                // A helper could say what it likes of another's clock.
                if packet.from == of {
                    self.statements.clock(of, life, clock, ping.asked, now);
                }
                if let Some((asker, nonce)) = ping.for_other {
                    self.send_to(now, asker, Message::Ack { nonce, of, life, clock }, Priority::Answer);
                }
            }
            Message::PingFor { nonce, target } => {
                let own = self.chance.random();
                if self.send(now, target, Message::Ping { nonce: own }, Priority::Answer) {
                    let until = now + self.members.patience();
                    let for_other = Some((from, nonce));
                    self.pings.insert(
                        own,
                        Ping { target, until, asked: now, helped: true, for_clock: false, for_other },
                    );
                }
            }
            Message::Compare { from: low, to, have, asks } => {
                let wanted = self.statements.wanted_by(low, to, &have);
                if asks && self.statements.lacks(&have) {
                    let mut own = self.statements.digests(low, DIGESTS);
                    own.retain(|digest| digest.0 <= to);
                    self.send(
                        now,
                        packet.from,
                        Message::Compare { from: low, to, have: own, asks: false },
                        Priority::Repair,
                    );
                }
                if !wanted.is_empty() {
                    self.send_with(now, from, Message::Carry, Priority::Repair, wanted);
                }
            }
            Message::Words { bytes } if self.words.len() < MOST_WORDS => {
                self.words.push_back((packet.from, bytes));
            }
            Message::Carry | Message::Words { .. } => {}
        }
    }
}
