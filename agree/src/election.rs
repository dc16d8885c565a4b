//! Leader election as in Raft (Ongaro and Ousterhout), with a pre-vote round, so that a member that was cut
//! off does not disturb the others when it returns. A leader that hears from no majority steps down, so
//! that a leader whose messages arrive but who receives none makes way for another.

use std::collections::BTreeSet;

use rand::Rng;

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::disk;
use crate::log::{Index, Term};
use crate::machine::Machine;
use crate::replication::LeaderState;
use crate::wire::Message;

/// Heartbeats without a message from the leader after which a member requests votes; a random extra delay
/// of up to the same length is added. A leader that hears from no majority for that long steps down.
pub(crate) const ELECTION_TIMEOUT_HEARTBEATS: f64 = 10.0;

/// A member's role in the current term.
#[derive(Clone, Debug)]
pub enum RoleState {
    Follower {
        leader: Option<Id>,
        last_heard_at: f64,
        /// The extra delay, as a fraction of the election timeout.
        timeout_jitter: f64,
    },
    Candidate {
        pre_vote: bool,
        term: Term,
        votes: BTreeSet<Id>,
        started_at: f64,
        timeout_jitter: f64,
        /// Its own vote counts once the disk is synced up to this position.
        disk_position: u64,
    },
    Leader(LeaderState),
}

