//! How old what a proxy knows can be. Whoever wants to act by it asks the council: a leader answers once a
//! majority has answered a round that it began after it was asked, so that no later leader can have decided
//! anything before. What was decided by the time of asking is then known, by the asker's own clock. Members
//! gather the asks of many into one, so that hundreds do not all ask the leader.

use std::collections::VecDeque;

use rand::Rng;

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::election::RoleState;
use crate::freshness::{FreshnessProof, Nonce};
use crate::log::Index;
use crate::machine::Machine;
use crate::wire::Message;

/// A proxy asks so many times in a lease.
const REFRESHES_PER_LEASE: f64 = 3.0;
/// Asks that wait at a member; more are dropped, and asked again.
const MAX_WAITING: usize = 1024;
/// Asks on others' behalf that are open at once, and their answers; the oldest are forgotten.
const MAX_PROOFS: usize = 16;

#[derive(Clone, Debug, Default)]
pub struct FreshnessRequests {
    /// Its own ask: nonce, and when it was made.
    own_request: Option<(Nonce, f64)>,
    /// What it will know to be decided as of when, once it has carried out so much.
    confirmed: Option<(f64, Index)>,
    /// All that was decided before then is carried out here.
    fresh_as_of: Option<f64>,
    /// Asks of others that wait: at a leader with the round that answers them, elsewhere for the next ask.
    waiting: VecDeque<(Id, Nonce, u64)>,
    /// Those that the ask on its way answers.
    relayed: Vec<(Id, Nonce)>,
    /// Nonces of the caller's own that are asked about, and what came of them.
    requested_nonces: VecDeque<Nonce>,
    proofs: VecDeque<FreshnessProof>,
}

impl FreshnessRequests {
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
        self.relayed.clear();
        self.own_request = None;
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// How old what this proxy knows of the decisions can be, in milliseconds; infinity before it was ever
    /// told.
    pub fn age(&self, now: f64) -> f64 {
        self.freshness.fresh_as_of.map_or(f64::INFINITY, |at| now - at)
    }

    /// Asks the council now, though there would be time: [`Agreement::age`] tells when it has answered.
    pub fn refresh(&mut self, now: f64) {
        self.send_freshness_request(now);
    }

    /// Asks the council how far decisions are, by a nonce of the caller's own. The answer can be passed on to
    /// others: [`Agreement::next_freshness_proof`] gives it. Without one after a while it is to be asked again, by
    /// another nonce.
    pub fn request_freshness(&mut self, nonce: Nonce) {
        self.freshness.requested_nonces.push_back(nonce);
        if self.freshness.requested_nonces.len() > MAX_PROOFS {
            self.freshness.requested_nonces.pop_front();
        }
        if let RoleState::Leader(lead) = &self.role_state {
            self.freshness.waiting.push_back((self.id, nonce, lead.round + 1));
        } else if let Some(to) = if self.is_voter() { self.leader() } else { self.random_voter() } {
            self.send(to, &Message::FreshnessRequest { nonce });
        }
    }

    /// The next answer to [`Agreement::request_freshness`].
    pub fn next_freshness_proof(&mut self) -> Option<FreshnessProof> {
        self.freshness.proofs.pop_front()
    }

    pub(crate) fn refresh_if_due(&mut self, now: f64) {
        self.complete_refresh();
        let interval = self.terms.lease / REFRESHES_PER_LEASE;
        let due = self.age(now) >= interval || !self.freshness.waiting.is_empty();
        let timed_out = self
            .freshness
            .own_request
            .is_some_and(|(_, at)| now - at >= interval.min(self.election_timeout()));
        if timed_out {
            (self.freshness.own_request, self.freshness.relayed) = (None, Vec::new());
        }
        if due && self.freshness.own_request.is_none() {
            self.send_freshness_request(now);
        }
    }

