//! How one proxy stands with the decisions, for operators and tests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::agreement::Agreement;
use crate::certificate::Signer;
use crate::council::Council;
use crate::election::RoleState;
use crate::log::{Hash, Index, Term};
use crate::machine::Machine;
use crate::wire::Stage;

/// What was done and what was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Terms that it led, and times that it stepped down for want of a majority.
    pub led: u64,
    pub stepped_down: u64,
    /// Of no form; of a version or a decision that is not known; of no member that may say so.
    pub malformed: u64,
    pub unknown: u64,
    #[serde(rename = "stray")]
    pub unexpected_sender: u64,
    /// Proofs whose signatures are wanting, councils whose proofs are; logs and signatures that differ from
    /// what is decided.
    pub unproved: u64,
    #[serde(rename = "unlinked")]
    pub missing_council_proof: u64,
    pub diverged: u64,
    /// Times that its disk was found to be an older copy.
    pub outdated: u64,
    /// Messages dropped because too many waited.
    #[serde(rename = "crowded")]
    pub dropped_outgoing: u64,
}

/// What a proxy is in the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It has no seat.
    Outside,
    /// It is named in the council, but has no vote by its disk: new, damaged or an older copy.
    Barred,
    /// It waits for the others' word before it votes.
    Starting,
    /// Its disk refuses.
    Unwritten,
    Follows,
    Asks,
    Leads,
}

#[derive(Clone, Debug, PartialEq)]
pub struct AgreementStatus {
    pub role: Role,
    pub term: Term,
    pub leader: Option<Id>,
    pub decided: Index,
    pub applied: Index,
    pub hash: Hash,
    /// Up to where a proof is known.
    pub certified: Index,
    /// The council, since which decision it votes, and whether that is proved to those who follow.
    pub council: Council,
    pub council_since: Index,
    pub council_proved: bool,
    /// The number that this proxy's disk drew; 0 where it votes as a founder.
    pub disk_id: u64,
    /// How old what it knows can be, in milliseconds.
    pub age: f64,
    /// How far each other member is, where this one leads.
    pub progress: BTreeMap<Id, Index>,
    /// Numbers of members that have no vote by their disks, to be let in by.
    pub unadmitted_disks: BTreeMap<Id, u64>,
    pub stopped: Option<String>,
    pub counts: Counts,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    pub fn role(&self) -> Role {
        if !self.persists_state() {
            return Role::Outside;
        }
        let is_in_council = self.voters().contains(self.id);
        match &self.role_state {
            _ if !is_in_council => Role::Outside,
            _ if !self.is_voter() && self.persisted.stage == Stage::New => Role::Barred,
            _ if !self.is_voter() || !self.bootstrap.disk_verified => Role::Starting,
            _ if !self.disk.is_writable() => Role::Unwritten,
            RoleState::Follower { .. } => Role::Follows,
            RoleState::Candidate { .. } => Role::Asks,
            RoleState::Leader(_) => Role::Leads,
        }
    }

    /// The decision at an index by its hash, where it is still in the log and carried out.
    pub fn hash_at(&self, index: Index) -> Option<Hash> {
        self.persisted
            .log
            .position_at(index)
            .filter(|_| index <= self.applied)
            .map(|log_position| log_position.hash)
    }

    pub fn status(&self, now: f64) -> AgreementStatus {
        AgreementStatus {
            role: self.role(),
            term: self.persisted.term,
            leader: self.leader(),
            decided: self.decided,
            applied: self.applied,
            hash: self.hash_at(self.applied).unwrap_or_default(),
            certified: self.certified_index(),
            council: self.trusted.1.clone(),
            council_since: self.trusted.0,
            council_proved: self.is_council_proved(),
            disk_id: self.disk_id(),
            age: self.age(now),
            progress: self.follower_progress(),
            unadmitted_disks: self.bootstrap.unadmitted_disks.clone(),
            stopped: self.stopped.as_ref().map(ToString::to_string),
            counts: self.counts,
        }
    }
}
