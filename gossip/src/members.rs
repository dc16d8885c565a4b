//! Who is there: SWIM with Lifeguard's lessons, without I/O.
//!
//! A member is looked at in turn; one that answers neither directly nor through helpers is suspected, and
//! dead when it does not speak up in time. Only a member itself can raise its incarnation, so that no rumour
//! brings back the dead and none kills for good: [`better`] is the whole of the merge, and any order, loss or
//! doubling of the same rumours gives the same view. A member that finds itself slow waits longer before it
//! doubts others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::keys::Id;
use crate::wire::{MemberState, Rumour};

/// How slow a member can find itself: waits grow up to so many times.
const MOST_DOUBT: u32 = 8;
/// A rumour is passed on this many times, times the logarithm of the members.
const PASSES: f64 = 1.0;
/// A suspect has so many beats to speak up, times the logarithm of the members.
const SUSPICION_BEATS: f64 = 10.0;

/// Which of two words on one member stands: the later incarnation, and in the same the worse state.
pub fn better(a: (u64, MemberState), b: (u64, MemberState)) -> (u64, MemberState) {
    a.max(b)
}

#[derive(Clone, Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub state: MemberState,
    since: f64,
    passes: u32,
}

/// The view that one member has of all others.
#[derive(Debug)]
pub struct Members {
    own: Id,
    members: BTreeMap<Id, Member>,
    round: Vec<Id>,
    /// How slow this member finds itself.
    doubt: u32,
    beat: f64,
    fleet: usize,
}

impl Members {
    /// `fleet` is how many there may be at the most.
    pub fn new(own: Id, beat: f64, fleet: usize) -> Self {
        Self { own, members: BTreeMap::new(), round: Vec::new(), doubt: 0, beat, fleet }
    }

    /// What is thought of whoever is at the address, if it is no good: told to itself, so that it can refute
    /// it.
    pub fn doubted_at(&self, address: SocketAddr) -> Option<Rumour> {
        let mut doubted =
            self.members.iter().filter(|(_, m)| m.address == address && m.state != MemberState::Alive);
        doubted.next().map(|(&of, m)| Rumour { of, incarnation: m.incarnation, state: m.state })
    }

    /// Members thought alive, this one included.
    pub fn alive(&self) -> usize {
        1 + self.members.values().filter(|m| m.state != MemberState::Dead).count()
    }

    pub fn all(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// Forgets all others than those.
    pub fn keep(&mut self, kept: impl Fn(Id) -> bool) {
        self.members.retain(|&id, _| kept(id));
    }

    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Of the whole fleet: one that has just started knows few, but is to become known to all.
    fn logarithm(&self) -> f64 {
        (self.fleet as f64 + 1.0).log2()
    }

    /// How often news is passed on, so that it reaches all though some is lost.
    pub fn passes(&self) -> u32 {
        (PASSES * self.logarithm()).ceil() as u32
    }

    /// The member said this itself, proved by its signature.
    pub fn spoke(&mut self, now: f64, id: Id, incarnation: u64, address: SocketAddr, leaves: bool) {
        if id == self.own {
            return;
        }
        let passes = self.passes();
        let state = if leaves { MemberState::Dead } else { MemberState::Alive };
        let fresh = Member { address, incarnation, state, since: now, passes };
        let member = self.members.entry(id).or_insert_with(|| fresh.clone());
        if incarnation >= member.incarnation {
            member.address = address;
        }
        if incarnation > member.incarnation || (leaves && incarnation == member.incarnation) {
            *member = fresh;
        }
    }

    /// Another's word on a member. True when it is on this one, and has to be refuted.
    pub fn heard(&mut self, now: f64, rumour: Rumour, own_incarnation: u64) -> bool {
        if rumour.of == self.own {
            let refute = rumour.state != MemberState::Alive && rumour.incarnation >= own_incarnation;
            if refute {
                self.doubt = (self.doubt + 1).min(MOST_DOUBT);
            }
            return refute;
        }
        let passes = self.passes();
        // Of one that never spoke itself nothing is known, not even where it is.
        let Some(member) = self.members.get_mut(&rumour.of) else { return false };
        let former = (member.incarnation, member.state);
        // An incarnation is the member's own to raise: a word on a later one waits until that one speaks.
        if rumour.incarnation == member.incarnation
            && better(former, (rumour.incarnation, rumour.state)) != former
        {
            (member.state, member.since, member.passes) = (rumour.state, now, passes);
        }
        false
    }

    /// An answer came from it: directly or through helpers, it is there.
    pub fn answered(&mut self, now: f64, id: Id) {
        self.doubt = self.doubt.saturating_sub(1);
        self.seen(now, id);
    }

    /// It said something, whatever it was.
    pub fn seen(&mut self, now: f64, id: Id) {
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.state == MemberState::Suspect)
        {
            // Its incarnation stands; this member alone takes its own doubt back.
            (member.state, member.since, member.passes) = (MemberState::Alive, now, 0);
        }
    }

