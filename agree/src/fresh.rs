//! How old what a proxy knows can be. Whoever wants to act by it asks the council: a leader answers once a
//! majority has answered a round that it began after it was asked, so that no later leader can have decided
//! anything before. What was decided by the time of asking is then known, by the asker's own clock. Members
//! gather the asks of many into one, so that hundreds do not all ask the leader.

use std::collections::VecDeque;

use rand::Rng;

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::election::Post;
use crate::freshness::{FreshnessProof, Nonce};
use crate::log::Index;
use crate::machine::Machine;
use crate::wire::Message;

/// A proxy asks so many times in a lease.
const ASKS: f64 = 3.0;
/// Asks that wait at a member; more are dropped, and asked again.
const MOST_WAITS: usize = 1024;
/// Asks on others' behalf that are open at once, and their answers; the oldest are forgotten.
const MOST_PROOFS: usize = 16;

#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Its own ask: nonce, and when it was made.
    asked: Option<(Nonce, f64)>,
    /// What it will know to be decided as of when, once it has carried out so much.
    told: Option<(f64, Index)>,
    /// All that was decided before then is carried out here.
    at: Option<f64>,
    /// Asks of others that wait: at a leader with the round that answers them, elsewhere for the next ask.
    waits: VecDeque<(Id, Nonce, u64)>,
    /// Those that the ask on its way answers.
    relayed: Vec<(Id, Nonce)>,
    /// Nonces of the caller's own that are asked about, and what came of them.
    wanted: VecDeque<Nonce>,
    proofs: VecDeque<FreshnessProof>,
}

impl Freshness {
    pub(crate) fn drop_waits(&mut self) {
        self.waits.clear();
        self.relayed.clear();
        self.asked = None;
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// How old what this proxy knows of the decisions can be, in milliseconds; infinity before it was ever
    /// told.
    pub fn age(&self, now: f64) -> f64 {
        self.fresh.at.map_or(f64::INFINITY, |at| now - at)
    }

    /// Asks the council now, though there would be time: [`Agreement::age`] tells when it has answered.
    pub fn refresh(&mut self, now: f64) {
        self.ask_fresh(now);
    }

    /// Asks the council how far decisions are, by a nonce of the caller's own. The answer can be passed on to
    /// others: [`Agreement::next_freshness_proof`] gives it. Without one after a while it is to be asked again, by
    /// another nonce.
    pub fn request_freshness(&mut self, nonce: Nonce) {
        self.fresh.wanted.push_back(nonce);
        if self.fresh.wanted.len() > MOST_PROOFS {
            self.fresh.wanted.pop_front();
        }
        if let Post::Leading(lead) = &self.post {
            self.fresh.waits.push_back((self.id, nonce, lead.round + 1));
        } else if let Some(to) = if self.is_seated() { self.leader() } else { self.any_voter() } {
            self.send(to, &Message::Fresh { nonce });
        }
    }

    /// The next answer to [`Agreement::request_freshness`].
    pub fn next_freshness_proof(&mut self) -> Option<FreshnessProof> {
        self.fresh.proofs.pop_front()
    }

    pub(crate) fn keep_fresh(&mut self, now: f64) {
        self.arrive();
        let lapse = self.terms.lease / ASKS;
        let due = self.age(now) >= lapse || !self.fresh.waits.is_empty();
        let lost = self.fresh.asked.is_some_and(|(_, at)| now - at >= lapse.min(self.patience()));
        if lost {
            (self.fresh.asked, self.fresh.relayed) = (None, Vec::new());
        }
        if due && self.fresh.asked.is_none() {
            self.ask_fresh(now);
        }
    }

    fn ask_fresh(&mut self, now: f64) {
        let nonce: Nonce = self.chance.random();
        if let Post::Leading(lead) = &self.post {
            let round = lead.round + 1;
            self.fresh.asked = Some((nonce, now));
            self.fresh.waits.push_back((self.id, nonce, round));
            return;
        }
        let to = if self.is_seated() { self.leader() } else { self.any_voter() };
        let Some(to) = to else { return self.fresh.drop_waits() };
        self.fresh.asked = Some((nonce, now));
        self.fresh.relayed = self.fresh.waits.drain(..).map(|(from, nonce, _)| (from, nonce)).collect();
        self.send(to, &Message::Fresh { nonce });
    }

    pub(crate) fn fresh_wanted(&mut self, from: Id, nonce: Nonce) {
        if !self.is_seated() || self.fresh.waits.len() >= MOST_WAITS {
            return;
        }
        let round = match &self.post {
            Post::Leading(lead) => lead.round + 1,
            _ => 0,
        };
        self.fresh.waits.push_back((from, nonce, round));
        #[cfg(test)]
        if self.planted(crate::tests::Fault::StaleRead) {
            self.fresh.waits.pop_back();
            self.answer_fresh(from, nonce, self.decided);
        }
    }

    /// A leader answers those whose round a majority has answered.
    pub(crate) fn answer_waits(&mut self) {
        let Post::Leading(lead) = &self.post else { return };
        let council = self.kept.log.council();
        let rounds = |id: Id| lead.progress.get(&id).filter(|of| of.counts).map_or(0, |of| of.round);
        let heard =
            |round: u64| council.is_majority(|voter| voter.id == self.id || rounds(voter.id) >= round);
        // Before an entry of its own term is decided it may not know what earlier leaders decided.
        let knows = self.kept.log.mark(self.decided).is_some_and(|mark| mark.term == self.kept.term);
        let answered = self.fresh.waits.iter().take_while(|(_, _, round)| knows && heard(*round)).count();
        let index = self.decided;
        for (from, nonce, _) in self.fresh.waits.drain(..answered).collect::<Vec<_>>() {
            if from == self.id {
                self.fresh_told(FreshnessProof::sign(self.id, nonce, index, &self.keys));
            } else {
                self.answer_fresh(from, nonce, index);
            }
        }
    }

    fn answer_fresh(&mut self, to: Id, nonce: Nonce, index: Index) {
        let signature = FreshnessProof::sign(self.id, nonce, index, &self.keys).signature;
        self.send(to, &Message::FreshIs { nonce, index, signature });
    }

    pub(crate) fn fresh_told(&mut self, proof: FreshnessProof) {
        let wanted = self.fresh.wanted.iter().position(|wanted| *wanted == proof.nonce);
        let asked = self.fresh.asked.filter(|(asked, _)| *asked == proof.nonce);
        if wanted.is_none() && asked.is_none() {
            return;
        }
        let signed = |council| proof.is_valid(council, &self.keys);
        if proof.signer != self.id && !signed(&self.trust.1) && !signed(self.kept.log.council()) {
            self.counts.unproved += 1;
            return;
        }
        if let Some(at) = wanted {
            self.fresh.wanted.remove(at);
            self.fresh.proofs.push_back(proof);
            if self.fresh.proofs.len() > MOST_PROOFS {
                self.fresh.proofs.pop_front();
            }
            return;
        }
        let Some((_, at)) = asked else { return };
        self.fresh.asked = None;
        self.fresh.told = Some((at, proof.index));
        for (to, nonce) in std::mem::take(&mut self.fresh.relayed) {
            self.answer_fresh(to, nonce, proof.index);
        }
        self.arrive();
    }

    /// What it was told counts once all of it is carried out.
    pub(crate) fn arrive(&mut self) {
        if let Some((at, _)) = self.fresh.told.filter(|(_, index)| self.applied >= *index) {
            self.fresh.at = Some(self.fresh.at.map_or(at, |before| before.max(at)));
            self.fresh.told = None;
        }
    }
}
