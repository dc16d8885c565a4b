//! What is asked to be decided. A request is asked again until its decision has come here, whoever leads
//! meanwhile; by its number it is done once.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::council::Council;
use crate::election::RoleState;
use crate::log::{Index, MAX_COMMAND_BYTES, Payload};
use crate::machine::Machine;
use crate::wire::Message;

/// A request that is not decided is sent again after so many beats.
const RESEND_HEARTBEATS: u64 = 5;
/// Entries that a leader takes before the first of them is decided.
const MAX_UNDECIDED_ENTRIES: u64 = 64;
/// Requests of this proxy at once.
const MAX_OPEN_REQUESTS: usize = 64;

/// Why something is not put into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A council changes by one seat at a time, and keeps one at least.
    NotOneVoter,
    /// The change before it is not decided, or not proved to those who follow.
    ChangeUnderWay,
    /// Of that council too few would vote now: it could decide nothing, and not be changed back.
    NoMajority,
    TooLong,
    TooMany,
}

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Decided there, with what the machine says to it.
    Decided {
        index: Index,
        answer: Vec<u8>,
    },
    /// Decided in a stretch that this proxy knows only by its snapshot.
    Done {
        by: Index,
    },
    Refused(Refusal),
}

#[derive(Clone, Debug, Default)]
pub struct Requests {
    open: BTreeMap<u64, (Payload, u64)>,
    /// Changes of the council that are decided, and not yet proved to those who follow.
    unproved: VecDeque<(u64, Index)>,
    outcomes: VecDeque<(u64, Outcome)>,
}

impl Requests {
    pub(crate) fn decided(&mut self, request: u64, index: Index, answer: Vec<u8>) {
        if self.open.remove(&request).is_some() {
            self.outcomes.push_back((request, Outcome::Decided { index, answer }));
        }
    }

    /// A change of the council is told as decided only once it is proved: were its leader gone before, those who
    /// follow could believe nothing that the new council decides.
    pub(crate) fn council_decided(&mut self, request: u64, index: Index) {
        if self.open.remove(&request).is_some() {
            self.unproved.push_back((request, index));
        }
    }

    /// Councils are proved up to the one that votes since an index.
    pub(crate) fn council_proved(&mut self, version: Index) {
        while let Some((request, index)) = self.unproved.pop_front_if(|(_, index)| *index <= version) {
            self.outcomes.push_back((request, Outcome::Decided { index, answer: Vec::new() }));
        }
    }

    pub(crate) fn skipped_by_snapshot(&mut self, done: &VecDeque<u64>, by: Index) {
        for request in done {
            if self.open.remove(request).is_some() {
                self.outcomes.push_back((*request, Outcome::Done { by }));
            }
        }
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// Asks for a command of a part to be decided. What it comes to is an [`Agreement::outcome`] with the
    /// number that this gives.
    pub fn propose(&mut self, now: f64, part: u8, command: Vec<u8>) -> Result<u64, Refusal> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(Refusal::TooLong);
        }
        self.submit(now, Payload::Decide { part, command })
    }

    /// Asks for another council.
    pub fn propose_council(&mut self, now: f64, council: Council) -> Result<u64, Refusal> {
        if !council.follows(&self.trusted.1) {
            return Err(Refusal::NotOneVoter);
        }
        self.submit(now, Payload::Council(council))
    }

    fn submit(&mut self, now: f64, payload: Payload) -> Result<u64, Refusal> {
        if self.requests.open.len() >= MAX_OPEN_REQUESTS {
            return Err(Refusal::TooMany);
        }
        let request = self.rng.random_range(1..=u64::MAX);
        self.requests.open.insert(request, (payload, self.heartbeats));
        self.send_request(now, request);
        Ok(request)
    }

    /// No longer wants to know what a request comes to. It may still be decided.
    pub fn forget(&mut self, request: u64) {
        self.requests.open.remove(&request);
        self.requests.unproved.retain(|(unproved, _)| *unproved != request);
    }

    pub fn outcome(&mut self) -> Option<(u64, Outcome)> {
        self.requests.outcomes.pop_front()
    }

    pub(crate) fn resend_requests(&mut self, now: f64) {
        let heartbeats = self.heartbeats;
        let overdue =
            self.requests.open.iter().filter(|(_, (_, sent_at))| heartbeats - sent_at >= RESEND_HEARTBEATS);
        for request in overdue.map(|(&request, _)| request).collect::<Vec<_>>() {
            self.send_request(now, request);
        }
    }

    fn send_request(&mut self, now: f64, request: u64) {
        let heartbeats = self.heartbeats;
        let Some((payload, sent_at)) = self.requests.open.get_mut(&request) else { return };
        *sent_at = heartbeats;
        let payload = payload.clone();
        let to = self.leader().or_else(|| self.random_voter());
        match to {
            Some(to) if to == self.id => self.handle_propose(now, to, request, payload),
            Some(to) => self.send(to, &Message::Propose { request, payload }),
            None => {}
        }
    }

    pub(crate) fn handle_propose(&mut self, now: f64, from: Id, request: u64, payload: Payload) {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            // Passed on once, and not between members that take each other for the leader.
            let leader =
                self.leader().filter(|_| self.is_voter() && !self.persisted.log.council().contains(from));
            if let Some(leader) = leader {
                self.send(leader, &Message::Propose { request, payload });
            }
            return;
        }
        if self.knows_request(request)
            || self.persisted.log.last().index - self.decided >= MAX_UNDECIDED_ENTRIES
        {
            return;
        }
        let refusal = match &payload {
            Payload::Begin => return,
            Payload::Decide { .. } => None,
            Payload::Council(council) => self.council_refusal(now, council),
        };
        match refusal {
            None => self.append(now, request, payload),
            Some(refusal) if from == self.id => self.handle_refused(from, request, refusal),
            Some(refusal) => self.send(from, &Message::Refused { request, refusal }),
        }
    }

    /// Why a council may not follow now.
    fn council_refusal(&self, now: f64, council: &Council) -> Option<Refusal> {
        let log = &self.persisted.log;
        let own_term_decided = log
            .position_at(self.decided)
            .is_some_and(|log_position| log_position.term == self.persisted.term);
        let RoleState::Leader(lead) = &self.role_state else { return None };
        // Whoever is behind this log gets on only by a proof, and the change itself must first be proved by a
        // majority of the present council.
        let log_start = log.base().index;
        let can_vote = |id: Id| {
            let progress = lead.progress.get(&id);
            progress.is_some_and(|of| {
                of.disk_matches && of.matched >= log_start && now - of.last_heard_at < self.election_timeout()
            })
        };
        if !own_term_decided || log.council_version() > self.decided || !self.is_council_proved() {
            Some(Refusal::ChangeUnderWay)
        } else if !council.follows(log.council()) {
            Some(Refusal::NotOneVoter)
        } else {
            let has_majority =
                |council: &Council| council.is_majority(|voter| voter.id == self.id || can_vote(voter.id));
            (!has_majority(council) || !has_majority(log.council())).then_some(Refusal::NoMajority)
        }
    }

    pub(crate) fn handle_refused(&mut self, from: Id, request: u64, refusal: Refusal) {
        let trusted_sender = from == self.id || self.trusted.1.contains(from);
        if trusted_sender && self.requests.open.remove(&request).is_some() {
            self.requests.outcomes.push_back((request, Outcome::Refused(refusal)));
        }
    }
}
