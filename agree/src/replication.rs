//! Replicates the leader's log and decides its entries: an entry is decided once a majority has it on disk
//! and it, or a later entry on a majority of disks, is of the leader's own term.

use std::collections::{BTreeMap, VecDeque};

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::disk;
use crate::election::RoleState;
use crate::log::{Entry, Hash, Index, Payload, Term};
use crate::machine::Machine;
use crate::wire::{MAX_ENTRIES_BYTES, Message, StatementSignature};

/// The leader's view of another member.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The index to send next, and the last index that the member has on its disk.
    pub next: Index,
    pub matched: Index,
    /// The latest heartbeat round that it answered, and when.
    pub round: u64,
    pub last_heard_at: f64,
    /// The disk id under which it acknowledged, and whether the council has it as a voter under that id.
    pub disk_id: u64,
    pub disk_matches: bool,
}

/// The state of a leader.
#[derive(Clone, Debug)]
pub struct LeaderState {
    pub progress: BTreeMap<Id, Progress>,
    pub round: u64,
    /// The last index that is synced to the leader's own disk, and those being written, by the disk
    /// position that each waits for.
    own_synced: Index,
    unsynced: VecDeque<(u64, Index)>,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// Becomes the leader and appends the first entry of its term.
    pub(crate) fn become_leader(&mut self, now: f64) {
        let last = self.persisted.log.last().index;
        let initial = Progress {
            next: last + 1,
            matched: 0,
            round: 0,
            last_heard_at: now,
            disk_id: 0,
            disk_matches: false,
        };
        let others = self.persisted.log.council().ids().filter(|&id| id != self.id);
        let progress = others.map(|id| (id, initial)).collect();
        // The whole log was persisted before this member's vote for itself was.
        self.role_state = RoleState::Leader(LeaderState {
            progress,
            round: 0,
            own_synced: last,
            unsynced: VecDeque::new(),
        });
        self.counts.led += 1;
        self.append(now, 0, Payload::Begin);
    }

    /// Appends an entry to the log that this member leads, and sends it.
    pub(crate) fn append(&mut self, now: f64, request: u64, payload: Payload) {
        let entry = Entry { term: self.persisted.term, request, payload };
        let log_position = self.persisted.log.append(entry.clone());
        self.persist(disk::encode_append(log_position.index - 1, &[entry]));
        let disk_position = self.disk.position();
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        leader_state.unsynced.push_back((disk_position, log_position.index));
        let new_progress = Progress {
            next: log_position.index,
            matched: 0,
            round: 0,
            last_heard_at: now,
            disk_id: 0,
            disk_matches: false,
        };
        let council = self.persisted.log.council();
        council.ids().filter(|&id| id != self.id).for_each(|id| {
            leader_state.progress.entry(id).or_insert(new_progress);
        });
        leader_state.progress.retain(|&id, _| council.contains(id));
        self.update_own_progress(now);
        self.send_append_to_all();
    }

    fn send_append_to_all(&mut self) {
        let RoleState::Leader(leader_state) = &self.role_state else { return };
        for to in leader_state.progress.keys().copied().collect::<Vec<_>>() {
            self.send_append(to);
        }
    }

    /// Sends a member the entries that it lacks.
    fn send_append(&mut self, to: Id) {
        let RoleState::Leader(leader_state) = &self.role_state else { return };
        let Some(progress) = leader_state.progress.get(&to) else { return };
        let (next, round) = (progress.next, leader_state.round);
        let log_position = self.persisted.log.position_at(next - 1).unwrap_or_else(|| {
            // What the member knows to be decided is before the start of this log. It may still have the
            // entry at the log's base undecided; if not, it gets a snapshot by the certificate and reports
            // when it has it.
            self.send_certificate(to);
            self.persisted.log.base()
        });
        let prev = log_position.index;
        let entries = self.persisted.log.entries_after(prev, MAX_ENTRIES_BYTES);
        let (term, disk_id, hash, decided) =
            (self.persisted.term, self.disk_id(), log_position.hash, self.decided);
        self.send(to, &Message::Append { term, round, disk_id, prev, hash, entries, decided });
    }

    /// Sends the leader's heartbeat to all, and steps down if no majority was heard.
    pub(crate) fn leader_heartbeat(&mut self, now: f64) {
        let timeout = self.election_timeout();
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let is_heard = |id: Id| {
            leader_state.progress.get(&id).is_some_and(|progress| now - progress.last_heard_at < timeout)
        };
        if !self.persisted.log.council().is_majority(|voter| voter.id == self.id || is_heard(voter.id)) {
            self.counts.stepped_down += 1;
            return self.become_follower(now);
        }
        leader_state.round += 1;
        self.send_append_to_all();
    }