    /// It did not answer, nor through helpers.
    pub fn missed(&mut self, now: f64, id: Id) {
        self.doubt = (self.doubt + 1).min(MOST_DOUBT);
        let passes = self.passes();
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.state == MemberState::Alive) {
            (member.state, member.since, member.passes) = (MemberState::Suspect, now, passes);
        }
    }

    /// This member had no turn for long: it doubts itself, not those whose answers it may have missed.
    pub fn stalled(&mut self) {
        self.doubt = MOST_DOUBT;
    }

    /// How long an answer is waited for.
    pub fn patience(&self) -> f64 {
        self.beat * f64::from(1 + self.doubt)
    }

    /// Suspects that did not speak up in time are dead.
    pub fn bury(&mut self, now: f64) {
        let span = SUSPICION_BEATS * self.beat * self.logarithm() * f64::from(1 + self.doubt);
        let passes = self.passes();
        for member in self.members.values_mut() {
            if member.state == MemberState::Suspect && now - member.since > span {
                (member.state, member.since, member.passes) = (MemberState::Dead, now, passes);
            }
        }
    }

    /// The next to look at: all in turn, in an order drawn anew each round. The dead are looked at too, one
    /// in a while, so that two halves of a fleet that were cut apart find each other again.
    pub fn next(&mut self, chance: &mut impl Rng) -> Option<Id> {
        loop {
            if self.round.is_empty() {
                let dead_too = chance.random_range(0..4) == 0;
                let wanted = |m: &Member| dead_too || m.state != MemberState::Dead;
                self.round = self.members.iter().filter(|(_, m)| wanted(m)).map(|(&id, _)| id).collect();
                self.round.shuffle(chance);
                if self.round.is_empty() {
                    self.round = self.members.keys().copied().collect();
                }
            }
            let next = self.round.pop()?;
            if self.members.contains_key(&next) {
                return Some(next);
            }
        }
    }

    /// Some that are thought alive, but not this one.
    pub fn some(&self, chance: &mut impl Rng, most: usize, but: Option<Id>) -> Vec<Id> {
        let fit = |(id, m): &(&Id, &Member)| m.state != MemberState::Dead && Some(**id) != but;
        let mut all: Vec<Id> = self.members.iter().filter(fit).map(|(&id, _)| id).collect();
        let (chosen, _) = all.partial_shuffle(chance, most);
        chosen.to_vec()
    }

    /// Rumours to carry along, those passed on least first.
    pub fn rumours(&mut self, most: usize) -> Vec<Rumour> {
        let mut fresh: Vec<(u32, Id)> = self
            .members
            .iter()
            .filter(|(_, m)| m.passes > 0)
            .map(|(&id, m)| (u32::MAX - m.passes, id))
            .collect();
        fresh.sort_unstable();
        fresh.truncate(most);
        let mut rumours = Vec::new();
        for (_, id) in fresh {
            let member = self.members.get_mut(&id).expect("just seen");
            member.passes -= 1;
            rumours.push(Rumour { of: id, incarnation: member.incarnation, state: member.state });
        }
        rumours
    }
}
