//! What this member itself says, and when it says it anew.

use super::{FAN_OUT, HELPERS, Node, RESTATE_BEATS, VOUCH_BEATS};
use crate::budget::Priority;
use crate::statements::AccusedServer;
use crate::wire::{self, Generation, Message, Signed, Statement};

impl Node {
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
    pub(super) fn say(&mut self, now: f64) {
        let accused = self.accused(now);
        let since = |generation: Generation| self.to_vouch(&accused, generation);
        // Evidence is kept on the proxy's clock, statements count from the generation's begin.
        let window = VOUCH_BEATS * self.terms.probe_interval;
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
            generation: self.generation,
            address: self.terms.address,
            clock: self.clock(now),
            leaves: self.leaving,
            claims: claims.clone(),
        };
        self.said = Some((claims, now));
        let signed = Signed::new(&statement, &self.secrets);
        let passes = self.members.passes();
        self.statements.merge(now, statement, signed, passes);
        self.statements.clock(self.id, self.generation, self.clock(now), now, now);
    }

    /// Milliseconds since this generation began.
    pub(super) fn clock(&self, now: f64) -> u32 {
        (now - self.began).max(0.0) as u32
    }

    /// Since when the server is accused, if this member's word for it is wanted: as many as outweigh those
    /// who accuse are enough, and those who spoke up stand by it.
    fn to_vouch(&self, accused: &[AccusedServer], generation: Generation) -> Option<f64> {
        let of = accused.iter().find(|of| of.generation == generation)?;
        let spoke = self.said.as_ref().is_some_and(|(said, _)| {
            said.iter().any(|claim| claim.generation == generation && claim.kind == wire::Kind::Answering)
        });
        (spoke || of.vouchers <= of.accusers + self.terms.max_faulty).then_some(of.since)
    }

    /// Whether one more accusation is of use: a whole fleet's would only fill the cap.
    fn to_accuse(&self, accused: &[AccusedServer], claim: &wire::Claim) -> bool {
        let said = |(said, _): &(Vec<wire::Claim>, f64)| {
            said.iter()
                .any(|former| former.generation == claim.generation && former.kind == wire::Kind::Silent)
        };
        let enough = 4 * (self.terms.max_faulty + 1);
        claim.kind == wire::Kind::Answering
            || self.said.as_ref().is_some_and(said)
            || accused
                .iter()
                .find(|of| of.generation == claim.generation)
                .is_none_or(|of| of.accusers < enough)
    }

    /// Whether what it has to say is another than what it said.
    pub(super) fn changed(&self, now: f64) -> bool {
        let Some((said, at)) = &self.said else { return true };
        // Who accuses nobody is known to be there by being looked at.
        if !said.is_empty() && now - at >= RESTATE_BEATS * self.terms.probe_interval {
            return true;
        }
        let accused = self.accused(now);
        let since = |generation: Generation| self.to_vouch(&accused, generation);
        let mut claims = self.evidence.claims(now, since, VOUCH_BEATS * self.terms.probe_interval);
        claims.retain(|claim| self.to_accuse(&accused, claim));
        let same = |a: &wire::Claim, b: &wire::Claim| a.generation == b.generation && a.kind == b.kind;
        claims.len() != said.len() || !claims.iter().zip(said).all(|(a, b)| same(a, b))
    }
}