impl RoleState {
    /// A follower that has heard of no leader yet.
    pub fn follower(now: f64, timeout_jitter: f64) -> Self {
        Self::Follower { leader: None, last_heard_at: now, timeout_jitter }
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// The election timeout without jitter, in milliseconds.
    pub(crate) fn election_timeout(&self) -> f64 {
        ELECTION_TIMEOUT_HEARTBEATS * self.terms.heartbeat
    }

    /// Becomes a follower without a leader, with a new election timeout from now on.
    pub(crate) fn become_follower(&mut self, now: f64) {
        self.role_state = RoleState::follower(now, self.rng.random());
        self.freshness.clear_waiting();
    }

    /// The leader of the current term, if known.
    pub(crate) fn leader(&self) -> Option<Id> {
        match &self.role_state {
            RoleState::Follower { leader, .. } => *leader,
            RoleState::Candidate { .. } => None,
            RoleState::Leader(_) => Some(self.id),
        }
    }

    /// Follows a leader that was heard in the current term.
    pub(crate) fn follow(&mut self, now: f64, from: Id) {
        self.role_state =
            RoleState::Follower { leader: Some(from), last_heard_at: now, timeout_jitter: self.rng.random() };
    }

    /// Enters a later term, in which it has not voted.
    pub(crate) fn enter_term(&mut self, now: f64, term: Term) {
        (self.persisted.term, self.persisted.voted) = (term, None);
        self.persist(disk::encode_vote(term, None));
        // A follower keeps its election timer: restarting it would delay its own candidacy.
        if !matches!(self.role_state, RoleState::Follower { .. }) {
            self.become_follower(now);
        }
    }

    /// Enters a later term that was seen in a response. A member that still queries the others after its
    /// start expects no response: it was meant for the process before it, and adopting its term would hide
    /// that the disk is an older copy.
    pub(crate) fn observe_term(&mut self, now: f64, term: Term) {
        if self.bootstrap.disk_verified && term > self.persisted.term {
            self.enter_term(now, term);
        }
    }

    /// Requests votes when the election timeout is over.
    pub(crate) fn start_election_if_due(&mut self, now: f64) {
        let (started_at, timeout_jitter) = match &self.role_state {
            RoleState::Follower { last_heard_at, timeout_jitter, .. } => (*last_heard_at, *timeout_jitter),
            RoleState::Candidate { started_at, timeout_jitter, .. } => (*started_at, *timeout_jitter),
            RoleState::Leader(_) => return,
        };
        if now - started_at < self.election_timeout() * (1.0 + timeout_jitter) {
            return;
        }
        if self.may_vote() {
            self.request_votes(now, true);
        } else if matches!(self.role_state, RoleState::Follower { leader: Some(_), .. }) {
            self.become_follower(now);
        }
    }

    /// Starts a pre-vote round, or an election in the next term.
    fn request_votes(&mut self, now: f64, pre_vote: bool) {
        let term = self.persisted.term + 1;
        if !pre_vote {
            (self.persisted.term, self.persisted.voted) = (term, Some(self.id));
            self.persist(disk::encode_vote(term, self.persisted.voted));
        }
        let (timeout_jitter, disk_position) = (self.rng.random(), self.disk.position());
        self.role_state = RoleState::Candidate {
            pre_vote,
            term,
            votes: BTreeSet::new(),
            started_at: now,
            timeout_jitter,
            disk_position,
        };
        let (disk_id, last) = (self.disk_id(), self.persisted.log.last());
        let others: Vec<Id> = self.persisted.log.council().ids().filter(|&id| id != self.id).collect();
        for to in others {
            self.send_after_sync(
                to,
                &Message::RequestVote {
                    term,
                    pre_vote,
                    disk_id,
                    last_index: last.index,
                    last_term: last.term,
                },
            );
        }
        self.count_votes(now);
    }

    #[allow(clippy::too_many_arguments)] // the fields of the message
    pub(crate) fn handle_vote_request(
        &mut self,
        now: f64,
        from: Id,
        term: Term,
        pre_vote: bool,
        disk_id: u64,
        last_index: Index,
        last_term: Term,
    ) {
        if !self.may_vote() || !self.persisted.log.council().contains(from) {
            self.counts.unexpected_sender += u64::from(!self.persisted.log.council().contains(from));
            return;
        }
        self.record_history(from, disk_id, if pre_vote { 0 } else { term }, 0);
        let last = self.persisted.log.last();
        let up_to_date = (last_term, last_index) >= (last.term, last.index);
        let has_leader = match &self.role_state {
            RoleState::Follower { leader, last_heard_at, .. } => {
                leader.is_some() && now - last_heard_at < self.election_timeout()
            }
            RoleState::Candidate { .. } => false,
            RoleState::Leader(_) => true,
        };
        if pre_vote {
            let granted = term > self.persisted.term && up_to_date && !has_leader;
            let term = if granted { term } else { self.persisted.term };
            return self
                .send_after_sync(from, &Message::Vote { term, pre_vote, granted, disk_id: self.disk_id() });
        }
        if term > self.persisted.term {
            self.enter_term(now, term);
        }
        let may_grant = self.persisted.voted.is_none_or(|voted| voted == from);
        let granted = term == self.persisted.term && may_grant && up_to_date;
        if granted && self.persisted.voted.is_none() {
            self.persisted.voted = Some(from);
            self.persist(disk::encode_vote(term, self.persisted.voted));
            self.become_follower(now);
        }
        let (term, disk_id) = (self.persisted.term, self.disk_id());
        self.send_after_sync(from, &Message::Vote { term, pre_vote, granted, disk_id });
    }

    /// Handles the response to a vote request.
    pub(crate) fn handle_vote(
        &mut self,
        now: f64,
        from: Id,
        term: Term,
        pre_vote: bool,
        granted: bool,
        disk_id: u64,
    ) {
        let Some(voter) = self.persisted.log.council().voter(from) else { return };
        self.record_history(from, disk_id, if granted && pre_vote { 0 } else { term }, 0);
        if !granted {
            self.observe_term(now, term);
            return;
        }
        if let RoleState::Candidate { pre_vote: own_pre_vote, term: own_term, votes, .. } =
            &mut self.role_state
            && (*own_pre_vote, *own_term) == (pre_vote, term)
            && voter.disk_id == disk_id
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Counts the votes, its own only once it is on the disk.
    pub(crate) fn count_votes(&mut self, now: f64) {
        let RoleState::Candidate { pre_vote, votes, disk_position, .. } = &self.role_state else { return };
        let own_vote_synced = self.disk.synced() >= *disk_position;
        let pre_vote = *pre_vote;
        let council = self.persisted.log.council();
        if !council.is_majority(
            |voter| if voter.id == self.id { own_vote_synced } else { votes.contains(&voter.id) },
        ) {
            return;
        }
        if pre_vote { self.request_votes(now, false) } else { self.become_leader(now) }
    }
}
