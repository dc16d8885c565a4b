//! All call legs of one socket: sequence numbers, acknowledgements, resends and their end, duplicates told
//! from news, call numbers that rest before they are used again (RFC 5456, 6 and 7).
//!
//! Feed it with [`Endpoint::receive`], [`Endpoint::refused`] and [`Endpoint::turn`] (when [`Endpoint::due`]
//! has come), then drain [`Endpoint::datagram`] and [`Endpoint::happening`]. A leg is begun by
//! [`Endpoint::call`] or by a NEW of a peer, and lives until [`Happening::Ended`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use ordered_float::OrderedFloat;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::{SlotMap, new_key_type};

use crate::cause;
use crate::element::{self, Elements};
use crate::frame::{self, Frame, Full, HIGHEST_NUMBER, Mini, control, iax, kind};

new_key_type! {
    /// A call leg, from its NEW until it has ended.
    pub struct Leg;
}

/// The highest call number of a leg: the one above answers probes and calls that get no leg.
const HIGHEST_LEG: u16 = HIGHEST_NUMBER - 1;

/// Sizes and waits of an endpoint; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Legs at once, those at rest with them; past that a NEW is turned away with no leg made for it.
    pub legs: usize,
    /// The first wait for an acknowledgement; each further one is twice as long.
    pub resend: f64,
    /// How often a frame is sent again before its leg is given up.
    pub resends: u32,
    /// A leg that stands is asked for a sign of life this often.
    pub ping: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { legs: 20_000, resend: 500.0, resends: 4, ping: 20_000.0 }
    }
}

impl Limits {
    /// From the first sending of a frame until no copy of it is sent any more.
    fn whole_resend(&self) -> f64 {
        self.resend * f64::from((1u32 << (self.resends + 1).min(31)) - 1)
    }
}

/// Bytes for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub peer: SocketAddr,
    pub bytes: Bytes,
}

/// What a leg carries beside its signalling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Media {
    /// Milliseconds on the sending peer's clock of the call.
    pub timestamp: u32,
    /// Frame type and subclass of a full frame, passed on in order; `None` for a mini frame.
    pub full: Option<(u8, u32)>,
    pub body: Bytes,
}

/// How a leg came to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The peer sent HANGUP or REJECT.
    Peer { rejected: bool, elements: Elements },
    /// The peer knows nothing of the leg (INVAL), or has begun anew under its number.
    Unknown,
    /// No acknowledgement came, however often it was asked for; `heard` when the peer ever said anything.
    Silent { heard: bool },
    /// Nobody listens at the peer's address.
    Refused,
}

/// A peer's probe, to be answered with [`Endpoint::pong`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poke {
    pub peer: SocketAddr,
    source: u16,
    timestamp: u32,
}

/// What happened to a leg.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A peer's NEW: answer it with [`Endpoint::accept`] or [`Endpoint::reject`]. `again` when an earlier
    /// copy of it was lost.
    Offered {
        peer: SocketAddr,
        elements: Elements,
        again: bool,
    },
    Accepted(Elements),
    Ringing,
    Proceeding,
    Answered(Elements),
    Media(Media),
    Ended(End),
    /// A peer's probe; comes with a leg of no further use.
    Poked(Poke),
    /// A PONG to [`Endpoint::poke`]; comes with a leg of no further use.
    Pong {
        peer: SocketAddr,
        elements: Elements,
    },
}

/// Datagrams that were no good, and what was done again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub malformed: u64,
    pub strays: u64,
    pub duplicates: u64,
    pub out_of_order: u64,
    pub resent: u64,
    pub turned_away: u64,
}

struct Unacknowledged {
    oseq: u8,
    bytes: BytesMut,
    due: f64,
    gap: f64,
    resends: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Our NEW is out.
    Calling,
    /// Their NEW awaits our word.
    Offered,
    /// Accepted, by either side.
    Linked,
    Up,
    /// Ended: kept so that late copies are acknowledged and the number rests.
    Over,
}

