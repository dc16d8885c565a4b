//! Who is there: SWIM with Lifeguard's lessons, without I/O.
//!
//! A member is looked at in turn; one that answers neither directly nor through helpers is suspected, and
//! dead when it does not speak up in time. Only a member itself can raise its incarnation, so that no rumour
//! brings back the dead and none kills for good: [`merge_states`] is the whole of the merge, and any order, loss or
//! doubling of the same rumours gives the same view. A member that finds itself slow waits longer before it
//! doubts others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::keys::Id;
use crate::wire::{MemberState, Rumour};

/// How slow a member can find itself: waits grow up to so many times.
const MAX_HEALTH_SCORE: u32 = 8;
/// A rumour is passed on this many times, times the logarithm of the members.
const TRANSMIT_MULTIPLIER: f64 = 1.0;
/// A suspect has so many beats to speak up, times the logarithm of the members.
const SUSPICION_INTERVALS: f64 = 10.0;

/// Which of two words on one member stands: the later incarnation, and in the same the worse state.
pub fn merge_states(a: (u64, MemberState), b: (u64, MemberState)) -> (u64, MemberState) {
    a.max(b)
}

#[derive(Clone, Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub state: MemberState,
    changed_at: f64,
    transmissions_left: u32,
}

/// The view that one member has of all others.
#[derive(Debug)]
pub struct Members {
    own_id: Id,
    members: BTreeMap<Id, Member>,
    probe_order: Vec<Id>,
    /// How slow this member finds itself.
    health_score: u32,
    probe_interval: f64,
    max_members: usize,
}

impl Members {
    /// `fleet` is how many there may be at the most.
    pub fn new(own_id: Id, probe_interval: f64, max_members: usize) -> Self {
        Self {
            own_id,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            health_score: 0,
            probe_interval,
            max_members,
        }
    }

    /// What is thought of whoever is at the address, if it is no good: told to itself, so that it can refute
    /// it.
    pub fn doubt_about(&self, address: SocketAddr) -> Option<Rumour> {
        let mut doubtful =
            self.members.iter().filter(|(_, m)| m.address == address && m.state != MemberState::Alive);
        doubtful.next().map(|(&member, m)| Rumour { member, incarnation: m.incarnation, state: m.state })
    }

    /// Members thought alive, this one included.
    pub fn alive(&self) -> usize {
        1 + self.members.values().filter(|m| m.state != MemberState::Dead).count()
    }

    pub fn all(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// Forgets all others than those.
    pub fn retain(&mut self, is_kept: impl Fn(Id) -> bool) {
        self.members.retain(|&id, _| is_kept(id));
    }

    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Of the whole fleet: one that has just started knows few, but is to become known to all.
    fn log_members(&self) -> f64 {
        (self.max_members as f64 + 1.0).log2()
    }

    /// How often news is passed on, so that it reaches all though some is lost.
    pub fn transmissions(&self) -> u32 {
        (TRANSMIT_MULTIPLIER * self.log_members()).ceil() as u32
    }

    /// The member said this itself, proved by its signature.
    pub fn apply_statement(
        &mut self,
        now: f64,
        id: Id,
        incarnation: u64,
        address: SocketAddr,
        leaving: bool,
    ) {
        if id == self.own_id {
            return;
        }
        let transmissions = self.transmissions();
        let state = if leaving { MemberState::Dead } else { MemberState::Alive };
        let updated =
            Member { address, incarnation, state, changed_at: now, transmissions_left: transmissions };
        let member = self.members.entry(id).or_insert_with(|| updated.clone());
        if incarnation >= member.incarnation {
            member.address = address;
        }
        if incarnation > member.incarnation || (leaving && incarnation == member.incarnation) {
            *member = updated;
        }
    }

    /// Another's word on a member. True when it is on this one, and has to be refuted.
    pub fn apply_rumour(&mut self, now: f64, rumour: Rumour, own_incarnation: u64) -> bool {
        if rumour.member == self.own_id {
            let refute = rumour.state != MemberState::Alive && rumour.incarnation >= own_incarnation;
            if refute {
                self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            }
            return refute;
        }
        let transmissions = self.transmissions();
        // Of one that never spoke itself nothing is known, not even where it is.
        let Some(member) = self.members.get_mut(&rumour.member) else { return false };
        let former = (member.incarnation, member.state);
        // An incarnation is the member's own to raise: a word on a later one waits until that one speaks.
        if rumour.incarnation == member.incarnation
            && merge_states(former, (rumour.incarnation, rumour.state)) != former
        {
            (member.state, member.changed_at, member.transmissions_left) = (rumour.state, now, transmissions);
        }
        false
    }

    /// An answer came from it: directly or through helpers, it is there.
    pub fn probe_answered(&mut self, now: f64, id: Id) {
        self.health_score = self.health_score.saturating_sub(1);
        self.packet_received(now, id);
    }

    /// It said something, whatever it was.
    pub fn packet_received(&mut self, now: f64, id: Id) {
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.state == MemberState::Suspect)
        {
            // Its incarnation stands; this member alone takes its own doubt back.
            (member.state, member.changed_at, member.transmissions_left) = (MemberState::Alive, now, 0);
        }
    }

