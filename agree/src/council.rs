//! The voting members. A council changes by one voter at a time, by a decision in the log, so that any
//! majority of the old council and any majority of the new one have a member in common.

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::log::Hash;

/// Most voters in a council: a certificate with seven signatures fits a message.
pub const MAX_VOTERS: usize = 7;

/// A voter. `disk_id` is 0 for a bootstrap member with its first disk; a readmitted member votes under the
/// id that its new disk drew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub id: Id,
    pub disk_id: u64,
}

/// The voting members, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Council {
    voters: Vec<Voter>,
}

impl Council {
    /// The first council, of bootstrap members with disk id 0.
    pub fn bootstrap(ids: impl IntoIterator<Item = Id>) -> Self {
        let mut voters: Vec<Voter> = ids.into_iter().map(|id| Voter { id, disk_id: 0 }).collect();
        voters.sort_unstable();
        voters.dedup();
        Self { voters }
    }

    /// The ids of the voters.
    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.voters.iter().map(|voter| voter.id)
    }

    /// The voters in order of their ids.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// The voter with an id.
    pub fn voter(&self, id: Id) -> Option<Voter> {
        self.voters.iter().copied().find(|voter| voter.id == id)
    }

    /// Whether a proxy is in the council, under any disk id.
    pub fn contains(&self, id: Id) -> bool {
        self.voter(id).is_some()
    }

    /// The number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters that `has` accepts are a majority.
    pub fn is_majority(&self, has: impl Fn(Voter) -> bool) -> bool {
        !self.voters.is_empty() && self.voters.iter().filter(|voter| has(**voter)).count() >= self.majority()
    }

    /// This council with one more voter.
    pub fn with(&self, voter: Voter) -> Self {
        let mut council = self.clone();
        council.voters.push(voter);
        council.voters.sort_unstable();
        council
    }

    /// This council without a voter.
    pub fn without(&self, id: Id) -> Self {
        Self { voters: self.voters.iter().copied().filter(|voter| voter.id != id).collect() }
    }

    /// Whether this council may succeed the other: exactly one voter added or removed, sorted by id without
    /// duplicates, neither empty nor above [`MAX_VOTERS`].
    pub fn follows(&self, former: &Self) -> bool {
        let removed = former.voters.iter().filter(|voter| !self.voters.contains(voter)).count();
        let added = self.voters.iter().filter(|voter| !former.voters.contains(voter)).count();
        let sorted = self.voters.windows(2).all(|pair| pair[0].id < pair[1].id);
        removed + added == 1 && sorted && (1..=MAX_VOTERS).contains(&self.voters.len())
    }

    /// The BLAKE3 digest of the council, as signed in statements.
    pub fn digest(&self) -> Hash {
        *blake3::hash(&postcard::to_stdvec(self).expect("plain data can be encoded")).as_bytes()
    }
}