    fn send_freshness_request(&mut self, now: f64) {
        let nonce: Nonce = self.rng.random();
        if let RoleState::Leader(lead) = &self.role_state {
            let round = lead.round + 1;
            self.freshness.own_request = Some((nonce, now));
            self.freshness.waiting.push_back((self.id, nonce, round));
            return;
        }
        let to = if self.is_voter() { self.leader() } else { self.random_voter() };
        let Some(to) = to else { return self.freshness.clear_waiting() };
        self.freshness.own_request = Some((nonce, now));
        self.freshness.relayed =
            self.freshness.waiting.drain(..).map(|(from, nonce, _)| (from, nonce)).collect();
        self.send(to, &Message::FreshnessRequest { nonce });
    }

    pub(crate) fn handle_freshness_request(&mut self, from: Id, nonce: Nonce) {
        if !self.is_voter() || self.freshness.waiting.len() >= MAX_WAITING {
            return;
        }
        let round = match &self.role_state {
            RoleState::Leader(lead) => lead.round + 1,
            _ => 0,
        };
        self.freshness.waiting.push_back((from, nonce, round));
        #[cfg(test)]
        if self.has_fault(crate::tests::Fault::StaleRead) {
            self.freshness.waiting.pop_back();
            self.send_freshness_response(from, nonce, self.decided);
        }
    }

    /// A leader answers those whose round a majority has answered.
    pub(crate) fn answer_waiting(&mut self) {
        let RoleState::Leader(lead) = &self.role_state else { return };
        let council = self.persisted.log.council();
        let last_round =
            |id: Id| lead.progress.get(&id).filter(|of| of.disk_matches).map_or(0, |of| of.round);
        let round_acknowledged =
            |round: u64| council.is_majority(|voter| voter.id == self.id || last_round(voter.id) >= round);
        // Before an entry of its own term is decided it may not know what earlier leaders decided.
        let own_term_decided = self
            .persisted
            .log
            .position_at(self.decided)
            .is_some_and(|log_position| log_position.term == self.persisted.term);
        let answered = self
            .freshness
            .waiting
            .iter()
            .take_while(|(_, _, round)| own_term_decided && round_acknowledged(*round))
            .count();
        let index = self.decided;
        for (from, nonce, _) in self.freshness.waiting.drain(..answered).collect::<Vec<_>>() {
            if from == self.id {
                self.handle_freshness_response(FreshnessProof::sign(self.id, nonce, index, &self.keys));
            } else {
                self.send_freshness_response(from, nonce, index);
            }
        }
    }

    fn send_freshness_response(&mut self, to: Id, nonce: Nonce, index: Index) {
        let signature = FreshnessProof::sign(self.id, nonce, index, &self.keys).signature;
        self.send(to, &Message::FreshnessResponse { nonce, index, signature });
    }

    pub(crate) fn handle_freshness_response(&mut self, proof: FreshnessProof) {
        let requested = self.freshness.requested_nonces.iter().position(|nonce| *nonce == proof.nonce);
        let own = self.freshness.own_request.filter(|(nonce, _)| *nonce == proof.nonce);
        if requested.is_none() && own.is_none() {
            return;
        }
        let is_signed_by = |council| proof.is_valid(council, &self.keys);
        if proof.signer != self.id
            && !is_signed_by(&self.trusted.1)
            && !is_signed_by(self.persisted.log.council())
        {
            self.counts.unproved += 1;
            return;
        }
        if let Some(at) = requested {
            self.freshness.requested_nonces.remove(at);
            self.freshness.proofs.push_back(proof);
            if self.freshness.proofs.len() > MAX_PROOFS {
                self.freshness.proofs.pop_front();
            }
            return;
        }
        let Some((_, at)) = own else { return };
        self.freshness.own_request = None;
        self.freshness.confirmed = Some((at, proof.index));
        for (to, nonce) in std::mem::take(&mut self.freshness.relayed) {
            self.send_freshness_response(to, nonce, proof.index);
        }
        self.complete_refresh();
    }

    /// What it was told counts once all of it is carried out.
    pub(crate) fn complete_refresh(&mut self) {
        if let Some((at, _)) = self.freshness.confirmed.filter(|(_, index)| self.applied >= *index) {
            self.freshness.fresh_as_of = Some(self.freshness.fresh_as_of.map_or(at, |before| before.max(at)));
            self.freshness.confirmed = None;
        }
    }
}
