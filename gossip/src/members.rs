//! The member list: SWIM with the Lifeguard extensions, without I/O.
//!
//! Members are probed in turn. A member that answers neither directly nor through helpers becomes suspect,
//! and dead when it does not refute the suspicion in time. Only a member itself can raise its incarnation, so
//! no rumour can revive a dead member or kill one for good. [`merge_states`] is the whole merge rule: any
//! order, loss or duplication of the same rumours gives the same view. A member that is itself slow waits
//! longer before it suspects others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::keys::Id;
use crate::wire::{MemberState, Rumour};

/// Upper bound of a member's own health score: it multiplies timeouts by up to 1 plus this.
const MAX_HEALTH_SCORE: u32 = 8;
/// Each rumour is sent this many times, times the logarithm of the fleet's size.
const TRANSMIT_MULTIPLIER: f64 = 1.0;
/// Probe intervals that a suspect has to refute the suspicion, times the logarithm of the fleet's size.
const SUSPICION_INTERVALS: f64 = 10.0;

/// Merges two states of one member: the later incarnation wins, and within one incarnation the worse state.
pub fn merge_states(a: (u64, MemberState), b: (u64, MemberState)) -> (u64, MemberState) {
    a.max(b)
}

/// What is known of one other member.
#[derive(Clone, Debug)]
pub struct Member {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub state: MemberState,
    changed_at: f64,
    transmissions_left: u32,
}

/// One member's view of all others.
#[derive(Debug)]
pub struct Members {
    own_id: Id,
    members: BTreeMap<Id, Member>,
    probe_order: Vec<Id>,
    /// How slow this member itself is; 0 is healthy (Lifeguard's local health).
    health_score: u32,
    probe_interval: f64,
    max_members: usize,
}

impl Members {
    /// Creates an empty list; `max_members` is the number of members that the fleet can have.
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

    /// The rumour about the member at this address, if it is suspect or dead. It is sent to that member so
    /// that it can refute it.
    pub fn doubt_about(&self, address: SocketAddr) -> Option<Rumour> {
        let mut doubtful =
            self.members.iter().filter(|(_, m)| m.address == address && m.state != MemberState::Alive);
        doubtful.next().map(|(&member, m)| Rumour { member, incarnation: m.incarnation, state: m.state })
    }

    /// Number of members believed alive or suspect, including this one.
    pub fn alive(&self) -> usize {
        1 + self.members.values().filter(|m| m.state != MemberState::Dead).count()
    }

    /// All other members, in order of their ids.
    pub fn all(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// Removes all members for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(Id) -> bool) {
        self.members.retain(|&id, _| is_kept(id));
    }

    /// The member with this id.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Logarithm of the whole fleet's size, not of the known members: a member that has just started knows
    /// few others, but all must learn of it.
    fn log_members(&self) -> f64 {
        (self.max_members as f64 + 1.0).log2()
    }

    /// How often each change is sent on, so that it reaches all members despite losses.
    pub fn transmissions(&self) -> u32 {
        (TRANSMIT_MULTIPLIER * self.log_members()).ceil() as u32
    }

    /// Applies a statement that the member itself signed.
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

    /// Applies another member's rumour. Returns true if it is about this member and must be refuted.
    pub fn apply_rumour(&mut self, now: f64, rumour: Rumour, own_incarnation: u64) -> bool {
        if rumour.member == self.own_id {
            let refute = rumour.state != MemberState::Alive && rumour.incarnation >= own_incarnation;
            if refute {
                self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            }
            return refute;
        }
        let transmissions = self.transmissions();
        // Nothing is known of a member that never made a statement, not even its address.
        let Some(member) = self.members.get_mut(&rumour.member) else { return false };
        let previous = (member.incarnation, member.state);
        // Only the member itself may raise its incarnation: a rumour of a later one is ignored until the
        // member's own statement arrives.
        if rumour.incarnation == member.incarnation
            && merge_states(previous, (rumour.incarnation, rumour.state)) != previous
        {
            (member.state, member.changed_at, member.transmissions_left) = (rumour.state, now, transmissions);
        }
        false
    }

    /// The member answered a probe, directly or through helpers.
    pub fn probe_answered(&mut self, now: f64, id: Id) {
        self.health_score = self.health_score.saturating_sub(1);
        self.packet_received(now, id);
    }

    /// A packet arrived from this member, so it is alive.
    pub fn packet_received(&mut self, now: f64, id: Id) {
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.state == MemberState::Suspect)
        {
            // The incarnation is unchanged, so only this member withdraws its own suspicion.
            (member.state, member.changed_at, member.transmissions_left) = (MemberState::Alive, now, 0);
        }
    }

    /// The member answered neither a direct probe nor one through helpers.
    pub fn probe_failed(&mut self, now: f64, id: Id) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        let transmissions = self.transmissions();
        if let Some(member) = self.members.get_mut(&id).filter(|member| member.state == MemberState::Alive) {
            (member.state, member.changed_at, member.transmissions_left) =
                (MemberState::Suspect, now, transmissions);
        }
    }

    /// This member had no turn for long, so it counts itself as slow instead of suspecting members whose
    /// answers it may have missed.
    pub fn local_stall(&mut self) {
        self.health_score = MAX_HEALTH_SCORE;
    }

    /// How long to wait for an answer to a probe, in milliseconds.
    pub fn probe_timeout(&self) -> f64 {
        self.probe_interval * f64::from(1 + self.health_score)
    }

    /// Declares dead all suspects that did not refute the suspicion in time.
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

    /// The next member to probe: each in turn, in an order that is shuffled every round. Dead members are
    /// included in one round out of four on average, so that two partitioned halves of a fleet find each
    /// other again.
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

    /// Up to `max` random members that are not believed dead, without `except`.
    pub fn random_members(&self, rng: &mut impl Rng, max: usize, except: Option<Id>) -> Vec<Id> {
        let eligible = |(id, m): &(&Id, &Member)| m.state != MemberState::Dead && Some(**id) != except;
        let mut all: Vec<Id> = self.members.iter().filter(eligible).map(|(&id, _)| id).collect();
        let (chosen, _) = all.partial_shuffle(rng, max);
        chosen.to_vec()
    }

    /// Up to `max` rumours to piggyback on a packet, those sent least often first.
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
            let member = self.members.get_mut(&id).expect("listed above");
            member.transmissions_left -= 1;
            rumours.push(Rumour { member: id, incarnation: member.incarnation, state: member.state });
        }
        rumours
    }
}