    /// Handles the leader's entries, which follow `prev`.
    #[allow(clippy::too_many_arguments)] // the fields of the message
    pub(crate) fn handle_append(
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
        if !(self.persisted.log.council().contains(from) || self.trusted.1.contains(from)) {
            self.counts.unexpected_sender += 1;
            return;
        }
        // A member that cannot write can neither enter a term nor store entries; nor can one whose disk is
        // not verified.
        let is_new_member = !self.persisted.log.council().contains(self.id);
        if !self.disk.is_writable() || !(self.bootstrap.disk_verified || is_new_member) {
            return;
        }
        self.record_history(from, leader_disk_id, term, 0);
        let disk_id = self.disk_id();
        if term < self.persisted.term {
            let (term, index) = (self.persisted.term, self.decided);
            return self.send_after_sync(
                from,
                &Message::AppendResponse { term, round, disk_id, index, fits: false, signed: None },
            );
        }
        if term > self.persisted.term {
            self.enter_term(now, term);
        }
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.counts.unexpected_sender += 1;
            return;
        }
        self.follow(now, from);
        let (prev, hash) = prev;
        let fits = self.persisted.log.contains(prev, &hash);
        let index = if fits { self.store_entries(prev, entries) } else { self.decided };
        if fits {
            self.decided = self.decided.max(decided.min(index));
            self.apply();
        }
        let signed = self.sign_latest();
        self.send_after_sync(from, &Message::AppendResponse { term, round, disk_id, index, fits, signed });
    }

    /// Stores entries after an index: equal entries stay, conflicting ones are removed. Returns the last
    /// index.
    pub(crate) fn store_entries(&mut self, prev: Index, entries: Vec<Entry>) -> Index {
        let last = prev + entries.len() as u64;
        let log = &mut self.persisted.log;
        let known = entries
            .iter()
            .zip(prev + 1..)
            .take_while(|(entry, index)| log.entry(*index) == Some(*entry))
            .count();
        let new_entries = &entries[known..];
        if !new_entries.is_empty() {
            let after = prev + known as u64;
            if after < self.decided {
                // Decided entries never change: another member is faulty, or a disk is.
                self.counts.diverged += 1;
                return after;
            }
            log.truncate_after(after);
            log.extend(new_entries.iter().cloned());
            self.persist(disk::encode_append(after, new_entries));
        }
        last
    }

    #[allow(clippy::too_many_arguments)] // the fields of the message
    pub(crate) fn handle_append_response(
        &mut self,
        now: f64,
        from: Id,
        term: Term,
        round: u64,
        disk_id: u64,
        index: Index,
        fits: bool,
        signed: Option<StatementSignature>,
    ) {
        let Some(voter) = self.persisted.log.council().voter(from) else { return };
        self.record_history(from, disk_id, term, 0);
        if term > self.persisted.term {
            return self.observe_term(now, term);
        }
        let last = self.persisted.log.last().index;
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let Some(progress) = leader_state.progress.get_mut(&from).filter(|_| term == self.persisted.term)
        else {
            return;
        };
        if progress.disk_id != disk_id {
            // What another disk of this member held does not count for this one.
            (progress.disk_id, progress.matched) = (disk_id, 0);
        }
        (progress.last_heard_at, progress.disk_matches) = (now, voter.disk_id == disk_id);
        progress.round = progress.round.max(round);
        if progress.disk_matches {
            self.bootstrap.unadmitted_disks.remove(&from);
        }
        if fits {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            // The member has what it knows to be decided, which may be more than assumed if it came by a
            // snapshot.
            progress.next = index.min(last) + 1;
        }
        let behind = progress.next <= last;
        if let Some(signed) = signed {
            self.record_signature(from, signed);
        }
        let decided_more = self.advance_decided(now);
        // Only decided entries can never be removed by a later leader.
        self.record_history(from, disk_id, term, if fits { index.min(self.decided) } else { 0 });
        if behind && !decided_more {
            self.send_append(from);
        }
        self.answer_waiting();
    }

    /// Updates how much of the leader's own log is synced to its disk.
    pub(crate) fn update_own_progress(&mut self, now: f64) {
        let synced = self.disk.synced();
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        while let Some((_, index)) =
            leader_state.unsynced.pop_front_if(|(disk_position, _)| *disk_position <= synced)
        {
            leader_state.own_synced = index;
        }
        self.advance_decided(now);
    }

    /// Advances the decided index. Returns whether it did.
    fn advance_decided(&mut self, now: f64) -> bool {
        let RoleState::Leader(leader_state) = &self.role_state else { return false };
        let (log, council) = (&self.persisted.log, self.persisted.log.council());
        let matched = |id: Id| {
            leader_state
                .progress
                .get(&id)
                .filter(|progress| progress.disk_matches)
                .map_or(0, |progress| progress.matched)
        };
        let has_majority = |index: Index| {
            council.is_majority(|voter| {
                index <= if voter.id == self.id { leader_state.own_synced } else { matched(voter.id) }
            })
        };
        // A majority is not enough for entries of an earlier term: another leader may still replace them.
        #[cfg(test)]
        let any_term = self.has_fault(crate::tests::Fault::EarlierTerm);
        #[cfg(not(test))]
        let any_term = false;
        let own_term = |index: Index| {
            any_term
                || log.position_at(index).is_some_and(|log_position| log_position.term == self.persisted.term)
        };
        let newest =
            (self.decided + 1..=log.last().index).rev().find(|&index| own_term(index) && has_majority(index));
        let Some(newest) = newest else { return false };
        self.decided = newest;
        self.apply();
        self.send_append_to_all();
        if !self.persisted.log.council().contains(self.id)
            && self.decided >= self.persisted.log.council_version()
        {
            // This member is no longer a voter by what is decided: the others elect a new leader.
            self.become_follower(now);
        }
        true
    }
}
