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
use crate::wire::{Claim, ClaimKind, Generation, SignedStatement, Statement};

/// An author's clock is known too late by as much as its quickest statement was on its way: milliseconds.
const MAX_TRANSIT_MS: f64 = 1_500.0;

/// A clock that was asked for stands for so many times the longest age of a statement.
const CLOCK_PROOF_AGES: f64 = 10.0;

struct StoredStatement {
    statement: Statement,
    signed: SignedStatement,
    /// The author's clock 0 on this proxy's clock, by the quickest way that any of its statements came: never
    /// earlier than it was.
    clock_zero: f64,
    /// The author's clock 0 at the earliest, and when it was asked: it answered with its clock.
    clock_proof: Option<(f64, f64)>,
    /// How often it may still be passed on unasked.
    transmissions_left: u32,
    /// It takes back what the author's former statement vouched for.
    withdraws_vouch: bool,
    received_at: f64,
}

impl StoredStatement {
    /// Whether the statement is known to be no older than `aged`, by a clock that was asked for lately
    /// enough.
    fn is_recent(&self, now: f64, max_age: f64) -> bool {
        self.clock_proof.is_some_and(|(earliest, asked)| {
            now - asked <= CLOCK_PROOF_AGES * max_age
                && now - earliest - f64::from(self.statement.clock) <= max_age
        })
    }
}

/// All statements that this member holds.
#[derive(Default)]
pub struct Statements {
    stored: BTreeMap<Id, StoredStatement>,
}

/// A server's generation that somebody accuses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccusedServer {
    pub generation: Generation,
    pub accusers: usize,
    /// Those of them whose words are known to be young enough to act.
    pub recent_accusers: usize,
    /// Members that had an answer after enough accusations had begun.
    pub vouchers: usize,
    /// Since when, on this proxy's clock.
    pub since: f64,
    pub believed: bool,
}

impl Statements {
    fn version_key(statement: &Statement) -> (u64, u32) {
        (statement.incarnation, statement.version)
    }

    /// Whether the statement says more than what is held of its author.
    pub fn is_newer(&self, statement: &Statement) -> bool {
        self.stored
            .get(&statement.author)
            .is_none_or(|stored| Self::version_key(statement) > Self::version_key(&stored.statement))
    }

    /// Takes a statement whose signature is proved, if it is newer. Gives whether it was.
    pub fn merge(
        &mut self,
        now: f64,
        statement: Statement,
        signed: SignedStatement,
        transmissions_left: u32,
    ) -> bool {
        let clock_zero = now - f64::from(statement.clock);
        let former = self.stored.get(&statement.author);
        if !self.is_newer(&statement) {
            return false;
        }
        let stands = |claim: &Claim| {
            statement.claims.iter().any(|now| (now.generation, now.kind) == (claim.generation, claim.kind))
        };
        let withdraws_vouch = former.is_some_and(|former| {
            former.statement.claims.iter().any(|claim| claim.kind == ClaimKind::Answering && !stands(claim))
        });
        let same_life = former.filter(|stored| stored.statement.generation == statement.generation);
        // An author's clock may run slow, or be lied about: what it says of the past is never ahead of now.
        let clock_zero = same_life.map_or(clock_zero, |stored| stored.clock_zero.min(clock_zero));
        let clock_proof = same_life.and_then(|stored| stored.clock_proof);
        self.stored.insert(
            statement.author,
            StoredStatement {
                statement,
                signed,
                clock_zero,
                clock_proof,
                transmissions_left,
                withdraws_vouch,
                received_at: now,
            },
        );
        true
    }

    /// The author itself, asked at `asked`, has just told its clock: so it is known not only how new, but how
    /// old what it said can be, whoever passed it on and however late.
    pub fn record_clock(&mut self, author: Id, generation: u64, clock: u32, asked: f64, now: f64) {
        let stored = self.stored.get_mut(&author).filter(|stored| stored.statement.generation == generation);
        if let Some(stored) = stored {
            stored.clock_zero = stored.clock_zero.min(now - f64::from(clock));
            stored.clock_proof = Some((asked - f64::from(clock), asked));
        }
    }

    /// Authors whose clocks are to be asked for, since what they say would tell whether a server is believed
    /// silent, and whether they accuse it.
    pub fn unproven_authors(&self, now: f64, max_faulty: usize, max_age: f64) -> Vec<(Id, bool)> {
        let accused = self.accused(now, max_faulty, max_age, f64::INFINITY);
        let disputed = |generation: Generation| {
            accused.iter().find(|of| of.generation == generation && of.accusers > max_faulty)
        };
        // Asked anew before it lapses.
        let asked = |stored: &StoredStatement| {
            stored.clock_proof.is_some_and(|(_, asked)| now - asked < 0.5 * CLOCK_PROOF_AGES * max_age)
        };
        // Once enough accusations act no more are asked for: each author answers all members.
        let accuses = |claim: &Claim| {
            claim.kind == ClaimKind::Silent
                && disputed(claim.generation).is_some_and(|of| of.recent_accusers <= max_faulty + of.vouchers)
        };
        let vouches = |claim: &Claim| claim.kind != ClaimKind::Silent && disputed(claim.generation).is_some();
        let mut unproven = Vec::new();
        for (&id, stored) in self.stored.iter().filter(|(_, stored)| !asked(stored)) {
            let claims = &stored.statement.claims;
            if claims.iter().any(|claim| accuses(claim) || vouches(claim)) {
                unproven.push((id, claims.iter().any(accuses)));
            }
        }
        unproven
    }

