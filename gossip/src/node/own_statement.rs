//! This member's own statement, and when it is made again.

use super::{FANOUT, Node, PROBE_HELPERS, RESTATE_INTERVALS, VOUCH_INTERVALS};
use crate::budget::Priority;
use crate::statements::AccusedServer;
use crate::wire::{self, Generation, Message, SignedStatement, Statement};

/// Accusers of one server that are enough, as a multiple of the number that belief needs.
const ENOUGH_ACCUSERS_FACTOR: usize = 4;

impl Node {
    /// Announces to other members that this one leaves.
    pub fn leave(&mut self, now: f64) {
        self.leaving = true;
        self.publish_statement(now);
        let max = FANOUT * PROBE_HELPERS;
        for peer in self.members.random_members(&mut self.rng, max, None) {
            self.send(now, peer, Message::PiggybackOnly, Priority::Answer);
        }
    }

    /// Makes a new statement with the current claims.
    pub(super) fn publish_statement(&mut self, now: f64) {
        let accused = self.accused(now);
        let since = |generation: Generation| self.vouch_since(&accused, generation);
        // Evidence uses the proxy's clock; times in statements count from this process's start.
        let window = VOUCH_INTERVALS * self.terms.probe_interval;
        let mut claims = self.evidence.claims(now, since, window);
        claims.retain(|claim| self.accusation_wanted(&accused, claim));
        for claim in &mut claims {
            claim.observed_at = claim.observed_at.saturating_sub(self.started_at.max(0.0) as u32);
        }
        self.version += 1;
        let statement = Statement {
            author: self.id,
            incarnation: self.incarnation,
            version: self.version,
            generation: self.generation,
            address: self.terms.address,
            clock: self.own_clock(now),
            leaving: self.leaving,
            claims: claims.clone(),
        };
        self.last_claims = Some((claims, now));
        let signed = SignedStatement::new(&statement, &self.secrets);
        let transmissions = self.members.transmissions();
        self.statements.merge(now, statement, signed, transmissions);
        self.statements.record_clock(self.id, self.generation, self.own_clock(now), now, now);
    }

    /// Milliseconds since this process started.
    pub(super) fn own_clock(&self, now: f64) -> u32 {
        (now - self.started_at).max(0.0) as u32
    }

    /// Since when the server is accused, if this member's vouching is needed: no more members need to vouch
    /// than it takes to outweigh the accusers, and those who vouched already keep doing so.
    fn vouch_since(&self, accused: &[AccusedServer], generation: Generation) -> Option<f64> {
        let server = accused.iter().find(|server| server.generation == generation)?;
        let already_vouches = self.last_claims.as_ref().is_some_and(|(stated, _)| {
            stated
                .iter()
                .any(|claim| claim.generation == generation && claim.kind == wire::ClaimKind::Answering)
        });
        (already_vouches || server.vouchers <= server.accusers + self.terms.max_faulty)
            .then_some(server.since)
    }

    /// Whether one more accusation is useful: accusations by the whole fleet would only use up the cap.
    fn accusation_wanted(&self, accused: &[AccusedServer], claim: &wire::Claim) -> bool {
        let stated = |(stated, _): &(Vec<wire::Claim>, f64)| {
            stated.iter().any(|previous| {
                previous.generation == claim.generation && previous.kind == wire::ClaimKind::Silent
            })
        };
        let enough = ENOUGH_ACCUSERS_FACTOR * (self.terms.max_faulty + 1);
        claim.kind == wire::ClaimKind::Answering
            || self.last_claims.as_ref().is_some_and(stated)
            || accused
                .iter()
                .find(|server| server.generation == claim.generation)
                .is_none_or(|server| server.accusers < enough)
    }

    /// Whether the claims differ from those last stated, or are due to be stated again.
    pub(super) fn claims_changed(&self, now: f64) -> bool {
        let Some((stated, stated_at)) = &self.last_claims else { return true };
        // A member without claims needs no repetition: probes show that it is alive.
        if !stated.is_empty() && now - stated_at >= RESTATE_INTERVALS * self.terms.probe_interval {
            return true;
        }
        let accused = self.accused(now);
        let since = |generation: Generation| self.vouch_since(&accused, generation);
        let mut claims = self.evidence.claims(now, since, VOUCH_INTERVALS * self.terms.probe_interval);
        claims.retain(|claim| self.accusation_wanted(&accused, claim));
        let same = |a: &wire::Claim, b: &wire::Claim| a.generation == b.generation && a.kind == b.kind;
        claims.len() != stated.len() || !claims.iter().zip(stated).all(|(a, b)| same(a, b))
    }
}
