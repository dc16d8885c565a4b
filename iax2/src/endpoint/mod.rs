//! All call legs of one socket: sequence numbers, acknowledgements, bounded retransmission, duplicate
//! detection, and call numbers that stay unused for a while before they are assigned again (RFC 5456, 6 and
//! 7).
//!
//! Give it input through [`Endpoint::receive`], [`Endpoint::connection_refused`] and [`Endpoint::turn`] (at
//! [`Endpoint::due`]), then drain [`Endpoint::next_datagram`] and [`Endpoint::next_event`]. A leg is created
//! by [`Endpoint::call`] or by a peer's NEW, and exists until [`Event::Ended`].

mod legs;
mod receive;
mod send;
mod state;
mod timers;
mod types;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use ordered_float::OrderedFloat;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::{SlotMap, new_key_type};

use crate::element::{self, Elements};
use crate::frame::{MAX_CALL_NUMBER, Mini, control, iax, kind};

use state::{Phase, State};
pub use types::{Counts, Datagram, EndReason, Event, Limits, Media, Poke};

new_key_type! {
    /// A call leg, from its NEW until its end.
    pub struct Leg;
}

/// The highest call number of a leg. The number above it is used for answers to probes and for calls that get
/// no leg.
const MAX_LEG_NUMBER: u16 = MAX_CALL_NUMBER - 1;

/// The legs of one socket.
pub struct Endpoint {
    limits: Limits,
    legs: SlotMap<Leg, State>,
    by_local_number: HashMap<(SocketAddr, u16), Leg>,
    by_remote_number: HashMap<(SocketAddr, u16), Leg>,
    /// Unanswered probes, by the call number that they use.
    pokes: HashMap<(SocketAddr, u16), f64>,
    poke_expiry: VecDeque<(f64, SocketAddr, u16)>,
    next_number: u16,
    wake_queue: BinaryHeap<Reverse<(OrderedFloat<f64>, Leg)>>,
    datagrams: VecDeque<Datagram>,
    events: VecDeque<(Leg, Event)>,
    counts: Counts,
}

impl Endpoint {
    /// `seed` determines the first call number, so that a restart does not assign the same numbers again.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            legs: SlotMap::with_key(),
            by_local_number: HashMap::new(),
            by_remote_number: HashMap::new(),
            pokes: HashMap::new(),
            poke_expiry: VecDeque::new(),
            next_number: Pcg64Mcg::seed_from_u64(seed).random_range(1..=MAX_LEG_NUMBER),
            wake_queue: BinaryHeap::new(),
            datagrams: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Counts of invalid datagrams and retransmissions since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The number of legs, including ended ones that are still kept.
    pub fn legs(&self) -> usize {
        self.legs.len()
    }

