//! Creating, finding, ending and removing legs.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use ordered_float::OrderedFloat;

use super::state::{Phase, State};
use super::{EndReason, Endpoint, Event, Leg, MAX_LEG_NUMBER};

impl Endpoint {
    /// The progress of the leg; `None` if it does not exist.
    pub(super) fn phase(&self, leg: Leg) -> Option<Phase> {
        self.legs.get(leg).map(|state| state.phase)
    }

    /// Marks the leg as established, and starts its pings.
    pub(super) fn establish(&mut self, leg: Leg, now: f64) {
        let state = &mut self.legs[leg];
        state.phase = Phase::Established;
        state.ping_at = now + self.limits.ping_interval;
        self.schedule_wake(leg);
    }

    /// A number that no leg or probe to this peer uses. Numbers are assigned in rotation, so that each stays
    /// unused for as long as possible.
    pub(super) fn free_number(&mut self, peer: SocketAddr) -> Option<u16> {
        for _ in 0..MAX_LEG_NUMBER {
            let number = self.next_number;
            self.next_number = if number >= MAX_LEG_NUMBER { 1 } else { number + 1 };
            if !self.by_local_number.contains_key(&(peer, number))
                && !self.pokes.contains_key(&(peer, number))
            {
                return Some(number);
            }
        }
        None
    }

    /// Creates a leg; `None` if the limit of legs or the numbers are exhausted.
    pub(super) fn create_leg(
        &mut self,
        now: f64,
        peer: SocketAddr,
        remote_number: u16,
        phase: Phase,
    ) -> Option<Leg> {
        if self.legs.len() >= self.limits.max_legs {
            return None;
        }
        let local_number = self.free_number(peer)?;
        let leg = self.legs.insert(State {
            peer,
            local_number,
            remote_number,
            phase,
            started_at: now,
            last_timestamp: 0,
            last_remote_timestamp: 0,
            media_base: None,
            oseq: 0,
            iseq: 0,
            unacknowledged: VecDeque::new(),
            offer: None,
            heard: phase == Phase::Offered,
            ping_at: f64::INFINITY,
            remove_at: f64::INFINITY,
            queued_wake: f64::INFINITY,
        });
        self.by_local_number.insert((peer, local_number), leg);
        if remote_number != 0 {
            self.by_remote_number.insert((peer, remote_number), leg);
        }
        Some(leg)
    }

    /// Removes the leg, so that its number may be used again.
    pub(super) fn remove(&mut self, leg: Leg) {
        if let Some(state) = self.legs.remove(leg) {
            self.by_local_number.remove(&(state.peer, state.local_number));
            if self.by_remote_number.get(&(state.peer, state.remote_number)) == Some(&leg) {
                self.by_remote_number.remove(&(state.peer, state.remote_number));
            }
        }
    }

    /// Queues the next wake of the leg, unless an earlier one is queued.
    pub(super) fn schedule_wake(&mut self, leg: Leg) {
        let Some(state) = self.legs.get_mut(leg) else { return };
        let due = state.due();
        if due < state.queued_wake {
            state.queued_wake = due;
            self.wake_queue.push(Reverse((OrderedFloat(due), leg)));
        }
    }

    /// Ends the leg. It is kept until the last retransmissions of the peer must have arrived.
    pub(super) fn close(&mut self, leg: Leg, now: f64) {
        let resend_time = self.limits.total_resend_time();
        let state = &mut self.legs[leg];
        state.phase = Phase::Ended;
        state.ping_at = f64::INFINITY;
        state.remove_at = now + resend_time + self.limits.resend_delay;
        state.offer = state.offer.take().map(|(stamp, body)| (stamp, Bytes::copy_from_slice(&body)));
        self.schedule_wake(leg);
    }

    /// Ends the leg and reports the reason.
    pub(super) fn end_with(&mut self, leg: Leg, now: f64, end: EndReason) {
        self.legs[leg].unacknowledged.clear();
        self.close(leg, now);
        self.events.push_back((leg, Event::Ended(end)));
    }
}
