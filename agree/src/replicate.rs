//! The log from its leader to the others, and when an entry is decided: a majority has it on the disk, and
//! it, or one after it, is of the leader's own term.

use std::collections::{BTreeMap, VecDeque};

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::disk;
use crate::election::Post;
use crate::log::{Entry, Hash, Index, Payload, Term};
use crate::machine::Machine;
use crate::wire::{ENTRIES, Message, Signed};

/// How far another is, as its leader knows.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// What it is sent next, and what it has on its disk.
    pub next: Index,
    pub has: Index,
    /// The latest round that it answered, and when.
    pub round: u64,
    pub heard: f64,
    /// The life under which it said what it has, and whether that is the one that its seat names.
    pub disk_id: u64,
    pub counts: bool,
}

/// What a leader knows.
#[derive(Clone, Debug)]
pub struct Lead {
    pub progress: BTreeMap<Id, Progress>,
    pub round: u64,
    /// Up to where its own log is on its own disk; what is on its way there, by the position that it waits
    /// for.
    own: Index,
    writing: VecDeque<(u64, Index)>,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    pub(crate) fn lead(&mut self, now: f64) {
        let last = self.kept.log.last().index;
        let at_first = Progress { next: last + 1, has: 0, round: 0, heard: now, disk_id: 0, counts: false };
        let others = self.kept.log.council().ids().filter(|&id| id != self.id);
        let progress = others.map(|id| (id, at_first)).collect();
        // All that this log holds was kept before the vote for it was.
        self.post = Post::Leading(Lead { progress, round: 0, own: last, writing: VecDeque::new() });
        self.counts.led += 1;
        self.append(now, 0, Payload::Begin);
    }

    /// Puts an entry into the log that this member leads, and sends it.
    pub(crate) fn append(&mut self, now: f64, request: u64, payload: Payload) {
        let entry = Entry { term: self.kept.term, request, payload };
        let mark = self.kept.log.append(entry.clone());
        self.keep(disk::append(mark.index - 1, &[entry]));
        let position = self.disk.position();
        let Post::Leading(lead) = &mut self.post else { return };
        lead.writing.push_back((position, mark.index));
        let fresh = Progress { next: mark.index, has: 0, round: 0, heard: now, disk_id: 0, counts: false };
        let council = self.kept.log.council();
        council.ids().filter(|&id| id != self.id).for_each(|id| {
            lead.progress.entry(id).or_insert(fresh);
        });
        lead.progress.retain(|&id, _| council.contains(id));
        self.has_own(now);
        self.send_all();
    }

    fn send_all(&mut self) {
        let Post::Leading(lead) = &self.post else { return };
        for to in lead.progress.keys().copied().collect::<Vec<_>>() {
            self.send_append(to);
        }
    }

    fn send_append(&mut self, to: Id) {
        let Post::Leading(lead) = &self.post else { return };
        let Some(progress) = lead.progress.get(&to) else { return };
        let (next, round) = (progress.next, lead.round);
        let mark = self.kept.log.mark(next - 1).unwrap_or_else(|| {
            // What it knows to be decided is further behind than the log reaches. It may still hold the log's
            // base undecided; where it does not, it gets a snapshot by the proof, and says when it has it.
            self.tell(to);
            self.kept.log.base()
        });
        let prev = mark.index;
        let entries = self.kept.log.since(prev, ENTRIES);
        let (term, disk_id, hash, decided) = (self.kept.term, self.disk_id(), mark.hash, self.decided);
        self.send(to, &Message::Append { term, round, disk_id, prev, hash, entries, decided });
    }

    /// A leader's beat: speaks to all, and steps down where it hears no majority.
    pub(crate) fn lead_on(&mut self, now: f64) {
        let patience = self.patience();
        let Post::Leading(lead) = &mut self.post else { return };
        let heard = |id: Id| lead.progress.get(&id).is_some_and(|of| now - of.heard < patience);
        if !self.kept.log.council().is_majority(|voter| voter.id == self.id || heard(voter.id)) {
            self.counts.stepped_down += 1;
            return self.idle(now);
        }
        lead.round += 1;
        self.send_all();
    }