    /// The next datagram to send.
    pub fn next_datagram(&mut self) -> Option<Datagram> {
        self.datagrams.pop_front()
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<(Leg, Event)> {
        self.events.pop_front()
    }

    /// The time of the next [`Endpoint::turn`], if any.
    pub fn due(&self) -> Option<f64> {
        self.wake_queue.peek().map(|Reverse((at, _))| at.0)
    }

    /// Creates a leg and sends its NEW (RFC 5456, 6.2.2), with the version as the first element. `None` if
    /// the limit of legs is reached.
    pub fn call(&mut self, now: f64, peer: SocketAddr, elements: &Elements) -> Option<Leg> {
        let leg = self.create_leg(now, peer, 0, Phase::Calling)?;
        let mut body = BytesMut::new();
        Elements::new().with_u16(element::VERSION, element::PROTOCOL_VERSION).write(&mut body);
        elements.write(&mut body);
        self.send(leg, now, kind::IAX, iax::NEW, body.freeze());
        Some(leg)
    }

    /// Sends a probe (RFC 5456, 6.7.1). Its PONG, if one arrives, is an event.
    pub fn poke(&mut self, now: f64, peer: SocketAddr) {
        let Some(local_number) = self.free_number(peer) else { return };
        self.pokes.insert((peer, local_number), now);
        self.poke_expiry.push_back((now, peer, local_number));
        self.send_once(peer, local_number, 0, 0, 0, 0, iax::POKE, Bytes::new());
    }

    /// Answers a probe (RFC 5456, 6.7.3).
    pub fn pong(&mut self, poke: &Poke, elements: &Elements) {
        let mut body = BytesMut::new();
        elements.write(&mut body);
        let Poke { peer, source, timestamp } = *poke;
        self.send_once(peer, MAX_CALL_NUMBER, source, timestamp, 0, 1, iax::PONG, body.freeze());
    }

    /// Sends ACCEPT (RFC 5456, 6.2.3) if the leg waits for it.
    pub fn accept(&mut self, now: f64, leg: Leg, elements: &Elements) {
        if self.phase(leg) == Some(Phase::Offered) {
            self.legs[leg].phase = Phase::Accepted;
            self.send_elements(leg, now, kind::IAX, iax::ACCEPT, elements);
        }
    }

    /// Sends RINGING (RFC 5456, 6.3.3) if the leg is accepted but not established.
    pub fn ringing(&mut self, now: f64, leg: Leg) {
        if self.phase(leg) == Some(Phase::Accepted) {
            self.send(leg, now, kind::CONTROL, control::RINGING, Bytes::new());
        }
    }

    /// Sends ANSWER (RFC 5456, 6.3.4) if the leg is accepted. A peer ignores elements that it does not know.
    pub fn answer(&mut self, now: f64, leg: Leg, elements: &Elements) {
        if self.phase(leg) == Some(Phase::Accepted) {
            self.establish(leg, now);
            self.send_elements(leg, now, kind::CONTROL, control::ANSWER, elements);
        }
    }

    /// Ends a leg: by REJECT if its NEW is unanswered (RFC 5456, 6.2.4), else by HANGUP (6.2.5).
    pub fn end(&mut self, now: f64, leg: Leg, elements: &Elements) {
        match self.phase(leg) {
            None | Some(Phase::Ended) => return,
            Some(Phase::Offered) => self.send_elements(leg, now, kind::IAX, iax::REJECT, elements),
            Some(_) => {
                // If the NEW may have been lost, it must not be sent again: it could arrive after the HANGUP.
                let state = &mut self.legs[leg];
                if !state.heard {
                    state.unacknowledged.clear();
                }
                self.send_elements(leg, now, kind::IAX, iax::HANGUP, elements);
            }
        }
        self.close(leg, now);
    }

    /// Forwards media. The distances between its timestamps are kept on the leg's own clock (RFC 5456,
    /// 8.1.2).
    pub fn media(&mut self, now: f64, leg: Leg, media: &Media) {
        if !matches!(self.phase(leg), Some(Phase::Accepted | Phase::Established)) {
            return;
        }
        let state = &mut self.legs[leg];
        let elapsed = (now - state.started_at).max(0.0) as u32;
        let base = *state.media_base.get_or_insert(elapsed.wrapping_sub(media.timestamp));
        let timestamp = media.timestamp.wrapping_add(base);
        if let Some((kind, subclass)) = media.full {
            self.send_at(leg, now, timestamp, kind, subclass, media.body.clone());
        } else {
            let mini =
                Mini { source: state.local_number, timestamp: timestamp as u16, body: media.body.clone() };
            self.datagrams.push_back(Datagram { peer: state.peer, bytes: mini.write().freeze() });
        }
    }

    /// Reports that the network answered that nothing listens at the address: ends all legs to it.
    pub fn connection_refused(&mut self, now: f64, peer: SocketAddr) {
        let affected: Vec<Leg> = self
            .legs
            .iter()
            .filter(|(_, state)| state.peer == peer && state.phase != Phase::Ended)
            .map(|(leg, _)| leg)
            .collect();
        for leg in affected {
            self.legs[leg].unacknowledged.clear();
            self.end_with(leg, now, EndReason::Refused);
        }
    }
}