struct State {
    peer: SocketAddr,
    ours: u16,
    /// 0 until the peer has named it.
    theirs: u16,
    phase: Phase,
    began: f64,
    stamped: u32,
    /// The latest time of the peer's clock of the call.
    heard_at: u32,
    /// What media times are moved by, from the peer's clock to this leg's.
    media_base: Option<u32>,
    oseq: u8,
    iseq: u8,
    unacknowledged: VecDeque<Unacknowledged>,
    /// A peer's NEW by its time and body, to know its copies by.
    offer: Option<(u32, Bytes)>,
    heard: bool,
    ping_at: f64,
    remove_at: f64,
    /// The earliest time at which the leg stands in the queue of wakes.
    queued: f64,
}

impl State {
    fn due(&self) -> f64 {
        let resend = self.unacknowledged.front().map_or(f64::INFINITY, |sent| sent.due);
        resend.min(self.ping_at).min(self.remove_at)
    }
}

/// The legs of one socket.
pub struct Endpoint {
    limits: Limits,
    legs: SlotMap<Leg, State>,
    ours: HashMap<(SocketAddr, u16), Leg>,
    theirs: HashMap<(SocketAddr, u16), Leg>,
    /// Probes out, by the call number that they borrow.
    pokes: HashMap<(SocketAddr, u16), f64>,
    poked: VecDeque<(f64, SocketAddr, u16)>,
    next: u16,
    wakes: BinaryHeap<Reverse<(OrderedFloat<f64>, Leg)>>,
    datagrams: VecDeque<Datagram>,
    happenings: VecDeque<(Leg, Happening)>,
    counts: Counts,
}

impl Endpoint {
    /// The seed says where call numbers begin, so that a restart does not go through the same ones.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            legs: SlotMap::with_key(),
            ours: HashMap::new(),
            theirs: HashMap::new(),
            pokes: HashMap::new(),
            poked: VecDeque::new(),
            next: Pcg64Mcg::seed_from_u64(seed).random_range(1..=HIGHEST_LEG),
            wakes: BinaryHeap::new(),
            datagrams: VecDeque::new(),
            happenings: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Legs there are, those at rest included.
    pub fn legs(&self) -> usize {
        self.legs.len()
    }

    /// The next datagram to send.
    pub fn datagram(&mut self) -> Option<Datagram> {
        self.datagrams.pop_front()
    }

    /// The next thing that happened.
    pub fn happening(&mut self) -> Option<(Leg, Happening)> {
        self.happenings.pop_front()
    }

    /// When [`Endpoint::turn`] is wanted.
    pub fn due(&self) -> Option<f64> {
        self.wakes.peek().map(|Reverse((at, _))| at.0)
    }

    /// Begins a leg with a NEW (RFC 5456, 6.2.2); the version is put first. `None` where legs have run out.
    pub fn call(&mut self, now: f64, peer: SocketAddr, elements: &Elements) -> Option<Leg> {
        let leg = self.begin(now, peer, 0, Phase::Calling)?;
        let mut body = BytesMut::new();
        Elements::new().with_u16(element::VERSION, element::PROTOCOL_VERSION).write(&mut body);
        elements.write(&mut body);
        self.send(leg, now, kind::IAX, iax::NEW, body.freeze());
        Some(leg)
    }

    /// Sends a probe (RFC 5456, 6.7.1). Its PONG, if one comes, is a happening.
    pub fn poke(&mut self, now: f64, peer: SocketAddr) {
        let Some(ours) = self.free_number(peer) else { return };
        self.pokes.insert((peer, ours), now);
        self.poked.push_back((now, peer, ours));
        self.bare(peer, ours, 0, 0, 0, 0, iax::POKE, Bytes::new());
    }

    /// Answers a probe (RFC 5456, 6.7.3).
    pub fn pong(&mut self, poke: &Poke, elements: &Elements) {
        let mut body = BytesMut::new();
        elements.write(&mut body);
        let Poke { peer, source, timestamp } = *poke;
        self.bare(peer, HIGHEST_NUMBER, source, timestamp, 0, 1, iax::PONG, body.freeze());
    }

