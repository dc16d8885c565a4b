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
use crate::replicate::Lead;
use crate::wire::Message;

/// A member that hears no leader for so many beats, up to twice as many by chance, asks for votes; a leader
/// that hears no majority for so many steps down.
pub(crate) const PATIENCE_BEATS: f64 = 10.0;

/// What a member does.
#[derive(Clone, Debug)]
pub enum Post {
    Idle {
        leader: Option<Id>,
        heard: f64,
        /// How much longer than the least it waits, as a part of it.
        waits: f64,
    },
    Asking {
        trial: bool,
        term: Term,
        votes: BTreeSet<Id>,
        since: f64,
        waits: f64,
        /// Its own vote counts once this is on the disk.
        position: u64,
    },
    Leading(Lead),
}

impl Post {
    pub fn idle(now: f64, waits: f64) -> Self {
        Self::Idle { leader: None, heard: now, waits }
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    pub(crate) fn patience(&self) -> f64 {
        PATIENCE_BEATS * self.terms.heartbeat
    }

    /// Waits for a leader, as from now.
    pub(crate) fn idle(&mut self, now: f64) {
        self.post = Post::idle(now, self.chance.random());
        self.fresh.drop_waits();
    }

    pub(crate) fn leader(&self) -> Option<Id> {
        match &self.post {
            Post::Idle { leader, .. } => *leader,
            Post::Asking { .. } => None,
            Post::Leading(_) => Some(self.id),
        }
    }

    /// A leader was heard in the present term.
    pub(crate) fn follow_leader(&mut self, now: f64, from: Id) {
        self.post = Post::Idle { leader: Some(from), heard: now, waits: self.chance.random() };
    }

    /// Goes into a later term, in which it has not voted.
    pub(crate) fn adopt(&mut self, now: f64, term: Term) {
        (self.kept.term, self.kept.voted) = (term, None);
        self.keep(disk::vote(term, None));
        // Whoever merely waits does not begin to wait anew: that would put off its turn.
        if !matches!(self.post, Post::Idle { .. }) {
            self.idle(now);
        }
    }

    /// A later term was met in an answer. A member that still asks the others after its start waits for no
    /// answer: what comes was meant for the process before it, and a term taken from there would hide that its
    /// disk is an older copy.
    pub(crate) fn learn_term(&mut self, now: f64, term: Term) {
        if self.founding.checked && term > self.kept.term {
            self.adopt(now, term);
        }
    }

    /// Asks for votes when its patience is over.
    pub(crate) fn stand(&mut self, now: f64) {
        let (since, waits) = match &self.post {
            Post::Idle { heard, waits, .. } => (*heard, *waits),
            Post::Asking { since, waits, .. } => (*since, *waits),
            Post::Leading(_) => return,
        };
        if now - since < self.patience() * (1.0 + waits) {
            return;
        }
        if self.may_vote() {
            self.ask_votes(now, true);
        } else if matches!(self.post, Post::Idle { leader: Some(_), .. }) {
            self.idle(now);
        }
    }

    fn ask_votes(&mut self, now: f64, trial: bool) {
        let term = self.kept.term + 1;
        if !trial {
            (self.kept.term, self.kept.voted) = (term, Some(self.id));
            self.keep(disk::vote(term, self.kept.voted));
        }
        let (waits, position) = (self.chance.random(), self.disk.position());
        self.post = Post::Asking { trial, term, votes: BTreeSet::new(), since: now, waits, position };
        let (disk_id, last) = (self.disk_id(), self.kept.log.last());
        let others: Vec<Id> = self.kept.log.council().ids().filter(|&id| id != self.id).collect();
        for to in others {
            self.send_kept(to, &Message::Ask { term, trial, disk_id, index: last.index, of: last.term });
        }
        self.tally(now);
    }

    #[allow(clippy::too_many_arguments)] // the fields of the message
    pub(crate) fn asked(
        &mut self,
        now: f64,
        from: Id,
        term: Term,
        trial: bool,
        disk_id: u64,
        index: Index,
        of: Term,
    ) {
        if !self.may_vote() || !self.kept.log.council().contains(from) {
            self.counts.stray += u64::from(!self.kept.log.council().contains(from));
            return;
        }
        self.met(from, disk_id, if trial { 0 } else { term }, 0);
        let last = self.kept.log.last();
        let whole = (of, index) >= (last.term, last.index);
        let led = match &self.post {
            Post::Idle { leader, heard, .. } => leader.is_some() && now - heard < self.patience(),
            Post::Asking { .. } => false,
            Post::Leading(_) => true,
        };
        if trial {
            let granted = term > self.kept.term && whole && !led;
            let term = if granted { term } else { self.kept.term };
            return self.send_kept(from, &Message::Vote { term, trial, granted, disk_id: self.disk_id() });
        }
        if term > self.kept.term {
            self.adopt(now, term);
        }
        let free = self.kept.voted.is_none_or(|voted| voted == from);
        let granted = term == self.kept.term && free && whole;
        if granted && self.kept.voted.is_none() {
            self.kept.voted = Some(from);
            self.keep(disk::vote(term, self.kept.voted));
            self.idle(now);
        }
        let (term, disk_id) = (self.kept.term, self.disk_id());
        self.send_kept(from, &Message::Vote { term, trial, granted, disk_id });
    }

    pub(crate) fn voted(&mut self, now: f64, from: Id, term: Term, trial: bool, granted: bool, disk_id: u64) {
        let Some(voter) = self.kept.log.council().voter(from) else { return };
        self.met(from, disk_id, if granted && trial { 0 } else { term }, 0);
        if !granted {
            self.learn_term(now, term);
            return;
        }
        if let Post::Asking { trial: asks, term: of, votes, .. } = &mut self.post
            && (*asks, *of) == (trial, term)
            && voter.disk_id == disk_id
        {
            votes.insert(from);
            self.tally(now);
        }
    }

    /// Counts votes; its own, too, only once it is on the disk.
    pub(crate) fn tally(&mut self, now: f64) {
        let Post::Asking { trial, votes, position, .. } = &self.post else { return };
        let own = self.disk.synced() >= *position;
        let trial = *trial;
        let council = self.kept.log.council();
        if !council.is_majority(|voter| if voter.id == self.id { own } else { votes.contains(&voter.id) }) {
            return;
        }
        if trial { self.ask_votes(now, false) } else { self.lead(now) }
    }
}
