//! Bounds how old a proxy's knowledge is. A proxy that wants to act on the decisions asks the council. The
//! leader answers once a majority has answered a heartbeat round that began after the request, so that no
//! later leader can have decided anything before. Everything decided by the time of the request is then
//! known, by the requester's own clock. Members combine the requests of many proxies into one, so that
//! hundreds do not all ask the leader.

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

/// Requests of a proxy per lease.
const REFRESHES_PER_LEASE: f64 = 3.0;
/// Requests that wait at a member. Further ones are dropped and sent again later.
const MAX_WAITING: usize = 1024;
/// Most open requests for a caller's nonce, and most proofs that wait to be taken; the oldest are dropped.
const MAX_PROOFS: usize = 16;

/// Requests for fresh knowledge of the decisions: this proxy's own and those of others.
#[derive(Clone, Debug, Default)]
pub struct FreshnessRequests {
    /// The proxy's own request: its nonce, and when it was sent.
    own_request: Option<(Nonce, f64)>,
    /// The time as of which everything is known once the index is applied.
    confirmed: Option<(f64, Index)>,
    /// Everything decided before this time is applied here.
    fresh_as_of: Option<f64>,
    /// Requests of others: at a leader with the round that answers them, elsewhere waiting for the next
    /// request.
    waiting: VecDeque<(Id, Nonce, u64)>,
    /// The requests of others that the pending request answers.
    relayed: Vec<(Id, Nonce)>,
    /// Nonces of the caller's requests, and the proofs received for them.
    requested_nonces: VecDeque<Nonce>,
    proofs: VecDeque<FreshnessProof>,
}

impl FreshnessRequests {
    /// Drops all waiting requests, as when the leader changes.
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
        self.relayed.clear();
        self.own_request = None;
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// How old this proxy's knowledge of the decisions can be, in milliseconds; infinite before the first
    /// answer.
    pub fn age(&self, now: f64) -> f64 {
        self.freshness.fresh_as_of.map_or(f64::INFINITY, |as_of| now - as_of)
    }

    /// Asks the council now, even if no request is due. [`Agreement::age`] shows when it has answered.
    pub fn refresh(&mut self, now: f64) {
        self.send_freshness_request(now);
    }

    /// Asks the council how far decisions have come, with a nonce of the caller. The proof, from
    /// [`Agreement::next_freshness_proof`], can be passed on to others. Without an answer after a while the
    /// caller has to ask again with another nonce.
    pub fn request_freshness(&mut self, nonce: Nonce) {
        self.freshness.requested_nonces.push_back(nonce);
        if self.freshness.requested_nonces.len() > MAX_PROOFS {
            self.freshness.requested_nonces.pop_front();
        }
        if let RoleState::Leader(leader_state) = &self.role_state {
            self.freshness.waiting.push_back((self.id, nonce, leader_state.round + 1));
        } else if let Some(to) = if self.is_voter() { self.leader() } else { self.random_voter() } {
            self.send(to, &Message::FreshnessRequest { nonce });
        }
    }

    /// The next answer to [`Agreement::request_freshness`].
    pub fn next_freshness_proof(&mut self) -> Option<FreshnessProof> {
        self.freshness.proofs.pop_front()
    }

    /// Sends a request when knowledge gets old or others wait, and drops one that was not answered.
    pub(crate) fn refresh_if_due(&mut self, now: f64) {
        self.complete_refresh();
        let interval = self.terms.lease / REFRESHES_PER_LEASE;
        let due = self.age(now) >= interval || !self.freshness.waiting.is_empty();
        let timed_out = self
            .freshness
            .own_request
            .is_some_and(|(_, sent_at)| now - sent_at >= interval.min(self.election_timeout()));
        if timed_out {
            (self.freshness.own_request, self.freshness.relayed) = (None, Vec::new());
        }
        if due && self.freshness.own_request.is_none() {
            self.send_freshness_request(now);
        }
    }

    /// Sends the proxy's own request, which also covers the requests of others.
    fn send_freshness_request(&mut self, now: f64) {
        let nonce: Nonce = self.rng.random();
        if let RoleState::Leader(leader_state) = &self.role_state {
            let round = leader_state.round + 1;
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

    /// Queues the request of another proxy.
    pub(crate) fn handle_freshness_request(&mut self, from: Id, nonce: Nonce) {
        if !self.is_voter() || self.freshness.waiting.len() >= MAX_WAITING {
            return;
        }
        let round = match &self.role_state {
            RoleState::Leader(leader_state) => leader_state.round + 1,
            _ => 0,
        };
        self.freshness.waiting.push_back((from, nonce, round));
        #[cfg(test)]
        if self.has_fault(crate::tests::Fault::StaleRead) {
            self.freshness.waiting.pop_back();
            self.send_freshness_response(from, nonce, self.decided);
        }
    }

    /// As the leader, answers the requests whose round a majority has answered.
    pub(crate) fn answer_waiting(&mut self) {
        let RoleState::Leader(leader_state) = &self.role_state else { return };
        let council = self.persisted.log.council();
        let last_round = |id: Id| {
            leader_state
                .progress
                .get(&id)
                .filter(|progress| progress.disk_matches)
                .map_or(0, |progress| progress.round)
        };
        let round_acknowledged =
            |round: u64| council.is_majority(|voter| voter.id == self.id || last_round(voter.id) >= round);
        // Before an entry of its own term is decided, a leader may not know what earlier leaders decided.
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

    /// Handles a signed answer to the proxy's own or its caller's request.
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
        if let Some(position) = requested {
            self.freshness.requested_nonces.remove(position);
            self.freshness.proofs.push_back(proof);
            if self.freshness.proofs.len() > MAX_PROOFS {
                self.freshness.proofs.pop_front();
            }
            return;
        }
        let Some((_, sent_at)) = own else { return };
        self.freshness.own_request = None;
        self.freshness.confirmed = Some((sent_at, proof.index));
        for (to, nonce) in std::mem::take(&mut self.freshness.relayed) {
            self.send_freshness_response(to, nonce, proof.index);
        }
        self.complete_refresh();
    }

    /// Counts a confirmed answer once its index is applied.
    pub(crate) fn complete_refresh(&mut self) {
        if let Some((as_of, _)) = self.freshness.confirmed.filter(|(_, index)| self.applied >= *index) {
            self.freshness.fresh_as_of =
                Some(self.freshness.fresh_as_of.map_or(as_of, |before| before.max(as_of)));
            self.freshness.confirmed = None;
        }
    }
}
