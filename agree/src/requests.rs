//! Requests for decisions. A request is resent until its decision is known here, whoever leads in the
//! meantime; its number ensures that it is applied once.

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

/// Heartbeats after which an undecided request is sent again.
const RESEND_HEARTBEATS: u64 = 5;
/// Most entries that a leader appends before the first of them is decided.
const MAX_UNDECIDED_ENTRIES: u64 = 64;
/// Most open requests of this proxy.
const MAX_OPEN_REQUESTS: usize = 64;

/// Why a request is not put into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A council changes by one voter at a time, and keeps at least one.
    NotOneVoter,
    /// The previous change is not decided yet, or not proved to proxies that follow.
    ChangeUnderWay,
    /// Too few of that council could vote now: it could decide nothing, not even to change back.
    NoMajority,
    /// The command is longer than [`MAX_COMMAND_BYTES`].
    TooLong,
    /// This proxy has too many open requests.
    TooMany,
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Decided at an index, with the machine's answer.
    Decided {
        index: Index,
        answer: Vec<u8>,
    },
    /// Decided at or before an index that this proxy knows only by a snapshot, so the answer is not known.
    Done {
        by: Index,
    },
    Refused(Refusal),
}

/// The requests of this proxy.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// Undecided requests, with the heartbeat at which each was last sent.
    open: BTreeMap<u64, (Payload, u64)>,
    /// Council changes that are decided, but not yet proved to proxies that follow.
    unproved: VecDeque<(u64, Index)>,
    outcomes: VecDeque<(u64, Outcome)>,
}

impl Requests {
    /// Reports a request as decided.
    pub(crate) fn decided(&mut self, request: u64, index: Index, answer: Vec<u8>) {
        if self.open.remove(&request).is_some() {
            self.outcomes.push_back((request, Outcome::Decided { index, answer }));
        }
    }

    /// A council change is reported as decided only once it is proved: if its leader failed before that,
    /// proxies that follow could not verify anything that the new council decides.
    pub(crate) fn council_decided(&mut self, request: u64, index: Index) {
        if self.open.remove(&request).is_some() {
            self.unproved.push_back((request, index));
        }
    }

    /// Reports the council changes up to an index as decided: their councils are proved.
    pub(crate) fn council_proved(&mut self, version: Index) {
        while let Some((request, index)) = self.unproved.pop_front_if(|(_, index)| *index <= version) {
            self.outcomes.push_back((request, Outcome::Decided { index, answer: Vec::new() }));
        }
    }

    /// Reports the requests that a snapshot covers.
    pub(crate) fn skipped_by_snapshot(&mut self, done: &VecDeque<u64>, by: Index) {
        for request in done {
            if self.open.remove(request).is_some() {
                self.outcomes.push_back((*request, Outcome::Done { by }));
            }
        }
    }
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// Requests a decision on a command for a part of the machine. Returns the request's number, under
    /// which [`Agreement::outcome`] reports the result.
    pub fn propose(&mut self, now: f64, part: u8, command: Vec<u8>) -> Result<u64, Refusal> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(Refusal::TooLong);
        }
        self.submit(now, Payload::Decide { part, command })
    }

    /// Requests a change of the council.
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

    /// Stops waiting for the result of a request. It may still be decided.
    pub fn forget(&mut self, request: u64) {
        self.requests.open.remove(&request);
        self.requests.unproved.retain(|(unproved, _)| *unproved != request);
    }

    /// The next result, with its request's number.
    pub fn outcome(&mut self) -> Option<(u64, Outcome)> {
        self.requests.outcomes.pop_front()
    }

    /// Resends the requests that are not decided in time.
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

    /// Appends a proposal as the leader, or forwards it.
    pub(crate) fn handle_propose(&mut self, now: f64, from: Id, request: u64, payload: Payload) {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            // Forwarded only once, and not between members that take each other for the leader.
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

    /// Why a council change is refused now.
    fn council_refusal(&self, now: f64, council: &Council) -> Option<Refusal> {
        let log = &self.persisted.log;
        let own_term_decided = log
            .position_at(self.decided)
            .is_some_and(|log_position| log_position.term == self.persisted.term);
        let RoleState::Leader(leader_state) = &self.role_state else { return None };
        // A member that lags behind this log can only catch up with a certificate, and the change itself
        // first has to be certified by a majority of the current council.
        let log_start = log.base().index;
        let can_vote = |id: Id| {
            let progress = leader_state.progress.get(&id);
            progress.is_some_and(|progress| {
                progress.disk_matches
                    && progress.matched >= log_start
                    && now - progress.last_heard_at < self.election_timeout()
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

    /// Reports a refused request, if the refusal is this proxy's own or a council member's.
    pub(crate) fn handle_refused(&mut self, from: Id, request: u64, refusal: Refusal) {
        let trusted_sender = from == self.id || self.trusted.1.contains(from);
        if trusted_sender && self.requests.open.remove(&request).is_some() {
            self.requests.outcomes.push_back((request, Outcome::Refused(refusal)));
        }
    }
}
