//! What each member says, and what to believe of it. No I/O.
//!
//! The latest statement of each author counts, by incarnation and version: whatever order, loss or doubling
//! statements come in, two stores that have seen the same ones hold the same ([`Statements::merge`]).
//!
//! **Believing.** A server's generation is believed silent when more members accuse it than `liars` and all those
//! together that had an answer after the first `liars + 1` accusations had begun. So at most `liars` who lie
//! cannot get a server shunned unless more honest members accuse it than vouch for it; and they cannot save
//! one that more than twice as many honest members accuse and none vouches for. docs/gossip.md has the proof.

use std::collections::BTreeMap;

use crate::keys::Id;
use crate::wire::{Claim, Generation, Kind, Signed, Statement};

/// An author's clock is known too late by as much as its quickest statement was on its way: milliseconds.
const WAY: f64 = 1_500.0;

/// A clock that was asked for stands for so many times the longest age of a statement.
const PROVEN: f64 = 10.0;

struct Held {
    statement: Statement,
    signed: Signed,
    /// The author's clock 0 on this proxy's clock, by the quickest way that any of its statements came: never
    /// earlier than it was.
    epoch: f64,
    /// The author's clock 0 at the earliest, and when it was asked: it answered with its clock.
    proof: Option<(f64, f64)>,
    /// How often it may still be passed on unasked.
    passes: u32,
    /// It takes back what the author's former statement vouched for.
    withdraws: bool,
    came: f64,
}

impl Held {
    /// Whether the statement is known to be no older than `aged`, by a clock that was asked for lately
    /// enough.
    fn acts(&self, now: f64, aged: f64) -> bool {
        self.proof.is_some_and(|(earliest, asked)| {
            now - asked <= PROVEN * aged && now - earliest - f64::from(self.statement.clock) <= aged
        })
    }
}

/// All statements that this member holds.
#[derive(Default)]
pub struct Statements {
    held: BTreeMap<Id, Held>,
}

/// A server's generation that somebody accuses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccusedServer {
    pub generation: Generation,
    pub accusers: usize,
    /// Those of them whose words are known to be young enough to act.
    pub acting: usize,
    /// Members that had an answer after enough accusations had begun.
    pub vouchers: usize,
    /// Since when, on this proxy's clock.
    pub since: f64,
    pub believed: bool,
}

impl Statements {
    fn key(statement: &Statement) -> (u64, u32) {
        (statement.incarnation, statement.version)
    }

    /// Whether the statement says more than what is held of its author.
    pub fn newer(&self, statement: &Statement) -> bool {
        self.held.get(&statement.author).is_none_or(|held| Self::key(statement) > Self::key(&held.statement))
    }

    /// Takes a statement whose signature is proved, if it is newer. Gives whether it was.
    pub fn merge(&mut self, now: f64, statement: Statement, signed: Signed, passes: u32) -> bool {
        let epoch = now - f64::from(statement.clock);
        let former = self.held.get(&statement.author);
        if !self.newer(&statement) {
            return false;
        }
        let stands = |claim: &Claim| {
            statement.claims.iter().any(|now| (now.generation, now.kind) == (claim.generation, claim.kind))
        };
        let withdraws = former.is_some_and(|former| {
            former.statement.claims.iter().any(|claim| claim.kind == Kind::Answering && !stands(claim))
        });
        let same_life = former.filter(|held| held.statement.generation == statement.generation);
        // An author's clock may run slow, or be lied about: what it says of the past is never ahead of now.
        let epoch = same_life.map_or(epoch, |held| held.epoch.min(epoch));
        let proof = same_life.and_then(|held| held.proof);
        self.held
            .insert(statement.author, Held { statement, signed, epoch, proof, passes, withdraws, came: now });
        true
    }

    /// The author itself, asked at `asked`, has just told its clock: so it is known not only how new, but how
    /// old what it said can be, whoever passed it on and however late.
    pub fn clock(&mut self, author: Id, generation: u64, clock: u32, asked: f64, now: f64) {
        let held = self.held.get_mut(&author).filter(|held| held.statement.generation == generation);
        if let Some(held) = held {
            held.epoch = held.epoch.min(now - f64::from(clock));
            held.proof = Some((asked - f64::from(clock), asked));
        }
    }

    /// Authors whose clocks are to be asked for, since what they say would tell whether a server is believed
    /// silent, and whether they accuse it.
    pub fn unproven(&self, now: f64, liars: usize, aged: f64) -> Vec<(Id, bool)> {
        let accused = self.accused(now, liars, aged, f64::INFINITY);
        let disputed = |generation: Generation| {
            accused.iter().find(|of| of.generation == generation && of.accusers > liars)
        };
        // Asked anew before it lapses.
        let asked = |held: &Held| held.proof.is_some_and(|(_, asked)| now - asked < 0.5 * PROVEN * aged);
        // Once enough accusations act no more are asked for: each author answers all members.
        let accuses = |claim: &Claim| {
            claim.kind == Kind::Silent
                && disputed(claim.generation).is_some_and(|of| of.acting <= liars + of.vouchers)
        };
        let vouches = |claim: &Claim| claim.kind != Kind::Silent && disputed(claim.generation).is_some();
        let mut unproven = Vec::new();
        for (&id, held) in self.held.iter().filter(|(_, held)| !asked(held)) {
            let claims = &held.statement.claims;
            if claims.iter().any(|claim| accuses(claim) || vouches(claim)) {
                unproven.push((id, claims.iter().any(accuses)));
            }
        }
        unproven
    }

