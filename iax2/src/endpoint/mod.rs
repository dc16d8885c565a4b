//! All call legs of one socket: sequence numbers, acknowledgements, resends and their end, duplicates told
//! from news, call numbers that rest before they are used again (RFC 5456, 6 and 7).
//!
//! Feed it with [`Endpoint::receive`], [`Endpoint::refused`] and [`Endpoint::turn`] (when [`Endpoint::due`]
//! has come), then drain [`Endpoint::datagram`] and [`Endpoint::happening`]. A leg is begun by
//! [`Endpoint::call`] or by a NEW of a peer, and lives until [`Event::Ended`].

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
    /// A call leg, from its NEW until it has ended.
    pub struct Leg;
}

/// The highest call number of a leg: the one above answers probes and calls that get no leg.
const MAX_LEG_NUMBER: u16 = MAX_CALL_NUMBER - 1;

/// The legs of one socket.
pub struct Endpoint {
    limits: Limits,
    legs: SlotMap<Leg, State>,
    by_local_number: HashMap<(SocketAddr, u16), Leg>,
    by_remote_number: HashMap<(SocketAddr, u16), Leg>,
    /// Probes out, by the call number that they borrow.
    pokes: HashMap<(SocketAddr, u16), f64>,
    poke_expiry: VecDeque<(f64, SocketAddr, u16)>,
    next_number: u16,
    wake_queue: BinaryHeap<Reverse<(OrderedFloat<f64>, Leg)>>,
    datagrams: VecDeque<Datagram>,
    events: VecDeque<(Leg, Event)>,
    counts: Counts,
}

impl Endpoint {
    /// The seed says where call numbers begin, so that a restart does not go through the same ones.
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

    /// What was no good, and what was done again, since the beginning.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Legs there are, those at rest included.
    pub fn legs(&self) -> usize {
        self.legs.len()
    }

    /// The next datagram to send.
    pub fn next_datagram(&mut self) -> Option<Datagram> {
        self.datagrams.pop_front()
    }

    /// The next thing that happened.
    pub fn next_event(&mut self) -> Option<(Leg, Event)> {
        self.events.pop_front()
    }

    /// When [`Endpoint::turn`] is wanted.
    pub fn due(&self) -> Option<f64> {
        self.wake_queue.peek().map(|Reverse((at, _))| at.0)
    }

    /// Begins a leg with a NEW (RFC 5456, 6.2.2); the version is put first. `None` where legs have run out.
    pub fn call(&mut self, now: f64, peer: SocketAddr, elements: &Elements) -> Option<Leg> {
        let leg = self.create_leg(now, peer, 0, Phase::Calling)?;
        let mut body = BytesMut::new();
        Elements::new().with_u16(element::VERSION, element::PROTOCOL_VERSION).write(&mut body);
        elements.write(&mut body);
        self.send(leg, now, kind::IAX, iax::NEW, body.freeze());
        Some(leg)
    }

    /// Sends a probe (RFC 5456, 6.7.1). Its PONG, if one comes, is a happening.
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

    /// ACCEPT (RFC 5456, 6.2.3), where the leg awaits it.
    pub fn accept(&mut self, now: f64, leg: Leg, elements: &Elements) {
        if self.phase(leg) == Some(Phase::Offered) {
            self.legs[leg].phase = Phase::Linked;
            self.send_elements(leg, now, kind::IAX, iax::ACCEPT, elements);
        }
    }

    /// RINGING (RFC 5456, 6.3.3), where the leg is accepted and does not stand yet.
    pub fn ringing(&mut self, now: f64, leg: Leg) {
        if self.phase(leg) == Some(Phase::Linked) {
            self.send(leg, now, kind::CONTROL, control::RINGING, Bytes::new());
        }
    }

    /// ANSWER (RFC 5456, 6.3.4), with elements that a peer that does not know them passes over.
    pub fn answer(&mut self, now: f64, leg: Leg, elements: &Elements) {
        if self.phase(leg) == Some(Phase::Linked) {
            self.establish(leg, now);
            self.send_elements(leg, now, kind::CONTROL, control::ANSWER, elements);
        }
    }

    /// Ends a leg: REJECT while a NEW awaits its answer (RFC 5456, 6.2.4), else HANGUP (6.2.5).
    pub fn end(&mut self, now: f64, leg: Leg, elements: &Elements) {
        match self.phase(leg) {
            None | Some(Phase::Ended) => return,
            Some(Phase::Offered) => self.send_elements(leg, now, kind::IAX, iax::REJECT, elements),
            Some(_) => {
                // A NEW that may never have come through must not come through later than its end.
                let state = &mut self.legs[leg];
                if !state.heard {
                    state.unacknowledged.clear();
                }
                self.send_elements(leg, now, kind::IAX, iax::HANGUP, elements);
            }
        }
        self.close(leg, now);
    }

    /// Passes media on. Its times keep their distances on the leg's own clock (RFC 5456, 8.1.2).
    pub fn media(&mut self, now: f64, leg: Leg, media: &Media) {
        if !matches!(self.phase(leg), Some(Phase::Linked | Phase::Up)) {
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

    /// The network told that nobody listens at the address: what hangs on it has ended.
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
