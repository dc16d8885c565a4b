//! The statements of all members, and which accusations to believe. No I/O.
//!
//! The latest statement of each author counts, by incarnation and version. In whatever order statements
//! arrive, lost or duplicated, two stores that have seen the same ones have the same content
//! ([`Statements::merge`]).
//!
//! **Believing.** One generation of a server is believed silent when more members accuse it than `max_faulty`
//! plus the number of members that had an answer after the first `max_faulty + 1` accusations had begun. So
//! at most `max_faulty` members that make false statements cannot get a server avoided unless more honest
//! members accuse it than vouch for it. Nor can they save a server that more than twice as many honest
//! members accuse and none vouches for. docs/gossip.md has the proof.

use std::collections::BTreeMap;

use crate::keys::Id;
use crate::wire::{Claim, ClaimKind, Generation, SignedStatement, Statement};

/// Upper bound in milliseconds of how long an author's quickest statement was in transit: its clock is
/// estimated late by that much.
const MAX_TRANSIT_MS: f64 = 1_500.0;

/// An author's answer with its clock stays valid for this many times the maximum age of a statement.
const CLOCK_PROOF_AGES: f64 = 10.0;

struct StoredStatement {
    statement: Statement,
    signed: SignedStatement,
    /// When the author's clock was 0, on this proxy's clock, by the fastest transit of any of its statements:
    /// never earlier than the true time.
    clock_zero: f64,
    /// The earliest time when the author's clock can have been 0, and when its clock was requested. Set once
    /// the author has answered with its clock.
    clock_proof: Option<(f64, f64)>,
    /// How often the statement may still be sent unsolicited.
    transmissions_left: u32,
    /// Withdraws what the author's previous statement vouched for.
    withdraws_vouch: bool,
    received_at: f64,
}

impl StoredStatement {
    /// Whether the statement is proved no older than `max_age`, by a clock that was requested recently
    /// enough.
    fn is_recent(&self, now: f64, max_age: f64) -> bool {
        self.clock_proof.is_some_and(|(earliest, requested_at)| {
            now - requested_at <= CLOCK_PROOF_AGES * max_age
                && now - earliest - f64::from(self.statement.clock) <= max_age
        })
    }
}

/// The latest statement of each member.
#[derive(Default)]
pub struct Statements {
    stored: BTreeMap<Id, StoredStatement>,
}

/// One generation of a server that at least one member accuses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccusedServer {
    pub generation: Generation,
    /// Members that accuse it.
    pub accusers: usize,
    /// Accusers whose statements are proved recent enough to count.
    pub recent_accusers: usize,
    /// Members that had an answer after enough accusations had begun.
    pub vouchers: usize,
    /// When enough accusations had begun, on this proxy's clock.
    pub since: f64,
    /// Whether it is believed silent.
    pub believed: bool,
}

impl Statements {
    fn version_key(statement: &Statement) -> (u64, u32) {
        (statement.incarnation, statement.version)
    }

    /// Whether the statement is newer than the stored one of its author.
    pub fn is_newer(&self, statement: &Statement) -> bool {
        self.stored
            .get(&statement.author)
            .is_none_or(|stored| Self::version_key(statement) > Self::version_key(&stored.statement))
    }

