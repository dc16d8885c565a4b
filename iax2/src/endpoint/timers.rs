//! Timers: retransmissions, pings, the removal of ended legs.

use std::cmp::Reverse;

use bytes::Bytes;

use super::state::Phase;
use super::{EndReason, Endpoint, Leg};
use crate::frame::{iax, kind};

impl Endpoint {
    /// Runs everything that is due: retransmissions, pings, the removal of ended legs and expired probes.
    pub fn turn(&mut self, now: f64) {
        while let Some(Reverse((at, leg))) = self.wake_queue.peek().copied() {
            if at.0 > now {
                break;
            }
            self.wake_queue.pop();
            let Some(state) = self.legs.get_mut(leg) else { continue };
            if state.queued_wake < at.0 {
                continue;
            }
            state.queued_wake = f64::INFINITY;
            self.wake(leg, now);
            self.schedule_wake(leg);
        }
        let expired = now - self.limits.total_resend_time();
        while self.poke_expiry.front().is_some_and(|poke| poke.0 < expired) {
            let (_, peer, number) = self.poke_expiry.pop_front().expect("just seen");
            self.pokes.remove(&(peer, number));
        }
    }

    fn wake(&mut self, leg: Leg, now: f64) {
        let limits = self.limits;
        let state = &mut self.legs[leg];
        if state.remove_at <= now {
            return self.remove(leg);
        }
        if state.unacknowledged.front().is_some_and(|sent| sent.due <= now) {
            if state.unacknowledged.iter().any(|sent| sent.due <= now && sent.resends >= limits.max_resends) {
                let heard = state.heard;
                state.unacknowledged.clear();
                if state.phase != Phase::Ended {
                    self.end_with(leg, now, EndReason::Silent { heard });
                }
                return;
            }
            let due: Vec<u8> =
                state.unacknowledged.iter().filter(|sent| sent.due <= now).map(|sent| sent.oseq).collect();
            due.into_iter().for_each(|oseq| self.resend(leg, now, oseq));
        }
        if self.legs[leg].ping_at <= now {
            self.legs[leg].ping_at = now + limits.ping_interval;
            self.send(leg, now, kind::IAX, iax::PING, Bytes::new());
        }
    }
}
