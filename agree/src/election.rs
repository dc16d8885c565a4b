//! Who leads: Raft's elections (Ongaro and Ousterhout), with a trial round before each, so that a member
//! which was cut off does not disturb the others when it is back, and a leader that steps down when it hears
//! no majority, so that one which others hear but do not reach makes room.

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

/// A member that hears no leader for so many beats, up to twice as many by chance, asks for votes; a leader
/// that hears no majority for so many steps down.
pub(crate) const ELECTION_TIMEOUT_HEARTBEATS: f64 = 10.0;

/// What a member does.
#[derive(Clone, Debug)]
pub enum RoleState {
    Follower {
        leader: Option<Id>,
        last_heard_at: f64,
        /// How much longer than the least it waits, as a part of it.
        timeout_jitter: f64,
    },
    Candidate {
        pre_vote: bool,
        term: Term,
        votes: BTreeSet<Id>,
        started_at: f64,
        timeout_jitter: f64,
        /// Its own vote counts once this is on the disk.
        disk_position: u64,
    },
    Leader(LeaderState),
}

impl RoleState {
    pub fn follower(now: f64, timeout_jitter: f64) -> Self {
        Self::Follower { leader: None, last_heard_at: now, timeout_jitter }
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    pub(crate) fn election_timeout(&self) -> f64 {
        ELECTION_TIMEOUT_HEARTBEATS * self.terms.heartbeat
    }

    /// Waits for a leader, as from now.
    pub(crate) fn become_follower(&mut self, now: f64) {
        self.role_state = RoleState::follower(now, self.rng.random());
        self.freshness.clear_waiting();
    }

    pub(crate) fn leader(&self) -> Option<Id> {
        match &self.role_state {
            RoleState::Follower { leader, .. } => *leader,
            RoleState::Candidate { .. } => None,
            RoleState::Leader(_) => Some(self.id),
        }
    }

    /// A leader was heard in the present term.
    pub(crate) fn follow(&mut self, now: f64, from: Id) {
        self.role_state =
            RoleState::Follower { leader: Some(from), last_heard_at: now, timeout_jitter: self.rng.random() };
    }

    /// Goes into a later term, in which it has not voted.
    pub(crate) fn enter_term(&mut self, now: f64, term: Term) {
        (self.persisted.term, self.persisted.voted) = (term, None);
        self.persist(disk::encode_vote(term, None));
        // Whoever merely waits does not begin to wait anew: that would put off its turn.
        if !matches!(self.role_state, RoleState::Follower { .. }) {
            self.become_follower(now);
        }
    }

    /// A later term was met in an answer. A member that still asks the others after its start waits for no
    /// answer: what comes was meant for the process before it, and a term taken from there would hide that its
    /// disk is an older copy.
    pub(crate) fn observe_term(&mut self, now: f64, term: Term) {
        if self.bootstrap.disk_verified && term > self.persisted.term {
            self.enter_term(now, term);
        }
    }

    /// Asks for votes when its patience is over.
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

    /// Counts votes; its own, too, only once it is on the disk.
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