    /// It did not answer, nor through helpers.
    pub fn probe_failed(&mut self, now: f64, id: Id) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        let transmissions = self.transmissions();
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.state == MemberState::Alive) {
            (member.state, member.changed_at, member.transmissions_left) =
                (MemberState::Suspect, now, transmissions);
        }
    }

    /// This member had no turn for long: it doubts itself, not those whose answers it may have missed.
    pub fn local_stall(&mut self) {
        self.health_score = MAX_HEALTH_SCORE;
    }

    /// How long an answer is waited for.
    pub fn probe_timeout(&self) -> f64 {
        self.probe_interval * f64::from(1 + self.health_score)
    }

    /// Suspects that did not speak up in time are dead.
    pub fn expire_suspects(&mut self, now: f64) {
        let suspicion_timeout =
            SUSPICION_INTERVALS * self.probe_interval * self.log_members() * f64::from(1 + self.health_score);
        let transmissions = self.transmissions();
        for member in self.members.values_mut() {
            if member.state == MemberState::Suspect && now - member.changed_at > suspicion_timeout {
                (member.state, member.changed_at, member.transmissions_left) =
                    (MemberState::Dead, now, transmissions);
            }
        }
    }

    /// The next to look at: all in turn, in an order drawn anew each round. The dead are looked at too, one
    /// in a while, so that two halves of a fleet that were cut apart find each other again.
    pub fn next_probe_target(&mut self, rng: &mut impl Rng) -> Option<Id> {
        loop {
            if self.probe_order.is_empty() {
                let dead_too = rng.random_range(0..4) == 0;
                let wanted = |m: &Member| dead_too || m.state != MemberState::Dead;
                self.probe_order =
                    self.members.iter().filter(|(_, m)| wanted(m)).map(|(&id, _)| id).collect();
                self.probe_order.shuffle(rng);
                if self.probe_order.is_empty() {
                    self.probe_order = self.members.keys().copied().collect();
                }
            }
            let next = self.probe_order.pop()?;
            if self.members.contains_key(&next) {
                return Some(next);
            }
        }
    }

    /// Some that are thought alive, but not this one.
    pub fn random_members(&self, rng: &mut impl Rng, max: usize, except: Option<Id>) -> Vec<Id> {
        let eligible = |(id, m): &(&Id, &Member)| m.state != MemberState::Dead && Some(**id) != except;
        let mut all: Vec<Id> = self.members.iter().filter(eligible).map(|(&id, _)| id).collect();
        let (chosen, _) = all.partial_shuffle(rng, max);
        chosen.to_vec()
    }

    /// Rumours to carry along, those passed on least first.
    pub fn next_rumours(&mut self, max: usize) -> Vec<Rumour> {
        let mut updated: Vec<(u32, Id)> = self
            .members
            .iter()
            .filter(|(_, m)| m.transmissions_left > 0)
            .map(|(&id, m)| (u32::MAX - m.transmissions_left, id))
            .collect();
        updated.sort_unstable();
        updated.truncate(max);
        let mut rumours = Vec::new();
        for (_, id) in updated {
            let member = self.members.get_mut(&id).expect("just seen");
            member.transmissions_left -= 1;
            rumours.push(Rumour { member: id, incarnation: member.incarnation, state: member.state });
        }
        rumours
    }
}
