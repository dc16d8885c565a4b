//! What is asked to be decided. A request is asked again until its decision has come here, whoever leads
//! meanwhile; by its number it is done once.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::council::Council;
use crate::election::Post;
use crate::log::{Index, MAX_COMMAND_BYTES, Payload};
use crate::machine::Machine;
use crate::wire::Message;

/// A request that is not decided is sent again after so many beats.
const AGAIN_BEATS: u64 = 5;
/// Entries that a leader takes before the first of them is decided.
const MOST_OPEN: u64 = 64;
/// Requests of this proxy at once.
const MOST_REQUESTS: usize = 64;

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

    pub(crate) fn passed_over(&mut self, done: &VecDeque<u64>, by: Index) {
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
        self.request(now, Payload::Decide { part, command })
    }

    /// Asks for another council.
    pub fn propose_council(&mut self, now: f64, council: Council) -> Result<u64, Refusal> {
        if !council.follows(&self.trust.1) {
            return Err(Refusal::NotOneVoter);
        }
        self.request(now, Payload::Council(council))
    }

    fn request(&mut self, now: f64, payload: Payload) -> Result<u64, Refusal> {
        if self.requests.open.len() >= MOST_REQUESTS {
            return Err(Refusal::TooMany);
        }
        let request = self.chance.random_range(1..=u64::MAX);
        self.requests.open.insert(request, (payload, self.beats));
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

    pub(crate) fn ask_again(&mut self, now: f64) {
        let beats = self.beats;
        let late = self.requests.open.iter().filter(|(_, (_, at))| beats - at >= AGAIN_BEATS);
        for request in late.map(|(&request, _)| request).collect::<Vec<_>>() {
            self.send_request(now, request);
        }
    }

    fn send_request(&mut self, now: f64, request: u64) {
        let beats = self.beats;
        let Some((payload, at)) = self.requests.open.get_mut(&request) else { return };
        *at = beats;
        let payload = payload.clone();
        let to = self.leader().or_else(|| self.any_voter());
        match to {
            Some(to) if to == self.id => self.proposed(now, to, request, payload),
            Some(to) => self.send(to, &Message::Propose { request, payload }),
            None => {}
        }
    }

    pub(crate) fn proposed(&mut self, now: f64, from: Id, request: u64, payload: Payload) {
        if !matches!(self.post, Post::Leading(_)) {
            // Passed on once, and not between members that take each other for the leader.
            let leader =
                self.leader().filter(|_| self.is_seated() && !self.kept.log.council().contains(from));
            if let Some(leader) = leader {
                self.send(leader, &Message::Propose { request, payload });
            }
            return;
        }
        if self.knows(request) || self.kept.log.last().index - self.decided >= MOST_OPEN {
            return;
        }
        let refusal = match &payload {
            Payload::Begin => return,
            Payload::Decide { .. } => None,
            Payload::Council(council) => self.unfit(now, council),
        };
        match refusal {
            None => self.append(now, request, payload),
            Some(refusal) if from == self.id => self.refused(from, request, refusal),
            Some(refusal) => self.send(from, &Message::Refused { request, refusal }),
        }
    }

    /// Why a council may not follow now.
    fn unfit(&self, now: f64, council: &Council) -> Option<Refusal> {
        let log = &self.kept.log;
        let knows = log.mark(self.decided).is_some_and(|mark| mark.term == self.kept.term);
        let Post::Leading(lead) = &self.post else { return None };
        // Whoever is behind this log gets on only by a proof, and the change itself must first be proved by a
        // majority of the present council.
        let reached = log.base().index;
        let votes = |id: Id| {
            let progress = lead.progress.get(&id);
            progress.is_some_and(|of| of.counts && of.has >= reached && now - of.heard < self.patience())
        };
        if !knows || log.version() > self.decided || !self.is_linked() {
            Some(Refusal::ChangeUnderWay)
        } else if !council.follows(log.council()) {
            Some(Refusal::NotOneVoter)
        } else {
            let enough = |of: &Council| of.is_majority(|voter| voter.id == self.id || votes(voter.id));
            (!enough(council) || !enough(log.council())).then_some(Refusal::NoMajority)
        }
    }

    pub(crate) fn refused(&mut self, from: Id, request: u64, refusal: Refusal) {
        let told = from == self.id || self.trust.1.contains(from);
        if told && self.requests.open.remove(&request).is_some() {
            self.requests.outcomes.push_back((request, Outcome::Refused(refusal)));
        }
    }
}
