//! The status of one replica, for operators and tests.

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

/// Counters of events and of dropped messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Terms that this member led, and times that it stepped down without a majority.
    pub led: u64,
    pub stepped_down: u64,
    /// Malformed messages; messages of an unknown version; messages of a sender that may not send them.
    pub malformed: u64,
    pub unknown: u64,
    #[serde(rename = "stray")]
    pub unexpected_sender: u64,
    /// Certificates without enough valid signatures; requests for a council proof that is no longer kept;
    /// logs or signatures that contradict what is decided.
    pub unproved: u64,
    #[serde(rename = "unlinked")]
    pub missing_council_proof: u64,
    pub diverged: u64,
    /// Times that the disk was found to be an older copy.
    pub outdated: u64,
    /// Messages dropped because too many were queued.
    #[serde(rename = "crowded")]
    pub dropped_outgoing: u64,
}

/// A proxy's role in the council.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Not a council member.
    Outside,
    /// A council member without a vote, because its disk is new, damaged or an older copy.
    Barred,
    /// Waits for the responses of the other members before it votes.
    Starting,
    /// Cannot write to its disk.
    Unwritten,
    /// A follower.
    Follows,
    /// A candidate that requests votes.
    Asks,
    /// The leader.
    Leads,
}

/// A read-only summary of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreementStatus {
    /// The role in the council.
    pub role: Role,
    pub term: Term,
    pub leader: Option<Id>,
    pub decided: Index,
    pub applied: Index,
    pub hash: Hash,
    /// The index of the newest certificate.
    pub certified: Index,
    /// The council, the index since which it votes, and whether it is proved to proxies that follow.
    pub council: Council,
    pub council_since: Index,
    pub council_proved: bool,
    /// This proxy's disk id; 0 for a bootstrap member with its first disk.
    pub disk_id: u64,
    /// How old this proxy's knowledge can be, in milliseconds.
    pub age: f64,
    /// The matched index of each other member, if this proxy is the leader.
    pub progress: BTreeMap<Id, Index>,
    /// Disk ids of members that have no vote, for readmitting them.
    pub unadmitted_disks: BTreeMap<Id, u64>,
    /// Why this replica stopped applying decisions, if it did.
    pub stopped: Option<String>,
    pub counts: Counts,
}

impl<M: Machine, S: Signer> Agreement<M, S> {
    /// This proxy's role in the council.
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

    /// The hash of an applied entry, if the log still has it.
    pub fn hash_at(&self, index: Index) -> Option<Hash> {
        self.persisted
            .log
            .position_at(index)
            .filter(|_| index <= self.applied)
            .map(|log_position| log_position.hash)
    }

    /// The current status.
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
