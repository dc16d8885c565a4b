//! Legs begun, looked up, ended and removed.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use ordered_float::OrderedFloat;

use super::state::{Phase, State};
use super::{EndReason, Endpoint, Event, Leg, MAX_LEG_NUMBER};

impl Endpoint {
    /// How far the leg has come; `None` where there is none.
    pub(super) fn phase(&self, leg: Leg) -> Option<Phase> {
        self.legs.get(leg).map(|state| state.phase)
    }

    /// The leg stands from now on.
    pub(super) fn up(&mut self, leg: Leg, now: f64) {
        let state = &mut self.legs[leg];
        state.phase = Phase::Up;
        state.ping_at = now + self.limits.ping_interval;
        self.queue(leg);
    }

    /// A number that no leg or probe to this peer has; they go round, so that one rests as long as it can.
    pub(super) fn free_number(&mut self, peer: SocketAddr) -> Option<u16> {
        for _ in 0..MAX_LEG_NUMBER {
            let number = self.next;
            self.next = if number >= MAX_LEG_NUMBER { 1 } else { number + 1 };
            if !self.ours.contains_key(&(peer, number)) && !self.pokes.contains_key(&(peer, number)) {
                return Some(number);
            }
        }
        None
    }

    /// Makes a leg; `None` where legs or numbers have run out.
    pub(super) fn begin(&mut self, now: f64, peer: SocketAddr, theirs: u16, phase: Phase) -> Option<Leg> {
        if self.legs.len() >= self.limits.max_legs {
            return None;
        }
        let ours = self.free_number(peer)?;
        let leg = self.legs.insert(State {
            peer,
            ours,
            theirs,
            phase,
            began: now,
            stamped: 0,
            heard_at: 0,
            media_base: None,
            oseq: 0,
            iseq: 0,
            unacknowledged: VecDeque::new(),
            offer: None,
            heard: phase == Phase::Offered,
            ping_at: f64::INFINITY,
            remove_at: f64::INFINITY,
            queued: f64::INFINITY,
        });
        self.ours.insert((peer, ours), leg);
        if theirs != 0 {
            self.theirs.insert((peer, theirs), leg);
        }
        Some(leg)
    }

    /// Forgets the leg, so that its number may be used again.
    pub(super) fn remove(&mut self, leg: Leg) {
        if let Some(state) = self.legs.remove(leg) {
            self.ours.remove(&(state.peer, state.ours));
            if self.theirs.get(&(state.peer, state.theirs)) == Some(&leg) {
                self.theirs.remove(&(state.peer, state.theirs));
            }
        }
    }

    /// Puts the leg into the queue of wakes, unless it stands there early enough.
    pub(super) fn queue(&mut self, leg: Leg) {
        let Some(state) = self.legs.get_mut(leg) else { return };
        let due = state.due();
        if due < state.queued {
            state.queued = due;
            self.wakes.push(Reverse((OrderedFloat(due), leg)));
        }
    }

    /// The leg is over: it is kept until its last copies must have come.
    pub(super) fn over(&mut self, leg: Leg, now: f64) {
        let rest = self.limits.whole_resend();
        let state = &mut self.legs[leg];
        state.phase = Phase::Over;
        state.ping_at = f64::INFINITY;
        state.remove_at = now + rest + self.limits.resend_delay;
        state.offer = state.offer.take().map(|(stamp, body)| (stamp, Bytes::copy_from_slice(&body)));
        self.queue(leg);
    }

    /// The leg is over, and this is why.
    pub(super) fn ended(&mut self, leg: Leg, now: f64, end: EndReason) {
        self.legs[leg].unacknowledged.clear();
        self.over(leg, now);
        self.happenings.push_back((leg, Event::Ended(end)));
    }
}