    pub fn accept(&mut self, now: f64, leg: Leg, elements: &Elements) {
        if self.phase(leg) == Some(Phase::Offered) {
            self.legs[leg].phase = Phase::Linked;
            self.send_elements(leg, now, kind::IAX, iax::ACCEPT, elements);
        }
    }

    pub fn ringing(&mut self, now: f64, leg: Leg) {
        if self.phase(leg) == Some(Phase::Linked) {
            self.send(leg, now, kind::CONTROL, control::RINGING, Bytes::new());
        }
    }

    /// ANSWER (RFC 5456, 6.3.4), with elements that a peer that does not know them passes over.
    pub fn answer(&mut self, now: f64, leg: Leg, elements: &Elements) {
        if self.phase(leg) == Some(Phase::Linked) {
            self.up(leg, now);
            self.send_elements(leg, now, kind::CONTROL, control::ANSWER, elements);
        }
    }

    /// Ends a leg: REJECT while a NEW awaits its answer (RFC 5456, 6.2.4), else HANGUP (6.2.5).
    pub fn end(&mut self, now: f64, leg: Leg, elements: &Elements) {
        match self.phase(leg) {
            None | Some(Phase::Over) => return,
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
        self.over(leg, now);
    }

    /// Passes media on. Its times keep their distances on the leg's own clock (RFC 5456, 8.1.2).
    pub fn media(&mut self, now: f64, leg: Leg, media: &Media) {
        if !matches!(self.phase(leg), Some(Phase::Linked | Phase::Up)) {
            return;
        }
        let state = &mut self.legs[leg];
        let elapsed = (now - state.began).max(0.0) as u32;
        let base = *state.media_base.get_or_insert(elapsed.wrapping_sub(media.timestamp));
        let timestamp = media.timestamp.wrapping_add(base);
        if let Some((kind, subclass)) = media.full {
            self.send_at(leg, now, timestamp, kind, subclass, media.body.clone());
        } else {
            let mini = Mini { source: state.ours, timestamp: timestamp as u16, body: media.body.clone() };
            self.datagrams.push_back(Datagram { peer: state.peer, bytes: mini.write().freeze() });
        }
    }

    /// A datagram came. Anything may stand in it.
    pub fn receive(&mut self, now: f64, peer: SocketAddr, datagram: &Bytes) {
        match frame::read(datagram) {
            Ok(Frame::Full(full)) => self.full(now, peer, full),
            Ok(Frame::Mini(mini)) => self.mini(peer, mini),
            Ok(Frame::Trunk(minis)) => minis.into_iter().for_each(|mini| self.mini(peer, mini)),
            Ok(Frame::Video(_)) => self.counts.strays += 1,
            Err(_) => self.counts.malformed += 1,
        }
    }

    /// The network told that nobody listens at the address: what hangs on it has ended.
    pub fn refused(&mut self, now: f64, peer: SocketAddr) {
        let there: Vec<Leg> = self
            .legs
            .iter()
            .filter(|(_, state)| state.peer == peer && state.phase != Phase::Over)
            .map(|(leg, _)| leg)
            .collect();
        for leg in there {
            self.legs[leg].unacknowledged.clear();
            self.ended(leg, now, End::Refused);
        }
    }

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
            if state.unacknowledged.iter().any(|sent| sent.due <= now && sent.resends >= limits.resends) {
                let heard = state.heard;
                state.unacknowledged.clear();
                if state.phase != Phase::Over {
                    self.ended(leg, now, End::Silent { heard });
                }
                return;
            }
            let late: Vec<u8> =
                state.unacknowledged.iter().filter(|sent| sent.due <= now).map(|sent| sent.oseq).collect();
            late.into_iter().for_each(|oseq| self.resend(leg, now, oseq));
        }
        if self.legs[leg].ping_at <= now {
            self.legs[leg].ping_at = now + limits.ping;
            self.send(leg, now, kind::IAX, iax::PING, Bytes::new());
        }
    }

    fn resend(&mut self, leg: Leg, now: f64, oseq: u8) {
        let state = &mut self.legs[leg];
        let Some(sent) = state.unacknowledged.iter_mut().find(|sent| sent.oseq == oseq) else { return };
        sent.resends += 1;
        sent.gap *= 2.0;
        sent.due = now + sent.gap;
        // What the peer has sent meanwhile is acknowledged with it; its number may be known by now.
        sent.bytes[9] = state.iseq;
        let is_new = sent.bytes[10] == kind::IAX && u32::from(sent.bytes[11]) == iax::NEW;
        let dest = if is_new { [0, 0] } else { state.theirs.to_be_bytes() };
        (sent.bytes[2], sent.bytes[3]) = (0x80 | dest[0], dest[1]);
        let bytes = Bytes::copy_from_slice(&sent.bytes);
        self.datagrams.push_back(Datagram { peer: state.peer, bytes });
        self.counts.resent += 1;
    }

    fn phase(&self, leg: Leg) -> Option<Phase> {
        self.legs.get(leg).map(|state| state.phase)
    }

    fn up(&mut self, leg: Leg, now: f64) {
        let state = &mut self.legs[leg];
        state.phase = Phase::Up;
        state.ping_at = now + self.limits.ping;
        self.queue(leg);
    }

    /// A number that no leg or probe to this peer has; they go round, so that one rests as long as it can.
    fn free_number(&mut self, peer: SocketAddr) -> Option<u16> {
        for _ in 0..HIGHEST_LEG {
            let number = self.next;
            self.next = if number >= HIGHEST_LEG { 1 } else { number + 1 };
            if !self.ours.contains_key(&(peer, number)) && !self.pokes.contains_key(&(peer, number)) {
                return Some(number);
            }
        }
        None
    }

    fn begin(&mut self, now: f64, peer: SocketAddr, theirs: u16, phase: Phase) -> Option<Leg> {
        if self.legs.len() >= self.limits.legs {
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

    fn remove(&mut self, leg: Leg) {
        if let Some(state) = self.legs.remove(leg) {
            self.ours.remove(&(state.peer, state.ours));
            if self.theirs.get(&(state.peer, state.theirs)) == Some(&leg) {
                self.theirs.remove(&(state.peer, state.theirs));
            }
        }
    }

    fn queue(&mut self, leg: Leg) {
        let Some(state) = self.legs.get_mut(leg) else { return };
        let due = state.due();
        if due < state.queued {
            state.queued = due;
            self.wakes.push(Reverse((OrderedFloat(due), leg)));
        }
    }

    fn over(&mut self, leg: Leg, now: f64) {
        let rest = self.limits.whole_resend();
        let state = &mut self.legs[leg];
        state.phase = Phase::Over;
        state.ping_at = f64::INFINITY;
        state.remove_at = now + rest + self.limits.resend;
        state.offer = state.offer.take().map(|(stamp, body)| (stamp, Bytes::copy_from_slice(&body)));
        self.queue(leg);
    }

    fn ended(&mut self, leg: Leg, now: f64, end: End) {
        self.legs[leg].unacknowledged.clear();
        self.over(leg, now);
        self.happenings.push_back((leg, Happening::Ended(end)));
    }

    fn send_elements(&mut self, leg: Leg, now: f64, kind: u8, subclass: u32, elements: &Elements) {
        let mut body = BytesMut::new();
        elements.write(&mut body);
        self.send(leg, now, kind, subclass, body.freeze());
    }

    fn send(&mut self, leg: Leg, now: f64, kind: u8, subclass: u32, body: Bytes) {
        let state = &mut self.legs[leg];
        // Times grow from frame to frame (RFC 5456, 8.1.1), however quickly these follow.
        let timestamp = ((now - state.began).max(0.0) as u32).max(state.stamped.wrapping_add(1));
        state.stamped = timestamp;
        self.send_at(leg, now, timestamp, kind, subclass, body);
    }

    fn send_at(&mut self, leg: Leg, now: f64, timestamp: u32, kind: u8, subclass: u32, body: Bytes) {
        let resend = self.limits.resend;
        let state = &mut self.legs[leg];
        let full = Full {
            source: state.ours,
            dest: state.theirs,
            again: false,
            timestamp,
            oseq: state.oseq,
            iseq: state.iseq,
            kind,
            subclass,
            body,
        };
        let bytes = full.write();
        state.unacknowledged.push_back(Unacknowledged {
            oseq: state.oseq,
            bytes: bytes.clone(),
            due: now + resend,
            gap: resend,
            resends: 0,
        });
        state.oseq = state.oseq.wrapping_add(1);
        self.datagrams.push_back(Datagram { peer: state.peer, bytes: bytes.freeze() });
        self.queue(leg);
    }

    /// ACK and the like: outside the sequence, never sent again.
    fn send_aside(&mut self, leg: Leg, subclass: u32, timestamp: u32) {
        let s = &self.legs[leg];
        self.bare(s.peer, s.ours, s.theirs, timestamp, s.oseq, s.iseq, subclass, Bytes::new());
    }

    #[allow(clippy::too_many_arguments)] // the fields of the header, in its order
    fn bare(
        &mut self,
        peer: SocketAddr,
        source: u16,
        dest: u16,
        timestamp: u32,
        oseq: u8,
        iseq: u8,
        subclass: u32,
        body: Bytes,
    ) {
        let full =
            Full { source, dest, again: false, timestamp, oseq, iseq, kind: kind::IAX, subclass, body };
        self.datagrams.push_back(Datagram { peer, bytes: full.write().freeze() });
    }

    fn mini(&mut self, peer: SocketAddr, mini: Mini) {
        let leg = self.theirs.get(&(peer, mini.source)).copied();
        match leg.filter(|&leg| matches!(self.legs[leg].phase, Phase::Linked | Phase::Up)) {
            Some(leg) => {
                // The time nearest to the last whole one that has these low 16 bits.
                let whole = self.legs[leg].heard_at;
                let near = mini.timestamp.wrapping_sub(whole as u16) as i16;
                let timestamp = whole.wrapping_add_signed(i32::from(near));
                self.legs[leg].heard_at = timestamp;
                let media = Media { timestamp, full: None, body: mini.body };
                self.happenings.push_back((leg, Happening::Media(media)));
            }
            None => self.counts.strays += 1,
        }
    }

    fn full(&mut self, now: f64, peer: SocketAddr, full: Full) {
        if full.is(kind::IAX, iax::NEW) && full.dest == 0 {
            return self.offered(now, peer, full);
        }
        if full.is(kind::IAX, iax::POKE) {
            let poke = Poke { peer, source: full.source, timestamp: full.timestamp };
            return self.happenings.push_back((Leg::default(), Happening::Poked(poke)));
        }
        let leg = if full.dest != 0 {
            let found = self.ours.get(&(peer, full.dest)).copied();
            found.filter(|&leg| [0, full.source].contains(&self.legs[leg].theirs))
        } else {
            self.theirs.get(&(peer, full.source)).copied()
        };
        let Some(leg) = leg else {
            if full.is(kind::IAX, iax::PONG) && self.pokes.remove(&(peer, full.dest)).is_some() {
                self.bare(
                    peer,
                    full.dest,
                    full.source,
                    full.timestamp,
                    1,
                    full.oseq.wrapping_add(1),
                    iax::ACK,
                    Bytes::new(),
                );
                let elements = Elements::read(full.body).unwrap_or_default();
                return self.happenings.push_back((Leg::default(), Happening::Pong { peer, elements }));
            }
            self.counts.strays += 1;
            // RFC 5456, 6.9.2; what is outside the sequence is never answered, so that no two ends can
            // go on telling each other.
            if full.counts() {
                let iseq = full.oseq.wrapping_add(1);
                // A source of 0 is no frame: one that was sent before it knew ours is told by another.
                let source = if full.dest == 0 { HIGHEST_NUMBER } else { full.dest };
                self.bare(
                    peer,
                    source,
                    full.source,
                    full.timestamp,
                    full.iseq,
                    iseq,
                    iax::INVAL,
                    Bytes::new(),
                );
            }
            return;
        };
        self.on_leg(now, leg, full);
    }

    fn offered(&mut self, now: f64, peer: SocketAddr, full: Full) {
        if let Some(&leg) = self.theirs.get(&(peer, full.source)) {
            let state = &self.legs[leg];
            if state
                .offer
                .as_ref()
                .is_some_and(|(stamp, body)| *stamp == full.timestamp && *body == full.body)
            {
                self.counts.duplicates += 1;
                return self.send_aside(leg, iax::ACK, full.timestamp);
            }
            // The peer has begun anew and uses the number again.
            if state.phase != Phase::Over {
                self.ended(leg, now, End::Unknown);
            }
            self.legs[leg].unacknowledged.clear();
            self.theirs.remove(&(peer, full.source));
        }
        let read = Elements::read(full.body.clone());
        let known = read.as_ref().is_ok_and(|e| e.u16(element::VERSION) == Some(element::PROTOCOL_VERSION));
        let made = if known { self.begin(now, peer, full.source, Phase::Offered) } else { None };
        let Some(leg) = made else {
            // No leg is made for it: the same bytes are told the same again, and nothing is kept.
            let why = if known { cause::CONGESTION } else { cause::INVALID_NUMBER };
            let count = if known { &mut self.counts.turned_away } else { &mut self.counts.malformed };
            *count += 1;
            let mut body = BytesMut::new();
            Elements::new().with_cause(why).write(&mut body);
            let iseq = full.oseq.wrapping_add(1);
            return self.bare(
                peer,
                HIGHEST_NUMBER,
                full.source,
                full.timestamp,
                0,
                iseq,
                iax::REJECT,
                body.freeze(),
            );
        };
        let state = &mut self.legs[leg];
        state.iseq = full.oseq.wrapping_add(1);
        state.offer = Some((full.timestamp, full.body));
        self.send_aside(leg, iax::ACK, full.timestamp);
        let elements = read.expect("known");
        self.happenings.push_back((leg, Happening::Offered { peer, elements, again: full.again }));
    }

    fn on_leg(&mut self, now: f64, leg: Leg, full: Full) {
        let state = &mut self.legs[leg];
        state.heard = true;
        if state.theirs == 0 && !full.is(kind::IAX, iax::INVAL) {
            state.theirs = full.source;
            let key = (state.peer, full.source);
            // An old leg that the peer had under this number is over for it.
            let old = self.theirs.insert(key, leg);
            if let Some(old) = old.filter(|&old| old != leg && self.legs[old].phase != Phase::Over) {
                self.ended(old, now, End::Unknown);
            }
        }
        let state = &mut self.legs[leg];
        while let Some(sent) = state.unacknowledged.front() {
            // Acknowledged is what lies up to half the circle behind the one awaited next.
            if !(1..=128).contains(&full.iseq.wrapping_sub(sent.oseq)) {
                break;
            }
            state.unacknowledged.pop_front();
        }
        if !full.counts() {
            match full.subclass {
                iax::INVAL if full.kind == kind::IAX && state.phase != Phase::Over => {
                    state.unacknowledged.clear();
                    self.ended(leg, now, End::Unknown);
                }
                iax::INVAL => state.unacknowledged.clear(),
                iax::VNAK => {
                    let all: Vec<u8> = state.unacknowledged.iter().map(|sent| sent.oseq).collect();
                    all.into_iter().for_each(|oseq| self.resend(leg, now, oseq));
                }
                _ => {}
            }
            return self.queue(leg);
        }
        let ahead = full.oseq.wrapping_sub(state.iseq);
        if ahead != 0 {
            if ahead >= 128 {
                self.counts.duplicates += 1;
                self.send_aside(leg, iax::ACK, full.timestamp);
            } else {
                self.counts.out_of_order += 1;
                self.send_aside(leg, iax::VNAK, full.timestamp);
            }
            return self.queue(leg);
        }
        state.iseq = state.iseq.wrapping_add(1);
        state.heard_at = full.timestamp;
        self.in_order(now, leg, full);
        self.queue(leg);
    }

    fn in_order(&mut self, now: f64, leg: Leg, full: Full) {
        let phase = self.legs[leg].phase;
        let reply = match (full.kind, full.subclass) {
            (kind::IAX, iax::PING) => Some(iax::PONG),
            (kind::IAX, iax::LAGRQ) => Some(iax::LAGRP),
            _ => None,
        };
        if let Some(subclass) = reply.filter(|_| phase != Phase::Over) {
            // The reply acknowledges by its sequence numbers (RFC 5456, 6.7).
            return self.send(leg, now, kind::IAX, subclass, Bytes::new());
        }
        if phase == Phase::Over {
            // A peer that goes on, though nothing of ours is on its way to tell it, never heard of the end.
            let ends = full.kind == kind::IAX && [iax::HANGUP, iax::REJECT].contains(&full.subclass);
            let lost = self.legs[leg].unacknowledged.is_empty() && !ends;
            return self.send_aside(leg, if lost { iax::INVAL } else { iax::ACK }, full.timestamp);
        }
        self.send_aside(leg, iax::ACK, full.timestamp);
        let elements = |body| Elements::read(body).unwrap_or_default();
        let tell = match (full.kind, full.subclass) {
            (kind::IAX, iax::ACCEPT) if phase == Phase::Calling => {
                self.legs[leg].phase = Phase::Linked;
                Happening::Accepted(elements(full.body))
            }
            (kind::IAX, iax::REJECT) if phase == Phase::Calling => {
                let end = End::Peer { rejected: true, elements: elements(full.body) };
                return self.ended(leg, now, end);
            }
            (kind::IAX, iax::HANGUP) => {
                let end = End::Peer { rejected: false, elements: elements(full.body) };
                return self.ended(leg, now, end);
            }
            (kind::CONTROL, control::HANGUP | control::BUSY | control::CONGESTION) if phase != Phase::Up => {
                let code = match full.subclass {
                    control::BUSY => cause::USER_BUSY,
                    control::CONGESTION => cause::CONGESTION,
                    _ => cause::NORMAL_CLEARING,
                };
                let end = End::Peer { rejected: false, elements: Elements::new().with_cause(code) };
                self.end(now, leg, &Elements::new());
                return self.happenings.push_back((leg, Happening::Ended(end)));
            }
            (kind::CONTROL, control::RINGING) if phase == Phase::Linked => Happening::Ringing,
            (kind::CONTROL, control::PROCEEDING | control::PROGRESS) if phase == Phase::Linked => {
                Happening::Proceeding
            }
            (kind::CONTROL, control::ANSWER) if matches!(phase, Phase::Calling | Phase::Linked) => {
                self.up(leg, now);
                Happening::Answered(elements(full.body))
            }
            (kind::IAX, iax::PONG | iax::LAGRP | iax::UNSUPPORT) => return,
            (kind::IAX, subclass) => {
                // RFC 5456, 6.9.4: what is not known is told so.
                let body = Elements::new().with(element::UNKNOWN, [subclass as u8]);
                return self.send_elements(leg, now, kind::IAX, iax::UNSUPPORT, &body);
            }
            (kind, subclass) => {
                let media =
                    Media { timestamp: full.timestamp, full: Some((kind, subclass)), body: full.body };
                Happening::Media(media)
            }
        };
        self.happenings.push_back((leg, tell));
    }
}