    /// A leader speaks: `prev` is where its entries follow.
    #[allow(clippy::too_many_arguments)] // the fields of the message
    pub(crate) fn appended(
        &mut self,
        now: f64,
        from: Id,
        term: Term,
        round: u64,
        leader_disk_id: u64,
        prev: (Index, Hash),
        entries: Vec<Entry>,
        decided: Index,
    ) {
        if !(self.kept.log.council().contains(from) || self.trust.1.contains(from)) {
            self.counts.stray += 1;
            return;
        }
        // Who cannot write can neither follow a term nor hold entries; nor can one that is not known to be
        // sound.
        let learns = !self.kept.log.council().contains(self.id);
        if !self.disk.is_sound() || !(self.founding.checked || learns) {
            return;
        }
        self.met(from, leader_disk_id, term, 0);
        let disk_id = self.disk_id();
        if term < self.kept.term {
            let (term, index) = (self.kept.term, self.decided);
            return self
                .send_kept(from, &Message::Have { term, round, disk_id, index, fits: false, signed: None });
        }
        if term > self.kept.term {
            self.adopt(now, term);
        }
        if matches!(self.post, Post::Leading(_)) {
            self.counts.stray += 1;
            return;
        }
        self.follow_leader(now, from);
        let (prev, hash) = prev;
        let fits = self.kept.log.has(prev, &hash);
        let index = if fits { self.take(prev, entries) } else { self.decided };
        if fits {
            self.decided = self.decided.max(decided.min(index));
            self.apply();
        }
        let signed = self.signed();
        self.send_kept(from, &Message::Have { term, round, disk_id, index, fits, signed });
    }

    /// Puts entries behind an index: what is there already stays, what differs is taken back. Gives the last
    /// index.
    pub(crate) fn take(&mut self, prev: Index, entries: Vec<Entry>) -> Index {
        let last = prev + entries.len() as u64;
        let log = &mut self.kept.log;
        let known =
            entries.iter().zip(prev + 1..).take_while(|(e, index)| log.entry(*index) == Some(*e)).count();
        let fresh = &entries[known..];
        if !fresh.is_empty() {
            let after = prev + known as u64;
            if after < self.decided {
                // What is decided never changes: somebody lies, or a disk does.
                self.counts.diverged += 1;
                return after;
            }
            log.cut(after);
            log.extend(fresh.iter().cloned());
            self.keep(disk::append(after, fresh));
        }
        last
    }

    #[allow(clippy::too_many_arguments)] // the fields of the message
    pub(crate) fn has(
        &mut self,
        now: f64,
        from: Id,
        term: Term,
        round: u64,
        disk_id: u64,
        index: Index,
        fits: bool,
        signed: Option<Signed>,
    ) {
        let Some(voter) = self.kept.log.council().voter(from) else { return };
        self.met(from, disk_id, term, 0);
        if term > self.kept.term {
            return self.learn_term(now, term);
        }
        let last = self.kept.log.last().index;
        let Post::Leading(lead) = &mut self.post else { return };
        let Some(progress) = lead.progress.get_mut(&from).filter(|_| term == self.kept.term) else { return };
        if progress.disk_id != disk_id {
            // What another life of it had is not on this one's disk.
            (progress.disk_id, progress.has) = (disk_id, 0);
        }
        (progress.heard, progress.counts) = (now, voter.disk_id == disk_id);
        progress.round = progress.round.max(round);
        if progress.counts {
            self.founding.lives.remove(&from);
        }
        if fits {
            progress.has = progress.has.max(index.min(last));
            progress.next = progress.next.max(progress.has + 1);
        } else {
            // What it knows to be decided it has: more than was thought, where it came by a snapshot.
            progress.next = index.min(last) + 1;
        }
        let behind = progress.next <= last;
        if let Some(signed) = signed {
            self.note_signature(from, signed);
        }
        let news = self.decide(now);
        // Only what is decided can never be taken back by a later leader.
        self.met(from, disk_id, term, if fits { index.min(self.decided) } else { 0 });
        if behind && !news {
            self.send_append(from);
        }
        self.answer_waits();
    }

    /// More of the leader's own log is on its disk.
    pub(crate) fn has_own(&mut self, now: f64) {
        let synced = self.disk.synced();
        let Post::Leading(lead) = &mut self.post else { return };
        while let Some((_, index)) = lead.writing.pop_front_if(|(position, _)| *position <= synced) {
            lead.own = index;
        }
        self.decide(now);
    }

    /// Moves on what is decided; gives whether it did.
    fn decide(&mut self, now: f64) -> bool {
        let Post::Leading(lead) = &self.post else { return false };
        let (log, council) = (&self.kept.log, self.kept.log.council());
        let has = |id: Id| lead.progress.get(&id).filter(|of| of.counts).map_or(0, |of| of.has);
        let enough = |index: Index| {
            council.is_majority(|voter| index <= if voter.id == self.id { lead.own } else { has(voter.id) })
        };
        // Of an earlier leader's entries a majority may be in vain: another one's may still take their place.
        #[cfg(test)]
        let any_term = self.planted(crate::tests::Fault::EarlierTerm);
        #[cfg(not(test))]
        let any_term = false;
        let own = |index: Index| any_term || log.mark(index).is_some_and(|mark| mark.term == self.kept.term);
        let newest = (self.decided + 1..=log.last().index).rev().find(|&index| own(index) && enough(index));
        let Some(newest) = newest else { return false };
        self.decided = newest;
        self.apply();
        self.send_all();
        if !self.kept.log.council().contains(self.id) && self.decided >= self.kept.log.version() {
            // It has no seat any more by what is decided: the others choose among themselves.
            self.idle(now);
        }
        true
    }
}