    /// Stores a statement whose signature was verified, if it is newer. Returns whether it was.
    pub fn merge(
        &mut self,
        now: f64,
        statement: Statement,
        signed: SignedStatement,
        transmissions_left: u32,
    ) -> bool {
        let clock_zero = now - f64::from(statement.clock);
        let previous = self.stored.get(&statement.author);
        if !self.is_newer(&statement) {
            return false;
        }
        let is_still_claimed = |claim: &Claim| {
            statement
                .claims
                .iter()
                .any(|current| (current.generation, current.kind) == (claim.generation, claim.kind))
        };
        let withdraws_vouch = previous.is_some_and(|previous| {
            previous
                .statement
                .claims
                .iter()
                .any(|claim| claim.kind == ClaimKind::Answering && !is_still_claimed(claim))
        });
        let same_generation = previous.filter(|stored| stored.statement.generation == statement.generation);
        // An author's clock may run slow or be false: the past that it states is never later than now.
        let clock_zero = same_generation.map_or(clock_zero, |stored| stored.clock_zero.min(clock_zero));
        let clock_proof = same_generation.and_then(|stored| stored.clock_proof);
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

    /// Records the author's own answer to a clock request that was sent at `requested_at`. It bounds not only
    /// how new but also how old the author's statement can be, however late and by whichever member it was
    /// passed on.
    pub fn record_clock(&mut self, author: Id, generation: u64, clock: u32, requested_at: f64, now: f64) {
        let stored = self.stored.get_mut(&author).filter(|stored| stored.statement.generation == generation);
        if let Some(stored) = stored {
            stored.clock_zero = stored.clock_zero.min(now - f64::from(clock));
            stored.clock_proof = Some((requested_at - f64::from(clock), requested_at));
        }
    }

    /// Authors whose clocks should be requested because their statements decide whether a server is believed
    /// silent, each with whether it accuses one.
    pub fn unproven_authors(&self, now: f64, max_faulty: usize, max_age: f64) -> Vec<(Id, bool)> {
        let accused = self.accused(now, max_faulty, max_age, f64::INFINITY);
        let disputed = |generation: Generation| {
            accused.iter().find(|server| server.generation == generation && server.accusers > max_faulty)
        };
        // Requested again before it expires.
        let is_clock_known = |stored: &StoredStatement| {
            stored
                .clock_proof
                .is_some_and(|(_, requested_at)| now - requested_at < 0.5 * CLOCK_PROOF_AGES * max_age)
        };
        // Once enough accusations count, no more clocks are requested: each author answers all members.
        let accuses = |claim: &Claim| {
            claim.kind == ClaimKind::Silent
                && disputed(claim.generation)
                    .is_some_and(|server| server.recent_accusers <= max_faulty + server.vouchers)
        };
        let vouches = |claim: &Claim| claim.kind != ClaimKind::Silent && disputed(claim.generation).is_some();
        let mut unproven = Vec::new();
        for (&id, stored) in self.stored.iter().filter(|(_, stored)| !is_clock_known(stored)) {
            let claims = &stored.statement.claims;
            if claims.iter().any(|claim| accuses(claim) || vouches(claim)) {
                unproven.push((id, claims.iter().any(accuses)));
            }
        }
        unproven
    }

    /// The stored statement of this author.
    pub fn get(&self, author: Id) -> Option<&Statement> {
        self.stored.get(&author).map(|stored| &stored.statement)
    }

    /// The author's statement with its signature, as it was received.
    pub fn signed(&self, author: Id) -> Option<&SignedStatement> {
        self.stored.get(&author).map(|stored| &stored.signed)
    }

    /// Removes the author's statement.
    pub fn forget(&mut self, author: Id) {
        self.stored.remove(&author);
    }

    /// Ids of all authors.
    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.stored.keys().copied()
    }

    /// All stored statements, in order of their authors' ids.
    pub fn iter(&self) -> impl Iterator<Item = &Statement> {
        self.stored.values().map(|stored| &stored.statement)
    }

    /// Up to `max` digests (author, incarnation, version) of the stored statements, in order of ids starting
    /// at `from`.
    pub fn digests(&self, from: Id, max: usize) -> Vec<(Id, u64, u32)> {
        let stored = self.stored.range(from..).take(max);
        stored.map(|(&id, stored)| (id, stored.statement.incarnation, stored.statement.version)).collect()
    }

    /// Authors from `from` to `to` of whom the peer has no statement or an older one.
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

    /// Whether the peer has a newer statement than this store.
    pub fn is_behind(&self, have: &[(Id, u64, u32)]) -> bool {
        let stored = |id: &Id| self.stored.get(id).map(|stored| Self::version_key(&stored.statement));
        have.iter().any(|(id, incarnation, version)| {
            stored(id).is_none_or(|stored| stored < (*incarnation, *version))
        })
    }

    /// Authors whose statements are still to be sent on: first accusations that are not believed yet and
    /// withdrawn vouching, then those sent least often.
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

    /// Counts one more transmission of the author's statement.
    pub fn mark_transmitted(&mut self, author: Id) {
        if let Some(stored) = self.stored.get_mut(&author) {
            stored.transmissions_left = stored.transmissions_left.saturating_sub(1);
        }
    }

    /// All accused servers. `max_faulty` is the number of members that may make false statements. Statements
    /// received longer than `max_age` ago are ignored, and no accusation counts that may have been made
    /// longer ago (infinity for no bound).
    ///
    /// Accusations that began after `begun_before` are not believed yet: members that had answers must be
    /// heard first.
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
            // Each voucher itself compares its answer with the time when the accusations began, as far as it
            // knows, and withdraws it if it is older. Until that arrives, the time that it states is checked
            // here.
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
