//! Who votes. A council is changed by one seat at a time, by a logged decision: any majority of the old one
//! and any of the new one then have a member in common.

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::log::Hash;

/// Seats at most: a proof of seven fits a message.
pub const MAX_VOTERS: usize = 7;

/// A voter. `life` is 0 for who was there from the founding on with its disk; one that was let in anew votes
/// by the number that its new disk drew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub id: Id,
    pub disk_id: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Council {
    voters: Vec<Voter>,
}

impl Council {
    pub fn bootstrap(ids: impl IntoIterator<Item = Id>) -> Self {
        let mut voters: Vec<Voter> = ids.into_iter().map(|id| Voter { id, disk_id: 0 }).collect();
        voters.sort_unstable();
        voters.dedup();
        Self { voters }
    }

    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.voters.iter().map(|voter| voter.id)
    }

    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    pub fn voter(&self, id: Id) -> Option<Voter> {
        self.voters.iter().copied().find(|voter| voter.id == id)
    }

    pub fn contains(&self, id: Id) -> bool {
        self.voter(id).is_some()
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether those are enough of it.
    pub fn is_majority(&self, has: impl Fn(Voter) -> bool) -> bool {
        !self.voters.is_empty() && self.voters.iter().filter(|voter| has(**voter)).count() >= self.majority()
    }

    pub fn with(&self, voter: Voter) -> Self {
        let mut council = self.clone();
        council.voters.push(voter);
        council.voters.sort_unstable();
        council
    }

    pub fn without(&self, id: Id) -> Self {
        Self { voters: self.voters.iter().copied().filter(|voter| voter.id != id).collect() }
    }

    /// Whether it is fit to follow the other: one seat more or less, nobody twice, not empty, not too many.
    pub fn follows(&self, former: &Self) -> bool {
        let removed = former.voters.iter().filter(|voter| !self.voters.contains(voter)).count();
        let added = self.voters.iter().filter(|voter| !former.voters.contains(voter)).count();
        let sorted = self.voters.windows(2).all(|pair| pair[0].id < pair[1].id);
        removed + added == 1 && sorted && (1..=MAX_VOTERS).contains(&self.voters.len())
    }

    pub fn digest(&self) -> Hash {
        *blake3::hash(&postcard::to_stdvec(self).expect("plain data")).as_bytes()
    }
}