    pub fn get(&self, author: Id) -> Option<&Statement> {
        self.stored.get(&author).map(|stored| &stored.statement)
    }

    pub fn signed(&self, author: Id) -> Option<&SignedStatement> {
        self.stored.get(&author).map(|stored| &stored.signed)
    }

    pub fn forget(&mut self, author: Id) {
        self.stored.remove(&author);
    }

    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.stored.keys().copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Statement> {
        self.stored.values().map(|stored| &stored.statement)
    }

    /// What of the authors from `from` on is held, in order of ids: at most so many.
    pub fn digests(&self, from: Id, max: usize) -> Vec<(Id, u64, u32)> {
        let stored = self.stored.range(from..).take(max);
        stored.map(|(&id, stored)| (id, stored.statement.incarnation, stored.statement.version)).collect()
    }

    /// Authors from `from` to `to` of whom the peer has nothing, or an older statement.
    pub fn missing_at_peer(&self, from: Id, to: Id, have: &[(Id, u64, u32)]) -> Vec<Id> {
        if from > to {
            return Vec::new();
        }
        let has = |id: Id| have.iter().find(|h| h.0 == id).map(|h| (h.1, h.2));
        let stored = self.stored.range(from..=to);
        stored
            .filter(|(id, stored)| has(**id).is_none_or(|has| has < Self::version_key(&stored.statement)))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Whether the peer has something that is newer than what is held here.
    pub fn is_behind(&self, have: &[(Id, u64, u32)]) -> bool {
        let stored = |id: &Id| self.stored.get(id).map(|stored| Self::version_key(&stored.statement));
        have.iter().any(|(id, incarnation, version)| {
            stored(id).is_none_or(|stored| stored < (*incarnation, *version))
        })
    }

    /// Authors whose statements are still to be passed on: accusations of what is not believed yet and
    /// vouching that is taken back first, then what was passed on least.
    pub fn authors_to_send(&self, max_faulty: usize) -> Vec<Id> {
        let believed: Vec<Generation> = self
            .accused(0.0, max_faulty, f64::INFINITY, f64::INFINITY)
            .into_iter()
            .filter(|a| a.believed)
            .map(|a| a.generation)
            .collect();
        let mut queue: Vec<(bool, u32, Id)> = Vec::new();
        for (&id, stored) in self.stored.iter().filter(|(_, stored)| stored.transmissions_left > 0) {
            let urgent = |c: &Claim| (c.kind == ClaimKind::Silent) != believed.contains(&c.generation);
            let urgent = stored.withdraws_vouch || stored.statement.claims.iter().any(urgent);
            queue.push((!urgent, u32::MAX - stored.transmissions_left, id));
        }
        queue.sort_unstable();
        queue.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The statement was passed on once more.
    pub fn mark_transmitted(&mut self, author: Id) {
        if let Some(stored) = self.stored.get_mut(&author) {
            stored.transmissions_left = stored.transmissions_left.saturating_sub(1);
        }
    }

    /// Servers' lives that anybody accuses. `liars` is how many may lie; what came longer than `aged` ago is
    /// passed over, and no accusation acts that may have been said longer ago (infinity for none).
    ///
    /// Accusations that began after `ripe` are not believed yet: those who had answers are to be heard first.
    pub fn accused(
        &self,
        now: f64,
        max_faulty: usize,
        max_age: f64,
        begun_before: f64,
    ) -> Vec<AccusedServer> {
        let is_fresh =
            |stored: &&StoredStatement| max_age == f64::INFINITY || now - stored.received_at <= max_age;
        let is_proven = |stored: &StoredStatement| max_age == f64::INFINITY || stored.is_recent(now, max_age);
        let mut begun: BTreeMap<Generation, (Vec<f64>, usize)> = BTreeMap::new();
        for stored in self.stored.values().filter(is_fresh).filter(|stored| !stored.statement.leaving) {
            for claim in stored.statement.claims.iter().filter(|claim| claim.kind == ClaimKind::Silent) {
                let (begun, recent_accusers) = begun.entry(claim.generation).or_default();
                begun.push(stored.clock_zero + f64::from(claim.observed_at));
                *recent_accusers += usize::from(is_proven(stored));
            }
        }
        let mut all = Vec::new();
        for (generation, (mut begun, recent_accusers)) in begun {
            begun.sort_by(f64::total_cmp);
            let since = begun[max_faulty.min(begun.len() - 1)];
            // Each voucher itself holds its answer against when the accusations began, as far as it knows,
            // and takes its word back; until that has come, what it says of the time is checked here.
            let vouches = |stored: &&StoredStatement| {
                let mut claims = stored.statement.claims.iter();
                let after =
                    |observed_at: u32| stored.clock_zero + f64::from(observed_at) > since + MAX_TRANSIT_MS;
                claims.any(|claim| {
                    claim.generation == generation
                        && claim.kind == ClaimKind::Answering
                        && after(claim.observed_at)
                })
            };
            let vouchers = self.stored.values().filter(is_fresh).filter(vouches).count();
            let accusers = begun.len();
            let believed = recent_accusers > max_faulty + vouchers && since <= begun_before;
            all.push(AccusedServer { generation, accusers, recent_accusers, vouchers, since, believed });
        }
        all
    }
}
