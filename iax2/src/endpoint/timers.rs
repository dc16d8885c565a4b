//! What is done when its time has come: resends, pings, the end of a leg's rest.

use std::cmp::Reverse;

use bytes::Bytes;

use super::state::Phase;
use super::{EndReason, Endpoint, Leg};
use crate::frame::{iax, kind};

impl Endpoint {
    /// Sends again what is due, and lets go of what has rested.
    pub fn turn(&mut self, now: f64) {
        while let Some(Reverse((at, leg))) = self.wakes.peek().copied() {
            if at.0 > now {
                break;
            }
            self.wakes.pop();
            let Some(state) = self.legs.get_mut(leg) else { continue };
            if state.queued < at.0 {
                continue;
            }
            state.queued = f64::INFINITY;
            self.wake(leg, now);
            self.queue(leg);
        }
        let rested = now - self.limits.whole_resend();
        while self.poked.front().is_some_and(|poke| poke.0 < rested) {
            let (_, peer, number) = self.poked.pop_front().expect("just seen");
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
                if state.phase != Phase::Over {
                    self.ended(leg, now, EndReason::Silent { heard });
                }
                return;
            }
            let late: Vec<u8> =
                state.unacknowledged.iter().filter(|sent| sent.due <= now).map(|sent| sent.oseq).collect();
            late.into_iter().for_each(|oseq| self.resend(leg, now, oseq));
        }
        if self.legs[leg].ping_at <= now {
            self.legs[leg].ping_at = now + limits.ping_interval;
            self.send(leg, now, kind::IAX, iax::PING, Bytes::new());
        }
    }
}