    pub fn get(&self, author: Id) -> Option<&Statement> {
        self.held.get(&author).map(|held| &held.statement)
    }

    pub fn signed(&self, author: Id) -> Option<&Signed> {
        self.held.get(&author).map(|held| &held.signed)
    }

    pub fn forget(&mut self, author: Id) {
        self.held.remove(&author);
    }

    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.held.keys().copied()
    }

    pub fn authors(&self) -> impl Iterator<Item = &Statement> {
        self.held.values().map(|held| &held.statement)
    }

    /// What of the authors from `from` on is held, in order of ids: at most so many.
    pub fn digests(&self, from: Id, most: usize) -> Vec<(Id, u64, u32)> {
        let held = self.held.range(from..).take(most);
        held.map(|(&id, held)| (id, held.statement.incarnation, held.statement.version)).collect()
    }

    /// Authors from `from` to `to` of whom the peer has nothing, or an older statement.
    pub fn wanted_by(&self, from: Id, to: Id, have: &[(Id, u64, u32)]) -> Vec<Id> {
        if from > to {
            return Vec::new();
        }
        let has = |id: Id| have.iter().find(|h| h.0 == id).map(|h| (h.1, h.2));
        let held = self.held.range(from..=to);
        held.filter(|(id, held)| has(**id).is_none_or(|has| has < Self::key(&held.statement)))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Whether the peer has something that is newer than what is held here.
    pub fn lacks(&self, have: &[(Id, u64, u32)]) -> bool {
        let held = |id: &Id| self.held.get(id).map(|held| Self::key(&held.statement));
        have.iter()
            .any(|(id, incarnation, version)| held(id).is_none_or(|held| held < (*incarnation, *version)))
    }

    /// Authors whose statements are still to be passed on: accusations of what is not believed yet and
    /// vouching that is taken back first, then what was passed on least.
    pub fn fresh(&self, liars: usize) -> Vec<Id> {
        let believed: Vec<Generation> = self
            .accused(0.0, liars, f64::INFINITY, f64::INFINITY)
            .into_iter()
            .filter(|a| a.believed)
            .map(|a| a.generation)
            .collect();
        let mut fresh: Vec<(bool, u32, Id)> = Vec::new();
        for (&id, held) in self.held.iter().filter(|(_, held)| held.passes > 0) {
            let urgent = |c: &Claim| (c.kind == Kind::Silent) != believed.contains(&c.generation);
            let urgent = held.withdraws || held.statement.claims.iter().any(urgent);
            fresh.push((!urgent, u32::MAX - held.passes, id));
        }
        fresh.sort_unstable();
        fresh.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The statement was passed on once more.
    pub fn passed(&mut self, author: Id) {
        if let Some(held) = self.held.get_mut(&author) {
            held.passes = held.passes.saturating_sub(1);
        }
    }

    /// Servers' lives that anybody accuses. `liars` is how many may lie; what came longer than `aged` ago is
    /// passed over, and no accusation acts that may have been said longer ago (infinity for none).
    ///
    /// Accusations that began after `ripe` are not believed yet: those who had answers are to be heard first.
    pub fn accused(&self, now: f64, liars: usize, aged: f64, ripe: f64) -> Vec<AccusedServer> {
        let fresh = |held: &&Held| aged == f64::INFINITY || now - held.came <= aged;
        let proven = |held: &Held| aged == f64::INFINITY || held.acts(now, aged);
        let mut begun: BTreeMap<Generation, (Vec<f64>, usize)> = BTreeMap::new();
        for held in self.held.values().filter(fresh).filter(|held| !held.statement.leaves) {
            for claim in held.statement.claims.iter().filter(|claim| claim.kind == Kind::Silent) {
                let (begun, acting) = begun.entry(claim.generation).or_default();
                begun.push(held.epoch + f64::from(claim.at));
                *acting += usize::from(proven(held));
            }
        }
        let mut all = Vec::new();
        for (generation, (mut begun, acting)) in begun {
            begun.sort_by(f64::total_cmp);
            let since = begun[liars.min(begun.len() - 1)];
            // Each voucher itself holds its answer against when the accusations began, as far as it knows,
            // and takes its word back; until that has come, what it says of the time is checked here.
            let vouches = |held: &&Held| {
                let mut claims = held.statement.claims.iter();
                let after = |at: u32| held.epoch + f64::from(at) > since + WAY;
                claims.any(|claim| {
                    claim.generation == generation && claim.kind == Kind::Answering && after(claim.at)
                })
            };
            let vouchers = self.held.values().filter(fresh).filter(vouches).count();
            let accusers = begun.len();
            let believed = acting > liars + vouchers && since <= ripe;
            all.push(AccusedServer { generation, accusers, acting, vouchers, since, believed });
        }
        all
    }
}
