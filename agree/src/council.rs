//! Who votes. A council is changed by one seat at a time, by a logged decision: any majority of the old one
//! and any of the new one then have a member in common.

use serde::{Deserialize, Serialize};

use crate::Id;
use crate::log::Hash;

/// Seats at most: a proof of seven fits a message.
pub const MOST_SEATS: usize = 7;

/// A voter. `life` is 0 for who was there from the founding on with its disk; one that was let in anew votes
/// by the number that its new disk drew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub id: Id,
    pub life: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Council {
    seats: Vec<Seat>,
}

impl Council {
    pub fn founders(ids: impl IntoIterator<Item = Id>) -> Self {
        let mut seats: Vec<Seat> = ids.into_iter().map(|id| Seat { id, life: 0 }).collect();
        seats.sort_unstable();
        seats.dedup();
        Self { seats }
    }

    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.seats.iter().map(|seat| seat.id)
    }

    pub fn seats(&self) -> &[Seat] {
        &self.seats
    }

    pub fn seat(&self, id: Id) -> Option<Seat> {
        self.seats.iter().copied().find(|seat| seat.id == id)
    }

    pub fn contains(&self, id: Id) -> bool {
        self.seat(id).is_some()
    }

    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Whether those are enough of it.
    pub fn is_majority(&self, has: impl Fn(Seat) -> bool) -> bool {
        !self.seats.is_empty() && self.seats.iter().filter(|seat| has(**seat)).count() >= self.majority()
    }

    pub fn with(&self, seat: Seat) -> Self {
        let mut council = self.clone();
        council.seats.push(seat);
        council.seats.sort_unstable();
        council
    }

    pub fn without(&self, id: Id) -> Self {
        Self { seats: self.seats.iter().copied().filter(|seat| seat.id != id).collect() }
    }

    /// Whether it is fit to follow the other: one seat more or less, nobody twice, not empty, not too many.
    pub fn follows(&self, former: &Self) -> bool {
        let gone = former.seats.iter().filter(|seat| !self.seats.contains(seat)).count();
        let come = self.seats.iter().filter(|seat| !former.seats.contains(seat)).count();
        let sorted = self.seats.windows(2).all(|pair| pair[0].id < pair[1].id);
        gone + come == 1 && sorted && (1..=MOST_SEATS).contains(&self.seats.len())
    }

    pub fn digest(&self) -> Hash {
        *blake3::hash(&postcard::to_stdvec(self).expect("plain data")).as_bytes()
    }
}
